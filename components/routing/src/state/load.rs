//! Load of one worker: its last report, corrected by what this gateway has done since.

use std::collections::VecDeque;

use filbertsail_clock::Instant;

use super::Report;

/// Most events remembered between two reports; older ones count as covered by the report.
const MAX_EVENTS: usize = 16_384;

/// Load of one worker.
#[derive(Clone, Debug, Default)]
pub struct Load {
    report: Option<Report>,
    events: VecDeque<(Instant, i64)>,
    correction: i64,
    in_flight: u32,
}

impl Load {
    /// Requests of this gateway under way.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Last report.
    #[must_use]
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Incarnation of the last report.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        self.report.as_ref().map(|report| report.incarnation)
    }

    /// Requests at the worker now: the report plus what was sent, less what finished since.
    #[must_use]
    pub fn expected(&self) -> u32 {
        let own = i64::from(self.in_flight);
        let reported = self.report.as_ref().map_or(own, |report| {
            i64::from(report.running) + i64::from(report.queued) + self.correction
        });
        u32::try_from(reported.max(own)).unwrap_or(u32::MAX)
    }

    /// Requests that the worker reported, without correction.
    #[must_use]
    pub fn reported_requests(&self) -> u32 {
        self.report
            .as_ref()
            .map_or(self.in_flight, |report| report.running.saturating_add(report.queued))
    }

    pub(super) fn sent(&mut self, now: Instant) {
        self.in_flight += 1;
        self.push(now, 1);
    }

    pub(super) fn finished(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.push(now, -1);
    }

    pub(super) fn reported(&mut self, report: Report) {
        if self.report.as_ref().is_some_and(|old| {
            old.incarnation == report.incarnation && old.taken_at > report.taken_at
        }) {
            return;
        }
        while self.events.front().is_some_and(|&(at, _)| at <= report.taken_at) {
            self.pop();
        }
        self.report = Some(report);
    }

    fn push(&mut self, now: Instant, change: i64) {
        self.events.push_back((now, change));
        self.correction += change;
        if self.events.len() > MAX_EVENTS {
            self.pop();
        }
    }

    fn pop(&mut self) {
        if let Some((_, change)) = self.events.pop_front() {
            self.correction -= change;
        }
    }
}
