//! Rendezvous subsetting of workers, own zone first.
//!
//! Each gateway ranks the workers by a hash of both names and keeps the best. A change of one
//! gateway or worker moves only its own share.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Share of the subset that comes from other zones, so that a lost zone leaves some workers.
const OTHER_ZONES_SHARE: usize = 4;

/// Rank of a pair, the same in every process.
#[must_use]
pub fn rank(gateway: &str, worker: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    gateway.hash(&mut hasher);
    worker.hash(&mut hasher);
    hasher.finish()
}

/// Positions of at most `size` of `workers` (name, zone) for `gateway` in `zone`.
#[must_use]
pub fn choose(gateway: &str, zone: &str, workers: &[(&str, &str)], size: usize) -> Vec<usize> {
    if workers.len() <= size {
        return (0..workers.len()).collect();
    }
    let (mut own, mut others): (Vec<usize>, Vec<usize>) =
        (0..workers.len()).partition(|&index| workers[index].1 == zone);
    for part in [&mut own, &mut others] {
        part.sort_by_key(|&index| (std::cmp::Reverse(rank(gateway, workers[index].0)), index));
    }
    let reserved = (size / OTHER_ZONES_SHARE).min(others.len());
    let from_own = own.len().min(size - reserved);
    own.truncate(from_own);
    own.extend(others.into_iter().take(size - from_own));
    own.sort_unstable();
    own
}

#[cfg(test)]
mod tests {
    use super::choose;

    /// Guards against a subset that reshuffles when one worker leaves, or that has one zone only.
    #[test]
    fn can_stay_stable_and_span_zones() {
        let names: Vec<String> = (0..200).map(|index| format!("w-{index}")).collect();
        let zones = ["a", "b", "c"];
        let workers: Vec<(&str, &str)> =
            names.iter().enumerate().map(|(index, name)| (&**name, zones[index % 3])).collect();
        let first = choose("g", "a", &workers, 40);
        assert_eq!(first.len(), 40);
        assert_eq!(first.iter().filter(|&&index| workers[index].1 == "a").count(), 30);
        let second = choose("g", "a", &workers[..199], 40);
        let kept = second.iter().filter(|index| first.contains(index)).count();
        assert!(kept >= 39, "{kept}");
    }
}
