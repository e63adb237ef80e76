//! Recovery from syntax errors.
//!
//! The parser drops or guesses the text around a syntax error, which would hide later errors. Lines
//! with syntax errors are therefore blanked, so that the rest of the text is checked unchanged.

use std::ops::Range;

use toml::de::{DeTable, Error};

/// Largest number of passes, after which remaining errors are left in the text; an unclosed bracket
/// can take several.
const MAX_PASSES: usize = 8;

/// Returns the text with the lines of syntax errors overwritten by spaces, so that offsets stay
/// valid, and the errors of the original.
pub(crate) fn blank_errors(text: &str) -> (String, Vec<Error>) {
    let (_, errors) = DeTable::parse_recoverable(text);
    let mut blanked = text.to_owned();
    let mut remaining = errors.clone();
    for _ in 0..MAX_PASSES {
        if remaining.is_empty() {
            break;
        }
        for error in &remaining {
            let offset = error.span().map_or(0, |span| span.start);
            let lines = lines_to_blank(&blanked, offset);
            blanked = blank(&blanked, &lines);
        }
        remaining = DeTable::parse_recoverable(&blanked).1;
    }
    (blanked, errors)
}

/// Line at `offset`; for a table header, all lines of the table, since its keys would otherwise be
/// read as those of the table before.
fn lines_to_blank(text: &str, offset: usize) -> Range<usize> {
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
    // Only whole lines are blanked, so the text stays valid UTF-8.
    String::from_utf8(bytes).unwrap_or_default()
}
