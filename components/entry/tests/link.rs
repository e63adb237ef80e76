//! Times by the store's clock, and the responses from which a VM knows it.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::{Instant, remote::Reading};
use filbertsail_entry::{
    follow::{self, Table, Update},
    shared::{Identity, Link, Shared, Times},
    timed::Timed,
};
use filbertsail_ports::store::{Commit, Fault, Page, Range, Row, Store, Transaction};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

/// The store's clock shows this much more than the local one in these tests.
const AHEAD_MS: u64 = 50_000;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Records a response that was made at `made`, to a call sent at `sent`, and read at `received`.
fn record(link: &mut Link, made: u64, sent: u64, received: u64) {
    let reading = Reading { ms: AHEAD_MS + made, sent_at: at(sent), received_at: at(received) };
    link.clock.record(reading);
}

/// Guards against items that are given up before or long after their time limit, whoever accepts their
/// batch and whoever runs it: a VM that was frozen for any time, one whose first response was late, and
/// one with a loaded store.
#[test]
fn can_count_time_limits_from_the_submission() {
    let max_queue = Duration::from_secs(10);
    let calm = |link: &mut Link, now: u64| {
        record(link, now - 900, now - 1_010, now - 895);
        record(link, now - 3, now - 5, now);
    };
    let woken = |frozen: u64| {
        move |link: &mut Link, now: u64| {
            calm(link, now - frozen - 100);
            record(link, now - frozen, now - frozen - 100, now);
        }
    };
    let loaded = |link: &mut Link, now: u64| {
        for (sent, made) in [(3_600, 2_800), (2_700, 2_600), (1_800, 1_790), (890, 100)] {
            record(link, now - made, now - sent, now - sent + 890);
        }
    };
    let late_start = |link: &mut Link, now: u64| {
        record(link, now - 4_000, now - 4_005, now - 10);
        record(link, now - 8, now - 10, now);
    };
    type Vm<'a> = (&'a str, &'a dyn Fn(&mut Link, u64));
    let frozen: Vec<_> = [500, 3_500, 60_000, 600_000].map(woken).into();
    let mut vms: Vec<Vm<'_>> =
        vec![("calm", &calm), ("loaded", &loaded), ("late start", &late_start)];
    vms.extend(frozen.iter().map(|vm| ("frozen", vm as &dyn Fn(&mut Link, u64))));
    let submitted = 1_000_000;
    for (acceptor, prepare_acceptor) in &vms {
        let mut link = Link::default();
        prepare_acceptor(&mut link, submitted);
        let accepted_ms = link.stamp_ms(at(submitted));
        for (owner, prepare_owner) in &vms {
            for adopted in [submitted + 10, submitted + 7_000] {
                let mut link = Link::default();
                prepare_owner(&mut link, adopted);
                let now = at(adopted);
                let accepted_at = now.before(link.age(accepted_ms, now));
                let early = at(submitted).since(accepted_at);
                let late = accepted_at.since(at(submitted));
                assert_eq!(early, Duration::ZERO, "accepted by {acceptor}, run by {owner}");
                assert!(late < max_queue / 5, "{late:?}: accepted by {acceptor}, run by {owner}");
            }
        }
    }
}

/// Guards against times of an earlier run of the store's clock, which would keep items for ever.
#[test]
fn can_state_ages_after_the_clock_restarted() {
    let mut link = Link::default();
    assert_eq!((link.store_ms(at(1)), link.stamp_ms(at(1))), (0, 0));
    record(&mut link, 1_000, 995, 1_005);
    let accepted_ms = link.stamp_ms(at(2_000));
    link.clock.record(Reading { ms: 40, sent_at: at(9_995), received_at: at(10_005) });
    assert_eq!(link.age(accepted_ms, at(11_000)), Duration::ZERO);
    assert_eq!(link.local_time(accepted_ms, at(11_000)), at(11_000));
    assert_eq!(link.store_ms(at(11_005)), 1_040);
}

/// Store with a feed whose responses are late.
#[derive(Clone, Debug)]
struct SlowFeed {
    /// Clock stated in the responses, with the delay of each; the feed is silent after the last.
    responses: Arc<std::sync::Mutex<Vec<(u64, Duration)>>>,
}

