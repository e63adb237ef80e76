//! Exit codes and failures of commands.

use std::process::ExitCode;

use derive_more::{Display, Error, From};

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// The file has faults, or no log line matches the identifier.
    Faults = 1,
    /// Wrong arguments or an unreadable file.
    Usage = 2,
    /// Another change was committed first; nothing was changed.
    Conflict = 3,
    /// The token is unknown or does not allow the command.
    Denied = 4,
    /// The gateway is unreachable or cannot accept the command.
    Unavailable = 5,
    /// The outcome is unknown.
    Unknown = 6,
    /// Accepted, but not yet active on all live daemons.
    Unconfirmed = 7,
    /// The named worker, daemon or service does not exist.
    NotFound = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Reason why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// Rejected or failed, with a specific exit code.
    #[display("{message}")]
    #[from(ignore)]
    Command {
        /// Exit code of the process.
        exit: Exit,
        /// Description printed to standard error.
        message: String,
    },
    /// Local failure, such as an unreadable file.
    #[display("{_0:#}")]
    Local(#[error(not(source))] eyre::Report),
    /// The output could not be written.
    #[display("writing the output: {_0}")]
    Output(std::io::Error),
}

impl Failure {
    /// Failure with the given exit code.
    #[must_use]
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self::Command { exit, message: message.into() }
    }

    /// Exit code of the process.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Command { exit, .. } => *exit,
            Self::Local(_) | Self::Output(_) => Exit::Usage,
        }
    }
}
