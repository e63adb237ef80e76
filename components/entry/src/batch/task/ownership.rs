//! Start and end of batches on this VM, heartbeats, and claims of batches without a live owner.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key as Handle;
use filbertsail_ports::store::{Key, Row, Store, Transaction};
use filbertsail_telemetry::event::Line;
use tokio::time::sleep;

use super::{Command, MAX_RESULTS_PER_TRANSACTION, Task};
use crate::{
    batch::{
        Meta,
        execution::{Execution, Phase},
        rows,
        takeover::{self, Acquisition, Heartbeat, Observations, Target},
    },
    dialect::Dialect,
    duty::scaling::rows::demand_key,
    follow::Update,
    shared::millis,
};

/// Mean delay before a failed claim is repeated, randomized so that VMs do not retry in step.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Limit of the exponential delay while this VM cannot write its own heartbeat.
const MAX_DELAY_DOUBLINGS: u32 = 1;
/// Extra time after the retention before rows are deleted.
const RETENTION_SLACK: Duration = Duration::from_secs(30);

impl<D: Dialect, S: Store> Task<D, S> {
    pub(super) fn start_batch(&mut self, acquisition: Acquisition) {
        let now = self.shared.now();
        let Acquisition { batch, meta, row_version, submission, results, partials, observations } =
            acquisition;
        self.record_observations(&observations);
        if self.execution_keys.contains_key(&batch) {
            return;
        }
        self.registry.record_batch(&batch, meta.clone(), row_version, now);
        let current = self.registry.current_row(&batch, meta, row_version);
        let Some((meta, row_version)) = current.filter(|_| !self.is_leaving) else {
            Line::new("batch_not_adopted")
                .with("batch", &batch)
                .with("row_version", row_version)
                .with("leaving", self.is_leaving)
                .info();
            return self.registry.release_claim(&batch);
        };
        let accepted_at = now.before(self.shared.link.borrow().age(meta.accepted_ms, now));
        self.shared.metrics.count_batch_event("owned");
        Line::new("batch_owned")
            .with("batch", &batch)
            .with("step", submission.step)
            .with("model", &submission.model)
            .with("min_version", submission.min_version)
            .with("epoch", meta.epoch)
            .with("row_version", row_version)
            .with("items", submission.items.len())
            .with("groups", submission.groups.len())
            .with("wanted", submission.wanted)
            .with("listed", results.len())
            .with("partials", partials.len())
            .with("accepted_ms", meta.accepted_ms)
            .with("age_ms", now.since(accepted_at).as_millis())
            .info();
        let config_version = self.shared.config().map_or(0, |config| config.version);
        if meta.config_version > config_version {
            Line::new("batch_awaits_config")
                .with("batch", &batch)
                .with("config", config_version)
                .with("accepted_under", meta.config_version)
                .info();
        }
        // The feed brings nothing newer than the row of this VM's own commit.
        self.shared.record_step(&batch, &meta);
        self.directory.set_meta(&batch, Some(meta.clone()));
        let mut execution =
            Execution::new(&batch, meta, row_version, submission, accepted_at, results, partials);
        execution
            .mark_wanted_groups(|group| self.registry.is_carried_over(&batch, rows::hash32(group)));
        self.directory.insert(&batch, Arc::clone(&execution.listing));
        let key = self.executions.insert(execution);
        self.execution_keys.insert(batch, key);
        self.must_announce = true;
    }

    pub(super) fn end_batch(&mut self, batch: &str) {
        let Some(key) = self.execution_keys.get(batch).copied() else { return };
        if let Some(execution) = self.executions.get(key) {
            Line::new("batch_ended")
                .with("batch", batch)
                .with("listed", execution.stored_count)
                .with("open_items", execution.unfinished_items())
                .info();
        }
        self.drop_execution(batch);
    }

    /// Stops a batch; readers are served from the store afterwards.
    pub(super) fn drop_execution(&mut self, batch: &str) {
        let Some(key) = self.execution_keys.remove(batch) else { return };
        self.directory.remove(batch);
        self.registry.release_claim(batch);
        let Some(mut execution) = self.executions.remove(key) else { return };
        self.abort_all_items(&mut execution);
    }

