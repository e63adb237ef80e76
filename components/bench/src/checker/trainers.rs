//! Promises towards trainers.

use std::collections::{HashMap, HashSet};

use filbertsail_api::trainer::{Label, Sample};
use filbertsail_standin::engine::record;

use super::{Promise, Records, Violation};
use crate::journal::{Batch, Pages, Round};

pub(super) fn check(pages: &Pages, records: &Records, found: &mut Vec<Violation>) {
    check_delivery(pages, found);
    let mut used = HashMap::new();
    let rounds: HashMap<_, _> =
        pages.rounds.iter().map(|round| ((&*round.trainer, round.step), round)).collect();
    for batch in &pages.batches {
        let bound = rounds.get(&(&*batch.trainer, batch.step)).map(|round| round.bound);
        for sample in &batch.samples {
            check_sample(batch, sample, bound, records, found);
            check_use(sample, &mut used, found);
        }
    }
}

/// Versions that made each token, from the engines' record; `None` if the text is not whole.
pub(crate) fn versions(text: &str, records: &Records) -> Option<Vec<u64>> {
    let version = |(number, index): (u64, u32)| records.engine_run(number)?.version_at(index);
    record::parse_tokens(text)?.into_iter().map(version).collect()
}

fn check_sample(
    batch: &Batch,
    sample: &Sample,
    bound: Option<u64>,
    records: &Records,
    found: &mut Vec<Violation>,
) {
    let id = &sample.id;
    let Some(versions) = versions(&sample.text, records) else {
        let evidence = format!("{id} has a partial text");
        found.push(Violation::new(Promise::WholeAnswers, evidence));
        return;
    };
    let claimed = spread(&sample.labels, versions.len());
    if claimed.as_deref() != Some(&versions[..]) {
        let evidence = format!("{id} claims {:?}, made by {versions:?}", sample.labels);
        found.push(Violation::new(Promise::TrueLabels, evidence));
    }
    let oldest = versions.iter().copied().min().unwrap_or(0);
    let age = batch.version.saturating_sub(oldest);
    if bound.is_some_and(|bound| age > bound) {
        let evidence = format!("{id} is {age} versions old, allowed are {bound:?}");
        found.push(Violation::new(Promise::StalenessBound, evidence));
    }
}

/// Version of each token as the labels claim; `None` if they leave out or repeat one.
fn spread(labels: &[Label], tokens: usize) -> Option<Vec<u64>> {
    let mut claimed = Vec::with_capacity(tokens);
    for label in labels {
        if label.from as usize != claimed.len() || label.to <= label.from {
            return None;
        }
        claimed.resize(label.to as usize, label.version);
    }
    (claimed.len() == tokens).then_some(claimed)
}

/// A run of an engine must end up in one sample only.
fn check_use<'a>(sample: &'a Sample, used: &mut HashMap<u64, &'a str>, found: &mut Vec<Violation>) {
    let tokens = record::parse_tokens(&sample.text).unwrap_or_default();
    let runs: HashSet<u64> = tokens.into_iter().map(|(run, _)| run).collect();
    for run in runs {
        if let Some(other) = used.insert(run, &sample.id)
            && other != sample.id
        {
            let evidence = format!("run {run} was delivered as {other} and {}", sample.id);
            found.push(Violation::new(Promise::ExactlyOnceDelivery, evidence));
        }
    }
}

fn check_delivery(pages: &Pages, found: &mut Vec<Violation>) {
    let mut delivered: HashMap<(&str, u64), Vec<&Sample>> = HashMap::new();
    for batch in &pages.batches {
        let samples = delivered.entry((&batch.trainer, batch.step)).or_default();
        samples.extend(&batch.samples);
    }
    for round in &pages.rounds {
        let samples = delivered.get(&(&*round.trainer, round.step));
        if let Err(evidence) = exactly_once(round, samples.map_or(&[], |samples| samples)) {
            found.push(Violation::new(Promise::ExactlyOnceDelivery, evidence));
        }
    }
}

fn exactly_once(round: &Round, samples: &[&Sample]) -> Result<(), String> {
    let Round { trainer, step, .. } = round;
    let wanted = u64::from(round.groups) * u64::from(round.group_size);
    let slots: HashSet<_> = samples.iter().map(|sample| (sample.group, sample.slot)).collect();
    let in_range =
        slots.iter().all(|(group, slot)| *group < round.groups && *slot < round.group_size);
    if samples.len() as u64 != wanted || slots.len() as u64 != wanted || !in_range {
        let (got, distinct) = (samples.len(), slots.len());
        return Err(format!("{trainer}/{step}: {got} samples, {distinct} distinct, of {wanted}"));
    }
    Ok(())
}