impl Store for SlowFeed {
    async fn transact(&self, _: Transaction) -> Result<Commit, Fault> {
        Ok(Commit { version: 2, now_ms: AHEAD_MS + 5_000 })
    }

    async fn range(&self, _: Range) -> Result<Page, Fault> {
        Ok(Page { now_ms: AHEAD_MS, version: 1, ..Page::default() })
    }

    async fn changes(&self, _: &'static str, _: u64, _: Duration) -> Result<Page, Fault> {
        let next = self.responses.lock().unwrap().pop();
        let Some((now_ms, delay)) = next else { std::future::pending().await };
        sleep(delay).await;
        let row = Row { part: String::new(), key: "row".to_owned(), value: None, version: 2 };
        Ok(Page { rows: vec![row], now_ms, version: 2, ..Page::default() })
    }
}

fn shared() -> Shared {
    let identity = Identity { vm: "vm-1".to_owned(), incarnation: 1, zone: "zone-a".to_owned() };
    let times = Times {
        stop_limit: Duration::from_secs(8),
        retention: Duration::from_secs(120),
        order_gap: Duration::from_millis(300),
        revocation: None,
        config_apply: Duration::from_secs(2),
    };
    Shared::new(identity, times).unwrap()
}

/// Guards against a kind of call whose responses do not tell the clock, and against a response that
/// does not state the clock and sets it to zero.
#[tokio::test]
async fn can_read_the_clock_from_each_call() {
    let shared = shared();
    let responses = vec![(0, Duration::ZERO), (AHEAD_MS + 20_000, Duration::ZERO)];
    let responses = Arc::new(std::sync::Mutex::new(responses));
    let store = Timed::new(SlowFeed { responses }, shared.clone());
    let stated = || shared.link.borrow().store_ms(shared.now());
    let range = Range {
        table: "table",
        part: String::new(),
        from: String::new(),
        to: String::new(),
        limit: 1,
    };
    store.range(range).await.unwrap();
    assert!(stated() >= AHEAD_MS);
    store.transact(Transaction::default()).await.unwrap();
    assert!(stated() >= AHEAD_MS + 5_000);
    store.changes("table", 2, Duration::ZERO).await.unwrap();
    assert!(stated() >= AHEAD_MS + 20_000);
    store.changes("table", 2, Duration::ZERO).await.unwrap();
    assert!(stated() >= AHEAD_MS + 20_000);
}

/// Guards against owners of batches that count as silent after a freeze, because their heartbeats wait
/// unread behind a response of before the freeze that is taken for a recent one.
#[tokio::test]
async fn can_tell_when_a_late_response_was_made() {
    let shared = shared();
    let delay = Duration::from_millis(400);
    let responses = Arc::new(std::sync::Mutex::new(vec![(AHEAD_MS + 20, delay)]));
    let store = Timed::new(SlowFeed { responses }, shared.clone());
    let table = Table {
        name: "table",
        parts: vec![String::new()],
        tracks_outages: true,
        busy_delay: Duration::ZERO,
        idle_delay: Duration::ZERO,
        wait: Duration::from_secs(1),
    };
    let (sender, mut updates) = mpsc::unbounded_channel();
    let state = shared.clone();
    let feed = follow::follow(shared.clone(), store, table, move |update| {
        sender.send((update, state.now())).unwrap();
    });
    tokio::spawn(feed);
    let limit = Duration::from_secs(10);
    let (snapshot, _) = timeout(limit, updates.recv()).await.unwrap().unwrap();
    assert!(matches!(snapshot, Update::Snapshot(..)), "{snapshot:?}");
    let (changes, received_at) = timeout(limit, updates.recv()).await.unwrap().unwrap();
    let Update::Changes(_, known_at) = changes else { panic!("{changes:?}") };
    // It was made 20 ms after the snapshot and arrived 400 ms after it.
    let waited = received_at.since(known_at);
    assert!(waited >= delay - Duration::from_millis(50), "{waited:?}");
}
