//! Checks of graceful shutdowns, leaving workers and configuration.

use std::collections::HashMap;

use filbertsail_clock::Instant;

use super::{MAX_CONFIG_DELAY, MAX_LEAVING_DELAY, Promise, Records, Violation};
use crate::journal::{History, Outcome};

pub(super) fn check(history: &History, records: &Records, violations: &mut Vec<Violation>) {
    check_stops(history, violations);
    check_leaving(history, records, violations);
    check_active_versions(history, violations);
    check_removed_workers(history, records, violations);
}

fn check_stops(history: &History, violations: &mut Vec<Violation>) {
    for stop in &history.stops {
        let Some(exited_at) = stop.exited_at else {
            let evidence = format!("{} did not exit in a graceful shutdown", stop.daemon);
            violations.push(Violation::new(Promise::GracefulStop, evidence));
            continue;
        };
        for call in &history.calls {
            for attempt in &call.attempts {
                let in_flight = attempt.sent_at < exited_at && attempt.ended_at > stop.requested_at;
                if attempt.gateway == stop.daemon
                    && in_flight
                    && let Outcome::NoResponse(cause) = &attempt.outcome
                {
                    let evidence = format!(
                        "request {} was interrupted by the stop of {}: {cause}",
                        call.id, stop.daemon
                    );
                    violations.push(Violation::new(Promise::GracefulStop, evidence));
                }
            }
        }
    }
}

/// Worker and start time of each run.
fn run_starts(records: &Records) -> impl Iterator<Item = (&str, Instant)> {
    let engines = records.engines.iter().map(|run| (&*run.worker, run.arrived_at));
    let services = records
        .services
        .iter()
        .flat_map(|(worker, runs)| runs.iter().map(move |run| (&**worker, run.started_at)));
    engines.chain(services)
}

fn check_leaving(history: &History, records: &Records, violations: &mut Vec<Violation>) {
    for leaving in &history.leaving {
        let from = leaving.started_at.after(MAX_LEAVING_DELAY);
        let to = leaving.ended_at.unwrap_or(records.end);
        let late_runs = run_starts(records)
            .filter(|(worker, at)| *worker == leaving.worker && *at > from && *at < to);
        for (worker, at) in late_runs {
            let delay_ms = at.since(leaving.started_at).as_millis();
            let evidence = format!("{worker} received work {delay_ms} ms after it started leaving");
            violations.push(Violation::new(Promise::LeavingIdle, evidence));
        }
    }
}

fn check_active_versions(history: &History, violations: &mut Vec<Violation>) {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for observed in &history.active_versions {
        let expected = history
            .accepted
            .iter()
            .filter(|accepted| accepted.accepted_at.after(MAX_CONFIG_DELAY) < observed.observed_at)
            .map(|accepted| accepted.version)
            .max()
            .unwrap_or(0);
        let previous = highest.entry(&observed.daemon).or_insert(0);
        let minimum = expected.max(*previous);
        if observed.version < minimum {
            let evidence = format!(
                "{} uses version {} instead of {minimum} or later",
                observed.daemon, observed.version
            );
            violations.push(Violation::new(Promise::ConfigInForce, evidence));
        }
        *previous = (*previous).max(observed.version);
    }
}

/// Finds work at workers that the active configuration no longer lists.
fn check_removed_workers(history: &History, records: &Records, violations: &mut Vec<Violation>) {
    for (index, accepted) in history.accepted.iter().enumerate() {
        let from = accepted.accepted_at.after(MAX_CONFIG_DELAY);
        let next = history.accepted.get(index + 1).map_or(records.end, |next| next.accepted_at);
        for (worker, at) in run_starts(records) {
            let removed = accepted.omitted_workers.iter().any(|name| name == worker);
            if removed && at > from && at < next {
                let evidence = format!(
                    "{worker} received work although version {} removed it",
                    accepted.version
                );
                violations.push(Violation::new(Promise::ConfigInForce, evidence));
            }
        }
    }
}
