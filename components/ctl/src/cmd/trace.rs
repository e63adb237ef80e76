//! `trace`: the story of one request, item or batch out of log files.
//!
//! A line belongs to the story if one of its values is the identifier. Lines of several VMs are put
//! in the order of their times, which are wall-clock times of the VMs and may differ a little.

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

/// Line of the story, with what it is sorted by.
struct Entry {
    time: String,
    source: String,
    line: String,
}

/// Prints all lines on `args.id`; exit code 1 if there are none.
///
/// # Errors
/// Fails if a file cannot be read or the output not be written.
pub fn run(args: &Trace, out: &mut impl Write) -> Result<Exit, Failure> {
    if args.id.is_empty() {
        return Err(Failure::new(Exit::Usage, "an identifier is needed"));
    }
    let mut entries = Vec::new();
    if args.files.is_empty() {
        collect(io::stdin().lock(), "", &args.id, &mut entries).wrap_err("standard input")?;
    }
    for path in &args.files {
        let source = label(path, args.files.len());
        let file = File::open(path).wrap_err_with(|| format!("reading {}", path.display()))?;
        collect(BufReader::new(file), &source, &args.id, &mut entries)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
    }
    entries.sort_by(|a, b| a.time.cmp(&b.time));
    for Entry { source, line, .. } in &entries {
        writeln!(out, "{source}{line}")?;
    }
    Ok(if entries.is_empty() { Exit::Faults } else { Exit::Done })
}

fn label(path: &Path, files: usize) -> String {
    let name = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
    if files > 1 { format!("{name}: ") } else { String::new() }
}

fn collect(
    mut input: impl BufRead,
    source: &str,
    id: &str,
    entries: &mut Vec<Entry>,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    while input.read_until(b'\n', &mut bytes)? > 0 {
        // Bytes that are not UTF-8 come from elsewhere and cannot hide a line.
        let line = String::from_utf8_lossy(&bytes).trim_end().to_owned();
        bytes.clear();
        if names(&line, id) {
            let (time, source) = (time(&line), source.to_owned());
            entries.push(Entry { time, source, line });
        }
    }
    Ok(())
}

/// Whether a value of the line is `id`.
fn names(line: &str, id: &str) -> bool {
    line.split_whitespace()
        .filter_map(|pair| pair.split_once('='))
        .any(|(_, value)| value.trim_matches('"') == id)
}

/// Time of a line with a fraction of fixed length, so that times compare as text.
fn time(line: &str) -> String {
    const FRACTION: usize = 9;
    let is_time = |word: &&str| word.ends_with('Z') && word.contains('T') && word.contains(':');
    let Some(word) = line.split_whitespace().find(is_time) else { return String::new() };
    let word = word.trim_end_matches('Z');
    let (seconds, fraction) = word.split_once('.').unwrap_or((word, ""));
    format!("{seconds}.{fraction:0<FRACTION$}")
}
