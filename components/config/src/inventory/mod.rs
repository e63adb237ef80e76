//! Shared configuration of a deployment: zones, services, backend servers, trainers and rules.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Inventory of a deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Deployment-wide values.
    pub deployment: Deployment,
    /// Availability zones.
    #[serde(rename = "zone")]
    pub zones: Vec<Zone>,
    /// Network paths between zones.
    #[serde(default, rename = "link")]
    pub links: Vec<Link>,
    /// Services that requests name.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// Backend servers.
    #[serde(rename = "worker")]
    pub workers: Vec<Worker>,
    /// Trainers.
    #[serde(default, rename = "trainer")]
    pub trainers: Vec<Trainer>,
    /// Rules on priority, weight version lag and placement.
    #[serde(default, rename = "rule")]
    pub rules: Vec<Rule>,
}

/// Deployment-wide values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Deployment name.
    pub name: String,
    /// Weight of sample staleness relative to `idle_weight` in planning.
    pub staleness_weight: f64,
    /// Weight of trainer idle time relative to `staleness_weight` in planning.
    pub idle_weight: f64,
    /// One-way delay to clients in milliseconds.
    #[serde(default)]
    pub client_delay_ms: f64,
    /// Behaviour of daemons that are in a minority and cannot confirm their configuration.
    #[serde(default)]
    pub unconfirmed: Unconfirmed,
}

/// Behaviour of daemons that are in a minority and cannot confirm their configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unconfirmed {
    /// Report not ready.
    #[default]
    Stop,
    /// Continue to serve.
    Serve,
}

/// Availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Zone name.
    pub name: String,
    /// Region name.
    pub region: String,
}

/// Network path between two zones, in both directions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Names of the two zones.
    pub between: [String; 2],
    /// One-way delay in milliseconds.
    pub delay_ms: f64,
    /// Cost relative to a path inside a zone.
    #[serde(default = "one")]
    pub cost: f64,
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

/// Kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model inference servers.
    Model,
    /// Application servers without model weights.
    Application,
}

/// Service that requests name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// Kind of its workers.
    pub kind: Kind,
    /// Whether workers report their load.
    #[serde(default = "yes")]
    pub reports_load: bool,
    /// Whether workers reject orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether workers return the request identifier.
    #[serde(default = "yes")]
    pub echoes_request_id: bool,
    /// Whether engines can resume a stream after given tokens.
    #[serde(default)]
    pub resumes_streams: bool,
    /// Path prefixes whose `POST` and `PATCH` requests may be retried.
    #[serde(default)]
    pub idempotent_paths: Vec<String>,
    /// Path prefixes whose `PUT` and `DELETE` requests must not be retried.
    #[serde(default)]
    pub unrepeatable_paths: Vec<String>,
    /// Whether workers use HTTP/2 without TLS.
    #[serde(default)]
    pub http2: bool,
    /// Largest number of concurrent requests at one worker.
    #[serde(default = "default_concurrency")]
    pub max_concurrency: u32,
    /// Time limit in milliseconds of requests that set no deadline.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Minimum share of workers that keep serving during a weight rollout.
    #[serde(default = "default_min_serving")]
    pub min_serving: f64,
}

fn default_concurrency() -> u32 {
    32
}

fn default_timeout_ms() -> u64 {
    60_000
}

fn default_min_serving() -> f64 {
    0.5
}

/// Backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Worker name.
    pub name: String,
    /// Service name.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// IP address and port.
    pub address: SocketAddr,
}

/// Trainer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// Trainer name.
    pub name: String,
    /// Team that owns it.
    pub team: String,
    /// Model service it samples from.
    pub service: String,
    /// Share of the engines, relative to other trainers.
    #[serde(default = "one")]
    pub share: f64,
    /// Largest staleness in weight versions for rounds that set none.
    pub staleness_bound: u64,
}

/// Class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Requests of customers.
    Customer,
    /// Samples for trainers.
    Rollout,
}

/// Rule on priority, weight version lag and placement of a class of work at a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Rule name.
    pub name: String,
    /// Service that the rule applies to.
    pub service: String,
    /// Class of work that the rule applies to; all classes if absent.
    #[serde(default)]
    pub class: Option<Class>,
    /// Priority; higher values are served first.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Largest allowed difference to the newest known weight version.
    #[serde(default)]
    pub max_version_lag: Option<u64>,
    /// Zones where the work may run; all zones if absent.
    #[serde(default)]
    pub zones: Option<Vec<String>>,
}

impl Inventory {
    /// Parses an inventory; [`crate::check`] validates its values and references.
    ///
    /// # Errors
    /// Fails on invalid TOML, unknown keys and values of the wrong type.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Service named `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Workers of the service named `name`.
    pub fn workers_of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Worker> {
        self.workers.iter().filter(move |worker| worker.service == name)
    }

    /// One-way delay between two zones in milliseconds; 0 within a zone and for zones without a
    /// link.
    #[must_use]
    pub fn delay_ms(&self, from: &str, to: &str) -> f64 {
        self.link(from, to).map_or(0.0, |link| link.delay_ms)
    }

    /// Link between two different zones, in either direction.
    #[must_use]
    pub fn link(&self, from: &str, to: &str) -> Option<&Link> {
        self.links.iter().find(|link| {
            let [a, b] = &link.between;
            from != to && ((a == from && b == to) || (a == to && b == from))
        })
    }
}
