//! Compares the outcomes that the resolving client reports with the transactions that the table
//! committed.

use std::time::Duration;

use filbertsail_api::table::{Check, Expect, Query, Transaction, Write};
use filbertsail_ports::{
    fake::{Fault, Table as Fake},
    rate::{Limiter, Quota},
    table::{Error, Table, resolve::Client},
};
use proptest::{
    collection::vec,
    prelude::{Just, Strategy, TestCaseError, prop_assert, prop_assert_eq, prop_oneof, proptest},
    test_runner::{Config as Settings, RngSeed},
};
use serde_json::json;
use tokio::{task::JoinSet, time::sleep};

#[derive(Clone, Copy, Debug)]
enum Op {
    /// Reads a row, then replaces it if it is unchanged.
    Replace(usize),
    Inject(Fault),
    Down(bool),
    Delay(u64),
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Refused),
        Just(Fault::LostBefore),
        Just(Fault::LostAfter),
        (100_u64..8_000).prop_map(|millis| Fault::DelayedCommit(Duration::from_millis(millis))),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0_usize..3).prop_map(Op::Replace),
        3 => fault().prop_map(Op::Inject),
        1 => Just(Op::Down(true)),
        2 => Just(Op::Down(false)),
        1 => (0_u64..3_000).prop_map(Op::Delay),
        3 => (0_u64..2_000).prop_map(Op::Wait),
    ]
}

async fn replace(client: Client<Fake>, row: usize, token: String) -> Result<(), (String, Error)> {
    let key = format!("row-{row}");
    let rows = client.read(Query { keys: vec![key.clone()] }).await;
    let rows = rows.map_err(|error| (token.clone(), error))?;
    let expect =
        rows.first().map_or(Expect::Absent, |row| Expect::Revision { revision: row.revision });
    let value = Some(json!({ "by": token }));
    let checks = vec![Check { key: key.clone(), expect }];
    let writes = vec![Write { key, value }];
    let transaction = Transaction { token: token.clone(), checks, writes };
    let commit = client.transact(transaction).await.map_err(|error| (token.clone(), error))?;
    assert!(commit.revision > 0);
    Ok(())
}

async fn run(ops: Vec<Op>) -> Result<(), TestCaseError> {
    let fake = Fake::default();
    let limiter = Limiter::new(Quota { writes_per_s: 1e6, reads_per_s: 1e6 });
    let mut calls = JoinSet::new();
    for (number, op) in ops.into_iter().enumerate() {
        match op {
            Op::Replace(row) => {
                let client = Client::new(fake.clone(), limiter.clone());
                let token = number.to_string();
                calls.spawn(async move { (token.clone(), replace(client, row, token).await) });
            }
            Op::Inject(fault) => fake.inject(fault),
            Op::Down(down) => fake.set_down(down),
            Op::Delay(millis) => fake.set_delay(Duration::from_millis(millis)),
            Op::Wait(millis) => sleep(Duration::from_millis(millis)).await,
        }
    }
    let outcomes = calls.join_all().await;
    // Delayed requests arrive.
    sleep(Duration::from_secs(60)).await;
    let applied = fake.applied();
    for (token, outcome) in outcomes {
        let times = applied.iter().filter(|applied| applied.transaction.token == token).count();
        prop_assert!(times <= 1, "{token} took effect {times} times");
        match outcome {
            Ok(()) => prop_assert_eq!(times, 1, "{} was reported as written", token),
            Err((_, Error::Unknown(_))) => {}
            Err((_, error)) => prop_assert_eq!(times, 0, "{} gave {}", token, error),
        }
    }
    Ok(())
}

fn settings() -> Settings {
    let rng_seed = RngSeed::Fixed(3);
    Settings { cases: 300, rng_seed, failure_persistence: None, ..Settings::default() }
}

proptest! {
    #![proptest_config(settings())]

    /// Guards against a write that is reported as committed or as not committed although the table
    /// shows the opposite, at that time or later.
    #[test]
    fn can_report_the_outcome_of_writes(ops in vec(op(), 1..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        runtime.block_on(run(ops))?;
    }
}
