//! Settings of one process.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};

/// Settings of a gateway or controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Daemon name, unique in the fleet.
    pub name: String,
    /// Availability zone of this VM.
    pub zone: String,
    /// Region of this VM.
    pub region: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Addresses of other daemons.
    #[serde(default)]
    pub peers: Peers,
    /// Key, token and certificate files.
    pub security: Security,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers; gateways only.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address for operators, health checks and metrics.
    pub admin: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
    /// Weight store.
    pub weights: SocketAddr,
    /// Writes per second that the whole fleet may send to the table service.
    #[serde(default = "default_writes")]
    pub table_writes_per_s: f64,
    /// Reads per second that the whole fleet may send to the table service.
    #[serde(default = "default_reads")]
    pub table_reads_per_s: f64,
}

fn default_writes() -> f64 {
    300.0
}

fn default_reads() -> f64 {
    2_000.0
}

/// Addresses of other daemons.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Peer addresses to contact at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Key, token and certificate files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Security {
    /// File with the hex-encoded cluster key of at least 32 bytes.
    pub cluster_key_file: PathBuf,
    /// File with bearer tokens.
    pub tokens_file: PathBuf,
    /// PEM certificate chain of the caller and admin ports.
    #[serde(default)]
    pub tls_cert_file: Option<PathBuf>,
    /// PEM private key of the caller and admin ports.
    #[serde(default)]
    pub tls_key_file: Option<PathBuf>,
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Minimum level: error, warn, info, debug or trace.
    pub level: String,
    /// Log file; standard error if absent.
    #[serde(default)]
    pub file: Option<PathBuf>,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: "info".to_owned(), file: None }
    }
}

impl Settings {
    /// Parses settings; [`crate::check`] validates their values.
    ///
    /// # Errors
    /// Fails on invalid TOML, unknown keys and values of the wrong type.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }
}
