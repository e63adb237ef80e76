//! Compares the production policy with the baselines in a small simulation of servers.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_config::inventory::{Class, Inventory};
use filbertsail_routing::{
    policy::{LeastReported, Policy, Production, RoundRobin},
    prefix::Change,
    state::{Fleet, Outcome, Report, Request, inventory::Gateway},
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const WORKERS: usize = 8;
const SEED: u64 = 11;

fn fleet() -> Fleet {
    let mut text = "[deployment]\nname = \"d\"\nstaleness_weight = 1.0\nidle_weight = 1.0\n\
        [[zone]]\nname = \"a\"\nregion = \"r\"\n\
        [[service]]\nname = \"s\"\nkind = \"model\"\nmax_concurrency = 64\n"
        .to_owned();
    for index in 0..WORKERS {
        text.push_str(&format!(
            "[[worker]]\nname = \"w{index}\"\nservice = \"s\"\nzone = \"a\"\n\
             address = \"127.0.0.1:{}\"\n",
            1_000 + index
        ));
    }
    let mut fleet = Fleet::default();
    let gateway = Gateway { name: "g", zone: "a", subset_size: 64 };
    fleet.apply_inventory(&Inventory::parse(&text).expect("inventory"), gateway);
    fleet
}

fn request<'a>(fleet: &Fleet, prefixes: &'a [String]) -> Request<'a> {
    let service = fleet.service_key("s").expect("service");
    Request { service, class: Class::Customer, min_version: None, prefixes, excluded: &[] }
}

/// Guards against a server that attracts traffic because it fails fast.
#[test]
fn can_avoid_a_server_that_fails_fast() {
    let mut fleet = fleet();
    let failing = fleet.worker_key("w0").expect("worker");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut failed = 0;
    let mut running: Vec<(Instant, _)> = Vec::new();
    for ms in 0..20_000 {
        let now = Instant::from_millis(1_000 + ms);
        running.retain(|&(end, key)| {
            let ended = end <= now;
            if ended {
                let duration = Duration::from_millis(40);
                fleet.record_completion(key, Outcome::Success { duration }, now, 0.0);
            }
            !ended
        });
        let choice = Production.choose(&fleet, &request(&fleet, &[]), now, &mut rng);
        let key = choice.expect("an available worker").worker;
        fleet.record_dispatch(key, now);
        if key == failing {
            failed += 1;
            fleet.record_completion(key, Outcome::Failure, now, 0.0);
        } else {
            running.push((now.after(Duration::from_millis(40)), key));
        }
    }
    // Five failures open the breaker; then there is one probe per open time of at most 30 s.
    assert!(failed <= 10, "{failed} of 20000 requests went to the failing server");
}

/// Maximum number of concurrent requests at one server, with a load report per second.
fn max_concurrency<P: Policy>(policy: &P, slow: usize) -> u32 {
    let mut fleet = fleet();
    let keys: Vec<_> =
        (0..WORKERS).map(|index| fleet.worker_key(&format!("w{index}")).expect("worker")).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut running: Vec<(Instant, usize)> = Vec::new();
    let mut max_busy = 0;
    for ms in 0..10_000 {
        let now = Instant::from_millis(1_000 + ms);
        running.retain(|&(end, worker)| {
            let ended = end <= now;
            if ended {
                let duration = Duration::from_millis(if worker == slow { 200 } else { 20 });
                fleet.record_completion(keys[worker], Outcome::Success { duration }, now, 0.0);
            }
            !ended
        });
        if ms % 1_000 == 0 {
            for (worker, &key) in keys.iter().enumerate() {
                let busy = running.iter().filter(|entry| entry.1 == worker).count();
                let running = u32::try_from(busy).expect("fits in u32");
                fleet.record_report(
                    key,
                    Report {
                        measured_at: now,
                        incarnation: 1,
                        running,
                        queued: 0,
                        capacity: 8,
                        weight_version: Some(1),
                        leaving: false,
                    },
                );
            }
        }
        let choice = policy.choose(&fleet, &request(&fleet, &[]), now, &mut rng);
        let Some(choice) = choice else { continue };
        fleet.record_dispatch(choice.worker, now);
        let worker =
            keys.iter().position(|&key| key == choice.worker).expect("worker of the fleet");
        let duration_ms = if worker == slow { 200 } else { 20 };
        running.push((now.after(Duration::from_millis(duration_ms)), worker));
        let busy = running.iter().filter(|entry| entry.1 == worker).count();
        max_busy = max_busy.max(u32::try_from(busy).expect("fits in u32"));
    }
    max_busy
}

/// Guards against all requests going to the server that was idle in the last report, and against a
/// backlog at a slow server.
#[test]
fn can_keep_backlogs_below_the_baselines() {
    let production = max_concurrency(&Production, 0);
    assert!(production < max_concurrency(&LeastReported, 0), "{production}");
    assert!(production < max_concurrency(&RoundRobin::default(), 0), "{production}");
}

/// Guards against prefix affinity that is ignored, or that overloads the server with the prefix.
#[test]
fn can_prefer_a_cached_prefix_until_its_server_is_busy() {
    let mut fleet = fleet();
    let holder = fleet.worker_key("w3").expect("worker");
    fleet.worker_mut(holder).expect("worker").prefixes.apply(1, Change::Stored, "p");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let prefixes = ["p".to_owned()];
    let now = Instant::from_millis(1_000);
    let first = Production.choose(&fleet, &request(&fleet, &prefixes), now, &mut rng);
    assert_eq!(first.expect("an available worker").worker, holder);
    let mut at_holder = 0;
    for _ in 0..400 {
        let choice = Production.choose(&fleet, &request(&fleet, &prefixes), now, &mut rng);
        let key = choice.expect("an available worker").worker;
        at_holder += u32::from(key == holder);
        fleet.record_dispatch(key, now);
    }
    assert!((50..=64).contains(&at_holder), "{at_holder}");
}
