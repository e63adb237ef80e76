//! Record of the requests that engines ran, independent of the daemons under test.

use std::sync::{Arc, Mutex, PoisonError};

use filbertsail_clock::Instant;

/// Request that an engine ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Number of the run, unique among all engines that share the record.
    pub number: u64,
    /// Worker name.
    pub worker: String,
    /// Identifier set by the gateway.
    pub request_id: String,
    /// Prompt.
    pub prompt: String,
    /// Time of arrival.
    pub arrived_at: Instant,
    /// Index of the first token that this run produced; not 0 for a resumed request.
    pub first_index: u32,
    /// Weight version of each token produced.
    pub token_versions: Vec<u64>,
    /// Number of tokens in the complete text, once the run has ended normally.
    pub total_tokens: Option<u32>,
}

impl Run {
    /// Weight version that produced the token at `index`; `None` if this run did not produce it.
    #[must_use]
    pub fn version_at(&self, index: u32) -> Option<u64> {
        self.token_versions.get(index.checked_sub(self.first_index)? as usize).copied()
    }
}

/// Runs of all engines that share this record, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Record(Arc<Mutex<Vec<Run>>>);

impl Record {
    /// Adds a run and returns its number.
    pub(crate) fn add(&self, run: Run) -> u64 {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let number = runs.len() as u64;
        runs.push(Run { number, ..run });
        number
    }

    pub(crate) fn update(&self, number: u64, update: impl FnOnce(&mut Run)) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(usize::try_from(number).unwrap_or(usize::MAX)) {
            update(run);
        }
    }

    /// All runs in order of arrival.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of tokens produced so far.
    #[must_use]
    pub fn token_count(&self) -> u64 {
        let runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.iter().map(|run| run.token_versions.len() as u64).sum()
    }
}

/// Text of one token: run number and index, with a different end if it is the last.
#[must_use]
pub fn token_text(run: u64, index: u32, is_last: bool) -> String {
    format!("{run}.{index}{}", if is_last { '!' } else { ' ' })
}

/// Parses a text into its tokens as (run, index); `None` if it is incomplete or has gaps.
#[must_use]
pub fn parse_tokens(text: &str) -> Option<Vec<(u64, u32)>> {
    let body = text.strip_suffix('!')?;
    let tokens: Option<Vec<(u64, u32)>> = body
        .split(' ')
        .map(|token| {
            let (run, index) = token.split_once('.')?;
            Some((run.parse().ok()?, index.parse().ok()?))
        })
        .collect();
    let is_contiguous = |tokens: &Vec<(u64, u32)>| {
        tokens.iter().enumerate().all(|(position, (_, index))| position as u64 == u64::from(*index))
    };
    tokens.filter(is_contiguous)
}

#[cfg(test)]
mod tests {
    use super::{parse_tokens, token_text};

    /// Guards against accepting a truncated text, or one with missing tokens, as complete.
    #[test]
    fn can_detect_incomplete_texts() {
        let text =
            [token_text(4, 0, false), token_text(4, 1, false), token_text(9, 2, true)].concat();
        assert_eq!(parse_tokens(&text), Some(vec![(4, 0), (4, 1), (9, 2)]));
        assert_eq!(parse_tokens("4.0 4.1 "), None);
        assert_eq!(parse_tokens("4.0 4.2!"), None);
    }
}
