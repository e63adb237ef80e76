//! Routing task: queues, dispatch and load shedding.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::{self as clock, Instant};
use filbertsail_collections::{HashMap, arena::Key};
use filbertsail_config::inventory::{Class, Inventory};
use filbertsail_routing::{
    policy::{Choice, Policy},
    queue::{Entry, Queue},
    state::{Fleet, Outcome, Request, Service, Worker, inventory::Gateway},
};
use filbertsail_telemetry::event::Line;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use super::{
    Admission, Catalog, Message, Permit, Refusal, Setup, Source, Target, admission::Finished,
};
use crate::backend::Server;

/// Largest number of waiting requests per service.
const QUEUE_CAPACITY: usize = 4_096;
/// Largest number of workers of a service that one gateway uses. With 420 gateways and 1,000
/// workers this still leaves no worker unused.
const SUBSET_SIZE: usize = 20;
/// Longest time that a request waits for a worker.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// How long waits must be too long before this counts as overload rather than a burst.
const OVERLOAD_DELAY: Duration = Duration::from_secs(1);
/// Lower bound of the wait limit for customers' requests under overload. Longer waits add latency
/// but no goodput.
const MIN_OVERLOAD_WAIT: Duration = Duration::from_millis(200);
/// Interval at which queue deadlines and open circuit breakers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Waiting requests without an eligible worker to skip per dispatch round.
const MAX_SKIPPED: usize = 64;

/// State that the routing task publishes.
pub(super) struct Outputs {
    pub(super) catalog: watch::Sender<Arc<Catalog>>,
    pub(super) targets: watch::Sender<Arc<[Target]>>,
}

type Reply = oneshot::Sender<Result<Permit, Refusal>>;

/// Queued request.
struct Waiting {
    admission: Admission,
    reply: Reply,
    queued_at: Instant,
}

pub(super) struct Task<P, C> {
    pub(super) setup: Setup<P, C>,
    pub(super) fleet: Fleet,
    pub(super) rng: SmallRng,
    servers: HashMap<Key<Worker>, Arc<Server>>,
    queues: HashMap<Key<Service>, Queue<Waiting>>,
    /// Time since which customers' requests of a service have waited too long.
    overloaded_since: HashMap<Key<Service>, Instant>,
    // Worker by sample. Controllers choose the sample identifiers; they are trusted, as they hold
    // the cluster key.
    samples: HashMap<String, Key<Worker>>,
    messages: mpsc::WeakUnboundedSender<Message>,
    outputs: Outputs,
}

