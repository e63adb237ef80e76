//! The registry of workers.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::HashSet;
use filbertsail_ports::store::{Row, Store};
use filbertsail_routing::pace;
use filbertsail_telemetry::event::Line;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::{Table, Update, WAIT, follow};
use crate::{
    dialect::Dialect,
    fleet::{Change, Entry, LAPSE_GRACE, Transition},
    shared::Shared,
};

/// Delay after an update, so that a burst of changes takes few calls. A worker that shuts down must
/// be noticed within seconds, so the delay does no harm.
const UPDATE_DELAY: Duration = Duration::from_millis(200);
/// Time between two removals of lapsed workers and expired idle connections.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the registry; never returns.
pub async fn workers<D: Dialect, S: Store>(shared: Shared, store: S) {
    let table = Table {
        name: D::WORKER_TABLE,
        parts: vec![String::new()],
        tracks_outages: false,
        busy_delay: UPDATE_DELAY,
        idle_delay: UPDATE_DELAY,
        wait: WAIT,
    };
    let state = shared.clone();
    let feed = follow(shared.clone(), store, table, move |update| apply::<D>(&state, update));
    tokio::join!(feed, remove_expired(shared));
}

fn apply<D: Dialect>(shared: &Shared, update: Update) {
    let known_at = match update {
        Update::Snapshot(rows, sent_at) => {
            let present: HashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
            let removed: Vec<String> = {
                let fleet = shared.fleet();
                fleet.ids().filter(|id| !present.contains(id)).map(str::to_owned).collect()
            };
            for id in removed {
                remove(shared, &id);
            }
            rows.iter().for_each(|row| apply_entry::<D>(shared, row));
            sent_at
        }
        Update::Changes(rows, known_at) if rows.is_empty() => {
            return confirm_entries(shared, known_at);
        }
        Update::Changes(rows, known_at) => {
            for row in &rows {
                match row.value {
                    Some(_) => apply_entry::<D>(shared, row),
                    None => remove(shared, &row.key),
                }
            }
            known_at
        }
    };
    confirm_entries(shared, known_at);
    shared.fleet_changed.send_modify(|count| *count += 1);
}

fn apply_entry<D: Dialect>(shared: &Shared, row: &Row) {
    let Some(value) = &row.value else { return };
    let entry = match D::decode_worker(&row.key, value) {
        Ok(entry) => entry,
        Err(error) => {
            Line::new("worker_row_malformed")
                .with("worker", &row.key)
                .with("row_version", row.version)
                .with("reason", error)
                .warn();
            // The previous entry is no longer valid either.
            return remove(shared, &row.key);
        }
    };
    let change = shared.fleet().apply_entry(entry.clone());
    if change == Change::Outdated {
        return entry_line("worker_entry_outdated", &entry).with("row_version", row.version).info();
    }
    entry_applied(shared, &entry, change, row.version);
}

fn entry_line(name: &'static str, entry: &Entry) -> Line {
    Line::new(name)
        .with("worker", &entry.id)
        .with("started_ms", entry.started_ms.unwrap_or(0))
        .with("sequence", entry.sequence.unwrap_or(0))
}

fn entry_applied(shared: &Shared, entry: &Entry, change: Change, row_version: u64) {
    if matches!(change, Change::Added | Change::Restarted) {
        shared.pool.close_idle(entry.address);
        // The workers of the first snapshot are new to this VM only.
        if *shared.fleet_changed.borrow() > 0 {
            begin_ramp(shared, &entry.id, change);
        }
    }
    log_change(change, &entry.id, &entry.service, row_version);
}

/// Applies outdated entries that must be current, since they stayed registered.
fn confirm_entries(shared: &Shared, known_at: Instant) {
    let link = *shared.link.borrow();
    let (None, Some(steady_since)) = (link.lost, link.regained) else { return };
    let confirmed = shared.fleet().confirm_entries(steady_since, known_at);
    for (entry, change) in &confirmed {
        entry_line("worker_entry_confirmed", entry).info();
        entry_applied(shared, entry, *change, 0);
    }
    if !confirmed.is_empty() {
        shared.fleet_changed.send_modify(|count| *count += 1);
    }
}

