//! Logger setup: one logger per process, with a level and an optional file.

use std::{
    fs::OpenOptions,
    io::{self, Write},
    path::Path,
};

use eyre::{Context, Result};
use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::sink::Sink;

/// Log levels that [`init`] accepts.
pub const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// Libraries that log every connection, which would drown out the daemon's own events.
const IGNORED_TARGETS: [&str; 5] = ["h2", "hyper", "rustls", "opentelemetry", "mio"];

/// Initialises logging to `file`, or to standard error if `None`. Each line has the UTC time, the
/// level and the event.
///
/// # Errors
/// Fails if the level is unknown, the file cannot be opened, or a logger is already set.
pub fn init(level: &str, file: Option<&Path>) -> Result<()> {
    let filter = parse_level(level)?;
    WriteLogger::init(filter, config(), writer(file)?).wrap_err("logger is already set")
}

/// Initialises logging to standard output through the non-blocking [`crate::sink`].
///
/// # Errors
/// Fails if the level is unknown, the writer thread cannot be started, or a logger is already set.
pub fn init_stdout(level: &str) -> Result<Sink> {
    let filter = parse_level(level)?;
    let sink = Sink::start(io::stdout()).wrap_err("starting the log writer thread")?;
    WriteLogger::init(filter, config(), sink.clone()).wrap_err("logger is already set")?;
    Ok(sink)
}

/// Parses a log level.
///
/// # Errors
/// Fails if the level is unknown.
pub fn parse_level(level: &str) -> Result<LevelFilter> {
    eyre::ensure!(
        LEVELS.contains(&level),
        "log level {level:?} is unknown; expected one of {}",
        LEVELS.join(", ")
    );
    level.parse().wrap_err_with(|| format!("log level {level:?}"))
}

fn config() -> Config {
    let mut builder = ConfigBuilder::new();
    builder
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off);
    for target in IGNORED_TARGETS {
        builder.add_filter_ignore_str(target);
    }
    builder.build()
}

fn writer(file: Option<&Path>) -> Result<Box<dyn Write + Send>> {
    let Some(path) = file else { return Ok(Box::new(io::stderr())) };
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .wrap_err_with(|| format!("opening the log file {}", path.display()))?;
    Ok(Box::new(file))
}
