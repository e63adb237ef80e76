//! Checks of delivered batches.

use std::collections::{HashMap, HashSet};

use filbertsail_api::trainer::{Label, Sample};
use filbertsail_standin::engine::record;

use super::{Promise, Records, Violation};
use crate::journal::{Batch, History, Round};

pub(super) fn check(history: &History, records: &Records, violations: &mut Vec<Violation>) {
    check_delivery(history, violations);
    let mut delivered_as = HashMap::new();
    let rounds: HashMap<_, _> =
        history.rounds.iter().map(|round| ((&*round.trainer, round.step), round)).collect();
    for batch in &history.batches {
        let max_staleness =
            rounds.get(&(&*batch.trainer, batch.step)).map(|round| round.max_staleness);
        for sample in &batch.samples {
            check_sample(batch, sample, max_staleness, records, violations);
            check_run_reuse(sample, &mut delivered_as, violations);
        }
    }
}

/// Weight version of each token, from the engine runs; `None` if the text is not whole tokens.
pub(crate) fn token_versions(text: &str, records: &Records) -> Option<Vec<u64>> {
    let version = |(number, index): (u64, u32)| records.engine_run(number)?.version_at(index);
    record::parse_tokens(text)?.into_iter().map(version).collect()
}

fn check_sample(
    batch: &Batch,
    sample: &Sample,
    max_staleness: Option<u64>,
    records: &Records,
    violations: &mut Vec<Violation>,
) {
    let id = &sample.id;
    let Some(versions) = token_versions(&sample.text, records) else {
        let evidence = format!("sample {id} has a text that is not whole tokens");
        violations.push(Violation::new(Promise::WholeAnswers, evidence));
        return;
    };
    let claimed = expand_labels(&sample.labels, versions.len());
    if claimed.as_deref() != Some(&versions[..]) {
        let evidence = format!(
            "sample {id} has labels {:?}, but its tokens have versions {versions:?}",
            sample.labels
        );
        violations.push(Violation::new(Promise::TrueLabels, evidence));
    }
    let oldest = versions.iter().copied().min().unwrap_or(0);
    let age = batch.trainer_version.saturating_sub(oldest);
    if max_staleness.is_some_and(|max_staleness| age > max_staleness) {
        let evidence =
            format!("sample {id} is {age} versions old, the staleness bound is {max_staleness:?}");
        violations.push(Violation::new(Promise::StalenessBound, evidence));
    }
}

/// Version of each token according to the labels; `None` if a token has no label or several.
fn expand_labels(labels: &[Label], tokens: usize) -> Option<Vec<u64>> {
    let mut claimed = Vec::with_capacity(tokens);
    for label in labels {
        if label.from as usize != claimed.len() || label.to <= label.from {
            return None;
        }
        claimed.resize(label.to as usize, label.version);
    }
    (claimed.len() == tokens).then_some(claimed)
}

/// Checks that each engine run is delivered in one sample only.
fn check_run_reuse<'a>(
    sample: &'a Sample,
    delivered_as: &mut HashMap<u64, &'a str>,
    violations: &mut Vec<Violation>,
) {
    let tokens = record::parse_tokens(&sample.text).unwrap_or_default();
    let runs: HashSet<u64> = tokens.into_iter().map(|(run, _)| run).collect();
    for run in runs {
        if let Some(other) = delivered_as.insert(run, &sample.id)
            && other != sample.id
        {
            let evidence = format!("run {run} was delivered in samples {other} and {}", sample.id);
            violations.push(Violation::new(Promise::ExactlyOnceDelivery, evidence));
        }
    }
}

fn check_delivery(history: &History, violations: &mut Vec<Violation>) {
    let mut delivered: HashMap<(&str, u64), Vec<&Sample>> = HashMap::new();
    for batch in &history.batches {
        let samples = delivered.entry((&batch.trainer, batch.step)).or_default();
        samples.extend(&batch.samples);
    }
    for round in &history.rounds {
        let samples = delivered.get(&(&*round.trainer, round.step));
        if let Err(evidence) = check_round(round, samples.map_or(&[], |samples| samples)) {
            violations.push(Violation::new(Promise::ExactlyOnceDelivery, evidence));
        }
    }
}

fn check_round(round: &Round, samples: &[&Sample]) -> Result<(), String> {
    let Round { trainer, step, .. } = round;
    let expected = u64::from(round.groups) * u64::from(round.group_size);
    let slots: HashSet<_> = samples.iter().map(|sample| (sample.group, sample.slot)).collect();
    let in_range =
        slots.iter().all(|(group, slot)| *group < round.groups && *slot < round.group_size);
    if samples.len() as u64 != expected || slots.len() as u64 != expected || !in_range {
        let (got, distinct) = (samples.len(), slots.len());
        return Err(format!(
            "{trainer}/{step}: {got} samples in {distinct} slots, expected {expected}"
        ));
    }
    Ok(())
}
