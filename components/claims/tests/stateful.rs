//! Random histories of requests, crashes and lost answers against a simple oracle.

mod common;

use std::time::Duration;

use common::{Backend, Told, World};
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
    Down(bool),
    Crash(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let backend = prop_oneof![
        3 => Just(Backend::Answers),
        2 => Just(Backend::Refuses),
        1 => Just(Backend::LosesAnswer),
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
        1 => any::<bool>().prop_map(Step::Down),
        1 => (0..GATEWAYS).prop_map(Step::Crash),
        3 => (0u64..2_000).prop_map(Step::Pass),
    ]
}

struct Request {
    gateway: usize,
    key: usize,
    task: JoinHandle<Option<Told>>,
}

/// Ends the faults that no request has met, so that the last repeats see a healthy table.
async fn use_up_faults(world: &World) {
    world.plan.lock().expect("lock").clear();
    let probe = |number: usize| Transaction {
        token: format!("probe-{number}"),
        checks: Vec::new(),
        writes: Vec::new(),
    };
    for number in 0.. {
        if world.table.transact(probe(number)).await.is_ok() {
            return;
        }
    }
}

async fn check(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut world = World::new(GATEWAYS);
    let mut requests: Vec<Request> = Vec::new();
    for step in steps {
        match step {
            Step::Request { gateway, key, backend } => {
                let task = tokio::spawn(world.request(gateway, key, backend, WAIT));
                requests.push(Request { gateway, key, task });
            }
            Step::Fault(fault) => world.plan(fault),
            Step::Down(down) => world.table.set_down(down),
            Step::Crash(gateway) => {
                world.crash(gateway);
                for request in requests.iter().filter(|it| it.gateway == gateway) {
                    request.task.abort();
                }
            }
            Step::Pass(ms) => sleep(Duration::from_millis(ms)).await,
        }
    }
    world.table.set_down(false);
    use_up_faults(&world).await;
    sleep(Duration::from_secs(60)).await;
    let mut told = Vec::new();
    for request in requests {
        if let Ok(Some(answer)) = request.task.await {
            told.push((request.key, answer));
        }
    }
    for key in 0..KEYS {
        prop_assert!(world.runs(key) <= 1, "key {} ran {} times", key, world.runs(key));
        let ran_before = world.runs(key) == 1;
        let repeat = timeout(WAIT * 2, world.request(0, key, Backend::Answers, WAIT)).await;
        let repeat = repeat.expect("a repeat ends").expect("no crash");
        // Whatever happened, the claim is settled by now.
        prop_assert_ne!(&repeat, &Told::Pending);
        prop_assert_ne!(&repeat, &Told::Mismatch);
        prop_assert!(world.runs(key) <= 1, "a repeat ran key {} again", key);
        if ran_before {
            prop_assert_ne!(&repeat, &Told::Verdict(Verdict::NotRun));
        }
        told.push((key, repeat));
    }
    for (key, answer) in told {
        if let Told::Answer(text) = answer {
            prop_assert_eq!(text, format!("answer {key}"));
            prop_assert_eq!(world.runs(key), 1);
        }
    }
    Ok(())
}

/// Guards against a second run of a keyed request, a wrong verdict or answer, and a claim that
/// stays unsettled, in any order of requests, crashes, outages and lost answers.
#[test]
fn can_keep_keyed_requests_at_most_once() {
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
