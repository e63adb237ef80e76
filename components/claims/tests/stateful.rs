//! Random sequences of requests, crashes and faults, checked against a simple model.

mod common;

use std::time::Duration;

use common::{Backend, Cluster, Received};
use filbertsail_api::table::Transaction;
use filbertsail_errors::Verdict;
use filbertsail_ports::{fake::Fault, table::Table as _};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tokio::{
    runtime::Builder,
    task::JoinHandle,
    time::{sleep, timeout},
};

const GATEWAYS: usize = 3;
const KEYS: usize = 3;
const CASES: u32 = 2_048;
const WAIT: Duration = Duration::from_secs(40);

#[derive(Clone, Debug)]
enum Step {
    Request { gateway: usize, key: usize, backend: Backend },
    Fault(Option<Fault>),
    Outage(bool),
    Crash(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let backend = prop_oneof![
        3 => Just(Backend::Responds),
        2 => Just(Backend::Rejects),
        1 => Just(Backend::LosesResponse),
        1 => Just(Backend::LosesRequest),
    ];
    let request = (0..GATEWAYS, 0..KEYS, backend);
    let fault = prop_oneof![
        Just(Fault::Refused),
        Just(Fault::LostBefore),
        Just(Fault::LostAfter),
        (1u64..3_000).prop_map(|ms| Fault::DelayedCommit(Duration::from_millis(ms))),
    ];
    let fault = prop::option::of(fault);
    prop_oneof![
        6 => request.prop_map(|(gateway, key, backend)| Step::Request { gateway, key, backend }),
        2 => fault.prop_map(Step::Fault),
        1 => any::<bool>().prop_map(Step::Outage),
        1 => (0..GATEWAYS).prop_map(Step::Crash),
        3 => (0u64..2_000).prop_map(Step::Wait),
    ]
}

struct Request {
    gateway: usize,
    key: usize,
    task: JoinHandle<Option<Received>>,
}

/// Clears queued and injected faults, so that the final repeated requests use a healthy table.
async fn clear_faults(cluster: &Cluster) {
    cluster.faults.lock().expect("lock").clear();
    let probe = |number: usize| Transaction {
        token: format!("probe-{number}"),
        checks: Vec::new(),
        writes: Vec::new(),
    };
    for number in 0.. {
        if cluster.table.transact(probe(number)).await.is_ok() {
            return;
        }
    }
}

async fn check(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut cluster = Cluster::new(GATEWAYS);
    let mut requests: Vec<Request> = Vec::new();
    for step in steps {
        match step {
            Step::Request { gateway, key, backend } => {
                let task = tokio::spawn(cluster.request(gateway, key, backend, WAIT));
                requests.push(Request { gateway, key, task });
            }
            Step::Fault(fault) => cluster.queue_fault(fault),
            Step::Outage(down) => cluster.table.set_down(down),
            Step::Crash(gateway) => {
                cluster.crash(gateway);
                for request in requests.iter().filter(|it| it.gateway == gateway) {
                    request.task.abort();
                }
            }
            Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
        }
    }
    cluster.table.set_down(false);
    clear_faults(&cluster).await;
    sleep(Duration::from_secs(60)).await;
    let mut received = Vec::new();
    for request in requests {
        if let Ok(Some(answer)) = request.task.await {
            received.push((request.key, answer));
        }
    }
    for key in 0..KEYS {
        prop_assert!(cluster.runs(key) <= 1, "key {} ran {} times", key, cluster.runs(key));
        let executed_before = cluster.runs(key) == 1;
        let repeat = timeout(WAIT * 2, cluster.request(0, key, Backend::Responds, WAIT)).await;
        let repeat = repeat.expect("repeated request timed out").expect("gateway crashed");
        // The outcome of every claim is known by now.
        prop_assert_ne!(&repeat, &Received::Pending);
        prop_assert_ne!(&repeat, &Received::Mismatch);
        prop_assert!(cluster.runs(key) <= 1, "a repeated request executed key {} again", key);
        if executed_before {
            prop_assert_ne!(&repeat, &Received::Verdict(Verdict::NotRun));
        }
        received.push((key, repeat));
    }
    for (key, answer) in received {
        if let Received::Answer(text) = answer {
            prop_assert_eq!(text, format!("answer {key}"));
            prop_assert_eq!(cluster.runs(key), 1);
        }
    }
    Ok(())
}

/// Guards against a second execution of a request with an idempotency key, a wrong verdict or
/// response, and a claim that never ends, in any order of requests, crashes, outages and faults.
#[test]
fn can_execute_keyed_requests_at_most_once() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&prop::collection::vec(step(), 1..40), |steps| {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("runtime").block_on(check(steps))
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