fn begin_ramp(shared: &Shared, id: &str, change: Change) {
    let cause = match change {
        Change::Restarted => pace::Cause::Restarted,
        _ => pace::Cause::Added,
    };
    let (now, mut fleet) = (shared.now(), shared.fleet());
    if let Some(key) = fleet.key(id) {
        fleet.begin_ramp(key, cause, now, rand::random());
    }
}

fn remove(shared: &Shared, id: &str) {
    let now = shared.now();
    let grace = shared.link.borrow().may_have_lapsed(now);
    let address = {
        let fleet = shared.fleet();
        fleet.key(id).and_then(|key| fleet.get(key)).map(|worker| worker.entry.address)
    };
    let change = shared.fleet().remove_entry(id, grace, now);
    if let (Change::Removed, Some(address)) = (change, address) {
        shared.pool.close_idle(address);
    }
    log_change(change, id, "", 0);
}

fn log_change(change: Change, id: &str, service: &str, row_version: u64) {
    let name = match change {
        Change::Added => "worker_added",
        Change::Restarted => "worker_restarted",
        Change::Draining => "worker_draining",
        Change::Removed => "worker_removed",
        Change::Lapsed => "worker_lapsed",
        Change::Outdated | Change::Unchanged => return,
    };
    Line::new(name)
        .with("worker", id)
        .with("service", service)
        .with("row_version", row_version)
        .info();
}

/// Logs the changes of circuit breakers and the ramps that began or ended, and counts the ramps in
/// progress.
fn report_ramps(shared: &Shared, now: Instant) {
    let (changes, transitions, ramps) = {
        let mut fleet = shared.fleet();
        (fleet.take_circuit_changes(), fleet.take_transitions(now), fleet.ramps(now))
    };
    shared.metrics.set_worker_ramps(ramps);
    for change in changes {
        Line::new("worker_circuit")
            .with("worker", &change.worker)
            .with("state", change.state)
            .with("cause", change.cause)
            .with("age_ms", now.since(change.at).as_millis())
            .info();
    }
    for transition in transitions {
        log_ramp(&transition, now);
    }
}

fn log_ramp(transition: &Transition, now: Instant) {
    let line = Line::new("worker_ramp")
        .with("worker", &transition.worker)
        .with("vms", transition.vms)
        .with("age_ms", now.since(transition.at).as_millis());
    match transition.change {
        pace::Change::Began(cause) => line.with("state", "began").with("cause", cause).info(),
        pace::Change::Ended { cause, took, falls } => line
            .with("state", "ended")
            .with("cause", cause)
            .with("took_ms", took.as_millis())
            .with("falls", falls)
            .info(),
    }
}

/// Time until workers are removed whose entries lapsed; none if that is not known or over.
fn lapses_end(shared: &Shared, now: Instant) -> Option<Duration> {
    let link = *shared.link.borrow();
    let end = link.returned.filter(|_| link.lost.is_none())?.after(LAPSE_GRACE);
    (now < end).then(|| end.since(now))
}

async fn remove_expired(shared: Shared) {
    let mut ticks = interval(EXPIRE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let due = lapses_end(&shared, shared.now());
        let is_tick = tokio::select! {
            _ = ticks.tick() => true,
            () = sleep(due.unwrap_or_default()), if due.is_some() => false,
        };
        let now = shared.now();
        if is_tick {
            shared.pool.close_expired(now);
            report_ramps(&shared, now);
        }
        let link = *shared.link.borrow();
        // During a store outage it is unknown whether a worker still runs.
        let (None, Some(returned)) = (link.lost, link.returned) else { continue };
        let removed = shared.fleet().remove_lapsed(returned, now);
        for id in removed {
            log_change(Change::Removed, &id, "", 0);
            shared.fleet_changed.send_modify(|count| *count += 1);
        }
    }
}
