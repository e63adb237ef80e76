//! Batches that come and go, and the owners' rows that say so.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key as Handle;
use filbertsail_ports::store::{Key, Row, Store, Transaction};
use filbertsail_telemetry::event::Line;
use tokio::time::sleep;

use super::{Command, MAX_RESULTS, Task};
use crate::{
    batch::{
        Meta, rows,
        run::{Phase, Run},
        takeover::{self, Adoption, Due, Renewal, Sights},
    },
    dialect::Dialect,
    follow::News,
    shared::millis,
};

/// Mean pause before a claim that failed is repeated. All VMs claim, so they must not do so in step.
const CLAIM_RETRY: Duration = Duration::from_millis(800);
/// Times that the pause doubles while this VM cannot renew its own row.
const MAX_DOUBLINGS: u32 = 1;
/// Time kept beyond the retention before rows are deleted.
const RETENTION_SLACK: Duration = Duration::from_secs(30);

impl<D: Dialect, S: Store> Task<D, S> {
    pub(super) fn adopt(&mut self, adoption: Adoption) {
        let now = self.shared.now();
        let Adoption { batch, meta, version, submission, listed, partials, sights } = adoption;
        self.sights(&sights);
        if self.names.contains_key(&batch) {
            return;
        }
        self.register.note(&batch, meta.clone(), version, now);
        let current = self.register.current(&batch, meta, version);
        let Some((meta, version)) = current.filter(|_| !self.leaving) else {
            Line::new("batch_not_adopted")
                .with("batch", &batch)
                .with("row_version", version)
                .with("leaving", self.leaving)
                .info();
            return self.register.unclaimed(&batch);
        };
        let accepted = self.shared.link.borrow().local(meta.accepted_ms, now);
        self.shared.metrics.batch("owned");
        Line::new("batch_owned")
            .with("batch", &batch)
            .with("step", submission.step)
            .with("model", &submission.model)
            .with("min_version", submission.min_version)
            .with("epoch", meta.epoch)
            .with("row_version", version)
            .with("items", submission.items.len())
            .with("groups", submission.groups.len())
            .with("wanted", submission.wanted)
            .with("listed", listed.len())
            .with("partials", partials.len())
            .with("age_ms", now.since(accepted).as_millis())
            .info();
        self.boards.set_meta(&batch, Some(meta.clone()));
        let mut run = Run::new(&batch, meta, version, submission, accepted, listed, partials);
        run.want_groups(|group| self.register.is_carried(&batch, rows::hash32(group)));
        self.boards.insert(&batch, Arc::clone(&run.board));
        let key = self.runs.insert(run);
        self.names.insert(batch, key);
        self.renew(now);
    }

    pub(super) fn end(&mut self, batch: &str) {
        let Some(key) = self.names.get(batch).copied() else { return };
        if let Some(run) = self.runs.get(key) {
            Line::new("batch_ended")
                .with("batch", batch)
                .with("listed", run.stored)
                .with("open_items", run.open_items())
                .info();
        }
        self.drop_run(batch);
    }

    /// Stops to run a batch; readers are served from the store.
    pub(super) fn drop_run(&mut self, batch: &str) {
        let Some(key) = self.names.remove(batch) else { return };
        self.boards.remove(batch);
        self.register.unclaimed(batch);
        let Some(mut run) = self.runs.remove(key) else { return };
        self.abort_all(&mut run);
    }

    pub(super) fn abort_all(&self, run: &mut Run) {
        let now = self.shared.now();
        for slot in &mut run.slots {
            if let Phase::Running(running) = &slot.phase {
                running.stop(&mut self.shared.fleet(), now);
                slot.phase = Phase::Waiting(now);
            }
        }
    }

    pub(super) fn news(&mut self, news: News) {
        let now = self.shared.now();
        let (News::Snapshot(rows) | News::Changes(rows)) = news;
        for row in rows {
            if row.part == rows::VM_PART {
                self.vm_row(&row, now);
            } else {
                self.batch_row(&row, now);
            }
        }
        if self.leaving {
            return;
        }
        if self.register.must_announce() {
            self.renew(now);
        }
        // A batch that another VM has accepted for this one begins at once.
        self.claim(now);
    }

    pub(super) fn vm_row(&mut self, row: &Row, now: Instant) {
        let Some(value) = &row.value else { return self.register.forget_vm(&row.key) };
        let renewal: Renewal = match rows::decode(value) {
            Ok(renewal) => renewal,
            Err(error) => {
                Line::new("row_corrupt").with("vm", &row.key).with("reason", error).error();
                return;
            }
        };
        self.register.renewed(&row.key, renewal.incarnation, row.version, now);
        self.boards.renewed(&row.key, renewal.incarnation, now);
    }

