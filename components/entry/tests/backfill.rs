//! Dispatch of items while longer ones wait for the memory of the engines.
//!
//! Load: six engines with 16 slots and memory for four items of the largest size. Each step has
//! items of that size, which run for nine seconds, and short ones. One engine is lost while all of
//! them run, so that its items wait for the memory of the others.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use filbertsail_entry::{
    batch::{
        Item, Meta, Owner, Submission, Writer,
        backfill::Shortage,
        execution::Execution,
        plan::{self, Scope},
    },
    config::Engine,
    fleet::{End, Entry, Fleet, Run, Worker},
};

const KV_TOKENS: u64 = 43_000;
const PROMPT_TOKENS: u64 = 280;
const EVENT_MS: u64 = 50;
const LONG_EVENTS: u64 = 174;
const SHORT_EVENTS: u64 = 5;
const TOKENS_PER_EVENT: u64 = 61;
const ROUND_MS: u64 = 40;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn entry(index: usize) -> Entry {
    Entry {
        id: format!("e{index}"),
        service: "lm".to_owned(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: "a".to_owned(),
        slots: 16,
        draining: false,
        started_ms: Some(1),
        sequence: None,
        models: vec![("m".to_owned(), 1)],
        warmup_left: Duration::ZERO,
        is_spot: false,
        leaves_in: None,
    }
}

/// Step with items of these lengths in events.
fn execution(name: &str, lengths: &[u64]) -> Execution {
    let item = |(index, events): (usize, &u64)| Item {
        id: format!("{name}-{index}"),
        path: "/x/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        group: 0,
        prompt_tokens: PROMPT_TOKENS,
        max_tokens: events * TOKENS_PER_EVENT,
        expected_tokens: events * TOKENS_PER_EVENT,
        reward: None,
    };
    let submission = Arc::new(Submission {
        model: "m".to_owned(),
        wanted: 1,
        groups: vec!["g".to_owned()],
        items: lengths.iter().enumerate().map(item).collect(),
        ..Submission::default()
    });
    let meta = Meta {
        owner: Some(Owner { vm: "vm-1".to_owned(), incarnation: 1 }),
        epoch: 1,
        writer: Writer { vm: "vm-1".to_owned(), call: 1 },
        chunks: 1,
        total: u32::try_from(lengths.len()).expect("small"),
        host: "h".to_owned(),
        model: "m".to_owned(),
        lag: None,
        groups: Vec::new(),
        accepted_ms: 0,
        ended: false,
        complete: false,
        config_version: 1,
        work: 0,
        workspace: None,
        is_public: false,
    };
    let mut execution = Execution::new(name, meta, 1, submission, at(0), Vec::new(), Vec::new());
    execution.tokens_per_event = TOKENS_PER_EVENT;
    execution.mark_wanted_groups(|_| false);
    execution
}

/// Replay of the rounds of one owner. Items run for exactly their expected time.
struct Replay {
    fleet: Fleet,
    executions: Vec<Execution>,
    /// Running items: execution, item, worker, tokens and end in milliseconds.
    running: Vec<(usize, usize, Key<Worker>, u64, u64)>,
    /// Time of dispatch in milliseconds, by execution and item.
    sent: BTreeMap<(usize, usize), u64>,
    /// Most items tried in a round that found no engine.
    misses: usize,
}

impl Replay {
    fn new(engines: usize) -> Self {
        let mut fleet = Fleet::default();
        for index in 0..engines {
            fleet.apply_entry(entry(index));
            let key = fleet.key(&format!("e{index}")).expect("known");
            fleet.record_interval(key, EVENT_MS as f64, at(0));
        }
        let (executions, running) = (Vec::new(), Vec::new());
        Self { fleet, executions, running, sent: BTreeMap::new(), misses: 0 }
    }

    fn lose(&mut self, id: &str) {
        let lost = self.fleet.key(id).expect("known");
        self.fleet.remove_entry(id, false, at(0));
        self.running.retain(|(execution, item, worker, ..)| {
            if *worker == lost {
                self.sent.remove(&(*execution, *item));
            }
            *worker != lost
        });
    }

    fn round(&mut self, now: u64) {
        let (ended, running) = self.running.iter().partition(|(.., end)| *end <= now);
        self.running = running;
        let ended: Vec<(usize, usize, Key<Worker>, u64, u64)> = ended;
        for (_, _, worker, tokens, _) in ended {
            self.fleet.record_completion(worker, tokens, End::Success, at(now), 0.0);
        }
        let engine = Engine {
            slots: 16,
            kv_tokens: KV_TOKENS,
            tokens_per_event: TOKENS_PER_EVENT,
            models: Vec::new(),
        };
        let executions: Vec<&Execution> = self.executions.iter().collect();
        let mut shortage = Shortage::default();
        let mut misses = 0;
        for (index, item) in plan::dispatch_order(&executions, at(now)) {
            let execution = &self.executions[index];
            if self.sent.contains_key(&(index, item)) || !shortage.allows(execution, item, "lm") {
                continue;
            }
            let reservations = shortage.reservations().to_vec();
            let scope =
                Scope { service: "lm", zone: "a", engine: &engine, reservations: &reservations };
            let Some(placement) = plan::place_item(execution, item, &scope, &self.fleet, at(now))
            else {
                misses += 1;
                let run = |&(_, _, worker, tokens, end)| Run { worker, tokens, ends_at: at(end) };
                let runs = || self.running.iter().map(run).collect();
                shortage.record(execution, item, &scope, &self.fleet, runs, at(now));
                continue;
            };
            let events = execution.submission.items[item].expected_tokens / TOKENS_PER_EVENT;
            self.fleet.record_dispatch(placement.worker, placement.tokens, at(now));
            self.sent.insert((index, item), now);
            let end = now + events * EVENT_MS;
            self.running.push((index, item, placement.worker, placement.tokens, end));
        }
        self.misses = self.misses.max(misses);
    }
}

fn lengths(long: usize, short: usize) -> Vec<u64> {
    [vec![LONG_EVENTS; long], vec![SHORT_EVENTS; short]].concat()
}

/// Guards against short items that wait behind a long one for which no engine has memory: 30 of
/// them were never sent while at most 15 of 80 slots were taken.
#[test]
fn can_send_short_items_while_long_ones_wait() {
    let mut replay = Replay::new(6);
    replay.executions.push(execution("one", &lengths(18, 30)));
    replay.executions.push(execution("two", &[]));
    for now in (0..30_000).step_by(ROUND_MS as usize) {
        if now == 3_000 {
            replay.lose("e0");
        }
        if now == 4_000 {
            replay.executions[1] = execution("two", &lengths(18, 30));
        }
        replay.round(now);
    }
    let waits: Vec<u64> = (18..48).map(|item| replay.sent[&(1, item)] - 4_000).collect();
    assert!(waits.iter().all(|wait| *wait <= 1_000), "{waits:?}");
    assert_eq!(replay.sent.len(), 96, "an item was never sent");
    assert!(replay.misses <= 4, "{} items were tried in vain in one round", replay.misses);
}

/// Guards against a long item that waits for good because short ones, of which further ones arrive
/// all the time, always take the memory that becomes free.
#[test]
fn can_send_a_long_item_past_a_flow_of_short_ones() {
    // The items of the flow take a tenth of the memory and end one after the other, so that no
    // engine is ever idle.
    let flow: Vec<u64> = (0..400).map(|index| 40 + index * 7 % 31).collect();
    let longest_ms = flow.iter().max().expect("not empty") * EVENT_MS;
    let mut replay = Replay::new(2);
    replay.executions.push(execution("flow", &flow));
    (0..2_000).step_by(ROUND_MS as usize).for_each(|now| replay.round(now));
    replay.executions.push(execution("long", &[690]));
    (2_000..20_000).step_by(ROUND_MS as usize).for_each(|now| replay.round(now));
    let sent = replay.sent.get(&(1, 0)).copied();
    assert!(replay.running.len() > 2 && replay.sent.len() < 401, "the flow has ended");
    // All items that run when it arrives have ended by then.
    assert!(sent.is_some_and(|sent| sent <= 2_000 + longest_ms + ROUND_MS), "sent at {sent:?}");
}

/// Guards against a reserved engine that stays idle although an item would end before the
/// reservation is due, and against items that would end later.
#[test]
fn can_use_a_reserved_engine_until_it_is_due() {
    let mut replay = Replay::new(1);
    replay.executions.push(execution("one", &[400]));
    replay.round(0);
    // Waits for the item above, which ends after 20 s.
    replay.executions.push(execution("two", &[399, 60, 5]));
    (40..30_000).step_by(ROUND_MS as usize).for_each(|now| replay.round(now));
    assert_eq!(replay.sent[&(1, 1)], 40);
    assert_eq!(replay.sent[&(1, 2)], 40);
    assert_eq!(replay.sent[&(1, 0)], 20_000);

    let mut replay = Replay::new(1);
    replay.executions.push(execution("one", &[400]));
    replay.round(0);
    (40..19_000).step_by(ROUND_MS as usize).for_each(|now| replay.round(now));
    replay.executions.push(execution("two", &[399, 60, 5]));
    (19_000..30_000).step_by(ROUND_MS as usize).for_each(|now| replay.round(now));
    assert_eq!(replay.sent[&(1, 2)], 19_000);
    assert_eq!(replay.sent[&(1, 0)], 20_000);
    assert!(replay.sent[&(1, 1)] >= 20_000, "it would have ended after the reservation was due");
}
