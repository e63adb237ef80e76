//! Worker subsetting by rendezvous hashing, local zone first.
//!
//! Each gateway scores the workers by a hash of both names and uses those with the highest scores.
//! Adding or removing one gateway or worker changes only the assignments that involve it.

use std::hash::{DefaultHasher, Hash, Hasher};

/// One worker in this many comes from another zone, so that a zone outage leaves some workers.
const REMOTE_ZONE_DIVISOR: usize = 4;

/// Rendezvous score of a worker for a gateway, the same in every process.
#[must_use]
pub fn score(gateway: &str, worker: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    gateway.hash(&mut hasher);
    worker.hash(&mut hasher);
    hasher.finish()
}

/// Indices of at most `size` of `workers`, given as (name, zone), for `gateway` in `zone`.
#[must_use]
pub fn select(gateway: &str, zone: &str, workers: &[(&str, &str)], size: usize) -> Vec<usize> {
    if workers.len() <= size {
        return (0..workers.len()).collect();
    }
    let (mut local, mut remote): (Vec<usize>, Vec<usize>) =
        (0..workers.len()).partition(|&index| workers[index].1 == zone);
    for part in [&mut local, &mut remote] {
        part.sort_by_key(|&index| (std::cmp::Reverse(score(gateway, workers[index].0)), index));
    }
    let remote_min = (size / REMOTE_ZONE_DIVISOR).min(remote.len());
    let local_count = local.len().min(size - remote_min);
    local.truncate(local_count);
    local.extend(remote.into_iter().take(size - local_count));
    local.sort_unstable();
    local
}

#[cfg(test)]
mod tests {
    use super::select;

    /// Guards against a subset that is reshuffled when one worker leaves, or has only one zone.
    #[test]
    fn can_stay_stable_and_span_zones() {
        let names: Vec<String> = (0..200).map(|index| format!("w-{index}")).collect();
        let zones = ["a", "b", "c"];
        let workers: Vec<(&str, &str)> =
            names.iter().enumerate().map(|(index, name)| (&**name, zones[index % 3])).collect();
        let first = select("g", "a", &workers, 40);
        assert_eq!(first.len(), 40);
        assert_eq!(first.iter().filter(|&&index| workers[index].1 == "a").count(), 30);
        let second = select("g", "a", &workers[..199], 40);
        let kept = second.iter().filter(|index| first.contains(index)).count();
        assert!(kept >= 39, "{kept}");
    }
}
