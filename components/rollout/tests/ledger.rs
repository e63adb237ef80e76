//! Stateful test of the delivery ledger with lease holders, a table and a trainer, under crashes,
//! lost and late responses, outages and expired leases.
//!
//! Invariant: after recovery, the table records for each step exactly the batch that the trainer
//! accepted.

use std::collections::BTreeMap;

use filbertsail_rollout::ledger::{Cursor, Decision, Entry, Fetch, Ledger, Manifest, Table};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Number of random transition sequences.
const CASES: u32 = 20_000;

#[derive(Clone, Copy, Debug)]
enum Response {
    Received,
    LostBefore,
    LostAfter,
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Transition {
    /// The trainer fetches its next step, or the last one again, from a lease holder.
    Fetch {
        holder: usize,
        again: bool,
        commit: Response,
        delivered: bool,
    },
    /// A gateway delivers from the table.
    Direct {
        again: bool,
    },
    /// Another process acquires the lease; the earlier holder does not notice.
    TakeOver,
    /// A lease holder crashes.
    Crash {
        holder: usize,
    },
    /// A lease holder replaces the samples of all steps.
    Replace {
        holder: usize,
    },
    TableDown,
    TableUp,
    /// A delayed transaction reaches the table.
    LateCommit,
    Checkpoint,
    /// The trainer restarts from its checkpoint.
    Restart,
}

fn transition() -> impl Strategy<Value = Transition> {
    let response = prop_oneof![
        4 => Just(Response::Received),
        1 => Just(Response::LostBefore),
        1 => Just(Response::LostAfter),
        1 => Just(Response::Late),
    ];
    let fetch = (0..3_usize, prop::bool::weighted(0.2), response, prop::bool::weighted(0.7));
    prop_oneof![
        10 => fetch.prop_map(|(holder, again, commit, delivered)| {
            Transition::Fetch { holder, again, commit, delivered }
        }),
        2 => any::<bool>().prop_map(|again| Transition::Direct { again }),
        2 => Just(Transition::TakeOver),
        1 => (0..3_usize).prop_map(|holder| Transition::Crash { holder }),
        1 => (0..3_usize).prop_map(|holder| Transition::Replace { holder }),
        2 => Just(Transition::TableDown),
        2 => Just(Transition::TableUp),
        1 => Just(Transition::LateCommit),
        1 => Just(Transition::Checkpoint),
        1 => Just(Transition::Restart),
    ]
}

struct Holder {
    epoch: u64,
    ledger: Ledger,
    revision: u32,
    table: Table,
}

#[derive(Clone, Default)]
struct Trainer {
    epoch: u64,
    cursor: Option<Cursor>,
    accepted: BTreeMap<u64, String>,
}

impl Trainer {
    fn next(&self, again: bool) -> u64 {
        let last = self.accepted.keys().next_back().copied().unwrap_or(0);
        if again && last > 0 { last } else { last + 1 }
    }

    /// Accepts a batch unless a superseded lease holder delivers it.
    fn accept(&mut self, epoch: u64, step: u64, digest: &str, entries: Vec<Entry>) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        self.cursor = (!entries.is_empty()).then_some(Cursor { epoch, entries });
        let first = self.accepted.entry(step).or_insert_with(|| digest.to_owned());
        assert_eq!(first, digest, "step {step} was delivered twice with different samples");
    }
}

