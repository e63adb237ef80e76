//! Usage reports: counts of each VM, the agreed time, and the reports of the holder.
//!
//! Every VM counts the requests that workers began, proposes an offset of the store's clock to true
//! time, and writes its counts. The holder of the lease agrees on the offset and reports each
//! window once. The decisions are in `filbertsail_usage`.

mod clock;
mod reporter;
pub mod rows;
mod steps;
mod writer;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use filbertsail_clock::Instant;
use filbertsail_ports::{duty::Platform, store::Store};
use filbertsail_telemetry::event::Line;
use filbertsail_usage::{Counter, Window};
use tokio::sync::{Notify, watch};

use clock::Clock;
use reporter::Reporter;
pub use rows::USAGE_TABLE;
use writer::Writer;

use super::{Context, UsageTimes};

#[derive(Debug, Default)]
struct Inner {
    /// Absent while nothing is counted.
    counter: Mutex<Option<Counter>>,
    counted: Notify,
    closed: watch::Sender<bool>,
}

/// Counts of this VM, cheap to clone. Counts nothing unless the settings ask for usage reports.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Inner>);

impl Meter {
    /// Counts a request of `workspace` that a worker began at `now`.
    pub fn record(&self, workspace: Option<&Arc<str>>, now: Instant) {
        let Some(workspace) = workspace else { return };
        if let Some(counter) = self.lock().as_mut() {
            counter.record(workspace, now);
            self.0.counted.notify_one();
        }
    }

    /// Starts to count.
    pub fn enable(&self) {
        self.lock().get_or_insert_default();
    }

    /// States that no further request will be counted, so that the last counts are written.
    pub fn close(&self) {
        self.0.closed.send_replace(true);
    }

    fn lock(&self) -> MutexGuard<'_, Option<Counter>> {
        self.0.counter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the counter to `action`; nothing if nothing is counted.
    fn with<T>(&self, action: impl FnOnce(&mut Counter) -> T) -> Option<T> {
        self.lock().as_mut().map(action)
    }
}

/// Counts, writes and reports until the daemon has stopped.
pub async fn run<S: Store, P: Platform>(context: Context<S, P>, times: UsageTimes) {
    let Some(window) = Window::new(times.window) else {
        return Line::new("usage_disabled").with("reason", "window of no length").error();
    };
    context.shared.usage.enable();
    let clock = Clock::new(&context);
    let writer = Writer::new(&context, clock.clone(), window);
    let reporter = Reporter::new(context, clock.clone(), window, times.due);
    let reporter = tokio::spawn(reporter.run());
    tokio::select! {
        () = writer.run() => {}
        () = clock.follow() => {}
    }
    // A panic in the reporter must not affect the daemon.
    let _ = reporter.await;
}
