//! Requests that arrive while a VM stops.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_entry::stop::{Durations, Expectation, Schedule};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that may not be repeated and are taken although they may still run when the
/// process exits, and against refusing those that end before.
#[test]
fn can_take_only_requests_that_can_be_answered() {
    let schedule = Schedule::new(at(0), ms(8_000));
    assert_eq!((schedule.closes_at, schedule.answers_by), (at(2_600), at(7_200)));
    let once = Expectation { may_repeat: false, deadline: at(7_200), usual: Some(ms(100)) };
    assert!(schedule.admits(once, at(2_000)));
    let once = Expectation { deadline: at(7_201), ..once };
    assert!(!schedule.admits(once, at(2_000)), "it may run when the process exits");
    let safe = Expectation { may_repeat: true, ..once };
    assert!(schedule.admits(safe, at(2_000)));
    assert!(schedule.admits(Expectation { usual: None, ..safe }, at(2_000)));
    let long = Expectation { usual: Some(ms(5_300)), ..safe };
    assert!(!schedule.admits(long, at(2_000)), "it usually takes longer than what is left");
    assert!(schedule.admits(long, at(1_900)));
    assert!(!schedule.admits(Expectation { deadline: at(7_000), ..safe }, at(7_200)));
}

/// Guards against a short grace time that is over before the port is closed or requests are answered.
#[test]
fn can_stop_within_any_grace_time() {
    for limit in [500, 1_000, 3_000, 8_000, 60_000] {
        let schedule = Schedule::new(at(1_000), ms(limit));
        assert!(schedule.closes_at < schedule.answers_by, "{limit}: {schedule:?}");
        assert!(schedule.answers_by < schedule.exits_at, "{limit}: {schedule:?}");
        assert!(schedule.exits_at < at(1_000 + limit), "{limit}: {schedule:?}");
        // Work in the first five sixths of the grace is not broken off.
        let earliest = 1_000 + limit * 5 / 6;
        assert!(limit < 1_000 || schedule.exits_at >= at(earliest), "{limit}: {schedule:?}");
    }
}

/// Guards against a usual duration that one short request makes small, and one that never shrinks.
#[test]
fn can_estimate_the_usual_duration() {
    let durations = Durations::default();
    assert_eq!(durations.usual("r"), None);
    durations.record("r", ms(4_000));
    durations.record("r", ms(100));
    assert!(durations.usual("r") > Some(ms(3_900)));
    (0..500).for_each(|_| durations.record("r", ms(100)));
    assert_eq!(durations.usual("r"), Some(ms(100)));
}