    /// Notes what other VMs know of the workers.
    pub(super) fn sights(&mut self, sights: &[(String, Sights)]) {
        let now = self.shared.now();
        let link = *self.shared.link.borrow();
        let mut fleet = self.shared.fleet();
        for (vm, sights) in sights.iter().filter(|(vm, _)| *vm != self.me.vm) {
            fleet.heard(rows::hash32(vm), &sights.workers, link.local(sights.at_ms, now), now);
        }
    }

    /// Reads what other VMs know of the workers.
    fn read_sights(&self) {
        let (store, commands) = (self.store.clone(), self.commands.clone());
        tokio::spawn(async move {
            // The task lives as long as the process.
            let _ = commands.send(Command::Sights(takeover::sights(&store).await));
        });
    }

    pub(super) fn batch_row(&mut self, row: &Row, now: Instant) {
        let batch = row.key.as_str();
        let Some(value) = &row.value else {
            self.register.forget(batch);
            self.boards.set_meta(batch, None);
            return;
        };
        let meta: Meta = match rows::decode(value) {
            Ok(meta) => meta,
            Err(error) => {
                Line::new("row_corrupt").with("batch", batch).with("reason", error).error();
                return;
            }
        };
        if !self.register.note(batch, meta.clone(), row.version, now) {
            return;
        }
        if let Some(lag) = meta.lag.filter(|_| !meta.ended) {
            self.shared.lags.send_modify(|lags| {
                lags.insert(meta.model.clone(), lag);
            });
        }
        self.boards.set_meta(batch, Some(meta.clone()));
        if let Some(key) = self.names.get(batch).copied() {
            self.owned_row(batch, key, meta, row.version);
        }
    }

    /// The owner's row of a batch that runs here has changed.
    pub(super) fn owned_row(&mut self, batch: &str, key: Handle<Run>, meta: Meta, version: u64) {
        if meta.owner.as_ref() != Some(&self.me) {
            self.shared.metrics.batch("lost");
            Line::new("batch_lost")
                .with("batch", batch)
                .with("epoch", meta.epoch)
                .with("row_version", version)
                .warn();
            return self.drop_run(batch);
        }
        if meta.ended {
            return self.end(batch);
        }
        if let Some(run) = self.runs.get_mut(key)
            && version > run.version
        {
            (run.meta, run.version) = (meta, version);
        }
    }

    pub(super) fn renew(&mut self, now: Instant) {
        self.renewed = Some(now);
        if !self.runs.is_empty() {
            self.read_sights();
        }
        let (store, transaction) = (self.store.clone(), self.renewal(now));
        tokio::spawn(async move {
            if let Err(fault) = store.transact(transaction).await {
                Line::new("renewal_failed").with("reason", fault).warn();
            }
        });
    }

    fn renewal(&self, now: Instant) -> Transaction {
        let renewal = Renewal { incarnation: self.me.incarnation, number: now.as_micros() };
        let sights = Sights {
            at_ms: self.shared.link.borrow().store_ms(now),
            workers: self.shared.fleet().sights(),
        };
        let writes = vec![
            (rows::vm(&self.me.vm), rows::encode(&renewal)),
            (rows::load(&self.me.vm), rows::encode(&sights)),
        ];
        Transaction { writes, ..Transaction::default() }
    }

    pub(super) fn claim(&mut self, now: Instant) {
        if !self.shared.is_ready() {
            return;
        }
        let link = *self.shared.link.borrow();
        let (None, Some(since), Some((_, answered))) = (link.lost, link.regained, link.clock)
        else {
            return;
        };
        let (names, vms) = (&self.names, self.peers.len() + 1);
        let steady = (since, answered);
        let due = self.register.due(steady, vms, now, |batch| names.contains_key(batch));
        for due in &due {
            self.shared.metrics.batch("claimed");
            Line::new("batch_claimed")
                .with("batch", &due.batch)
                .with("row_version", due.version)
                .with("epoch", due.meta.epoch)
                .with("owner", due.meta.owner.as_ref().map_or("none", |owner| owner.vm.as_str()))
                .with("silent", due.is_silent)
                .with("vms", vms)
                .info();
        }
        let (silent, sure): (Vec<Due>, Vec<Due>) = due.into_iter().partition(|due| due.is_silent);
        for due in sure {
            self.claim_one(due);
        }
        if !silent.is_empty() {
            self.prove(silent, now);
        }
    }