    pub(super) fn abort_all_items(&self, execution: &mut Execution) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet();
        for state in &mut execution.states {
            match &mut state.phase {
                Phase::Running(assignment) => {
                    assignment.stop(&mut fleet, now);
                    state.phase = Phase::Waiting(now);
                }
                Phase::Scoring(scoring) => scoring.stop(&mut fleet, Duration::MAX, now, 0.0),
                Phase::Waiting(_) | Phase::Ended => {}
            }
        }
    }

    pub(super) fn rows_changed(&mut self, update: Update) {
        let now = self.shared.now();
        let (Update::Snapshot(rows, known_at) | Update::Changes(rows, known_at)) = update;
        self.rows_known_at = Some(known_at);
        if rows.is_empty() {
            return;
        }
        for row in rows {
            if row.part == rows::VM_PART {
                self.heartbeat_row_changed(&row, known_at);
            } else {
                self.batch_row_changed(&row, now);
            }
        }
        if self.is_leaving {
            return;
        }
        if self.registry.has_stale_heartbeat() {
            self.send_heartbeat(now);
        }
        // A batch that another VM assigned to this one starts at once.
        self.claim_due_batches(now);
    }

    /// Records a heartbeat that the store had at `known_at`.
    pub(super) fn heartbeat_row_changed(&mut self, row: &Row, known_at: Instant) {
        let Some(value) = &row.value else { return self.registry.forget_vm(&row.key) };
        let heartbeat: Heartbeat = match rows::decode(value) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                Line::new("row_corrupt").with("vm", &row.key).with("reason", error).error();
                return;
            }
        };
        self.registry.record_heartbeat(&row.key, heartbeat.incarnation, row.version, known_at);
        self.directory.record_heartbeat(&row.key, heartbeat.incarnation, known_at);
    }

    /// Passes worker observations of other VMs to the fleet.
    pub(super) fn record_observations(&mut self, observations: &[(String, Observations)]) {
        let now = self.shared.now();
        let link = *self.shared.link.borrow();
        let mut fleet = self.shared.fleet();
        for (vm, observations) in observations.iter().filter(|(vm, _)| *vm != self.local_owner.vm) {
            fleet.record_observations(
                rows::hash32(vm),
                &observations.workers,
                link.local_time(observations.at_ms, now),
                now,
            );
        }
    }

    /// Reads worker observations of other VMs in the background.
    fn read_observations(&self) {
        let (store, commands) = (self.store.clone(), self.commands.clone());
        tokio::spawn(async move {
            // The receiver lives as long as the process.
            let _ =
                commands.send(Command::ObservationsRead(takeover::read_observations(&store).await));
        });
    }

    pub(super) fn batch_row_changed(&mut self, row: &Row, now: Instant) {
        let batch = row.key.as_str();
        let Some(value) = &row.value else {
            self.registry.forget_batch(batch);
            self.directory.set_meta(batch, None);
            return;
        };
        let meta: Meta = match rows::decode_meta(value) {
            Ok(meta) => meta,
            Err(error) => {
                Line::new("row_corrupt").with("batch", batch).with("reason", error).error();
                return;
            }
        };
        if !self.registry.record_batch(batch, meta.clone(), row.version, now) {
            return;
        }
        if let Some(lag) = meta.lag.filter(|_| !meta.ended) {
            self.shared.version_lags.send_modify(|lags| {
                lags.insert(meta.model.clone(), lag);
            });
        }
        self.shared.record_step(batch, &meta);
        self.directory.set_meta(batch, Some(meta.clone()));
        if let Some(key) = self.execution_keys.get(batch).copied() {
            self.owned_row_changed(batch, key, meta, row.version);
        }
    }

    /// Handles a change of the owner's row of a batch that runs here.
    pub(super) fn owned_row_changed(
        &mut self,
        batch: &str,
        key: Handle<Execution>,
        meta: Meta,
        row_version: u64,
    ) {
        if meta.owner.as_ref() != Some(&self.local_owner) {
            self.shared.metrics.count_batch_event("lost");
            Line::new("batch_lost")
                .with("batch", batch)
                .with("epoch", meta.epoch)
                .with("row_version", row_version)
                .warn();
            return self.drop_execution(batch);
        }
        if meta.ended {
            return self.end_batch(batch);
        }
        if let Some(execution) = self.executions.get_mut(key)
            && row_version > execution.row_version
        {
            (execution.meta, execution.row_version) = (meta, row_version);
        }
    }

    pub(super) fn send_heartbeat(&mut self, now: Instant) {
        self.heartbeat_at = Some(now);
        if !self.executions.is_empty() {
            self.read_observations();
        }
        let (store, transaction) = (self.store.clone(), self.heartbeat_transaction(now));
        tokio::spawn(async move {
            if let Err(fault) = store.transact(transaction).await {
                Line::new("renewal_failed").with("reason", fault).warn();
            }
        });
    }

    fn heartbeat_transaction(&self, now: Instant) -> Transaction {
        let heartbeat =
            Heartbeat { incarnation: self.local_owner.incarnation, number: now.as_micros() };
        let observations = Observations {
            at_ms: self.shared.link.borrow().store_ms(now),
            workers: self.shared.fleet().observations(),
        };
        let mut writes = vec![
            (rows::vm_key(&self.local_owner.vm), rows::encode(&heartbeat)),
            (rows::load_key(&self.local_owner.vm), rows::encode(&observations)),
        ];
        writes.extend(self.demand_row(now));
        Transaction { writes, ..Transaction::default() }
    }

    pub(super) fn claim_due_batches(&mut self, now: Instant) {
        if !self.shared.is_ready() {
            return;
        }
        let link = *self.shared.link.borrow();
        let (None, Some(since), Some(known_at)) = (link.lost, link.regained, self.rows_known_at)
        else {
            return;
        };
        let (keys, vms) = (&self.execution_keys, self.peers.len() + 1);
        let steady = (since, known_at);
        let targets =
            self.registry.claim_targets(steady, vms, now, |batch| keys.contains_key(batch));
        for target in &targets {
            self.shared.metrics.count_batch_event("claimed");
            Line::new("batch_claimed")
                .with("batch", &target.batch)
                .with("row_version", target.row_version)
                .with("epoch", target.meta.epoch)
                .with("owner", target.meta.owner.as_ref().map_or("none", |owner| owner.vm.as_str()))
                .with("silent", target.needs_confirmation)
                .with("vms", vms)
                .info();
        }
        let (presumed, certain): (Vec<Target>, Vec<Target>) =
            targets.into_iter().partition(|target| target.needs_confirmation);
        for target in certain {
            self.claim_batch(target);
        }
        if !presumed.is_empty() {
            self.confirm_silence(presumed, now);
        }
    }

    /// Writes this VM's own heartbeat before it claims batches of silent owners. If the write
    /// fails, the owners may be silent for the same reason; an immediate retry would only add load
    /// to an impaired store.
    fn confirm_silence(&self, presumed: Vec<Target>, now: Instant) {
        let (store, commands) = (self.store.clone(), self.commands.clone());
        let (heartbeat, failures) = (self.heartbeat_transaction(now), self.failed_confirmations);
        tokio::spawn(async move {
            let result = store.transact(heartbeat).await;
            let (batches, delay) = match &result {
                Ok(_) => (Vec::new(), Duration::ZERO),
                Err(fault) => {
                    let delay = CLAIM_RETRY_DELAY * 2_u32.pow(failures.min(MAX_DELAY_DOUBLINGS));
                    Line::new("proof_failed")
                        .with("batches", presumed.len())
                        .with("failures", failures + 1)
                        .with("pause_ms", delay.as_millis())
                        .with("reason", fault)
                        .info();
                    (presumed.iter().map(|target| target.batch.clone()).collect(), delay)
                }
            };
            // The receiver lives as long as the process.
            let _ = commands
                .send(Command::SilenceConfirmed(result.map(|_| presumed).unwrap_or_default()));
            sleep(delay.mul_f64(0.5 + rand::random::<f64>())).await;
            for batch in batches {
                let _ = commands.send(Command::ClaimFailed(batch));
            }
        });
    }

    /// Claims `presumed` after a successful heartbeat; an empty list means that the heartbeat
    /// failed.
    pub(super) fn silence_confirmed(&mut self, presumed: Vec<Target>) {
        self.failed_confirmations =
            if presumed.is_empty() { self.failed_confirmations + 1 } else { 0 };
        for target in presumed {
            self.claim_batch(target);
        }
    }

    fn claim_batch(&self, target: Target) {
        let (store, commands, local_owner) =
            (self.store.clone(), self.commands.clone(), self.local_owner.clone());
        tokio::spawn(async move {
            let Target { batch, meta, row_version, .. } = target;
            let command = match takeover::claim_batch(
                &store,
                &local_owner,
                &batch,
                meta,
                row_version,
            )
            .await
            {
                Ok(acquisition) => Command::Acquired(Box::new(acquisition)),
                Err(fault) => {
                    Line::new("claim_failed").with("batch", &batch).with("reason", fault).info();
                    sleep(CLAIM_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
                    Command::ClaimFailed(batch)
                }
            };
            // The receiver lives as long as the process.
            let _ = commands.send(command);
        });
    }

    /// Deletes the rows of batches past their retention, and heartbeats of VMs that are gone.
    pub(super) fn delete_expired_rows(&mut self, now: Instant) {
        const CLEANUP_INTERVAL: Duration = Duration::from_secs(20);
        if now.since(self.cleaned_at) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_at = now;
        let retention = millis(self.shared.times.retention + RETENTION_SLACK);
        let store_ms = self.shared.link.borrow().store_ms(now);
        for (batch, meta, row_version) in self.registry.expired_batches(store_ms, retention) {
            // The last owner deletes the rows; after twice the retention, any VM does.
            let is_abandoned = store_ms > meta.accepted_ms + 2 * retention;
            let is_local = meta.owner.as_ref().is_some_and(|owner| owner.vm == self.local_owner.vm);
            if is_local || is_abandoned {
                let store = self.store.clone();
                tokio::spawn(async move { delete_batch(&store, &batch, row_version).await });
            }
        }
        // Few VMs run batches, and one of them is enough.
        if !self.executions.is_empty() {
            for (vm, row_version) in self.registry.expired_vms(now) {
                let store = self.store.clone();
                let states_demand = *self.shared.states_demand.borrow();
                tokio::spawn(async move {
                    delete_vm(&store, &vm, row_version, states_demand).await;
                });
            }
        }
    }
}

