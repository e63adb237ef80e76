//! Rendezvous hashing, which selects the workers that a gateway watches, the peers that a daemon
//! probes and the preferred holder of a lease.
//!
//! Every daemon computes the same ranking from the same names. When a name is added or removed,
//! only the selections that involve it change.

use std::hash::{Hash, Hasher};

use filbertsail_collections::HashSet;

/// FNV-1a hasher, which is stable across builds, so that all daemons agree on the ranking.
#[derive(Clone, Copy)]
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        // FNV mixes the last bytes poorly into the high bits, which dominate the ranking.
        let mut value = self.0;
        value ^= value >> 33;
        value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
        value ^ (value >> 33)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Rendezvous score of `node` for `key`; the node with the highest score is preferred.
#[must_use]
pub fn score(key: &str, node: &str) -> u64 {
    let mut hasher = Fnv(0xcbf2_9ce4_8422_2325);
    key.hash(&mut hasher);
    node.hash(&mut hasher);
    hasher.finish()
}

/// Rank of `node` for `key`: the number of `others` with a higher score.
pub fn rank<'a>(key: &str, node: &str, others: impl IntoIterator<Item = &'a str>) -> usize {
    let own = (score(key, node), node);
    others.into_iter().filter(|other| (score(key, other), *other) > own).count()
}

/// Node with a name and an availability zone.
pub trait Located {
    /// Unique name.
    fn name(&self) -> &str;
    fn zone(&self) -> &str;
}

/// The `count` highest-scoring nodes for `key`, with those in `zone` first.
#[must_use]
pub fn zone_first<'a, T: Located>(
    key: &str,
    zone: &str,
    nodes: impl IntoIterator<Item = &'a T>,
    count: usize,
) -> Vec<&'a T> {
    let mut ranked: Vec<_> = nodes
        .into_iter()
        .map(|node| ((node.zone() == zone, score(key, node.name()), node.name()), node))
        .collect();
    ranked.sort_unstable_by(|a, b| b.0.cmp(&a.0));
    ranked.into_iter().take(count).map(|(_, node)| node).collect()
}

/// Workers that the gateway `local` watches: its own zone-first subset of `size` workers, and those
/// that rank it among their first `observers` gateways. The latter ensure that every worker has a
/// gateway, which the subsets alone do not.
#[must_use]
pub fn watched<'a, G: Located, W: Located>(
    local: &G,
    gateways: &[G],
    workers: &'a [W],
    size: usize,
    observers: usize,
) -> Vec<&'a W> {
    let mut watched = zone_first(local.name(), local.zone(), workers, size);
    let mut names: HashSet<_> = watched.iter().map(|worker| worker.name()).collect();
    for worker in workers {
        let mut assigned =
            zone_first(worker.name(), worker.zone(), gateways, observers).into_iter();
        if assigned.any(|gateway| gateway.name() == local.name()) && names.insert(worker.name()) {
            watched.push(worker);
        }
    }
    watched
}
