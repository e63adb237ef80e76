//! Promises towards customers.

use std::collections::HashMap;

use filbertsail_api::fault::Verdict;
use filbertsail_standin::engine::record;

use super::{Promise, Records, Violation};
use crate::journal::{Call, Outcome, Pages};

/// How often each customer request ran, by the identifier in its body or prompt.
struct Runs {
    services: HashMap<String, u64>,
    prompts: HashMap<String, u64>,
}

impl Runs {
    fn of(records: &Records) -> Self {
        let mut services = HashMap::new();
        for run in records.services.iter().flat_map(|(_, runs)| runs) {
            *services.entry(run.id.clone()).or_insert(0) += 1;
        }
        let mut prompts = HashMap::new();
        for run in records.engines.iter().filter(|run| !run.token_versions.is_empty()) {
            if let Some(id) = id_in(&run.prompt) {
                *prompts.entry(id.to_owned()).or_insert(0) += 1;
            }
        }
        Self { services, prompts }
    }

    fn of_call(&self, call: &Call) -> u64 {
        let runs = if call.kind.is_model() { &self.prompts } else { &self.services };
        runs.get(&call.id).copied().unwrap_or(0)
    }
}

/// Identifier at the end of a prompt, as `[id]`.
fn id_in(prompt: &str) -> Option<&str> {
    let start = prompt.rfind('[')? + 1;
    prompt.get(start..prompt.rfind(']')?)
}

pub(super) fn check(pages: &Pages, records: &Records, found: &mut Vec<Violation>) {
    let runs = Runs::of(records);
    for call in &pages.calls {
        check_runs(call, runs.of_call(call), found);
        for attempt in &call.attempts {
            if let Outcome::Answer { text, done } = &attempt.outcome
                && let Err(evidence) = whole(call, text, *done, records)
            {
                found.push(Violation::new(Promise::WholeAnswers, evidence));
            }
        }
    }
}

fn check_runs(call: &Call, runs: u64, found: &mut Vec<Violation>) {
    let id = &call.id;
    if call.kind.runs_once() && runs > 1 {
        let evidence = format!("{id} ran {runs} times");
        found.push(Violation::new(Promise::AtMostOnce, evidence));
    }
    // A repeat may be refused as not run although an earlier attempt ran.
    let refused = |outcome: &Outcome| {
        matches!(outcome, Outcome::Refused { verdict: Some(Verdict::NotRun), .. })
    };
    let all_refused = call.attempts.iter().all(|attempt| refused(&attempt.outcome));
    if runs > 0 && all_refused && !call.attempts.is_empty() {
        let evidence = format!("{id} refused as not_run ran {runs} times");
        found.push(Violation::new(Promise::NotRun, evidence));
    }
}

fn whole(call: &Call, text: &str, done: bool, records: &Records) -> Result<(), String> {
    let id = &call.id;
    if !done {
        return Err(format!("{id} got an answer without its end"));
    }
    if !call.kind.is_model() {
        return if text == id { Ok(()) } else { Err(format!("{id} got the answer to {text}")) };
    }
    let tokens = record::parse_tokens(text).ok_or_else(|| format!("{id} got a partial text"))?;
    for (number, _) in tokens {
        let prompt = records.engine_run(number).map_or("", |run| &run.prompt);
        if id_in(prompt) != Some(id) {
            return Err(format!("{id} got tokens of run {number}, which is for {prompt}"));
        }
    }
    Ok(())
}
