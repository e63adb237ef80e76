//! Load estimate of one worker: its last report, corrected by the requests that this gateway has
//! dispatched and completed since.

use std::collections::VecDeque;

use filbertsail_clock::Instant;

use super::Report;

/// Maximum number of events kept between two reports; older ones are assumed to be in the report.
const MAX_EVENTS: usize = 16_384;

/// Load estimate of one worker.
#[derive(Clone, Debug, Default)]
pub struct Load {
    report: Option<Report>,
    events: VecDeque<(Instant, i64)>,
    correction: i64,
    in_flight: u32,
}

impl Load {
    /// Requests of this gateway in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Last load report.
    #[must_use]
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Incarnation of the last report.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        self.report.as_ref().map(|report| report.incarnation)
    }

    /// Estimated requests at the worker: those in the last report, plus those dispatched and minus
    /// those completed since.
    #[must_use]
    pub fn estimated_requests(&self) -> u32 {
        let in_flight = i64::from(self.in_flight);
        let estimated = self.report.as_ref().map_or(in_flight, |report| {
            i64::from(report.running) + i64::from(report.queued) + self.correction
        });
        u32::try_from(estimated.max(in_flight)).unwrap_or(u32::MAX)
    }

    /// Running and queued requests in the last report; those in flight if there is none.
    #[must_use]
    pub fn reported_requests(&self) -> u32 {
        self.report
            .as_ref()
            .map_or(self.in_flight, |report| report.running.saturating_add(report.queued))
    }

    pub(super) fn record_dispatch(&mut self, now: Instant) {
        self.in_flight += 1;
        self.add_event(now, 1);
    }

    pub(super) fn record_completion(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.add_event(now, -1);
    }

    /// Whether `report` is older than the last one. An incarnation may have a lower number than the one
    /// before, if the wall clock of its VM was set back.
    pub(super) fn is_outdated(&self, report: &Report) -> bool {
        self.report.as_ref().is_some_and(|last| {
            report.incarnation <= last.incarnation && report.measured_at < last.measured_at
        })
    }

    /// Records a report that is not outdated.
    pub(super) fn record_report(&mut self, report: Report) {
        while self.events.front().is_some_and(|&(time, _)| time <= report.measured_at) {
            self.remove_oldest_event();
        }
        self.report = Some(report);
    }

    fn add_event(&mut self, now: Instant, change: i64) {
        self.events.push_back((now, change));
        self.correction += change;
        if self.events.len() > MAX_EVENTS {
            self.remove_oldest_event();
        }
    }

    fn remove_oldest_event(&mut self) {
        if let Some((_, change)) = self.events.pop_front() {
            self.correction -= change;
        }
    }
}
