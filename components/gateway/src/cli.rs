//! Command line of the gateway.

use std::path::PathBuf;

use argh::FromArgs;

/// Request path of a rollout service.
#[derive(Clone, Debug, FromArgs)]
pub struct Cli {
    /// settings file in TOML
    #[argh(option)]
    pub settings: PathBuf,
}
