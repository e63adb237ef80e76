//! What a process knows of the clock of another one.

use std::time::Duration;

use filbertsail_clock::{
    Boot, Instant, Source,
    remote::{Change, Clock, Reading},
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Answer that states `ms` to a request sent at `sent`, read at `received`.
fn reading(ms: u64, sent: u64, received: u64) -> Reading {
    Reading { ms, sent_at: at(sent), received_at: at(received) }
}

/// The remote clock shows 100,000 ms more than the local one in these tests.
const AHEAD_MS: u64 = 100_000;

/// Answer made at local time `made`.
fn answer(made: u64, sent: u64, received: u64) -> Reading {
    reading(AHEAD_MS + made, sent, received)
}

fn truth(now: u64) -> i64 {
    i64::try_from(AHEAD_MS + now).expect("small")
}

/// Guards against a clock that goes back by the length of a freeze, whatever it is, because an answer
/// of before the freeze is read after it.
#[test]
fn can_ignore_the_delay_of_an_answer_that_waited() {
    for frozen in [200, 3_500, 60_000, 3_600_000, 86_400_000] {
        let mut clock = Clock::default();
        clock.record(answer(1_003, 1_000, 1_006));
        clock.record(answer(2_000, 1_006, 2_002));
        let woken = 2_500 + frozen;
        assert_eq!(clock.record(answer(2_600, 2_002, woken)), Change::Consistent, "{frozen}");
        let error = i64::try_from(frozen).expect("small") / 1_000 + 10;
        let (earliest, latest) = (clock.earliest_ms(at(woken)), clock.latest_ms(at(woken)));
        assert!(earliest.is_some_and(|ms| ms <= truth(woken) && ms >= truth(woken) - error));
        assert!(latest.is_some_and(|ms| ms >= truth(woken) && ms <= truth(woken) + error));
        assert!(clock.ms(at(woken)).is_some_and(|ms| (ms - truth(woken)).abs() <= 10));
    }
}

/// Guards against bounds that exclude the true time while the first answer of a process is late, and
/// against ones that stay loose afterwards.
#[test]
fn can_bound_the_clock_after_a_late_first_answer() {
    let mut clock = Clock::default();
    assert_eq!((clock.ms(at(0)), clock.latest_ms(at(0))), (None, None));
    clock.record(answer(1_002, 1_000, 5_000));
    assert_eq!(clock.earliest_ms(at(5_000)), Some(truth(1_002)));
    assert!(clock.latest_ms(at(5_000)).is_some_and(|ms| ms >= truth(5_000) && ms < truth(5_010)));
    clock.record(answer(5_004, 5_000, 5_008));
    assert_eq!(clock.earliest_ms(at(5_008)), Some(truth(5_004)));
    assert!(clock.latest_ms(at(5_008)).is_some_and(|ms| ms >= truth(5_008) && ms < truth(5_020)));
}

/// Guards against a clock that follows the delays of a loaded process, in either direction and with
/// answers that are recorded out of order.
#[test]
fn can_use_the_fastest_answers_of_a_loaded_process() {
    let mut clock = Clock::default();
    clock.record(answer(1_002, 1_000, 1_004));
    let mut now = 1_004;
    for (before, after) in [(5, 800), (700, 100), (450, 450), (0, 890)].repeat(10) {
        let (sent, made) = (now, now + before);
        now = made + after;
        assert_eq!(clock.record(answer(made, sent, now)), Change::Consistent);
        assert_eq!(clock.record(answer(made - before, sent, now + 3)), Change::Consistent);
    }
    assert!(clock.ms(at(now)).is_some_and(|ms| (ms - truth(now)).abs() <= 110), "{clock:?}");
    assert!(clock.earliest_ms(at(now)).is_some_and(|ms| ms <= truth(now)));
    assert!(clock.latest_ms(at(now)).is_some_and(|ms| ms >= truth(now) && ms <= truth(now) + 50));
}

/// Guards against windows of usage that are shifted because the fastest answer is not preferred.
#[test]
fn can_tell_the_time_of_before_the_fastest_answer() {
    let mut clock = Clock::default();
    clock.record(reading(10_000, 998, 1_002));
    clock.record(reading(11_000, 1_002, 2_402));
    assert_eq!(clock.ms(at(2_402)), Some(11_400));
    assert_eq!(clock.ms(at(902)), Some(9_900), "before the reading");
}

/// Guards against a clock that keeps the time of before a restart, against a restart that is counted
/// for a late answer, and against one that is counted twice since answers of before it are still on
/// their way.
#[test]
fn can_notice_a_restart_at_once() {
    let mut clock = Clock::default();
    clock.record(reading(60_000, 990, 1_000));
    // Read 5 s late after a suspension.
    assert_eq!(clock.record(reading(61_000, 1_000, 7_000)), Change::Consistent);
    assert_eq!(clock.ms(at(7_000)), Some(66_000));
    assert_eq!(clock.record(reading(66_010, 7_000, 7_010)), Change::Consistent);
    assert_eq!(clock.restarts(), 0);
    let step = clock.record(reading(100, 8_990, 9_000));
    assert!(matches!(step, Change::Stepped(ms) if ms < -67_000), "{step:?}");
    assert_eq!((clock.restarts(), clock.ms(at(9_300))), (1, Some(400)));
    assert_eq!(clock.record(reading(67_900, 8_000, 9_001)), Change::Outdated);
    assert_eq!(clock.record(reading(400, 9_290, 9_300)), Change::Consistent);
    assert_eq!((clock.restarts(), clock.ms(at(9_300))), (1, Some(400)));
}

/// Guards against a restart that is counted for a step of the clock, and against a step that is not
/// followed.
#[test]
fn can_follow_a_step_of_the_clock() {
    let mut clock = Clock::default();
    clock.record(reading(50_000, 990, 1_000));
    for (ms, expected) in [(51_700, 700), (50_200, -800)] {
        let step = clock.record(reading(ms, 1_995, 2_000));
        assert!(matches!(step, Change::Stepped(by) if (by - expected).abs() < 200), "{step:?}");
        assert_eq!(clock.ms(at(2_000)), i64::try_from(ms).ok());
        clock = Clock::default();
        clock.record(reading(50_000, 990, 1_000));
    }
    assert_eq!(clock.restarts(), 0);
}

/// Guards against overflow on whatever an answer states.
#[test]
fn can_bear_the_largest_numbers() {
    let mut clock = Clock::default();
    for ms in [u64::MAX, 0, u64::MAX, 1] {
        let now = Instant::from_micros(u64::MAX);
        clock.record(Reading { ms, sent_at: Instant::default(), received_at: now });
        assert!(clock.earliest_ms(now) <= clock.latest_ms(now));
    }
}

/// Guards against ages that end at the start of the VM: a VM that has just started takes over what is
/// older than itself.
#[test]
fn can_state_times_of_before_the_boot() {
    let now = Boot.now();
    let age = Duration::from_secs(365 * 24 * 3_600);
    assert_eq!(now.since(now.before(age)), age);
}