#[derive(Default)]
struct Simulation {
    rows: BTreeMap<u64, Manifest>,
    epoch: u64,
    down: bool,
    late: Vec<(u64, Entry)>,
    holders: Vec<Holder>,
    trainer: Trainer,
    checkpoint: Trainer,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self::default();
        simulation.take_over();
        simulation
    }

    fn take_over(&mut self) {
        if self.down {
            return;
        }
        self.epoch += 1;
        let rows = self.rows.iter();
        let recorded = rows.map(|(step, it)| Entry { step: *step, manifest: it.clone() });
        let ledger = Ledger::new(self.epoch, recorded);
        self.holders.push(Holder { epoch: self.epoch, ledger, revision: 0, table: Table::Up });
        if self.holders.len() > 3 {
            self.holders.remove(0);
        }
    }

    fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::Fetch { holder, again, commit, delivered } => {
                if holder < self.holders.len() {
                    let step = self.trainer.next(again);
                    self.fetch(holder, step, commit, delivered);
                }
            }
            Transition::Direct { again } => self.direct(self.trainer.next(again)),
            Transition::TakeOver => self.take_over(),
            Transition::Crash { holder } => {
                if holder < self.holders.len() {
                    self.holders.remove(holder);
                }
            }
            Transition::Replace { holder } => {
                if let Some(holder) = self.holders.get_mut(holder) {
                    holder.revision += 1;
                }
            }
            Transition::TableDown => self.down = true,
            Transition::TableUp => self.down = false,
            Transition::LateCommit => {
                if let Some((epoch, entry)) = self.late.pop() {
                    self.insert(epoch, &entry);
                }
            }
            Transition::Checkpoint => self.checkpoint = self.trainer.clone(),
            Transition::Restart => self.trainer = self.checkpoint.clone(),
        }
    }

    fn direct(&mut self, step: u64) {
        if self.down || self.trainer.cursor.is_some() {
            return;
        }
        if let Some(manifest) = self.rows.get(&step) {
            self.trainer.accept(self.epoch, step, &manifest.digest, Vec::new());
        }
    }

    /// Runs the decisions of a lease holder until it delivers or has to wait.
    fn fetch(&mut self, index: usize, step: u64, commit: Response, delivered: bool) {
        let mut holder = self.holders.remove(index);
        let fetch = Fetch { step, version: 1, cursor: self.trainer.cursor.clone() };
        holder.table = if self.down { Table::Down } else { holder.table };
        let mut is_running = true;
        for round in 0..6 {
            let digest = format!("{step}-{}-{}", holder.epoch, holder.revision);
            let object = digest.clone();
            let epoch = holder.epoch;
            let candidate = Manifest { epoch, digest, object, oldest: 1, bound: 1 };
            match holder.ledger.decide(&fetch, Some(candidate), holder.table) {
                Decision::Record(record) => {
                    if self.down || self.epoch != epoch {
                        is_running = self.down;
                        break;
                    }
                    for entry in record.accepted {
                        self.rows.insert(entry.step, entry.manifest.clone());
                        holder.ledger.mark_recorded(entry);
                    }
                    for Entry { step, manifest } in record.unconfirmed {
                        let manifest = self.rows.entry(step).or_insert(manifest).clone();
                        holder.ledger.mark_recorded(Entry { step, manifest });
                    }
                }
                Decision::Commit(entry) => {
                    let response = if round == 0 { commit } else { Response::Received };
                    is_running = self.commit(&mut holder, entry, response);
                    // Without a caller there is no delivery by cursor either.
                    if !is_running || holder.table == Table::Down && !delivered {
                        break;
                    }
                }
                Decision::Deliver { manifest, cursor } => {
                    // A holder checks its lease before a delivery; during an outage the trainer
                    // rejects superseded holders.
                    let held = self.epoch == epoch || holder.table == Table::Down;
                    if delivered && held {
                        self.trainer.accept(epoch, step, &manifest.digest, cursor);
                    }
                    break;
                }
                Decision::Superseded | Decision::Wait | Decision::Stale => break,
            }
        }
        if is_running {
            holder.table = if self.down { Table::Down } else { Table::Up };
            self.holders.insert(index, holder);
        }
    }

    /// Returns whether the lease holder continues after the commit.
    fn commit(&mut self, holder: &mut Holder, entry: Entry, response: Response) -> bool {
        let step = entry.step;
        if self.down {
            holder.table = Table::Down;
            return true;
        }
        match response {
            Response::Received => {
                if self.epoch != holder.epoch {
                    return false;
                }
                self.insert(holder.epoch, &entry);
                let manifest = self.rows[&step].clone();
                holder.ledger.mark_recorded(Entry { step, manifest });
            }
            Response::LostBefore | Response::LostAfter | Response::Late => {
                holder.ledger.record_uncertain_commit(entry.clone());
                match response {
                    Response::LostAfter => self.insert(holder.epoch, &entry),
                    Response::Late => self.late.push((holder.epoch, entry)),
                    _ => {}
                }
                holder.table = Table::Down;
            }
        }
        true
    }

    /// Fenced transaction that writes a manifest if the step has none.
    fn insert(&mut self, epoch: u64, entry: &Entry) {
        if epoch == self.epoch {
            self.rows.entry(entry.step).or_insert_with(|| entry.manifest.clone());
        }
    }

    /// Ends all faults; a new lease holder then records the content of the trainer's cursor.
    fn recover(&mut self) {
        self.down = false;
        self.take_over();
        let step = self.trainer.next(false);
        self.fetch(self.holders.len() - 1, step, Response::Received, true);
    }

    fn check(&self) {
        for (step, digest) in &self.trainer.accepted {
            let recorded = self.rows.get(step).map(|row| &row.digest);
            assert_eq!(recorded, Some(digest), "step {step} is recorded with different samples");
        }
    }
}

fn simulate(transitions: impl IntoIterator<Item = Transition>) {
    let mut simulation = Simulation::new();
    for transition in transitions {
        simulation.apply(transition);
    }
    simulation.recover();
    simulation.check();
}

fn fetch(holder: usize, commit: Response, delivered: bool) -> Transition {
    Transition::Fetch { holder, again: false, commit, delivered }
}

/// Guards against a recorded batch that is replaced by one that was never accepted.
#[test]
fn can_keep_a_recorded_batch_over_an_unconfirmed_one() {
    simulate([
        fetch(0, Response::Late, false),
        Transition::Replace { holder: 0 },
        Transition::TableDown,
        fetch(0, Response::Received, false),
        Transition::TableUp,
        Transition::LateCommit,
        Transition::Direct { again: false },
        fetch(0, Response::Received, true),
    ]);
}

/// Guards against a lease holder that delivers a batch of its own term during an outage after a
/// newer holder has replaced it.
#[test]
fn can_include_a_recorded_batch_in_the_cursor() {
    simulate([
        Transition::TakeOver,
        fetch(1, Response::Received, false),
        fetch(0, Response::LostBefore, true),
        Transition::TakeOver,
        fetch(2, Response::Received, false),
        Transition::Restart,
        Transition::TableDown,
        fetch(1, Response::Received, true),
        Transition::TableUp,
    ]);
}

/// Guards against steps that are lost, delivered twice, or recorded with samples that the trainer
/// did not accept.
#[test]
fn can_deliver_exactly_once() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let transitions = prop::collection::vec(transition(), 1..40);
    let result = runner.run(&transitions, |transitions| {
        simulate(transitions);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
