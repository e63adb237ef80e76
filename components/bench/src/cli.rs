//! Command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Load, fault scenarios and checks of the promises.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// file for the log of all daemons; none is written if absent
    #[argh(option)]
    pub log: Option<PathBuf>,
    /// least level of the log
    #[argh(option, default = "String::from(\"info\")")]
    pub level: String,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Names the scenarios.
    List(List),
    /// Short run of both example deployments.
    Demo(Demo),
    /// Runs a scenario.
    Run(Run),
    /// Measures the control overhead per daemon.
    Capacity(Capacity),
}

/// Measure control traffic, CPU time and memory per daemon over the number of daemons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// number of daemons; may be repeated
    #[argh(option)]
    pub daemons: Vec<usize>,
    /// seconds over which each number is measured
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// configuration changes to time
    #[argh(option, default = "200")]
    pub changes: usize,
    /// exchanges of digests over the peer link and over UDP
    #[argh(option, default = "20000")]
    pub exchanges: u32,
    /// crashed holders per lease TTL
    #[argh(option, default = "12")]
    pub crashes: usize,
    /// file for the result as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
}

/// Name the scenarios and policies.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct List {}

/// Run both example deployments for some seconds and report every promise.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// folder with the example inventories
    #[argh(option, default = "PathBuf::from(\"examples\")")]
    pub examples: PathBuf,
}

/// Run a scenario, under several policies with the same arrivals.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// scenario
    #[argh(positional)]
    pub scenario: String,
    /// inventory file
    #[argh(option, default = "PathBuf::from(\"examples/vaahto.toml\")")]
    pub deployment: PathBuf,
    /// policy: production, random, round_robin, least_reported, naive; may be repeated
    #[argh(option)]
    pub policy: Vec<String>,
    /// seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// duration of the load in seconds
    #[argh(option)]
    pub duration: Option<u64>,
    /// model requests relative to the capacity of the engines
    #[argh(option)]
    pub load: Option<f64>,
    /// gateways
    #[argh(option, default = "3")]
    pub gateways: usize,
    /// controllers
    #[argh(option, default = "3")]
    pub controllers: usize,
    /// seconds between readiness and the load, in which new daemons raise their share of the
    /// table's rate
    #[argh(option, default = "10")]
    pub warm: u64,
    /// file for the result as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// folder for the report
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// deliberately broken part
    #[argh(option, long = "break")]
    pub broken: Option<String>,
}
