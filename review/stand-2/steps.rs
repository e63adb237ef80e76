//! Check of the rule on items that wait although workers are free.

use std::time::{Duration, Instant};

use crate::{
    client::{Item, Listed},
    record::Record,
    worker::Run,
};

/// Bound of the rule: an item has been at no worker for so long.
pub const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// A run that its sender ends, or whose time is up, within this time doesn't count.
pub const SHORT_RUN: Duration = Duration::from_secs(1);

/// Step that a trainer has ended or read to its end.
pub struct Step {
    pub name: &'static str,
    pub items: Vec<Item>,
    pub listed: Vec<Listed>,
    pub ended_at: Instant,
}

/// Places at all engines: taken ones, seen ten times a second, and available ones.
pub struct Places<'a> {
    pub taken: &'a [(Instant, usize)],
    pub available: usize,
}

/// Items for which the rule is broken, in the order of the submission. Steady state begins at
/// `steady_from`.
pub fn idle_items(
    step: &Step,
    runs: &[Run],
    places: &Places<'_>,
    steady_from: Instant,
    record: &Record,
) -> Vec<String> {
    let Step { name, items, listed, ended_at } = step;
    if listed.len() == items.len() {
        record.say(&format!("{name}: all {} items listed", items.len()));
        return Vec::new();
    }
    let since = *ended_at - IDLE_LIMIT;
    let busiest = places.taken.iter().filter(|(at, _)| *at >= since && *at <= *ended_at);
    let busiest = busiest.map(|(_, taken)| *taken).max().unwrap_or(0);
    let has_begun = |item: &&Item| runs.iter().any(|run| run.id == item.id && run.began.is_some());
    let begun = items.iter().filter(has_begun).count();
    let is_idle = |item: &&Item| {
        let of_item = || runs.iter().filter(|run| run.id == item.id);
        let is_open = !listed.iter().any(|result| result.id == item.id)
            && !of_item().any(|run| run.how == "complete");
        let counts =
            |run: &&Run| run.ended.unwrap_or(*ended_at).min(*ended_at) > run.arrived + SHORT_RUN;
        let at_worker = of_item()
            .filter(counts)
            .any(|run| run.arrived <= *ended_at && run.ended.is_none_or(|at| at > since));
        is_open && !at_worker
    };
    let idle: Vec<String> = items.iter().filter(is_idle).map(|item| item.id.clone()).collect();
    record.say(&format!(
        "{name}: ran out of time with {} of {} items listed, {begun} had begun; {} items were at no worker in its \
         last 5 s, while at most {busiest} of {} places were taken",
        listed.len(), items.len(), idle.len(), places.available
    ));
    let applies = since >= steady_from && begun > 0 && busiest * 2 < places.available;
    if applies { idle } else { Vec::new() }
}
