//! `trace`: prints the log lines about one request, item or batch.
//!
//! A line matches if one of its values equals the identifier. Lines of several VMs are sorted by
//! their timestamps, which come from the VMs' wall clocks and are subject to clock skew.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
    path::Path,
};

use eyre::Context;

use crate::{
    cli::Trace,
    exit::{Exit, Failure},
};

/// Matching log line with its sort key.
struct Entry {
    time: String,
    source: String,
    line: String,
}

/// Prints all lines that match `args.id`; returns [`Exit::Faults`] if there are none.
///
/// # Errors
/// Fails if the identifier is empty, a file cannot be read, or the output cannot be written.
pub fn run(args: &Trace, out: &mut impl Write) -> Result<Exit, Failure> {
    if args.id.is_empty() {
        return Err(Failure::new(Exit::Usage, "the identifier must not be empty"));
    }
    let mut entries = Vec::new();
    if args.files.is_empty() {
        collect_matches(io::stdin().lock(), "", &args.id, &mut entries)
            .wrap_err("reading standard input")?;
    }
    for path in &args.files {
        let source = source_prefix(path, args.files.len());
        let file = File::open(path).wrap_err_with(|| format!("reading {}", path.display()))?;
        collect_matches(BufReader::new(file), &source, &args.id, &mut entries)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
    }
    entries.sort_by(|a, b| a.time.cmp(&b.time));
    for Entry { source, line, .. } in &entries {
        writeln!(out, "{source}{line}")?;
    }
    Ok(if entries.is_empty() { Exit::Faults } else { Exit::Done })
}

/// Prefix that tells lines of several files apart; empty if there is only one file.
fn source_prefix(path: &Path, file_count: usize) -> String {
    let name = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
    if file_count > 1 { format!("{name}: ") } else { String::new() }
}

fn collect_matches(
    mut input: impl BufRead,
    source: &str,
    id: &str,
    entries: &mut Vec<Entry>,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    while input.read_until(b'\n', &mut bytes)? > 0 {
        // Invalid UTF-8 in one line must not hide the other lines.
        let line = String::from_utf8_lossy(&bytes).trim_end().to_owned();
        bytes.clear();
        if has_value(&line, id) {
            let (time, source) = (sort_time(&line), source.to_owned());
            entries.push(Entry { time, source, line });
        }
    }
    Ok(())
}

/// Whether one of the line's values equals `id`.
fn has_value(line: &str, id: &str) -> bool {
    line.split_whitespace()
        .filter_map(|pair| pair.split_once('='))
        .any(|(_, value)| value.trim_matches('"') == id)
}

/// Timestamp of a line, with its fraction padded to nine digits so that text order is time order.
/// Empty if the line has none.
fn sort_time(line: &str) -> String {
    const FRACTION_DIGITS: usize = 9;
    let is_timestamp =
        |word: &&str| word.ends_with('Z') && word.contains('T') && word.contains(':');
    let Some(word) = line.split_whitespace().find(is_timestamp) else { return String::new() };
    let word = word.trim_end_matches('Z');
    let (seconds, fraction) = word.split_once('.').unwrap_or((word, ""));
    format!("{seconds}.{fraction:0<FRACTION_DIGITS$}")
}
