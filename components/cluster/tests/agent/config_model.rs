//! Model test of configuration changes: concurrent operators, table faults and outages.

use std::time::Duration;

use filbertsail_api::admin::Apply;
use filbertsail_clock::{Instant, Source};
use filbertsail_cluster::{
    agent::{Handle, Settings, start_with_clock},
    config::{self, Version, apply::Error},
};
use filbertsail_ports::{
    fake::{Fault, Table as Fake},
    rate::{Limiter, Quota},
    table::resolve::Client,
};
use proptest::{
    collection::vec,
    prelude::{Just, Strategy, TestCaseError, prop_assert, prop_assert_eq, prop_oneof, proptest},
    test_runner::{Config as TestSettings, RngSeed},
};
use tokio::{task::JoinSet, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::common;

const AGENTS: usize = 3;

/// Clock that follows the paused time of the Tokio runtime.
#[derive(Clone, Copy)]
struct Paused(tokio::time::Instant);

impl Source for Paused {
    fn now(&self) -> Instant {
        Instant::from_millis(1_000_000).after(self.0.elapsed())
    }
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Apply(usize),
    Inject(Fault),
    Down(bool),
    Delay(u64),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let fault = prop_oneof![
        Just(Fault::Refused),
        Just(Fault::LostBefore),
        Just(Fault::LostAfter),
        (100_u64..8_000).prop_map(|millis| Fault::DelayedCommit(Duration::from_millis(millis))),
    ];
    prop_oneof![
        6 => (0..AGENTS).prop_map(Op::Apply),
        3 => fault.prop_map(Op::Inject),
        1 => Just(Op::Down(true)),
        2 => Just(Op::Down(false)),
        1 => (0_u64..1_000).prop_map(Op::Delay),
        4 => (0_u64..5_000).prop_map(Op::Wait),
    ]
}

fn start(table: &Fake, stop: &CancellationToken) -> Vec<Handle<Client<Fake>>> {
    let clock = Paused(tokio::time::Instant::now());
    let limiter = Limiter::new(Quota { writes_per_s: 1e6, reads_per_s: 1e6 });
    (0..AGENTS)
        .map(|index| {
            let address = "127.0.0.1:9".parse().expect("address");
            let identity = common::identity(index, address);
            let table = Client::new(table.clone(), limiter.clone());
            start_with_clock(identity, Settings::default(), table, clock, stop.clone())
        })
        .collect()
}

/// Fails if the active version ever decreases.
async fn assert_increasing(agent: Handle<Client<Fake>>) {
    let mut config = agent.config();
    let mut last = 0;
    while config.changed().await.is_ok() {
        let version = config.borrow_and_update().as_ref().map_or(0, |snapshot| snapshot.version);
        assert!(version > last, "version {version} became active after version {last}");
        last = version;
    }
}

fn history(table: &Fake) -> Vec<Version> {
    let row = |version| table.row(&config::key(version));
    let rows = (1..).map_while(row);
    rows.map(|row| serde_json::from_value(row.value).expect("version")).collect()
}

async fn run(ops: Vec<Op>) -> Result<(), TestCaseError> {
    let (table, stop) = (Fake::default(), CancellationToken::new());
    let agents = start(&table, &stop);
    let mut watches = JoinSet::new();
    for agent in &agents {
        watches.spawn(assert_increasing(agent.clone()));
    }
    let mut calls = JoinSet::new();
    for (number, op) in ops.into_iter().enumerate() {
        match op {
            Op::Apply(index) => {
                let agent = agents[index].clone();
                let author = format!("operator-{number}");
                let text = format!("# {number}\n{}", common::INVENTORY);
                let request = Apply { author, expect_version: None, text, wait_ms: Some(0) };
                calls.spawn(async move {
                    let outcome = agent.apply(request.clone()).await;
                    (request, outcome)
                });
            }
            Op::Inject(fault) => table.inject(fault),
            Op::Down(down) => table.set_down(down),
            Op::Delay(millis) => table.set_delay(Duration::from_millis(millis)),
            Op::Wait(millis) => sleep(Duration::from_millis(millis)).await,
        }
    }
    let outcomes = calls.join_all().await;
    table.set_down(false);
    table.set_delay(Duration::ZERO);
    // Delayed requests arrive within 10 s; the last version must then be active within 8 s.
    sleep(Duration::from_secs(10)).await;
    let history = history(&table);
    sleep(Duration::from_secs(8)).await;
    for agent in &agents {
        let version = agent.config().borrow().as_ref().map_or(0, |snapshot| snapshot.version);
        prop_assert_eq!(version, history.len() as u64);
        prop_assert_eq!(*agent.ready().borrow(), !history.is_empty());
    }
    for (request, outcome) in outcomes {
        let accepted = history.iter().find(|version| version.text == request.text);
        match outcome {
            Ok(applied) => {
                prop_assert_eq!(accepted.map(|accepted| accepted.version), Some(applied.version))
            }
            Err(Error::Unknown { .. }) => {}
            Err(Error::Lost(lost)) => {
                prop_assert!(accepted.is_none());
                let winner = &history[usize::try_from(lost.version).expect("small") - 1];
                prop_assert_eq!((&winner.author, &winner.digest), (&lost.author, &lost.digest));
            }
            Err(error) => {
                prop_assert!(accepted.is_none(), "change was accepted despite the error: {}", error)
            }
        }
    }
    stop.cancel();
    for agent in &agents {
        agent.join().await;
    }
    drop(agents);
    watches.join_all().await;
    Ok(())
}

fn settings() -> TestSettings {
    let rng_seed = RngSeed::Fixed(17);
    TestSettings { cases: 150, rng_seed, failure_persistence: None, ..TestSettings::default() }
}

proptest! {
    #![proptest_config(settings())]

    /// Guards against lost or duplicate versions, a wrong winner, a wrong result after a lost
    /// answer, and a configuration that reverts or is not active within 8 s.
    #[test]
    fn can_keep_the_history_under_faults(ops in vec(op(), 1..50)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        runtime.block_on(run(ops))?;
    }
}
