//! Subcommands.

pub mod apply;
pub mod check;
pub mod config;
pub mod drain;
pub mod explain;
pub mod show;
pub mod status;
pub mod trace;

use std::{fs, io::Write, path::Path};

use eyre::Context;
use serde::Serialize;

use crate::exit::Failure;

fn read_file(path: &Path) -> Result<String, Failure> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))?;
    Ok(text)
}

fn print_json(out: &mut impl Write, value: &impl Serialize) -> Result<(), Failure> {
    let text =
        serde_json::to_string_pretty(value).wrap_err("cannot serialize the output as JSON")?;
    writeln!(out, "{text}")?;
    Ok(())
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
