//! Stateful test of the delivery ledger: holders, a table and a trainer under crashes, lost and
//! late answers, outages and expired leases.
//!
//! The oracle is the trainer's own history: whatever happens, once everything works again the
//! table names for each step exactly the batch that the trainer took.

use std::collections::BTreeMap;

use filbertsail_rollout::ledger::{Decision, Echo, Fetch, Ledger, Manifest, Table, Taken};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Sequences of transitions tried.
const CASES: u32 = 20_000;

#[derive(Clone, Copy, Debug)]
enum Answer {
    Arrives,
    LostBefore,
    LostAfter,
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Transition {
    /// The trainer fetches its next step, or the last one again, from a holder.
    Fetch {
        holder: usize,
        again: bool,
        commit: Answer,
        delivered: bool,
    },
    /// A gateway answers from the table.
    Direct {
        again: bool,
    },
    /// Another process takes the lease; the old holder does not notice.
    TakeOver,
    /// A holder dies.
    Kill {
        holder: usize,
    },
    /// A holder replaces the samples of all its steps.
    Replace {
        holder: usize,
    },
    TableDown,
    TableUp,
    /// A late transaction reaches the table.
    LateArrives,
    Checkpoint,
    /// The trainer restarts from its checkpoint.
    Restart,
}

fn transition() -> impl Strategy<Value = Transition> {
    let answer = prop_oneof![
        4 => Just(Answer::Arrives),
        1 => Just(Answer::LostBefore),
        1 => Just(Answer::LostAfter),
        1 => Just(Answer::Late),
    ];
    let fetch = (0..3_usize, prop::bool::weighted(0.2), answer, prop::bool::weighted(0.7));
    prop_oneof![
        10 => fetch.prop_map(|(holder, again, commit, delivered)| {
            Transition::Fetch { holder, again, commit, delivered }
        }),
        2 => any::<bool>().prop_map(|again| Transition::Direct { again }),
        2 => Just(Transition::TakeOver),
        1 => (0..3_usize).prop_map(|holder| Transition::Kill { holder }),
        1 => (0..3_usize).prop_map(|holder| Transition::Replace { holder }),
        2 => Just(Transition::TableDown),
        2 => Just(Transition::TableUp),
        1 => Just(Transition::LateArrives),
        1 => Just(Transition::Checkpoint),
        1 => Just(Transition::Restart),
    ]
}

struct Holder {
    epoch: u64,
    ledger: Ledger,
    salt: u32,
    table: Table,
}

#[derive(Clone, Default)]
struct Trainer {
    epoch: u64,
    echo: Option<Echo>,
    taken: BTreeMap<u64, String>,
}

impl Trainer {
    fn next(&self, again: bool) -> u64 {
        let last = self.taken.keys().next_back().copied().unwrap_or(0);
        if again && last > 0 { last } else { last + 1 }
    }

    /// Takes a batch unless a superseded holder delivered it.
    fn accept(&mut self, epoch: u64, step: u64, digest: &str, cursor: Vec<Taken>) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        self.echo = (!cursor.is_empty()).then_some(Echo { epoch, taken: cursor });
        let first = self.taken.entry(step).or_insert_with(|| digest.to_owned());
        assert_eq!(first, digest, "step {step} delivered twice with different samples");
    }
}

#[derive(Default)]
struct World {
    rows: BTreeMap<u64, Manifest>,
    epoch: u64,
    down: bool,
    late: Vec<(u64, Taken)>,
    holders: Vec<Holder>,
    trainer: Trainer,
    checkpoint: Trainer,
}

impl World {
    fn new() -> Self {
        let mut world = Self::default();
        world.take_over();
        world
    }

