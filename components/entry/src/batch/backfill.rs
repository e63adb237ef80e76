//! Items that wait for an engine in one round of dispatch.
//!
//! Load pattern: more items wait than engines have room for, and sizes differ by a factor of ten.
//! An item that finds no engine does not keep back smaller ones behind it; see [`Reservation`] for
//! why these do not keep it back for good.

use std::time::Duration;

use filbertsail_clock::Instant;

use super::{
    execution::{Execution, Phase},
    plan::{self, Scope},
};
use crate::fleet::{Fleet, Reservation, Room, Run};

/// Items that found no engine, with the engines that are reserved for them.
#[derive(Debug, Default)]
pub struct Shortage {
    blocked: Vec<Blocked>,
    reservations: Vec<Reservation>,
}

/// Items of one model and oldest allowed version that found no engine of a service. Other models
/// may find one, since engines load versions of one model at a time.
#[derive(Debug)]
struct Blocked {
    service: String,
    model: String,
    min_version: u64,
    room: Room,
}

impl Shortage {
    /// Whether an item may find an engine of `service` in this round.
    #[must_use]
    pub fn allows(&self, execution: &Execution, item: usize, service: &str) -> bool {
        let is_blocked = |blocked: &&Blocked| blocked.concerns(execution, service);
        self.blocked.iter().find(is_blocked).is_none_or(|blocked| {
            let tokens = plan::expected_size(execution, item);
            blocked.room.may_fit(tokens, plan::remaining_events(execution, item))
        })
    }

    /// Engines reserved so far.
    #[must_use]
    pub fn reservations(&self) -> &[Reservation] {
        &self.reservations
    }

    /// Records that an item found no engine. The first one of its model and version gets a
    /// reservation, which is returned; `runs` returns the running items.
    pub fn record(
        &mut self,
        execution: &Execution,
        item: usize,
        scope: &Scope<'_>,
        fleet: &Fleet,
        runs: impl FnOnce() -> Vec<Run>,
        now: Instant,
    ) -> Option<Reservation> {
        let kv_tokens = scope.engine.kv_tokens;
        let known = self.blocked.iter().position(|it| it.concerns(execution, scope.service));
        let reservation = match known {
            Some(_) => None,
            None => {
                let scope = Scope { reservations: &self.reservations, ..*scope };
                let requirements = plan::requirements(execution, item, &scope);
                fleet.reserve(&requirements, kv_tokens, &runs(), now)
            }
        };
        self.reservations.extend(reservation);
        let scope = Scope { reservations: &self.reservations, ..*scope };
        let requirements = plan::requirements(execution, item, &scope);
        let room = fleet.room(&requirements, kv_tokens, now);
        match known {
            Some(index) => self.blocked[index].room = room,
            None => self.blocked.push(Blocked {
                service: scope.service.to_owned(),
                model: execution.submission.model.clone(),
                min_version: execution.submission.min_version,
                room,
            }),
        }
        reservation
    }
}

impl Blocked {
    fn concerns(&self, execution: &Execution, service: &str) -> bool {
        let submission = &execution.submission;
        (self.service.as_str(), self.model.as_str(), self.min_version)
            == (service, submission.model.as_str(), submission.min_version)
    }
}

/// Running items of `executions` with their expected ends.
#[must_use]
pub fn runs<'a>(
    executions: impl Iterator<Item = &'a Execution>,
    fleet: &Fleet,
    now: Instant,
) -> Vec<Run> {
    let mut runs = Vec::new();
    for execution in executions {
        for (item, state) in execution.states.iter().enumerate() {
            let Phase::Running(assignment) = &state.phase else { continue };
            let remaining_events = plan::remaining_events(execution, item);
            for run in [Some(assignment), assignment.successor.as_deref()].into_iter().flatten() {
                let interval_ms = fleet.expected_interval_ms(run.worker, 0, now);
                let left = Duration::from_secs_f64(remaining_events * interval_ms / 1_000.0);
                runs.push(Run { worker: run.worker, tokens: run.tokens, ends_at: now.after(left) });
            }
        }
    }
    runs
}
