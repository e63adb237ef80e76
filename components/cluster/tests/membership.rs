//! Membership of a simulated fleet with crashes, packet loss and partitions.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use filbertsail_clock::Instant;
use filbertsail_cluster::member::view::View;
use filbertsail_ports::rate::{Limiter, Quota};
use filbertsail_wire::{
    codec,
    frame::{Condition, Digest, Frame, Member, Role},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TICK: Duration = Duration::from_millis(100);

struct World {
    now: Instant,
    rng: StdRng,
    views: Vec<View>,
    probe_due_at: Vec<Instant>,
    down: BTreeSet<usize>,
    /// Partition group of each zone; daemons of different groups do not reach each other.
    groups: BTreeMap<String, u32>,
    loss: f64,
    bytes: u64,
    suspicions: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_400))
}

fn member(index: usize, zones: usize, incarnation: u64) -> Member {
    Member {
        name: format!("gateway-{index}"),
        role: Role::Gateway,
        zone: format!("zone-{}", index % zones),
        address: address(index),
        incarnation,
        revision: 0,
        condition: Condition::Live,
        draining: false,
        config_version: 0,
    }
}

impl World {
    fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::from_millis(10_000);
        let seeds = vec![address(0), address(1), address(2)];
        let views = (0..count).map(|index| View::new(member(index, zones, 1), seeds.clone()));
        let views = views.collect();
        let offset = |_| now.after(Duration::from_millis(rng.random_range(0..1_000)));
        let probe_due_at = (0..count).map(offset).collect();
        Self {
            now,
            rng,
            views,
            probe_due_at,
            down: BTreeSet::new(),
            groups: BTreeMap::new(),
            loss: 0.0,
            bytes: 0,
            suspicions: 0,
        }
    }

    fn zone(&self, index: usize) -> &str {
        &self.views[index].local().zone
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let group = |zone| self.groups.get(zone).copied().unwrap_or(0);
        let together = group(self.zone(from)) == group(self.zone(to));
        together && !self.down.contains(&to) && self.rng.random_range(0.0..1.0) >= self.loss
    }

    fn count_bytes(&mut self, digest: &Digest) {
        let bytes = codec::encode(&Frame::Digest(digest.clone())).expect("encodes");
        self.bytes += bytes.len() as u64;
    }

    fn probe(&mut self, index: usize) {
        self.views[index].expire(self.now);
        let Some(target) = self.views[index].next_target(&mut self.rng) else { return };
        let digest = self.views[index].probe_digest(self.now, &target);
        let to = (0..self.views.len()).find(|to| address(*to) == target.address).expect("exists");
        self.count_bytes(&digest);
        if !self.is_delivered(index, to) {
            let suspect =
                target.name.and_then(|name| self.views[index].on_probe_failed(self.now, &name));
            self.suspicions += u64::from(suspect.is_some());
            return;
        }
        let (from, full) = (digest.members[0].name.clone(), digest.full);
        self.deliver(to, digest);
        let reply = self.views[to].digest(Some(&from), full);
        self.count_bytes(&reply);
        self.views[index].on_probe_answered(self.now);
        self.deliver(index, reply);
    }

    fn deliver(&mut self, to: usize, digest: Digest) {
        let view = &mut self.views[to];
        view.merge(self.now, digest.members);
        view.compare_hash(self.now, digest.view, digest.full);
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now.after(Duration::from_secs(seconds));
        while self.now < end {
            self.now = self.now.after(TICK);
            for index in 0..self.views.len() {
                if self.down.contains(&index) || self.now < self.probe_due_at[index] {
                    continue;
                }
                self.probe(index);
                let pause =
                    self.views[index].probe_interval().mul_f64(self.rng.random_range(0.8..1.2));
                self.probe_due_at[index] = self.now.after(pause);
            }
        }
    }

    /// Number of daemons that are live in the view of daemon `index`.
    fn live_count(&self, index: usize) -> usize {
        self.views[index].states().iter().filter(|state| state.live).count()
    }

    fn assert_live(&self, range: impl Iterator<Item = usize>, count: usize) {
        for index in range {
            assert_eq!(self.live_count(index), count, "seen by daemon {index}");
        }
    }

    fn sees_majority(&self, index: usize) -> bool {
        let (reachable, known) = self.views[index].reachable_and_known(self.now);
        2 * reachable > known
    }
}

/// Guards against a fleet that does not converge from three seeds.
#[test]
fn can_converge_from_seeds() {
    let mut world = World::new(60, 6, 1);
    world.run(40);
    world.assert_live(0..60, 60);
    // Otherwise each daemon would keep the low table rate of the largest fleet.
    assert!(world.views.iter().all(View::is_converged));
}

