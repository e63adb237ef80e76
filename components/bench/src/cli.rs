//! Command-line arguments.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs load and fault scenarios and checks the promises of the service.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// log file of all daemons; no log is written if absent
    #[argh(option)]
    pub log: Option<PathBuf>,
    /// minimum log level
    #[argh(option, default = "String::from(\"info\")")]
    pub level: String,
    /// subcommand
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Lists scenarios and defects.
    List(List),
    /// Short run of both example deployments.
    Demo(Demo),
    /// Runs a scenario.
    Run(Run),
    /// Measures the control overhead per daemon.
    Capacity(Capacity),
}

/// Measure control traffic, CPU time and memory per daemon at several fleet sizes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// fleet size to measure; may be repeated
    #[argh(option)]
    pub daemons: Vec<usize>,
    /// duration of the measurement of each fleet size in seconds
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// number of configuration changes to time
    #[argh(option, default = "200")]
    pub changes: usize,
    /// number of digest exchanges over the peer link and over UDP
    #[argh(option, default = "20000")]
    pub exchanges: u32,
    /// number of holder crashes per lease TTL
    #[argh(option, default = "12")]
    pub crashes: usize,
    /// file for the result as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
}

/// List the scenarios and injectable defects.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct List {}

/// Run both example deployments for some seconds and report violations of each promise.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// seed of arrivals, output lengths and faults
    #[argh(option, default = "1")]
    pub seed: u64,
    /// folder with the example inventories
    #[argh(option, default = "PathBuf::from(\"examples\")")]
    pub examples: PathBuf,
}

/// Run a scenario under one or more policies with the same arrivals.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// scenario name; see `list`
    #[argh(positional)]
    pub scenario: String,
    /// inventory file
    #[argh(option, default = "PathBuf::from(\"examples/vaahto.toml\")")]
    pub deployment: PathBuf,
    /// policy: production, random, round_robin, least_reported, naive; may be repeated
    #[argh(option)]
    pub policy: Vec<String>,
    /// seed of arrivals, output lengths and faults
    #[argh(option, default = "1")]
    pub seed: u64,
    /// duration of the load in seconds
    #[argh(option)]
    pub duration: Option<u64>,
    /// rate of model requests relative to the capacity of the engines
    #[argh(option)]
    pub load: Option<f64>,
    /// number of gateways
    #[argh(option, default = "3")]
    pub gateways: usize,
    /// number of controllers
    #[argh(option, default = "3")]
    pub controllers: usize,
    /// seconds between readiness and the load, in which new daemons raise their share of the
    /// table's rate limit
    #[argh(option, default = "10")]
    pub warm: u64,
    /// file for the result as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// folder for the report
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// defect to inject; see `list`
    #[argh(option, long = "break")]
    pub defect: Option<String>,
}
