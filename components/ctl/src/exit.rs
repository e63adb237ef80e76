//! Exit codes and the failures behind them.

use std::process::ExitCode;

use derive_more::{Display, Error, From};

/// Exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// The file has faults.
    Faults = 1,
    /// Wrong arguments or an unreadable file.
    Usage = 2,
    /// Another change won the race.
    Lost = 3,
    /// The token is unknown or does not allow the command.
    Denied = 4,
    /// The gateway is unreachable or cannot accept the command.
    Unavailable = 5,
    /// The outcome is unknown.
    Unknown = 6,
    /// Accepted, but not in force on all live daemons yet.
    Unconfirmed = 7,
    /// The named worker, daemon or service does not exist.
    NotFound = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// Refused or failed, with the exit code that says how.
    #[display("{message}")]
    #[from(ignore)]
    Command {
        /// Exit code.
        exit: Exit,
        /// Text for people.
        message: String,
    },
    /// Local failure, such as an unreadable file.
    #[display("{_0:#}")]
    Local(#[error(not(source))] eyre::Report),
    /// The output could not be written.
    #[display("cannot write the output: {_0}")]
    Output(std::io::Error),
}

impl Failure {
    /// Failure with an exit code of its own.
    #[must_use]
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self::Command { exit, message: message.into() }
    }

    /// Exit code.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Command { exit, .. } => *exit,
            Self::Local(_) | Self::Output(_) => Exit::Usage,
        }
    }
}