/// Guards against overloading the table after a restart of all daemons, when each knows few others:
/// the table handles 400 writes per second, of which the fleet may use 300 in the long run.
#[tokio::test(start_paused = true)]
async fn can_limit_table_writes_after_a_restart_of_all() {
    let mut world = World::new(420, 13, 8);
    let quota = Quota { writes_per_s: 300.0, reads_per_s: 2_000.0 };
    let limiters: Vec<_> = (0..420).map(|_| Limiter::new(quota)).collect();
    for second in 0..25 {
        world.run(1);
        tokio::time::advance(Duration::from_secs(1)).await;
        for (index, limiter) in limiters.iter().enumerate() {
            limiter.set_live_members(world.live_count(index));
            if world.views[index].is_converged() {
                limiter.set_converged_members(world.live_count(index));
            }
        }
        let total: f64 = limiters.iter().map(Limiter::writes_per_s).sum();
        assert!(total <= 400.0, "{total} writes per second in second {second}");
    }
}

/// Guards against a crashed daemon that stays live in the views, and against its restarted
/// successor of the same name being taken for it.
#[test]
fn can_replace_a_crashed_daemon() {
    let mut world = World::new(40, 4, 2);
    world.run(40);
    world.down.insert(7);
    world.run(30);
    world.assert_live((0..40).filter(|index| *index != 7), 39);
    world.down.clear();
    world.views[7] = View::new(member(7, 4, 2), vec![address(0), address(1)]);
    world.run(40);
    world.assert_live(0..40, 40);
    let states = world.views[3].states();
    let state = states.iter().find(|state| state.name == "gateway-7").expect("known");
    assert_eq!(state.incarnation, 2);
}

/// Guards against a live daemon that becomes gone because probes to it were lost.
#[test]
fn can_refute_false_suspicions() {
    let mut world = World::new(40, 4, 3);
    world.run(40);
    world.loss = 0.05;
    for _ in 0..60 {
        world.run(2);
        world.assert_live(0..40, 40);
    }
    assert!(world.suspicions > 10, "{} suspicions", world.suspicions);
}

/// Guards against a graceful shutdown that causes a suspicion or lowers the reachable share.
#[test]
fn can_leave_as_planned() {
    let mut world = World::new(20, 2, 4);
    world.run(30);
    world.views[5].leave();
    for _ in 0..3 {
        world.probe(5);
    }
    world.down.insert(5);
    world.run(20);
    for index in (0..20).filter(|index| *index != 5) {
        assert_eq!(world.views[index].reachable_and_known(world.now), (19, 19));
    }
}

/// Guards against a failed zone that the other zones keep counting as live.
#[test]
fn can_detect_a_failed_zone() {
    let mut world = World::new(60, 6, 5);
    world.run(40);
    world.down = (0..60).filter(|index| index % 6 == 2).collect();
    world.run(45);
    world.assert_live((0..60).filter(|index| index % 6 != 2), 50);
    assert!((0..60).filter(|index| index % 6 != 2).all(|index| world.sees_majority(index)));
}

/// Guards against two regions that both see a majority, during a partition of an hour or after it
/// heals.
#[test]
fn can_survive_a_partition_of_an_hour() {
    let mut world = World::new(60, 6, 6);
    world.run(40);
    // Zones 0 and 1 are partitioned off with 20 of 60 daemons.
    world.groups = [("zone-0".to_owned(), 1), ("zone-1".to_owned(), 1)].into();
    // A minority without the table stops within 8 s; after 3 s its configuration is unconfirmed.
    world.run(3);
    (0..60)
        .filter(|index| index % 6 <= 1)
        .for_each(|index| world.views[index].set_unconfirmed(true));
    world.run(5);
    for index in (0..60).filter(|index| index % 6 <= 1) {
        assert!(!world.sees_majority(index), "daemon {index}");
    }
    world.run(52);
    for _ in 0..59 {
        for index in 0..60 {
            assert_eq!(world.sees_majority(index), index % 6 > 1, "daemon {index}");
        }
        world.run(60);
    }
    world.groups.clear();
    world.run(120);
    world.assert_live(0..60, 60);
}

/// Guards against traffic per daemon that grows with the fleet; the target is 7 KB/s.
#[test]
fn can_keep_the_traffic_of_a_daemon_flat() {
    let mut rates = Vec::new();
    for (count, zones) in [(39, 13), (130, 13), (420, 13)] {
        let mut world = World::new(count, zones, 7);
        world.run(120);
        world.assert_live(0..count, count);
        world.bytes = 0;
        world.run(20);
        // Every byte is both sent and received, so it counts twice.
        rates.push(2 * world.bytes / 20 / count as u64);
    }
    println!("bytes per second and daemon at 39, 130 and 420 daemons: {rates:?}");
    assert!(rates.iter().all(|rate| *rate < 7_000), "{rates:?}");
    assert!(rates[2] < 2 * rates[0], "{rates:?}");
}