/// Deletes the heartbeat, the observations and the stated demand of a VM that is gone.
async fn delete_vm<S: Store>(store: &S, vm: &str, row_version: u64, states_demand: bool) {
    let key = rows::vm_key(vm);
    let checks = vec![(key.clone(), row_version)];
    let mut deletes = vec![key, rows::load_key(vm)];
    deletes.extend(states_demand.then(|| demand_key(vm)));
    let transaction = Transaction { checks, writes: Vec::new(), deletes };
    match store.transact(transaction).await {
        Ok(_) => Line::new("vm_deleted").with("vm", vm).with("row_version", row_version).info(),
        // Another VM deleted them, the VM is back, or the next cleanup retries.
        Err(fault) => Line::new("vm_not_deleted").with("vm", vm).with("reason", fault).info(),
    }
}

/// Deletes all rows of a batch, the owner's row last.
async fn delete_batch<S: Store>(store: &S, batch: &str, row_version: u64) {
    let ranges = [
        (rows::BODIES_TABLE, rows::all_bodies_range(batch)),
        (rows::RESULTS_TABLE, rows::results_range(batch, 0)),
        (rows::PARTIALS_TABLE, rows::partials_range(batch)),
    ];
    let mut keys = Vec::new();
    for (table, range) in ranges {
        let Ok(found) = takeover::read_range(store, range).await else { return };
        keys.extend(found.into_iter().map(|row| Key { table, part: row.part, key: row.key }));
    }
    keys.push(rows::meta_key(batch));
    for part in keys.chunks(MAX_RESULTS_PER_TRANSACTION) {
        let transaction = Transaction {
            checks: vec![(rows::meta_key(batch), row_version)],
            writes: Vec::new(),
            deletes: part.to_vec(),
        };
        if let Err(fault) = store.transact(transaction).await {
            // The next cleanup deletes the rest.
            Line::new("cleaning_failed").with("batch", batch).with("reason", fault).info();
            return;
        }
    }
    Line::new("batch_deleted").with("batch", batch).info();
}
