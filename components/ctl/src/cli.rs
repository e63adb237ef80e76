//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Checks configuration files and operates a filbertsail fleet.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    note = "Global options go before the command.",
    error_code(0, "done"),
    error_code(1, "the file has faults, or no log line matches the identifier"),
    error_code(2, "wrong arguments or an unreadable file"),
    error_code(3, "another change was committed first; nothing was changed"),
    error_code(4, "the token is unknown or does not allow the command; nothing was changed"),
    error_code(5, "the gateway is unreachable or cannot accept the command; nothing was changed"),
    error_code(6, "the outcome is unknown; check with `show` before retrying"),
    error_code(7, "accepted, but not yet active on all live daemons"),
    error_code(8, "the named worker, daemon or service does not exist")
)]
pub struct Cli {
    /// admin address of a gateway
    #[argh(option)]
    pub gateway: Option<SocketAddr>,
    /// file whose first word is the bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// file of trusted PEM certificates; enables TLS
    #[argh(option)]
    pub ca_file: Option<PathBuf>,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// `check`.
    Check(Check),
    /// `apply`.
    Apply(Apply),
    /// `show`.
    Show(Show),
    /// `status`.
    Status(Status),
    /// `drain`.
    Drain(Drain),
    /// `explain`.
    Explain(Explain),
    /// `trace`.
    Trace(Trace),
}

/// Checks an inventory, a settings file or the configuration of the users' platform without network
/// access and reports every fault.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file to check; a configuration of the platform is recognized by its content, a JSON object
    #[argh(positional)]
    pub file: PathBuf,
    /// configuration in force; also prints the differences from it and their effects
    #[argh(option)]
    pub against: Option<PathBuf>,
    /// memory of the smallest VM in MB, for a configuration; 120 by default
    #[argh(option)]
    pub memory_mb: Option<u32>,
}

/// Activates an inventory, unless another change was committed first.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// inventory file
    #[argh(positional)]
    pub file: PathBuf,
    /// version that the change is based on; the active one by default
    #[argh(option)]
    pub expect: Option<u64>,
    /// author to record; the token's name by default
    #[argh(option, default = "String::new()")]
    pub author: String,
    /// milliseconds to wait for daemons to confirm; 8000 by default
    #[argh(option, default = "8_000")]
    pub wait_ms: u64,
}

/// Prints the active inventory.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {}

/// Prints the state of daemons, backend servers and leases.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Drains a worker or daemon: it receives no new work.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// name of the worker or daemon
    #[argh(positional)]
    pub name: String,
    /// end the drain, so that it receives new work again
    #[argh(switch)]
    pub undo: bool,
}

/// Explains to which worker a request would be routed and why.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// name of the service
    #[argh(positional)]
    pub service: String,
    /// request class: customer or rollout
    #[argh(option)]
    pub class: Option<String>,
    /// prompt, which matters for prefix affinity
    #[argh(option)]
    pub prompt: Option<String>,
    /// customer team
    #[argh(option)]
    pub team: Option<String>,
    /// minimum weight version
    #[argh(option)]
    pub min_version: Option<u64>,
}

/// Prints all log lines about a request, item or batch, sorted by time.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// identifier of the request, item or batch
    #[argh(positional)]
    pub id: String,
    /// log files; standard input by default
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
