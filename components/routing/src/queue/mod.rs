//! Bounded queue of requests that wait for a worker.
//!
//! Levels of higher priority go first. Within a level the teams share by deficit round robin over
//! the cost of their requests. When the queue is full, the lowest level loses first, and within it
//! the team that holds most of it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use filbertsail_clock::Instant;

/// Cost that a team may spend per round.
const QUANTUM: u64 = 256;
/// Largest cost that is counted; it bounds the rounds until a turn.
const MAX_COST: u64 = 64 * QUANTUM;

/// Waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Higher goes first.
    pub priority: u32,
    /// Team that shares with others.
    pub team: String,
    /// Cost, such as the number of tokens asked for.
    pub cost: u64,
    /// When waiting longer is of no use.
    pub deadline: Instant,
    /// The request.
    pub item: T,
}

// Team names come from tokens or callers, so the map's hasher must resist chosen keys.
#[derive(Clone, Debug)]
struct Level<T> {
    teams: HashMap<String, Team<T>>,
    turns: VecDeque<String>,
    len: usize,
}

#[derive(Clone, Debug)]
struct Team<T> {
    entries: VecDeque<Entry<T>>,
    deficit: u64,
}

impl<T> Default for Level<T> {
    fn default() -> Self {
        Self { teams: HashMap::new(), turns: VecDeque::new(), len: 0 }
    }
}

/// Bounded queue.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    levels: BTreeMap<u32, Level<T>>,
    len: usize,
    capacity: usize,
}

impl<T> Queue<T> {
    /// Queue for at most `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { levels: BTreeMap::new(), len: 0, capacity }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Waiting requests, in no useful order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry<T>> {
        self.levels.values().flat_map(|level| level.teams.values()).flat_map(|team| &team.entries)
    }

    /// Adds a request; returns the one that must go when the queue is full.
    pub fn push(&mut self, entry: Entry<T>) -> Option<Entry<T>> {
        self.insert(entry, false);
        if self.len > self.capacity { self.shed() } else { None }
    }

    /// Puts back a request that was popped and found no worker.
    pub fn put_back(&mut self, entry: Entry<T>) {
        self.insert(entry, true);
    }

    /// Next request.
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

    /// Removes requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Entry<T>> {
        self.remove_if(|entry| entry.deadline <= now)
    }

    /// Removes the requests that `gone` selects.
    pub fn remove_if(&mut self, mut gone: impl FnMut(&Entry<T>) -> bool) -> Vec<Entry<T>> {
        let mut removed = Vec::new();
        for level in self.levels.values_mut() {
            for team in level.teams.values_mut() {
                let (out, keep): (Vec<_>, Vec<_>) =
                    team.entries.drain(..).partition(|entry| gone(entry));
                team.entries.extend(keep);
                level.len -= out.len();
                removed.extend(out);
            }
            level.forget_idle_teams();
        }
        self.levels.retain(|_, level| level.len > 0);
        self.len -= removed.len();
        removed
    }

    fn insert(&mut self, mut entry: Entry<T>, front: bool) {
        entry.cost = entry.cost.min(MAX_COST);
        let level = self.levels.entry(entry.priority).or_default();
        if !level.teams.contains_key(&entry.team) {
            level.turns.push_back(entry.team.clone());
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
        level.forget_idle_teams();
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
            let name = self.turns.front()?.clone();
            let team = self.teams.get_mut(&name)?;
            let cost = team.entries.front()?.cost;
            if team.deficit < cost {
                team.deficit += QUANTUM;
                self.turns.rotate_left(1);
                continue;
            }
            team.deficit -= cost;
            let entry = team.entries.pop_front();
            self.len -= 1;
            if team.entries.is_empty() {
                self.teams.remove(&name);
                self.turns.pop_front();
            }
            return entry;
        }
    }

    fn forget_idle_teams(&mut self) {
        self.teams.retain(|_, team| !team.entries.is_empty());
        let teams = &self.teams;
        self.turns.retain(|name| teams.contains_key(name));
    }
}

#[cfg(test)]
mod tests {
    use filbertsail_clock::Instant;

    use super::{Entry, Queue};

    fn entry(priority: u32, team: &str, cost: u64, item: u32) -> Entry<u32> {
        Entry { priority, team: team.to_owned(), cost, deadline: Instant::from_millis(10), item }
    }

    /// Guards against a team that gets all turns by many or by large requests.
    #[test]
    fn can_share_by_cost() {
        let mut queue = Queue::new(1_000);
        for item in 0..100 {
            queue.push(entry(1, "big", 1_024, item));
            queue.push(entry(1, "small", 128, item));
        }
        let first: Vec<_> = (0..45).filter_map(|_| queue.pop()).collect();
        let cost = |team| first.iter().filter(|it| it.team == team).map(|it| it.cost).sum::<u64>();
        assert!(cost("big").abs_diff(cost("small")) <= 1_280, "{first:?}");
    }

    /// Guards against customers who are shed while rollout samples keep their place.
    #[test]
    fn can_shed_the_lowest_priority_first() {
        let mut queue = Queue::new(2);
        assert_eq!(queue.push(entry(1, "trainer", 1, 1)), None);
        assert_eq!(queue.push(entry(1, "trainer", 1, 2)), None);
        assert_eq!(queue.push(entry(9, "shop", 1, 3)).map(|it| it.item), Some(2));
        assert_eq!(queue.push(entry(1, "trainer", 1, 4)).map(|it| it.item), Some(4));
        assert_eq!(queue.pop().map(|it| it.item), Some(3));
        assert_eq!(queue.len(), 1);
        assert_eq!(queue.expire(Instant::from_millis(10)).len(), 1);
        assert!(queue.is_empty() && queue.pop().is_none());
    }
}