impl<P: Policy, C: clock::Source> Task<P, C> {
    pub(super) fn new(
        setup: Setup<P, C>,
        messages: mpsc::WeakUnboundedSender<Message>,
        outputs: Outputs,
    ) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(setup.seed),
            setup,
            fleet: Fleet::default(),
            servers: HashMap::default(),
            queues: HashMap::default(),
            overloaded_since: HashMap::default(),
            samples: HashMap::default(),
            messages,
            outputs,
        }
    }

    pub(super) async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                _ = tick.tick() => self.on_tick(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Admit(admission, reply) => self.admit(admission, reply),
            Message::Progressed { worker, sent_at } => {
                self.fleet.record_progress(worker, sent_at, self.setup.clock.now());
                self.dispatch_waiting_for_worker(worker);
            }
            Message::Finished(finished) => self.on_finished(&finished),
            Message::SetConfig(config, reply) => {
                self.apply_inventory(&config.inventory);
                let _ = reply.send(());
            }
            Message::RecordReport { worker, report } => {
                if let Some(key) = self.fleet.worker_key(&worker) {
                    self.fleet.record_report(key, report);
                    self.set_server_live(key, true);
                    self.dispatch_waiting_for_worker(key);
                }
            }
            Message::RecordContact { worker, reached } => self.record_contact(&worker, reached),
            Message::RecordCacheEvents { worker, events, next } => {
                self.record_cache_events(&worker, &events, next);
            }
            Message::SetLeaving { source, names } => self.set_leaving(source, &names),
            Message::WorkerStates(service, reply) => {
                let _ = reply.send(self.worker_states(&service));
            }
            Message::Explain(question, reply) => {
                let _ = reply.send(self.explain(&question));
            }
            Message::Backends(reply) => {
                let _ = reply.send(self.backends());
            }
        }
    }

    pub(super) fn set_server_live(&self, key: Key<Worker>, live: bool) {
        if let Some(server) = self.servers.get(&key) {
            server.set_live(live);
        }
    }

    fn admit(&mut self, admission: Admission, reply: Reply) {
        let Some(key) = self.fleet.service_key(&admission.service) else {
            let _ = reply.send(Err(Refusal::UnknownService));
            return;
        };
        if let Some(service) = self.fleet.service_mut(key) {
            if !admission.retry {
                service.budget.deposit();
            } else if !service.budget.try_withdraw() {
                let _ = reply.send(Err(Refusal::Budget));
                return;
            }
        }
        let waiting = Waiting { admission, reply, queued_at: self.setup.clock.now() };
        if self.queues.get(&key).is_none_or(Queue::is_empty) {
            if let Some(waiting) = self.try_dispatch(key, waiting) {
                self.enqueue(key, waiting);
            }
        } else {
            self.enqueue(key, waiting);
            self.dispatch_waiting(key);
        }
    }

    fn enqueue(&mut self, key: Key<Service>, waiting: Waiting) {
        let now = self.setup.clock.now();
        // A request dispatched later than this would miss its deadline at the worker.
        let duration = self.fleet.service(key).map_or(0.0, |service| service.average_duration_ms);
        let latest_dispatch =
            waiting.admission.deadline.before(Duration::from_secs_f64(duration / 1e3));
        let entry = Entry {
            priority: self.priority(key, &waiting.admission),
            team: waiting.admission.team.clone(),
            cost: waiting.admission.cost,
            deadline: latest_dispatch.min(now.after(MAX_WAIT)),
            item: waiting,
        };
        let queue = self.queues.entry(key).or_insert_with(|| Queue::new(QUEUE_CAPACITY));
        if let Some(shed) = queue.push(entry) {
            refuse(shed.item, Refusal::Shed);
        }
    }

    /// Priority within the service. Samples stay below customers' requests unless the service
    /// configures a higher rollout priority.
    fn priority(&self, key: Key<Service>, admission: &Admission) -> u32 {
        let Some(service) = self.fleet.service(key) else { return 0 };
        match admission.class {
            Class::Customer => service.customer.priority,
            Class::Rollout => {
                let requested = service.rollout.priority.saturating_add(admission.priority);
                let limit = service.customer.priority.saturating_sub(1);
                requested.min(limit.max(service.rollout.priority))
            }
        }
    }

    /// Issues a permit for `waiting`, or returns it if no worker is eligible.
    fn try_dispatch(&mut self, key: Key<Service>, waiting: Waiting) -> Option<Waiting> {
        let Some(choice) = self.choose(key, &waiting) else { return Some(waiting) };
        let (Some(server), Some(messages)) =
            (self.servers.get(&choice.worker), self.messages.upgrade())
        else {
            return Some(waiting);
        };
        let now = self.setup.clock.now();
        let permit = Permit {
            sent_at: now,
            server: server.clone(),
            priority: self.priority(key, &waiting.admission),
            worker: choice.worker,
            messages,
            outcome: Outcome::Inconclusive,
            sample: (waiting.admission.class == Class::Rollout)
                .then(|| waiting.admission.request_id.clone()),
        };
        if let Some(sample) = &permit.sample {
            self.samples.insert(sample.clone(), choice.worker);
        }
        self.log_route(&waiting.admission, choice);
        self.fleet.record_dispatch(choice.worker, now);
        // If the caller has disconnected, the dropped permit reports an inconclusive outcome.
        let _ = waiting.reply.send(Ok(permit));
        None
    }

    /// Chooses a worker that is not to be avoided, else any eligible one: a second attempt at the
    /// same worker is better than none. Excluded workers are never chosen.
    fn choose(&mut self, key: Key<Service>, waiting: &Waiting) -> Option<Choice> {
        let now = self.setup.clock.now();
        let admission = &waiting.admission;
        let mut excluded: Vec<_> =
            admission.exclude.iter().filter_map(|name| self.find_worker(name)).collect();
        let required_exclusions = excluded.len();
        excluded.extend(admission.avoid.iter().filter_map(|name| self.fleet.worker_key(name)));
        let mut request = Request {
            service: key,
            class: admission.class,
            min_version: admission.min_version,
            prefixes: &admission.prefixes,
            excluded: &excluded,
        };
        let choice = self.setup.policy.choose(&self.fleet, &request, now, &mut self.rng);
        if choice.is_some() || excluded.len() == required_exclusions {
            return choice;
        }
        request.excluded = &excluded[..required_exclusions];
        self.setup.policy.choose(&self.fleet, &request, now, &mut self.rng)
    }

    /// Worker `name`, or the worker that runs the sample `name`.
    fn find_worker(&self, name: &str) -> Option<Key<Worker>> {
        self.fleet.worker_key(name).or_else(|| self.samples.get(name).copied())
    }

    fn log_route(&self, admission: &Admission, choice: Choice) {
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        let chosen = self.fleet.worker(choice.worker).map_or("", |worker| &worker.name);
        Line::new("route")
            .with("request", &admission.request_id)
            .with("service", &admission.service)
            .with("chosen", chosen)
            .with("candidates", choice.candidates)
            .with("reason", choice.reason)
            .info();
    }

    fn on_finished(&mut self, finished: &Finished) {
        let now = self.setup.clock.now();
        let jitter = self.rng.random_range(0.0..1.0);
        if let Some(sample) = &finished.sample {
            self.samples.remove(sample);
        }
        self.fleet.record_completion(finished.worker, finished.outcome, now, jitter);
        self.dispatch_waiting_for_worker(finished.worker);
    }

    fn dispatch_waiting_for_worker(&mut self, worker: Key<Worker>) {
        if let Some(service) = self.fleet.worker(worker).map(|worker| worker.service) {
            self.dispatch_waiting(service);
        }
    }

    /// Dispatches waiting requests of a service while workers are available.
    pub(super) fn dispatch_waiting(&mut self, key: Key<Service>) {
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED {
            let Some(entry) = self.queues.get_mut(&key).and_then(Queue::pop) else { break };
            if entry.item.reply.is_closed() {
                continue;
            }
            let Entry { priority, team, cost, deadline, item } = entry;
            if let Some(item) = self.try_dispatch(key, item) {
                skipped.push(Entry { priority, team, cost, deadline, item });
            }
        }
        if let Some(queue) = self.queues.get_mut(&key) {
            skipped.into_iter().rev().for_each(|entry| queue.requeue(entry));
        }
    }

    fn on_tick(&mut self) {
        let now = self.setup.clock.now();
        self.report_ramps(now);
        let keys: Vec<_> = self.queues.keys().copied().collect();
        for key in keys {
            let Some(queue) = self.queues.get_mut(&key) else { continue };
            if let Some(service) = self.fleet.service(key) {
                self.setup.metrics.set_waiting(&service.config.name, queue.len());
            }
            if queue.is_empty() {
                self.overloaded_since.remove(&key);
                continue;
            }
            queue.remove_if(|entry| entry.item.reply.is_closed());
            queue
                .remove_expired(now)
                .into_iter()
                .for_each(|entry| refuse(entry.item, Refusal::Expired));
            self.shed_overload(key, now);
            self.dispatch_waiting(key);
        }
    }

    /// Sheds customers' requests that have waited too long once the overload has lasted for
    /// [`OVERLOAD_DELAY`]. A persistent queue delays every request without completing more of them.
    fn shed_overload(&mut self, key: Key<Service>, now: Instant) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        let duration = self.fleet.service(key).map_or(0.0, |service| service.average_duration_ms);
        if duration == 0.0 {
            // No request has completed yet, so there is no duration to compare waits with.
            return;
        }
        let limit = Duration::from_secs_f64(duration / 1e3).max(MIN_OVERLOAD_WAIT);
        let waited_longer_than = |entry: &Entry<Waiting>, limit: Duration| {
            let Waiting { admission, queued_at, .. } = &entry.item;
            admission.class == Class::Customer && now.since(*queued_at) > limit
        };
        // Shedding at the limit keeps waits below it; half the limit keeps the overload state
        // meanwhile.
        if !queue.iter().any(|entry| waited_longer_than(entry, limit / 2)) {
            self.overloaded_since.remove(&key);
            return;
        }
        let overloaded_since = *self.overloaded_since.entry(key).or_insert(now);
        if now.since(overloaded_since) >= OVERLOAD_DELAY {
            let late = queue.remove_if(|entry| waited_longer_than(entry, limit));
            late.into_iter().for_each(|entry| refuse(entry.item, Refusal::Shed));
        }
    }

    fn apply_inventory(&mut self, inventory: &Inventory) {
        let gateway =
            Gateway { name: &self.setup.name, zone: &self.setup.zone, subset_size: SUBSET_SIZE };
        self.fleet.apply_inventory(inventory, gateway);
        let catalog: Catalog = inventory
            .services
            .iter()
            .map(|entry| (entry.name.clone(), Arc::new(entry.clone())))
            .collect();
        self.update_servers(&catalog);
        let fleet = &self.fleet;
        self.queues.retain(|key, queue| {
            let is_known = fleet.service(*key).is_some();
            while let Some(entry) = (!is_known).then(|| queue.pop()).flatten() {
                refuse(entry.item, Refusal::UnknownService);
            }
            is_known
        });
        self.outputs.catalog.send_replace(Arc::new(catalog));
    }

    fn update_servers(&mut self, catalog: &Catalog) {
        let mut servers = HashMap::default();
        let mut targets = Vec::new();
        for (key, worker) in self.fleet.workers() {
            let Some(service) = self.fleet.service(worker.service) else { continue };
            let Some(entry) = catalog.get(&service.config.name) else { continue };
            let server = self.servers.get(&key).cloned().unwrap_or_else(|| {
                Arc::new(Server::new(&worker.name, worker.address, entry.http2))
            });
            targets.push(Target {
                name: worker.name.clone(),
                service: entry.clone(),
                server: server.clone(),
            });
            servers.insert(key, server);
        }
        self.servers = servers;
        self.outputs.targets.send_replace(targets.into());
    }

    fn set_leaving(&mut self, source: Source, names: &[String]) {
        let keys: Vec<_> = self.fleet.workers().map(|(key, _)| key).collect();
        for key in keys {
            let Some(worker) = self.fleet.worker_mut(key) else { continue };
            let leaving = names.contains(&worker.name);
            match source {
                Source::VmList => worker.departure.vm_list = leaving,
                Source::Operator => worker.departure.operator = leaving,
            }
        }
    }
}

fn refuse(waiting: Waiting, refusal: Refusal) {
    // Fails if the caller has disconnected.
    let _ = waiting.reply.send(Err(refusal));
}
