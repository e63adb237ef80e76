//! Bounded priority queue of requests that wait for a worker.
//!
//! Higher priorities are served first. Within a priority, teams share by deficit round robin over
//! the cost of their requests. A full queue sheds from the lowest priority, and there from the team
//! with the most waiting requests.

use std::collections::{BTreeMap, HashMap, VecDeque};

use filbertsail_clock::Instant;

/// Cost added to the deficit of a team per round.
const QUANTUM_COST: u64 = 256;
/// Upper bound on the cost of a request; it bounds the rounds until the request is served.
const MAX_REQUEST_COST: u64 = 64 * QUANTUM_COST;

/// Request in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Priority; higher values are served first.
    pub priority: u32,
    /// Team for fair sharing.
    pub team: String,
    /// Cost, such as the number of tokens requested.
    pub cost: u64,
    /// Time at which the entry expires.
    pub deadline: Instant,
    /// Queued request.
    pub item: T,
}

// Team names come from tokens or callers, so the map uses a hasher that resists hash flooding.
#[derive(Clone, Debug)]
struct Level<T> {
    teams: HashMap<String, Team<T>>,
    rotation: VecDeque<String>,
    len: usize,
}

#[derive(Clone, Debug)]
struct Team<T> {
    entries: VecDeque<Entry<T>>,
    deficit: u64,
}

impl<T> Default for Level<T> {
    fn default() -> Self {
        Self { teams: HashMap::new(), rotation: VecDeque::new(), len: 0 }
    }
}

/// Bounded priority queue with fair sharing between teams.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    levels: BTreeMap<u32, Level<T>>,
    len: usize,
    capacity: usize,
}

impl<T> Queue<T> {
    /// Empty queue for at most `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { levels: BTreeMap::new(), len: 0, capacity }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry<T>> {
        self.levels.values().flat_map(|level| level.teams.values()).flat_map(|team| &team.entries)
    }

    /// Adds a request; returns the request that is shed if the queue is over capacity.
    pub fn push(&mut self, entry: Entry<T>) -> Option<Entry<T>> {
        self.insert(entry, false);
        if self.len > self.capacity { self.shed() } else { None }
    }

    /// Returns a popped request to the front of its team and restores its deficit.
    pub fn requeue(&mut self, entry: Entry<T>) {
        self.insert(entry, true);
    }

    /// Removes the next request to serve.
    pub fn pop(&mut self) -> Option<Entry<T>> {
        let (&priority, level) = self.levels.iter_mut().next_back()?;
        let entry = level.pop();
        if level.len == 0 {
            self.levels.remove(&priority);
        }
        if entry.is_some() {
            self.len -= 1;
        }
        entry
    }

    /// Removes and returns the expired requests.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Entry<T>> {
        self.remove_if(|entry| entry.deadline <= now)
    }

    /// Removes and returns the requests for which `predicate` is true.
    pub fn remove_if(&mut self, mut predicate: impl FnMut(&Entry<T>) -> bool) -> Vec<Entry<T>> {
        let mut removed = Vec::new();
        for level in self.levels.values_mut() {
            for team in level.teams.values_mut() {
                let (matching, rest): (Vec<_>, Vec<_>) =
                    team.entries.drain(..).partition(|entry| predicate(entry));
                team.entries.extend(rest);
                level.len -= matching.len();
                removed.extend(matching);
            }
            level.remove_empty_teams();
        }
        self.levels.retain(|_, level| level.len > 0);
        self.len -= removed.len();
        removed
    }

    fn insert(&mut self, mut entry: Entry<T>, front: bool) {
        entry.cost = entry.cost.min(MAX_REQUEST_COST);
        let level = self.levels.entry(entry.priority).or_default();
        if !level.teams.contains_key(&entry.team) {
            level.rotation.push_back(entry.team.clone());
        }
        let team = level
            .teams
            .entry(entry.team.clone())
            .or_insert_with(|| Team { entries: VecDeque::new(), deficit: 0 });
        if front {
            team.deficit = team.deficit.saturating_add(entry.cost);
            team.entries.push_front(entry);
        } else {
            team.entries.push_back(entry);
        }
        level.len += 1;
        self.len += 1;
    }

    fn shed(&mut self) -> Option<Entry<T>> {
        let (&priority, level) = self.levels.iter_mut().next()?;
        let name = level
            .teams
            .iter()
            .max_by_key(|(name, team)| (team.entries.len(), std::cmp::Reverse(*name)))
            .map(|(name, _)| name.clone())?;
        let entry = level.teams.get_mut(&name)?.entries.pop_back()?;
        level.len -= 1;
        level.remove_empty_teams();
        if level.len == 0 {
            self.levels.remove(&priority);
        }
        self.len -= 1;
        Some(entry)
    }
}

impl<T> Level<T> {
    fn pop(&mut self) -> Option<Entry<T>> {
        loop {
            let name = self.rotation.front()?.clone();
            let team = self.teams.get_mut(&name)?;
            let cost = team.entries.front()?.cost;
            if team.deficit < cost {
                team.deficit += QUANTUM_COST;
                self.rotation.rotate_left(1);
                continue;
            }
            team.deficit -= cost;
            let entry = team.entries.pop_front();
            self.len -= 1;
            if team.entries.is_empty() {
                self.teams.remove(&name);
                self.rotation.pop_front();
            }
            return entry;
        }
    }

    fn remove_empty_teams(&mut self) {
        self.teams.retain(|_, team| !team.entries.is_empty());
        let teams = &self.teams;
        self.rotation.retain(|name| teams.contains_key(name));
    }
}

#[cfg(test)]
mod tests {
    use filbertsail_clock::Instant;

    use super::{Entry, Queue};

    fn entry(priority: u32, team: &str, cost: u64, item: u32) -> Entry<u32> {
        Entry { priority, team: team.to_owned(), cost, deadline: Instant::from_millis(10), item }
    }

    /// Guards against a team that starves others with many or large requests.
    #[test]
    fn can_share_by_cost() {
        let mut queue = Queue::new(1_000);
        for item in 0..100 {
            queue.push(entry(1, "big", 1_024, item));
            queue.push(entry(1, "small", 128, item));
        }
        let first: Vec<_> = (0..45).filter_map(|_| queue.pop()).collect();
        let cost = |team| {
            first.iter().filter(|entry| entry.team == team).map(|entry| entry.cost).sum::<u64>()
        };
        assert!(cost("big").abs_diff(cost("small")) <= 1_280, "{first:?}");
    }

    /// Guards against shedding customers' requests before rollout samples.
    #[test]
    fn can_shed_the_lowest_priority_first() {
        let mut queue = Queue::new(2);
        assert_eq!(queue.push(entry(1, "trainer", 1, 1)), None);
        assert_eq!(queue.push(entry(1, "trainer", 1, 2)), None);
        assert_eq!(queue.push(entry(9, "shop", 1, 3)).map(|entry| entry.item), Some(2));
        assert_eq!(queue.push(entry(1, "trainer", 1, 4)).map(|entry| entry.item), Some(4));
        assert_eq!(queue.pop().map(|entry| entry.item), Some(3));
        assert_eq!(queue.len(), 1);
        assert_eq!(queue.remove_expired(Instant::from_millis(10)).len(), 1);
        assert!(queue.is_empty() && queue.pop().is_none());
    }
}
