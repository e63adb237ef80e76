//! Subsets at the scale of the growth target.

use filbertsail_routing::subset;

const GATEWAYS: usize = 420;
const WORKERS: usize = 1_000;
const ZONES: usize = 13;
const SIZE: usize = 20;

/// Guards against workers that no gateway uses, and against workers that too many gateways use.
#[test]
fn can_cover_every_worker_at_the_target_size() {
    let zone = |index: usize| format!("zone-{}", index % ZONES);
    let workers: Vec<_> =
        (0..WORKERS).map(|index| (format!("worker-{index}"), zone(index))).collect();
    let pairs: Vec<_> = workers.iter().map(|(name, zone)| (&**name, &**zone)).collect();
    let mut users = vec![0usize; WORKERS];
    for gateway in 0..GATEWAYS {
        let (name, own_zone) = (format!("gateway-{gateway}"), zone(gateway));
        let selected = subset::select(&name, &own_zone, &pairs, SIZE);
        assert_eq!(selected.len(), SIZE);
        selected.into_iter().for_each(|worker| users[worker] += 1);
    }
    let unused = users.iter().filter(|&&count| count == 0).count();
    assert_eq!(unused, 0, "workers that no gateway uses");
    let max_users = users.iter().max().expect("workers");
    // The average is 8.4.
    assert!(*max_users <= 30, "{max_users} gateways use the same worker");
}
