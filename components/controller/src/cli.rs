//! Command line.

use std::path::PathBuf;

use argh::FromArgs;
use filbertsail_rollout::policy::Policy;

/// Runs a controller of a deployment.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings file in TOML
    #[argh(option)]
    pub settings: PathBuf,
    /// scheduling and delivery policy: production or naive
    #[argh(option, default = "Policy::Production")]
    pub policy: Policy,
}
