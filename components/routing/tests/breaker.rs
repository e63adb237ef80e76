//! Return of a server to full work after failures.

use filbertsail_clock::Instant;
use filbertsail_routing::breaker::{Breaker, State};

/// Consecutive failures that open a breaker.
const FAILURES: usize = 5;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Breaker that was opened at the origin and admitted a probe after a second.
fn probing() -> Breaker {
    let mut breaker = Breaker::default();
    (0..FAILURES).for_each(|_| breaker.record_failure(at(0), 0.0));
    breaker.record_dispatch(at(1_000));
    breaker
}

/// Guards against a server that gets one request at a time until that has ended, although it works.
/// Load: requests to engines last for up to ten seconds.
#[test]
fn can_close_at_the_first_event_of_the_probe() {
    let mut breaker = probing();
    breaker.record_progress(at(900));
    assert!(!breaker.allows_request(at(1_020)), "progress of a request before the probe");
    breaker.record_progress(at(1_000));
    assert_eq!(breaker.state(), State::Closed);
    assert!(breaker.allows_request(at(1_020)));
}

/// Guards against a server that answers and then stalls, and is trusted with full load again each time
/// that it has sent one event.
#[test]
fn can_open_again_soon_and_for_longer_on_probation() {
    let mut breaker = probing();
    breaker.record_progress(at(1_000));
    breaker.record_failure(at(3_000), 0.0);
    assert_eq!(breaker.state(), State::Closed, "one failure may be due to the request");
    breaker.record_failure(at(3_000), 0.0);
    assert_eq!(breaker.state(), State::Open { until: at(5_000) });
    breaker.record_dispatch(at(5_000));
    breaker.record_progress(at(5_000));
    breaker.record_success();
    (1..FAILURES).for_each(|_| breaker.record_failure(at(6_000), 0.0));
    assert_eq!(breaker.state(), State::Closed, "a whole success ends the probation");
    breaker.record_failure(at(6_000), 0.0);
    assert_eq!(breaker.state(), State::Open { until: at(7_000) });
}
