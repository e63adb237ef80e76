//! Recovery from syntax errors.
//!
//! The parser drops or guesses what surrounds an error, which would hide faults further down. The
//! lines with errors are blanked instead, so that the rest of the text is checked as it stands.

use std::ops::Range;

use toml::de::{DeTable, Error};

/// Passes after which the rest is left as it is; an unclosed bracket can take several.
const MAX_PASSES: usize = 8;

/// Text of the same length whose lines with syntax errors are blank, and the errors of the original.
pub(crate) fn clean(text: &str) -> (String, Vec<Error>) {
    let (_, errors) = DeTable::parse_recoverable(text);
    let mut clean = text.to_owned();
    let mut faulty = errors.clone();
    for _ in 0..MAX_PASSES {
        if faulty.is_empty() {
            break;
        }
        for error in &faulty {
            let offset = error.span().map_or(0, |span| span.start);
            let lines = affected(&clean, offset);
            clean = blank(&clean, &lines);
        }
        faulty = DeTable::parse_recoverable(&clean).1;
    }
    (clean, errors)
}

/// Line at `offset`; if it is a table header, all lines of that table, whose keys would otherwise
/// seem to belong to the table before.
fn affected(text: &str, offset: usize) -> Range<usize> {
    let bytes = text.as_bytes();
    let offset = offset.min(bytes.len());
    let start = bytes[..offset].iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
    let mut end = line_end(bytes, start);
    if is_header(bytes, start) {
        while end < bytes.len() && !is_header(bytes, end + 1) {
            end = line_end(bytes, end + 1);
        }
    }
    start..end
}

fn line_end(bytes: &[u8], start: usize) -> usize {
    let rest = bytes.get(start..).unwrap_or_default();
    rest.iter().position(|byte| *byte == b'\n').map_or(bytes.len(), |at| start + at)
}

fn is_header(bytes: &[u8], start: usize) -> bool {
    let rest = bytes.get(start..).unwrap_or_default();
    rest.iter().find(|byte| !matches!(byte, b' ' | b'\t')) == Some(&b'[')
}

fn blank(text: &str, lines: &Range<usize>) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for byte in &mut bytes[lines.clone()] {
        if *byte != b'\n' {
            *byte = b' ';
        }
    }
    // Whole lines are blanked, so no character is cut.
    String::from_utf8(bytes).unwrap_or_default()
}
