//! Labels: the weight version that produced each token of a response.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Range of tokens produced by one weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// Weight version.
    pub version: u64,
    /// Index of the first token.
    pub from: u32,
    /// Index after the last token.
    pub to: u32,
}

/// Reason why a label is rejected.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Mismatch {
    /// The response has no tokens.
    #[display("response has no tokens")]
    Empty,
    /// A range does not start where the one before it ends, or is empty.
    #[display("label range starts at token {from}, expected token {expected}")]
    Gap {
        /// Start of the range.
        from: u32,
        /// End of the previous range.
        expected: u32,
    },
    /// The ranges end before or after the last token.
    #[display("label ends at token {end}, but the response has {tokens} tokens")]
    Length {
        /// End of the last range.
        end: u32,
        /// Number of tokens in the response.
        tokens: u32,
    },
    /// The stream carried a different number of tokens than it states at its end.
    #[display("stream carried {seen} tokens, but states {tokens}")]
    Count {
        /// Number of tokens received.
        seen: u32,
        /// Number of tokens stated.
        tokens: u32,
    },
    /// The stream and the label state different versions for a token.
    #[display("token {index} has weight version {stream} in the stream, but {label} in the label")]
    Version {
        /// Token index.
        index: u32,
        /// Version in the stream.
        stream: u64,
        /// Version in the label.
        label: u64,
    },
}

/// Checks that `ranges` cover `tokens` tokens without gaps and match `stream`, the version of each
/// token in the stream.
///
/// # Errors
/// Returns the first [`Mismatch`]; the response must then be discarded and generated again.
pub fn check(ranges: &[Range], tokens: u32, stream: &[u64]) -> Result<(), Mismatch> {
    if tokens == 0 {
        return Err(Mismatch::Empty);
    }
    let seen = u32::try_from(stream.len()).unwrap_or(u32::MAX);
    if seen != tokens {
        return Err(Mismatch::Count { seen, tokens });
    }
    let mut expected = 0;
    for range in ranges {
        if range.from != expected || range.to <= range.from {
            return Err(Mismatch::Gap { from: range.from, expected });
        }
        expected = range.to;
    }
    if expected != tokens {
        return Err(Mismatch::Length { end: expected, tokens });
    }
    ranges.iter().try_for_each(|range| check_versions(range, stream))
}

fn check_versions(range: &Range, stream: &[u64]) -> Result<(), Mismatch> {
    for index in range.from..range.to {
        let version = stream[index as usize];
        if version != range.version {
            return Err(Mismatch::Version { index, stream: version, label: range.version });
        }
    }
    Ok(())
}

/// Oldest weight version in a label.
#[must_use]
pub fn oldest_version(ranges: &[Range]) -> Option<u64> {
    ranges.iter().map(|range| range.version).min()
}

#[cfg(test)]
mod tests {
    use super::{Mismatch, Range, check, oldest_version};

    /// Guards against labels with overlapping ranges, missing tokens or wrong versions.
    #[test]
    fn can_reject_invalid_labels() {
        let range = |version, from, to| Range { version, from, to };
        let good = [range(3, 0, 2), range(4, 2, 3)];
        assert_eq!(check(&good, 3, &[3, 3, 4]), Ok(()));
        assert_eq!(oldest_version(&good), Some(3));
        assert_eq!(check(&[], 0, &[]), Err(Mismatch::Empty));
        assert_eq!(check(&good, 3, &[3, 3]), Err(Mismatch::Count { seen: 2, tokens: 3 }));
        assert_eq!(check(&good, 4, &[3; 4]), Err(Mismatch::Length { end: 3, tokens: 4 }));
        let gap = [range(3, 0, 1), range(4, 2, 3)];
        assert_eq!(check(&gap, 3, &[3; 3]), Err(Mismatch::Gap { from: 2, expected: 1 }));
        let mismatch = Mismatch::Version { index: 1, stream: 4, label: 3 };
        assert_eq!(check(&good, 3, &[3, 4, 4]), Err(mismatch));
    }
}
