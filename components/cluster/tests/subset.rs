//! Rendezvous hashing with a fleet of half the target size.

use std::collections::{BTreeMap, BTreeSet};

use filbertsail_cluster::subset::{Located, rank, watched, zone_first};

const ZONES: usize = 13;
const GATEWAYS: usize = 105;
const WORKERS: usize = 500;
const SIZE: usize = 16;
const OBSERVERS: usize = 2;

#[derive(Clone, Debug)]
struct Node(String, String);

impl Located for Node {
    fn name(&self) -> &str {
        &self.0
    }

    fn zone(&self) -> &str {
        &self.1
    }
}

fn nodes(kind: &str, count: usize) -> Vec<Node> {
    let node = |index| Node(format!("{kind}-{index}"), format!("zone-{}", index % ZONES));
    (0..count).map(node).collect()
}

/// Guards against workers that no gateway watches and against gateways that watch too many.
#[test]
fn can_cover_every_worker() {
    let (gateways, workers) = (nodes("gateway", GATEWAYS), nodes("worker", WORKERS));
    let mut observers: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut own, mut most) = (BTreeSet::new(), 0);
    for gateway in &gateways {
        let subset = watched(gateway, &gateways, &workers, SIZE, OBSERVERS);
        most = most.max(subset.len());
        for worker in subset {
            *observers.entry(worker.name()).or_default() += 1;
        }
        let alone = zone_first(gateway.name(), gateway.zone(), &workers, SIZE);
        own.extend(alone.iter().map(|worker| worker.name()));
    }
    println!("{} of {WORKERS} workers in own subsets, at most {most} watched", own.len());
    assert_eq!(observers.len(), WORKERS);
    assert!(observers.values().all(|count| *count >= OBSERVERS));
    // Twice the mean number of workers in the own subset and by assignment.
    assert!(most <= 2 * (SIZE + WORKERS * OBSERVERS / GATEWAYS), "{most} workers watched");
}

/// Guards against a ranking in which the removal of one node changes other choices.
#[test]
fn can_keep_choices_when_a_node_leaves() {
    let workers = nodes("worker", WORKERS);
    let before = zone_first("gateway-1", "zone-1", &workers, SIZE);
    let names = |nodes: &[&Node]| nodes.iter().map(|node| node.0.clone()).collect::<BTreeSet<_>>();
    let gone = before[3].0.clone();
    let rest: Vec<_> = workers.iter().filter(|worker| worker.0 != gone).cloned().collect();
    let after = zone_first("gateway-1", "zone-1", &rest, SIZE);
    assert_eq!(names(&before).difference(&names(&after)).count(), 1);
    assert!(after.iter().all(|worker| worker.1 == "zone-1"));
}

/// Guards against preferred holders that concentrate on few controllers.
#[test]
fn can_spread_preferences() {
    let names: Vec<_> = nodes("controller", 20).into_iter().map(|node| node.0).collect();
    let first = |scope: &str| {
        let others = |name: &str| {
            names.iter().map(String::as_str).filter(move |it| *it != name).collect::<Vec<_>>()
        };
        names.iter().position(|name| rank(scope, name, others(name)) == 0).expect("a first")
    };
    let holders: BTreeSet<_> = (0..100).map(|scope| first(&format!("trainer/{scope}"))).collect();
    assert!(holders.len() >= 18, "{} holders", holders.len());
}
