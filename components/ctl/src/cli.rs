//! Arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Checks configuration files and operates a filbertsail fleet.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    note = "Global options stand before the command.",
    error_code(0, "done"),
    error_code(1, "the file has faults, or no line names the identifier"),
    error_code(2, "wrong arguments or an unreadable file"),
    error_code(3, "another operator's change won the race; nothing was changed"),
    error_code(4, "the token is unknown or does not allow the command; nothing was changed"),
    error_code(5, "the gateway is unreachable or cannot accept the command; nothing was changed"),
    error_code(6, "the outcome is unknown; look at `show` before a repeat"),
    error_code(7, "accepted, but not in force on all live daemons yet"),
    error_code(8, "the named worker, daemon or service does not exist")
)]
pub struct Cli {
    /// admin address of a gateway
    #[argh(option)]
    pub gateway: Option<SocketAddr>,
    /// file whose first word is the bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// PEM certificates to trust; turns TLS on
    #[argh(option)]
    pub ca_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// command
    #[argh(subcommand)]
    pub command: Command,
}

/// Command.
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

/// Checks an inventory or settings without network access and reports every fault.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file to check
    #[argh(positional)]
    pub file: PathBuf,
}

/// Puts an inventory into force, unless another change came first.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// inventory
    #[argh(positional)]
    pub file: PathBuf,
    /// version that the change is based on; the present one by default
    #[argh(option)]
    pub expect: Option<u64>,
    /// name to record; the token's name by default
    #[argh(option, default = "String::new()")]
    pub author: String,
    /// milliseconds to wait for the daemons, 8000 by default
    #[argh(option, default = "8_000")]
    pub wait_ms: u64,
}

/// Prints the inventory in force.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {}

/// Prints daemons, backend servers and leases.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Stops new work for a worker or daemon.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// worker or daemon
    #[argh(positional)]
    pub name: String,
    /// allow new work again
    #[argh(switch)]
    pub undo: bool,
}

/// Explains where a request would go and why.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// service
    #[argh(positional)]
    pub service: String,
    /// class of work: customer or rollout
    #[argh(option)]
    pub class: Option<String>,
    /// prompt, for prefix affinity
    #[argh(option)]
    pub prompt: Option<String>,
    /// team
    #[argh(option)]
    pub team: Option<String>,
    /// oldest weight version allowed
    #[argh(option)]
    pub min_version: Option<u64>,
}

/// Prints the story of a request, item or batch out of log files, in order of time.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// identifier
    #[argh(positional)]
    pub id: String,
    /// log files; standard input if there are none
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
