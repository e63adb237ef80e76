//! Log setup: one logger per process, with a level and an optional file.

use std::{
    fs::OpenOptions,
    io::{self, Write},
    path::Path,
};

use eyre::{Context, Result};
use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::sink::Sink;

/// Levels that [`start`] accepts.
pub const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// Libraries whose lines about each connection would hide the project's own events.
const QUIET_TARGETS: [&str; 5] = ["h2", "hyper", "rustls", "opentelemetry", "mio"];

/// Starts logging to `file`, or to standard error if it is absent. Each line has the UTC time, the
/// level and the event.
///
/// # Errors
/// Fails if the level is unknown, the file cannot be opened, or the process logs already.
pub fn start(level: &str, file: Option<&Path>) -> Result<()> {
    let filter = filter(level)?;
    WriteLogger::init(filter, config(), writer(file)?).wrap_err("logging was started before")
}

/// Starts logging to standard output without ever blocking on it; see [`crate::sink`].
///
/// # Errors
/// Fails if the level is unknown, the writing thread cannot be started, or the process logs already.
pub fn start_stdout(level: &str) -> Result<Sink> {
    let filter = filter(level)?;
    let sink = Sink::start(io::stdout()).wrap_err("starting the log writer")?;
    WriteLogger::init(filter, config(), sink.clone()).wrap_err("logging was started before")?;
    Ok(sink)
}

/// Parses a log level.
///
/// # Errors
/// Fails if the level is unknown.
pub fn filter(level: &str) -> Result<LevelFilter> {
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
    for target in QUIET_TARGETS {
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
