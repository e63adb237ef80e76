//! Attempts to reach the store through peers in an outage.

use std::time::Duration;

use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_entry::{
    batch::rows,
    relay::{Budget, PEERS_TABLE, Peers, Relay, Tables},
};
use filbertsail_ports::store::{
    Range, Row, Store, Transaction,
    fake::{Fake, Mode},
};
use filbertsail_wire::{frame::Hello, link::auth};
use tokio::{net::TcpListener, time};

fn range() -> Range {
    let (part, from, to) = (String::new(), String::new(), String::new());
    Range { table: PEERS_TABLE, part, from, to, limit: 1 }
}

/// Peers of `vm-1`: one that accepts connections and never answers.
async fn silent_peer() -> Peers {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    // Connections stay in the backlog of a listener that outlives the test.
    std::mem::forget(listener);
    let hello = Hello {
        protocol: 1,
        name: "vm-1".to_owned(),
        incarnation: 1,
        zone: "a".to_owned(),
        address,
        sent_at_ms: 0,
        nonce: [0; 16],
    };
    let peers = Peers::new("vm-1");
    let value = Some(rows::encode(&(address, "a", 1_u64, 1_u64)));
    let row = Row { part: String::new(), key: "vm-2".to_owned(), version: 1, value };
    peers.apply_row(&auth::Key::new(vec![1; 32]), &hello, &row, Boot.now());
    peers
}

/// Guards against VMs that wait for the next probe although the store serves some of their calls.
/// Load: all of 300 VMs start at once, the store refuses what exceeds its rate, and no attempt
/// through a peer is left.
#[tokio::test(start_paused = true)]
async fn can_call_directly_without_attempts_left() {
    let (peers, store) = (silent_peer().await, Fake::default());
    let relay = Relay::new(store.clone(), peers.clone(), Tables(&[PEERS_TABLE]));
    while peers.may_try(Boot.now()) {}
    store.set_mode(Mode::Refusing);
    assert!(relay.range(range()).await.is_err());
    store.set_mode(Mode::Up);
    let start = time::Instant::now();
    assert!(relay.range(range()).await.is_ok());
    assert!(start.elapsed() < Duration::from_millis(100), "{:?}", start.elapsed());
}

/// Guards against calls that wait for peers that are cut off after the store has returned, and against
/// reads that fail then with the fault of an earlier attempt. Load: a store outage in which some VMs
/// have become unreachable as well.
#[tokio::test(start_paused = true)]
async fn can_call_directly_once_the_store_returns() {
    let peers = silent_peer().await;
    let store = Fake::default();
    let relay = Relay::new(store.clone(), peers, Tables(&[PEERS_TABLE]));
    store.set_mode(Mode::Refusing);
    let start = time::Instant::now();
    let (first, second) = (relay.clone(), relay.clone());
    let first = tokio::spawn(async move { first.range(range()).await });
    time::sleep(Duration::from_millis(20)).await;
    let second = tokio::spawn(async move { second.range(range()).await });
    let transaction = relay.transact(Transaction::default());
    time::sleep(Duration::from_millis(20)).await;
    store.set_mode(Mode::Up);
    assert!(transaction.await.is_err(), "its outcome is unknown");
    assert!(first.await.expect("task").is_ok(), "the fault of a call made before the return");
    assert!(second.await.expect("task").is_ok());
    assert!(start.elapsed() < Duration::from_millis(700), "{:?}", start.elapsed());
}

/// Guards against an outage in which every VM calls every other one. Load: the store is away for
/// 7 s for all of 195 VMs, each of which makes 6 calls a second and tries 3 peers for each.
#[test]
fn can_limit_attempts_in_an_outage() {
    let (mut attempts, mut most_in_a_second) = (0, 0);
    let mut budgets = vec![Budget::default(); 195];
    for second in 0..7_u64 {
        let before = attempts;
        for call in 0..6 {
            let now = Instant::from_millis(1_000_000 + second * 1_000 + call * 166);
            for budget in &mut budgets {
                attempts += (0..3).take_while(|_| budget.take(now)).count();
            }
        }
        most_in_a_second = most_in_a_second.max(attempts - before);
    }
    // Without a limit there are 195 VMs x 7 s x 18 attempts, 24,570 of them.
    assert!(attempts <= 195 * (6 + 2 * 7), "{attempts} attempts");
    assert!(most_in_a_second <= 195 * 8, "{most_in_a_second} attempts in one second");
}

/// Guards against a VM that gives up on peers although most of them reach the store, and against
/// one that never tries again after a long outage.
#[test]
fn can_try_on_while_peers_answer() {
    let now = Instant::from_millis(1_000_000);
    let mut budget = Budget::default();
    for _ in 0..100 {
        assert!(budget.take(now));
        budget.record_success();
    }
    while budget.take(now) {}
    assert!(!budget.take(Instant::from_millis(1_000_100)));
    assert!(budget.take(Instant::from_millis(1_001_000)));
}