    /// Claims batches of silent owners after a renewal of this VM's own row. If that fails, the
    /// owners may be silent for the same reason; looking again at once would only press a store in
    /// trouble.
    fn prove(&self, silent: Vec<Due>, now: Instant) {
        let (store, commands) = (self.store.clone(), self.commands.clone());
        let (proof, failures) = (self.renewal(now), self.failed_proofs);
        tokio::spawn(async move {
            let proved = store.transact(proof).await;
            let (batches, pause) = match &proved {
                Ok(_) => (Vec::new(), Duration::ZERO),
                Err(fault) => {
                    let pause = CLAIM_RETRY * 2_u32.pow(failures.min(MAX_DOUBLINGS));
                    Line::new("proof_failed")
                        .with("batches", silent.len())
                        .with("failures", failures + 1)
                        .with("pause_ms", pause.as_millis())
                        .with("reason", fault)
                        .info();
                    (silent.iter().map(|due| due.batch.clone()).collect(), pause)
                }
            };
            // The task lives as long as the process.
            let _ = commands.send(Command::Proved(proved.map(|_| silent).unwrap_or_default()));
            sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
            for batch in batches {
                let _ = commands.send(Command::Unclaimed(batch));
            }
        });
    }

    /// A renewal of this VM's own row succeeded and `silent` may be claimed, or it failed.
    pub(super) fn proved(&mut self, silent: Vec<Due>) {
        self.failed_proofs = if silent.is_empty() { self.failed_proofs + 1 } else { 0 };
        for due in silent {
            self.claim_one(due);
        }
    }

    fn claim_one(&self, due: Due) {
        let (store, commands, me) = (self.store.clone(), self.commands.clone(), self.me.clone());
        tokio::spawn(async move {
            let Due { batch, meta, version, .. } = due;
            let command = match takeover::claim(&store, &me, &batch, meta, version).await {
                Ok(adoption) => Command::Adopt(Box::new(adoption)),
                Err(fault) => {
                    Line::new("claim_failed").with("batch", &batch).with("reason", fault).info();
                    sleep(CLAIM_RETRY.mul_f64(0.5 + rand::random::<f64>())).await;
                    Command::Unclaimed(batch)
                }
            };
            // The task lives as long as the process.
            let _ = commands.send(command);
        });
    }

    /// Deletes the rows of batches that nobody may ask for any more, and of VMs that are gone.
    pub(super) fn clean(&mut self, now: Instant) {
        const CLEAN_INTERVAL: Duration = Duration::from_secs(20);
        if now.since(self.cleaned) < CLEAN_INTERVAL {
            return;
        }
        self.cleaned = now;
        let retention = millis(self.shared.times.retention + RETENTION_SLACK);
        let store_ms = self.shared.link.borrow().store_ms(now);
        for (batch, meta, version) in self.register.outdated(store_ms, retention) {
            // The VM that last owned it deletes it; after as long again, any VM does.
            let old = store_ms > meta.accepted_ms + 2 * retention;
            let mine = meta.owner.as_ref().is_some_and(|owner| owner.vm == self.me.vm);
            if mine || old {
                let store = self.store.clone();
                tokio::spawn(async move { delete(&store, &batch, version).await });
            }
        }
        // The VMs that run batches are few, and one of them is enough.
        if !self.runs.is_empty() {
            for (vm, version) in self.register.silent_vms(now) {
                let store = self.store.clone();
                tokio::spawn(async move { delete_vm(&store, &vm, version).await });
            }
        }
    }
}

/// Deletes the row of a VM that is gone.
async fn delete_vm<S: Store>(store: &S, vm: &str, version: u64) {
    let key = rows::vm(vm);
    let checks = vec![(key.clone(), version)];
    let deletes = vec![key, rows::load(vm)];
    let transaction = Transaction { checks, writes: Vec::new(), deletes };
    match store.transact(transaction).await {
        Ok(_) => Line::new("vm_deleted").with("vm", vm).with("row_version", version).info(),
        // Another VM was faster, it has come back, or the next round deletes it.
        Err(fault) => Line::new("vm_not_deleted").with("vm", vm).with("reason", fault).info(),
    }
}

/// Deletes all rows of a batch, the owner's row last.
async fn delete<S: Store>(store: &S, batch: &str, version: u64) {
    let ranges = [
        (rows::BODIES, rows::all_bodies(batch)),
        (rows::RESULTS, rows::results(batch, 0)),
        (rows::PARTIALS, rows::partials(batch)),
    ];
    let mut keys = Vec::new();
    for (table, range) in ranges {
        let Ok(found) = takeover::read(store, range).await else { return };
        keys.extend(found.into_iter().map(|row| Key { table, part: row.part, key: row.key }));
    }
    keys.push(rows::meta(batch));
    for part in keys.chunks(MAX_RESULTS) {
        let transaction = Transaction {
            checks: vec![(rows::meta(batch), version)],
            writes: Vec::new(),
            deletes: part.to_vec(),
        };
        if let Err(fault) = store.transact(transaction).await {
            // The next round deletes what is left.
            Line::new("cleaning_failed").with("batch", batch).with("reason", fault).info();
            return;
        }
    }
    Line::new("batch_deleted").with("batch", batch).info();
}
