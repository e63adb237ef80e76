//! Command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Gateway daemon: routes requests to backend servers.
#[derive(Clone, Debug, FromArgs)]
pub struct Cli {
    /// settings file in TOML
    #[argh(option)]
    pub settings: PathBuf,
}