    fn take_over(&mut self) {
        if self.down {
            return;
        }
        self.epoch += 1;
        let rows = self.rows.iter();
        let recorded = rows.map(|(step, it)| Taken { step: *step, manifest: it.clone() });
        let ledger = Ledger::new(self.epoch, recorded);
        self.holders.push(Holder { epoch: self.epoch, ledger, salt: 0, table: Table::Up });
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
            Transition::Kill { holder } => {
                if holder < self.holders.len() {
                    self.holders.remove(holder);
                }
            }
            Transition::Replace { holder } => {
                if let Some(holder) = self.holders.get_mut(holder) {
                    holder.salt += 1;
                }
            }
            Transition::TableDown => self.down = true,
            Transition::TableUp => self.down = false,
            Transition::LateArrives => {
                if let Some((epoch, taken)) = self.late.pop() {
                    self.insert(epoch, &taken);
                }
            }
            Transition::Checkpoint => self.checkpoint = self.trainer.clone(),
            Transition::Restart => self.trainer = self.checkpoint.clone(),
        }
    }

    fn direct(&mut self, step: u64) {
        if self.down || self.trainer.echo.is_some() {
            return;
        }
        if let Some(manifest) = self.rows.get(&step) {
            self.trainer.accept(self.epoch, step, &manifest.digest, Vec::new());
        }
    }

    /// Lets a holder decide until it delivers or can do no more.
    fn fetch(&mut self, index: usize, step: u64, commit: Answer, delivered: bool) {
        let mut holder = self.holders.remove(index);
        let fetch = Fetch { step, version: 1, echo: self.trainer.echo.clone() };
        holder.table = if self.down { Table::Down } else { holder.table };
        let mut alive = true;
        for round in 0..6 {
            let digest = format!("{step}-{}-{}", holder.epoch, holder.salt);
            let object = digest.clone();
            let epoch = holder.epoch;
            let candidate = Manifest { epoch, digest, object, oldest: 1, bound: 1 };
            match holder.ledger.decide(&fetch, Some(candidate), holder.table) {
                Decision::Record(record) => {
                    if self.down || self.epoch != epoch {
                        alive = self.down;
                        break;
                    }
                    for taken in record.stated {
                        self.rows.insert(taken.step, taken.manifest.clone());
                        holder.ledger.recorded(taken);
                    }
                    for Taken { step, manifest } in record.offered {
                        let manifest = self.rows.entry(step).or_insert(manifest).clone();
                        holder.ledger.recorded(Taken { step, manifest });
                    }
                }
                Decision::Commit(taken) => {
                    let answer = if round == 0 { commit } else { Answer::Arrives };
                    alive = self.commit(&mut holder, taken, answer);
                    // A caller that is gone gets no delivery by cursor either.
                    if !alive || holder.table == Table::Down && !delivered {
                        break;
                    }
                }
                Decision::Deliver { manifest, cursor } => {
                    // A holder looks at its lease before it delivers; without the table it relies
                    // on the trainer.
                    let held = self.epoch == epoch || holder.table == Table::Down;
                    if delivered && held {
                        self.trainer.accept(epoch, step, &manifest.digest, cursor);
                    }
                    break;
                }
                Decision::Superseded | Decision::Wait | Decision::Stale => break,
            }
        }
        if alive {
            holder.table = if self.down { Table::Down } else { Table::Up };
            self.holders.insert(index, holder);
        }
    }

    /// Whether the holder goes on after its commit.
    fn commit(&mut self, holder: &mut Holder, taken: Taken, answer: Answer) -> bool {
        let step = taken.step;
        if self.down {
            holder.table = Table::Down;
            return true;
        }
        match answer {
            Answer::Arrives => {
                if self.epoch != holder.epoch {
                    return false;
                }
                self.insert(holder.epoch, &taken);
                let manifest = self.rows[&step].clone();
                holder.ledger.recorded(Taken { step, manifest });
            }
            Answer::LostBefore | Answer::LostAfter | Answer::Late => {
                holder.ledger.uncertain(taken.clone());
                match answer {
                    Answer::LostAfter => self.insert(holder.epoch, &taken),
                    Answer::Late => self.late.push((holder.epoch, taken)),
                    _ => {}
                }
                holder.table = Table::Down;
            }
        }
        true
    }

    /// Fenced transaction that writes a manifest where there is none.
    fn insert(&mut self, epoch: u64, taken: &Taken) {
        if epoch == self.epoch {
            self.rows.entry(taken.step).or_insert_with(|| taken.manifest.clone());
        }
    }

    /// Ends all faults; a new holder then records what the trainer's cursor states.
    fn heal(&mut self) {
        self.down = false;
        self.take_over();
        let step = self.trainer.next(false);
        self.fetch(self.holders.len() - 1, step, Answer::Arrives, true);
    }

    fn check(&self) {
        for (step, digest) in &self.trainer.taken {
            let recorded = self.rows.get(step).map(|row| &row.digest);
            assert_eq!(recorded, Some(digest), "step {step} is recorded with other samples");
        }
    }
}

fn play(transitions: impl IntoIterator<Item = Transition>) {
    let mut world = World::new();
    for transition in transitions {
        world.apply(transition);
    }
    world.heal();
    world.check();
}

fn fetch(holder: usize, commit: Answer, delivered: bool) -> Transition {
    Transition::Fetch { holder, again: false, commit, delivered }
}

/// Guards against a batch that nobody took and that replaces the one in the table.
#[test]
fn can_keep_a_row_over_an_offer() {
    play([
        fetch(0, Answer::Late, false),
        Transition::Replace { holder: 0 },
        Transition::TableDown,
        fetch(0, Answer::Arrives, false),
        Transition::TableUp,
        Transition::LateArrives,
        Transition::Direct { again: false },
        fetch(0, Answer::Arrives, true),
    ]);
}

/// Guards against a holder that delivers, without the table, a batch of its own term that a newer
/// holder has replaced.
#[test]
fn can_state_a_recorded_batch_without_the_table() {
    play([
        Transition::TakeOver,
        fetch(1, Answer::Arrives, false),
        fetch(0, Answer::LostBefore, true),
        Transition::TakeOver,
        fetch(2, Answer::Arrives, false),
        Transition::Restart,
        Transition::TableDown,
        fetch(1, Answer::Arrives, true),
        Transition::TableUp,
    ]);
}

/// Guards against a step delivered twice, lost, or recorded with samples that the trainer did not
/// take.
#[test]
fn can_deliver_exactly_once() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let transitions = prop::collection::vec(transition(), 1..40);
    let result = runner.run(&transitions, |transitions| {
        play(transitions);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
