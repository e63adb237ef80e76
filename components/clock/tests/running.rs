//! Time limits of a process that is frozen for a while.

use std::{future::pending, time::Duration};

use filbertsail_clock::running::{self, Elapsed, Limit};
use tokio::time::{Instant, advance, sleep};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Freezes the process after `delay`: all timers that end within `time` fire at its end.
fn freeze_after(delay: Duration, time: Duration) {
    tokio::spawn(async move {
        sleep(delay).await;
        advance(time).await;
    });
}

/// Guards against peers that count as silent after a freeze, before the bytes are read that they sent
/// meanwhile. The bytes here take 50 ms of running time to be read.
#[tokio::test(start_paused = true)]
async fn can_read_what_arrived_during_a_freeze() {
    for frozen in [ms(1_600), ms(1_800), ms(4_000)] {
        freeze_after(ms(300), frozen);
        let answer = async {
            sleep(ms(250)).await;
            sleep(frozen + ms(100)).await;
            "answer"
        };
        assert_eq!(running::timeout(ms(1_600), answer).await, Ok("answer"), "{frozen:?}");
    }
    freeze_after(ms(300), ms(4_000));
    let answer = async {
        sleep(ms(4_350)).await;
        "answer"
    };
    assert_eq!(running::deadline(ms(400), answer).await, Ok("answer"));
}

/// Guards against a silent peer that is never given up.
#[tokio::test(start_paused = true)]
async fn can_end_in_time_without_a_freeze() {
    let started = Instant::now();
    let result = running::timeout(ms(1_600), pending::<()>()).await;
    assert_eq!(result, Err(Elapsed { was_frozen: false }));
    assert!(started.elapsed() <= ms(1_610), "{:?}", started.elapsed());
    let started = Instant::now();
    let result = running::deadline(ms(400), pending::<()>()).await;
    assert_eq!(result, Err(Elapsed { was_frozen: false }));
    assert!(started.elapsed() <= ms(410), "{:?}", started.elapsed());
}

/// Guards against a limit that starts anew with each freeze, and against one that a peer extends by
/// sending bytes now and then.
#[tokio::test(start_paused = true)]
async fn can_count_running_time_across_waits() {
    let mut limit = Limit::new(ms(1_600));
    for _ in 0..3 {
        assert_eq!(limit.run(sleep(ms(500))).await, Ok(()));
    }
    assert_eq!(limit.run(sleep(ms(500))).await, Err(Elapsed { was_frozen: false }));

    let started = Instant::now();
    for delay in [300, 3_300, 6_300, 9_300, 12_300] {
        freeze_after(ms(delay), ms(2_000));
    }
    let result = running::timeout(ms(1_600), pending::<()>()).await;
    assert_eq!(result, Err(Elapsed { was_frozen: true }));
    assert!(started.elapsed() <= ms(10_000), "{:?}", started.elapsed());
}
