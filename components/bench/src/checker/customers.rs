//! Checks of customer requests.

use std::collections::HashMap;

use filbertsail_api::fault::Verdict;
use filbertsail_standin::engine::record;

use super::{Promise, Records, Violation};
use crate::journal::{Call, History, Outcome};

/// Number of runs of each customer request, by the identifier in its body or prompt.
struct RunCounts {
    services: HashMap<String, u64>,
    prompts: HashMap<String, u64>,
}

impl RunCounts {
    fn from_records(records: &Records) -> Self {
        let mut services = HashMap::new();
        for run in records.services.iter().flat_map(|(_, runs)| runs) {
            *services.entry(run.id.clone()).or_insert(0) += 1;
        }
        let mut prompts = HashMap::new();
        for run in records.engines.iter().filter(|run| !run.token_versions.is_empty()) {
            if let Some(id) = request_id(&run.prompt) {
                *prompts.entry(id.to_owned()).or_insert(0) += 1;
            }
        }
        Self { services, prompts }
    }

    fn for_call(&self, call: &Call) -> u64 {
        let runs = if call.kind.is_model() { &self.prompts } else { &self.services };
        runs.get(&call.id).copied().unwrap_or(0)
    }
}

/// Request identifier at the end of a prompt, as `[id]`.
fn request_id(prompt: &str) -> Option<&str> {
    let start = prompt.rfind('[')? + 1;
    prompt.get(start..prompt.rfind(']')?)
}

pub(super) fn check(history: &History, records: &Records, violations: &mut Vec<Violation>) {
    let runs = RunCounts::from_records(records);
    for call in &history.calls {
        check_runs(call, runs.for_call(call), violations);
        for attempt in &call.attempts {
            if let Outcome::Answer { text, is_complete } = &attempt.outcome
                && let Err(evidence) = check_response(call, text, *is_complete, records)
            {
                violations.push(Violation::new(Promise::WholeAnswers, evidence));
            }
        }
    }
}

fn check_runs(call: &Call, runs: u64, violations: &mut Vec<Violation>) {
    let id = &call.id;
    if call.kind.is_non_idempotent() && runs > 1 {
        let evidence = format!("non-idempotent request {id} ran {runs} times");
        violations.push(Violation::new(Promise::AtMostOnce, evidence));
    }
    // A retry may be refused as not run although an earlier attempt ran.
    let is_not_run = |outcome: &Outcome| {
        matches!(outcome, Outcome::Refused { verdict: Some(Verdict::NotRun), .. })
    };
    let all_not_run = call.attempts.iter().all(|attempt| is_not_run(&attempt.outcome));
    if runs > 0 && all_not_run && !call.attempts.is_empty() {
        let evidence = format!("request {id} was refused as not_run but ran {runs} times");
        violations.push(Violation::new(Promise::NotRun, evidence));
    }
}

fn check_response(
    call: &Call,
    text: &str,
    is_complete: bool,
    records: &Records,
) -> Result<(), String> {
    let id = &call.id;
    if !is_complete {
        return Err(format!("request {id} got an incomplete response"));
    }
    if !call.kind.is_model() {
        return if text == id {
            Ok(())
        } else {
            Err(format!("request {id} got the response to {text}"))
        };
    }
    let tokens = record::parse_tokens(text)
        .ok_or_else(|| format!("request {id} got a text that is not whole tokens"))?;
    for (number, _) in tokens {
        let prompt = records.engine_run(number).map_or("", |run| &run.prompt);
        if request_id(prompt) != Some(id) {
            return Err(format!(
                "request {id} got tokens of run {number}, whose prompt is {prompt}"
            ));
        }
    }
    Ok(())
}
