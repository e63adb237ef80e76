//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Runs stand-ins for the platform and the backend servers of an inventory.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// inventory file
    #[argh(positional)]
    pub inventory: PathBuf,
    /// address of the table service; the object store, VM list, weight store and scorer take the
    /// next four ports
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7100))")]
    pub platform: SocketAddr,
    /// seed of the random response lengths
    #[argh(option, default = "1")]
    pub seed: u64,
    /// fraction of responses that are ten times as long, from 0 to 1
    #[argh(option, default = "0.0")]
    pub stragglers: f64,
}
