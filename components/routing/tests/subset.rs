//! Subsets at the size of the growth target.

use filbertsail_routing::subset;

const GATEWAYS: usize = 420;
const WORKERS: usize = 1_000;
const ZONES: usize = 13;
const SIZE: usize = 20;

/// Guards against workers that no gateway uses, and against gateways that share few workers.
#[test]
fn can_cover_every_worker_at_the_target_size() {
    let zone = |index: usize| format!("zone-{}", index % ZONES);
    let workers: Vec<_> = (0..WORKERS).map(|at| (format!("worker-{at}"), zone(at))).collect();
    let pairs: Vec<_> = workers.iter().map(|(name, zone)| (&**name, &**zone)).collect();
    let mut users = vec![0usize; WORKERS];
    for gateway in 0..GATEWAYS {
        let (name, own) = (format!("gateway-{gateway}"), zone(gateway));
        let chosen = subset::choose(&name, &own, &pairs, SIZE);
        assert_eq!(chosen.len(), SIZE);
        chosen.into_iter().for_each(|worker| users[worker] += 1);
    }
    let unused = users.iter().filter(|&&count| count == 0).count();
    assert_eq!(unused, 0, "workers without a gateway");
    let most = users.iter().max().expect("workers");
    // The mean is 8.4.
    assert!(*most <= 30, "{most} gateways use one worker");
}
