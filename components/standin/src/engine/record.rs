//! Record of what the engines ran, independent of the daemons.

use std::sync::{Arc, Mutex, PoisonError};

use filbertsail_clock::Instant;

/// Request that an engine ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Number of the run, unique among all engines of a record.
    pub number: u64,
    /// Worker name.
    pub worker: String,
    /// Identifier set by the gateway.
    pub request_id: String,
    /// Prompt.
    pub prompt: String,
    /// Arrival.
    pub at: Instant,
    /// Index of the first token that this run produced.
    pub first: u32,
    /// Weight version of each token produced.
    pub versions: Vec<u64>,
    /// Number of tokens of the whole answer, once the run ended normally.
    pub tokens: Option<u32>,
}

impl Run {
    /// Weight version that produced the token at `index`.
    #[must_use]
    pub fn version_at(&self, index: u32) -> Option<u64> {
        self.versions.get(index.checked_sub(self.first)? as usize).copied()
    }
}

/// Runs of all engines that share the record, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Record(Arc<Mutex<Vec<Run>>>);

impl Record {
    pub(crate) fn begin(&self, run: Run) -> u64 {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let number = runs.len() as u64;
        runs.push(Run { number, ..run });
        number
    }

    pub(crate) fn edit(&self, number: u64, edit: impl FnOnce(&mut Run)) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(usize::try_from(number).unwrap_or(usize::MAX)) {
            edit(run);
        }
    }

    /// All runs in order of arrival.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Tokens produced so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        let runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.iter().map(|run| run.versions.len() as u64).sum()
    }
}

/// Text of one token: run number, index, and whether it is the last.
#[must_use]
pub fn token(run: u64, index: u32, last: bool) -> String {
    format!("{run}.{index}{}", if last { '!' } else { ' ' })
}

/// Tokens of a text as (run, index); `None` unless the text is a whole answer.
#[must_use]
pub fn tokens(text: &str) -> Option<Vec<(u64, u32)>> {
    let body = text.strip_suffix('!')?;
    let tokens: Option<Vec<(u64, u32)>> = body
        .split(' ')
        .map(|token| {
            let (run, index) = token.split_once('.')?;
            Some((run.parse().ok()?, index.parse().ok()?))
        })
        .collect();
    let in_order = |tokens: &Vec<(u64, u32)>| {
        tokens.iter().enumerate().all(|(at, (_, index))| at as u64 == u64::from(*index))
    };
    tokens.filter(in_order)
}

#[cfg(test)]
mod tests {
    use super::{token, tokens};

    /// Guards against a truncated or mixed text that passes for a whole answer.
    #[test]
    fn can_tell_whole_texts() {
        let text = [token(4, 0, false), token(4, 1, false), token(9, 2, true)].concat();
        assert_eq!(tokens(&text), Some(vec![(4, 0), (4, 1), (9, 2)]));
        assert_eq!(tokens("4.0 4.1 "), None);
        assert_eq!(tokens("4.0 4.2!"), None);
    }
}
