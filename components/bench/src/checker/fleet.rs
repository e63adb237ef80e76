//! Promises on stops, leaving workers and configuration.

use std::collections::HashMap;

use filbertsail_clock::Instant;

use super::{CONFIG_TARGET, LEAVING_TARGET, Promise, Records, Violation};
use crate::journal::{Outcome, Pages};

pub(super) fn check(pages: &Pages, records: &Records, found: &mut Vec<Violation>) {
    check_stops(pages, found);
    check_leaving(pages, records, found);
    check_in_force(pages, found);
    check_removed(pages, records, found);
}

fn check_stops(pages: &Pages, found: &mut Vec<Violation>) {
    for stop in &pages.stops {
        let Some(to) = stop.to else {
            let evidence = format!("{} did not end", stop.daemon);
            found.push(Violation::new(Promise::GracefulStop, evidence));
            continue;
        };
        for call in &pages.calls {
            for attempt in &call.attempts {
                let in_flight = attempt.from < to && attempt.to > stop.from;
                if attempt.gateway == stop.daemon
                    && in_flight
                    && let Outcome::Broken(cause) = &attempt.outcome
                {
                    let evidence = format!("{} cut by {}: {cause}", call.id, stop.daemon);
                    found.push(Violation::new(Promise::GracefulStop, evidence));
                }
            }
        }
    }
}

/// Start of each run by worker.
fn starts(records: &Records) -> impl Iterator<Item = (&str, Instant)> {
    let engines = records.engines.iter().map(|run| (&*run.worker, run.arrived_at));
    let services = records
        .services
        .iter()
        .flat_map(|(worker, runs)| runs.iter().map(move |run| (&**worker, run.started_at)));
    engines.chain(services)
}

fn check_leaving(pages: &Pages, records: &Records, found: &mut Vec<Violation>) {
    for leaving in &pages.leaving {
        let from = leaving.from.after(LEAVING_TARGET);
        let to = leaving.to.unwrap_or(records.end);
        let late = starts(records)
            .filter(|(worker, at)| *worker == leaving.worker && *at > from && *at < to);
        for (worker, at) in late {
            let after = at.since(leaving.from).as_millis();
            let evidence = format!("{worker} got work {after} ms after it began to leave");
            found.push(Violation::new(Promise::LeavingIdle, evidence));
        }
    }
}

fn check_in_force(pages: &Pages, found: &mut Vec<Violation>) {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for seen in &pages.in_force {
        let due = pages
            .accepted
            .iter()
            .filter(|accepted| accepted.at.after(CONFIG_TARGET) < seen.at)
            .map(|accepted| accepted.version)
            .max()
            .unwrap_or(0);
        let before = highest.entry(&seen.daemon).or_insert(0);
        let least = due.max(*before);
        if seen.version < least {
            let evidence = format!("{} serves {} instead of {least}", seen.daemon, seen.version);
            found.push(Violation::new(Promise::ConfigInForce, evidence));
        }
        *before = (*before).max(seen.version);
    }
}

/// Work at a worker that the configuration in force no longer names.
fn check_removed(pages: &Pages, records: &Records, found: &mut Vec<Violation>) {
    for (index, accepted) in pages.accepted.iter().enumerate() {
        let from = accepted.at.after(CONFIG_TARGET);
        let next = pages.accepted.get(index + 1).map_or(records.end, |next| next.at);
        for (worker, at) in starts(records) {
            let removed = accepted.without.iter().any(|name| name == worker);
            if removed && at > from && at < next {
                let evidence =
                    format!("{worker} got work though version {} ended it", accepted.version);
                found.push(Violation::new(Promise::ConfigInForce, evidence));
            }
        }
    }
}
