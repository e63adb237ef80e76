//! Tokens of a completion received so far, each checked on arrival.

use filbertsail_api::engine::{Event, Finish, Label, Resume};

use super::Output;
use crate::backend::{Failure, Kind};

/// Tokens received over all attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    tokens: u32,
    text: String,
    labels: Vec<Label>,
}

impl Progress {
    pub(super) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// State to resume from; `None` before the first token.
    pub(super) fn resume(&self) -> Option<Resume> {
        (self.tokens > 0).then(|| Resume {
            tokens: self.tokens,
            text: self.text.clone(),
            labels: self.labels.clone(),
        })
    }

    /// Appends the next token of the stream `id`.
    pub(super) fn push(&mut self, id: &str, event: &Event) -> Result<(), Failure> {
        check_id(id, &event.request_id)?;
        if event.index != self.tokens {
            let message = format!("token {} in place of {}", event.index, self.tokens);
            return Err(Failure::may_have_run(Kind::Mismatched, message));
        }
        self.text.push_str(&event.text);
        self.tokens += 1;
        match self.labels.last_mut() {
            Some(label) if label.version == event.weight_version => label.to = self.tokens,
            _ => self.labels.push(Label {
                version: event.weight_version,
                from: event.index,
                to: self.tokens,
            }),
        }
        Ok(())
    }

    /// Checks the finish event of the stream `id`, which started at token `from`.
    pub(super) fn check_finish(&self, id: &str, from: u32, finish: &Finish) -> Result<(), Failure> {
        check_id(id, &finish.request_id)?;
        if finish.tokens != self.tokens {
            let message = format!("{} tokens stated, {} received", finish.tokens, self.tokens);
            return Err(Failure::may_have_run(Kind::Truncated, message));
        }
        if finish.reason == "cancelled" {
            return Err(Failure::may_have_run(Kind::Truncated, "cancelled by the engine"));
        }
        self.check_labels(from, &finish.labels)
    }

    /// Checks that the stated labels cover the stream without gaps and match the tokens' versions.
    fn check_labels(&self, from: u32, stated: &[Label]) -> Result<(), Failure> {
        let mut next = stated.first().map_or(self.tokens, |label| label.from);
        let mut valid = next <= from;
        for label in stated {
            valid &= label.from == next && label.to >= label.from;
            valid &= self.matches_versions(label);
            next = label.to;
        }
        if valid && next == self.tokens {
            return Ok(());
        }
        Err(Failure::may_have_run(Kind::Mismatched, "labels contradict the tokens"))
    }

    fn matches_versions(&self, stated: &Label) -> bool {
        self.labels
            .iter()
            .filter(|received| received.from < stated.to && stated.from < received.to)
            .all(|received| received.version == stated.version)
    }

    pub(super) fn into_output(self, worker: String, reason: String) -> Output {
        let Self { tokens, text, labels } = self;
        Output { worker, text, tokens, labels, reason }
    }
}

fn check_id(expected: &str, found: &str) -> Result<(), Failure> {
    if found == expected {
        return Ok(());
    }
    Err(Failure::may_have_run(Kind::Mismatched, format!("answer of request {found}")))
}

#[cfg(test)]
mod tests {
    use filbertsail_api::engine::{Event, Finish, Label};

    use super::Progress;

    fn event(index: u32, weight_version: u64) -> Event {
        Event { request_id: "r".to_owned(), index, text: "t".to_owned(), weight_version }
    }

    fn finish(tokens: u32, labels: &[(u64, u32, u32)]) -> Finish {
        let labels =
            labels.iter().map(|&(version, from, to)| Label { version, from, to }).collect();
        let (request_id, reason) = ("r".to_owned(), "stop".to_owned());
        Finish { request_id, done: true, tokens, labels, text: None, reason }
    }

    /// Guards against accepting repeated, missing or foreign tokens, or labels that omit a version.
    #[test]
    fn can_reject_invalid_tokens_and_labels() {
        let mut progress = Progress::default();
        progress.push("r", &event(0, 3)).expect("first");
        progress.push("r", &event(1, 4)).expect("second");
        assert!(progress.push("r", &event(1, 4)).is_err());
        assert!(progress.push("r", &event(3, 4)).is_err());
        assert!(progress.push("other", &event(2, 4)).is_err());
        assert!(progress.check_finish("r", 0, &finish(2, &[(3, 0, 1), (4, 1, 2)])).is_ok());
        assert!(progress.check_finish("r", 1, &finish(2, &[(4, 1, 2)])).is_ok());
        assert!(progress.check_finish("r", 0, &finish(2, &[(4, 1, 2)])).is_err());
        assert!(progress.check_finish("r", 0, &finish(2, &[(3, 0, 2)])).is_err());
        assert!(progress.check_finish("r", 0, &finish(2, &[])).is_err());
        assert!(progress.check_finish("r", 0, &finish(3, &[(3, 0, 1), (4, 1, 2)])).is_err());
    }
}
