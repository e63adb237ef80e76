//! Labels: which weight version produced which tokens.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Tokens produced by one weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// Weight version.
    pub version: u64,
    /// First token of the range.
    pub from: u32,
    /// Token after the last one of the range.
    pub to: u32,
}

/// Why a label proves nothing.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The answer has no tokens.
    #[display("answer without tokens")]
    Empty,
    /// A range does not start where the one before it ends, or is empty.
    #[display("label range starts at {from}, expected {expected}")]
    Gap {
        /// Start stated.
        from: u32,
        /// Start needed.
        expected: u32,
    },
    /// The ranges end before or after the last token.
    #[display("label ends at {end} of {tokens} tokens")]
    Length {
        /// End stated.
        end: u32,
        /// Tokens in the answer.
        tokens: u32,
    },
    /// The stream held another number of tokens than its end states.
    #[display("stream held {seen} of {tokens} tokens")]
    Count {
        /// Tokens received.
        seen: u32,
        /// Tokens stated.
        tokens: u32,
    },
    /// A token came with another version than the label states.
    #[display("token {index} has version {stream}, label states {label}")]
    Version {
        /// Token index.
        index: u32,
        /// Version in the stream.
        stream: u64,
        /// Version in the label.
        label: u64,
    },
}

/// Checks that `ranges` cover `tokens` tokens without gap and agree with the version that the
/// stream gave for each token.
///
/// # Errors
/// Returns the first [`Fault`]; the answer must then be discarded and run again.
pub fn check(ranges: &[Range], tokens: u32, stream: &[u64]) -> Result<(), Fault> {
    if tokens == 0 {
        return Err(Fault::Empty);
    }
    let seen = u32::try_from(stream.len()).unwrap_or(u32::MAX);
    if seen != tokens {
        return Err(Fault::Count { seen, tokens });
    }
    let mut expected = 0;
    for range in ranges {
        if range.from != expected || range.to <= range.from {
            return Err(Fault::Gap { from: range.from, expected });
        }
        expected = range.to;
    }
    if expected != tokens {
        return Err(Fault::Length { end: expected, tokens });
    }
    ranges.iter().try_for_each(|range| agree(range, stream))
}

fn agree(range: &Range, stream: &[u64]) -> Result<(), Fault> {
    for index in range.from..range.to {
        let version = stream[index as usize];
        if version != range.version {
            return Err(Fault::Version { index, stream: version, label: range.version });
        }
    }
    Ok(())
}

/// Oldest version in a label.
#[must_use]
pub fn oldest(ranges: &[Range]) -> Option<u64> {
    ranges.iter().map(|range| range.version).min()
}

#[cfg(test)]
mod tests {
    use super::{Fault, Range, check, oldest};

    /// Guards against a label that overlaps, leaves out or misstates tokens.
    #[test]
    fn can_refuse_unproved_labels() {
        let range = |version, from, to| Range { version, from, to };
        let good = [range(3, 0, 2), range(4, 2, 3)];
        assert_eq!(check(&good, 3, &[3, 3, 4]), Ok(()));
        assert_eq!(oldest(&good), Some(3));
        assert_eq!(check(&[], 0, &[]), Err(Fault::Empty));
        assert_eq!(check(&good, 3, &[3, 3]), Err(Fault::Count { seen: 2, tokens: 3 }));
        assert_eq!(check(&good, 4, &[3; 4]), Err(Fault::Length { end: 3, tokens: 4 }));
        let gap = [range(3, 0, 1), range(4, 2, 3)];
        assert_eq!(check(&gap, 3, &[3; 3]), Err(Fault::Gap { from: 2, expected: 1 }));
        let fault = Fault::Version { index: 1, stream: 4, label: 3 };
        assert_eq!(check(&good, 3, &[3, 4, 4]), Err(fault));
    }
}
