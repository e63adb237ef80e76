//! The routing task.

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
    Admission, Catalog, Grant, Message, Refusal, Setup, Source, Target, admission::Finished,
};
use crate::backend::Server;

/// Waiting requests per service.
const QUEUE_CAPACITY: usize = 4_096;
/// Largest number of workers of a service that one gateway uses. With 420 gateways and 1,000 workers
/// every worker is used by some gateway.
const SUBSET_SIZE: usize = 20;
/// Longest wait for a worker.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Time with too long a wait that shows overload rather than a burst.
const STANDING: Duration = Duration::from_secs(1);
/// Least bound on the wait of customers' requests under overload. Longer waits raise latency and
/// not goodput.
const MIN_STANDING_WAIT: Duration = Duration::from_millis(200);
/// Interval at which deadlines and pauses of breakers are looked at.
const TICK: Duration = Duration::from_millis(50);
/// Waiting requests without an eligible worker that are passed over in one go.
const MAX_PASSED_OVER: usize = 64;

pub(super) struct Outputs {
    pub(super) catalog: watch::Sender<Arc<Catalog>>,
    pub(super) targets: watch::Sender<Arc<[Target]>>,
}

type Reply = oneshot::Sender<Result<Grant, Refusal>>;

struct Waiting {
    admission: Admission,
    reply: Reply,
    since: Instant,
}

pub(super) struct Task<P, C> {
    pub(super) setup: Setup<P, C>,
    pub(super) fleet: Fleet,
    pub(super) rng: SmallRng,
    servers: HashMap<Key<Worker>, Arc<Server>>,
    queues: HashMap<Key<Service>, Queue<Waiting>>,
    /// Since when customers of a service have waited too long.
    standing: HashMap<Key<Service>, Instant>,
    // Controllers choose the identifiers of samples, and they hold the cluster key.
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
            standing: HashMap::default(),
            samples: HashMap::default(),
            messages,
            outputs,
        }
    }

    pub(super) async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                _ = tick.tick() => self.expire(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Admit(admission, reply) => self.admit(admission, reply),
            Message::Finished(finished) => self.finished(&finished),
            Message::Inventory(config, reply) => {
                self.take_over(&config.inventory);
                let _ = reply.send(());
            }
            Message::Report { worker, report } => {
                if let Some(key) = self.fleet.worker_key(&worker) {
                    self.fleet.record_report(key, report);
                    self.note_live(key, true);
                    self.pump_of(key);
                }
            }
            Message::Contact { worker, reached } => self.contact(&worker, reached),
            Message::Cache { worker, events, next } => self.cache(&worker, &events, next),
            Message::Leaving { source, names } => self.leaving(source, &names),
            Message::Survey(service, reply) => {
                let _ = reply.send(self.survey(&service));
            }
            Message::Explain(question, reply) => {
                let _ = reply.send(self.explain(&question));
            }
            Message::Backends(reply) => {
                let _ = reply.send(self.backends());
            }
        }
    }

    pub(super) fn note_live(&self, key: Key<Worker>, live: bool) {
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
        let waiting = Waiting { admission, reply, since: self.setup.clock.now() };
        if self.queues.get(&key).is_none_or(Queue::is_empty) {
            if let Some(waiting) = self.place(key, waiting) {
                self.enqueue(key, waiting);
            }
        } else {
            self.enqueue(key, waiting);
            self.pump(key);
        }
    }

    fn enqueue(&mut self, key: Key<Service>, waiting: Waiting) {
        let now = self.setup.clock.now();
        // A request that is sent later than this misses its deadline at the worker.
        let duration = self.fleet.service(key).map_or(0.0, |service| service.average_duration_ms);
        let useful = waiting.admission.deadline.before(Duration::from_secs_f64(duration / 1e3));
        let entry = Entry {
            priority: self.priority(key, &waiting.admission),
            team: waiting.admission.team.clone(),
            cost: waiting.admission.cost,
            deadline: useful.min(now.after(MAX_WAIT)),
            item: waiting,
        };
        let queue = self.queues.entry(key).or_insert_with(|| Queue::new(QUEUE_CAPACITY));
        if let Some(shed) = queue.push(entry) {
            refuse(shed.item, Refusal::Shed);
        }
    }

    /// Customers' requests keep a higher priority than any rollout sample by default.
    fn priority(&self, key: Key<Service>, admission: &Admission) -> u32 {
        let Some(service) = self.fleet.service(key) else { return 0 };
        match admission.class {
            Class::Customer => service.customer.priority,
            Class::Rollout => {
                let raised = service.rollout.priority.saturating_add(admission.priority);
                let bound = service.customer.priority.saturating_sub(1);
                raised.min(bound.max(service.rollout.priority))
            }
        }
    }

    /// Sends `waiting` to a worker, or returns it if none is eligible.
    fn place(&mut self, key: Key<Service>, waiting: Waiting) -> Option<Waiting> {
        let Some(choice) = self.choose(key, &waiting) else { return Some(waiting) };
        let (Some(server), Some(messages)) =
            (self.servers.get(&choice.worker), self.messages.upgrade())
        else {
            return Some(waiting);
        };
        let grant = Grant {
            server: server.clone(),
            priority: self.priority(key, &waiting.admission),
            worker: choice.worker,
            messages,
            outcome: Outcome::Inconclusive,
            sample: (waiting.admission.class == Class::Rollout)
                .then(|| waiting.admission.request_id.clone()),
        };
        if let Some(sample) = &grant.sample {
            self.samples.insert(sample.clone(), choice.worker);
        }
        self.log(&waiting.admission, choice);
        self.fleet.record_dispatch(choice.worker, self.setup.clock.now());
        // A caller that is gone drops the grant, which reports it as abandoned.
        let _ = waiting.reply.send(Ok(grant));
        None
    }

    /// Choice without the workers to avoid, else with them: a second try beats none. Workers to
    /// exclude are never chosen.
    fn choose(&mut self, key: Key<Service>, waiting: &Waiting) -> Option<Choice> {
        let now = self.setup.clock.now();
        let admission = &waiting.admission;
        let mut avoid: Vec<_> =
            admission.exclude.iter().filter_map(|name| self.named(name)).collect();
        let excluded = avoid.len();
        avoid.extend(admission.avoid.iter().filter_map(|name| self.fleet.worker_key(name)));
        let mut request = Request {
            service: key,
            class: admission.class,
            min_version: admission.min_version,
            prefixes: &admission.prefixes,
            avoid: &avoid,
        };
        let choice = self.setup.policy.choose(&self.fleet, &request, now, &mut self.rng);
        if choice.is_some() || avoid.len() == excluded {
            return choice;
        }
        request.avoid = &avoid[..excluded];
        self.setup.policy.choose(&self.fleet, &request, now, &mut self.rng)
    }

    /// Worker of that name, or the one that runs the sample of that name.
    fn named(&self, name: &str) -> Option<Key<Worker>> {
        self.fleet.worker_key(name).or_else(|| self.samples.get(name).copied())
    }

    fn log(&self, admission: &Admission, choice: Choice) {
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

    fn finished(&mut self, finished: &Finished) {
        let now = self.setup.clock.now();
        let jitter = self.rng.random_range(0.0..1.0);
        if let Some(sample) = &finished.sample {
            self.samples.remove(sample);
        }
        self.fleet.record_completion(finished.worker, finished.outcome, now, jitter);
        self.pump_of(finished.worker);
    }

    fn pump_of(&mut self, worker: Key<Worker>) {
        if let Some(service) = self.fleet.worker(worker).map(|worker| worker.service) {
            self.pump(service);
        }
    }

    /// Sends waiting requests while workers are free.
    pub(super) fn pump(&mut self, key: Key<Service>) {
        let mut passed_over = Vec::new();
        while passed_over.len() < MAX_PASSED_OVER {
            let Some(entry) = self.queues.get_mut(&key).and_then(Queue::pop) else { break };
            if entry.item.reply.is_closed() {
                continue;
            }
            let Entry { priority, team, cost, deadline, item } = entry;
            if let Some(item) = self.place(key, item) {
                passed_over.push(Entry { priority, team, cost, deadline, item });
            }
        }
        if let Some(queue) = self.queues.get_mut(&key) {
            passed_over.into_iter().rev().for_each(|entry| queue.requeue(entry));
        }
    }

    fn expire(&mut self) {
        let now = self.setup.clock.now();
        let keys: Vec<_> = self.queues.keys().copied().collect();
        for key in keys {
            let Some(queue) = self.queues.get_mut(&key) else { continue };
            if let Some(service) = self.fleet.service(key) {
                self.setup.metrics.waiting(&service.config.name, queue.len());
            }
            if queue.is_empty() {
                self.standing.remove(&key);
                continue;
            }
            queue.remove_if(|entry| entry.item.reply.is_closed());
            queue
                .remove_expired(now)
                .into_iter()
                .for_each(|entry| refuse(entry.item, Refusal::Expired));
            self.shed(key, now);
            self.pump(key);
        }
    }

    /// Refuses customers' requests that have waited too long, once the queue has stood for a while.
    /// A standing queue delays all requests and completes none more.
    fn shed(&mut self, key: Key<Service>, now: Instant) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        let duration = self.fleet.service(key).map_or(0.0, |service| service.average_duration_ms);
        if duration == 0.0 {
            // Nothing has been answered yet, so nothing tells a long wait from a usual one.
            return;
        }
        let bound = Duration::from_secs_f64(duration / 1e3).max(MIN_STANDING_WAIT);
        let waits_over = |entry: &Entry<Waiting>, bound: Duration| {
            let Waiting { admission, since, .. } = &entry.item;
            admission.class == Class::Customer && now.since(*since) > bound
        };
        // Half of the bound keeps the state while the bound itself is enforced.
        if !queue.iter().any(|entry| waits_over(entry, bound / 2)) {
            self.standing.remove(&key);
            return;
        }
        let standing = *self.standing.entry(key).or_insert(now);
        if now.since(standing) >= STANDING {
            let late = queue.remove_if(|entry| waits_over(entry, bound));
            late.into_iter().for_each(|entry| refuse(entry.item, Refusal::Shed));
        }
    }

    fn take_over(&mut self, inventory: &Inventory) {
        let gateway =
            Gateway { name: &self.setup.name, zone: &self.setup.zone, subset_size: SUBSET_SIZE };
        self.fleet.apply_inventory(inventory, gateway);
        let catalog: Catalog = inventory
            .services
            .iter()
            .map(|entry| (entry.name.clone(), Arc::new(entry.clone())))
            .collect();
        self.renew_servers(&catalog);
        let fleet = &self.fleet;
        self.queues.retain(|key, queue| {
            let stays = fleet.service(*key).is_some();
            while let Some(entry) = (!stays).then(|| queue.pop()).flatten() {
                refuse(entry.item, Refusal::UnknownService);
            }
            stays
        });
        self.outputs.catalog.send_replace(Arc::new(catalog));
    }

    fn renew_servers(&mut self, catalog: &Catalog) {
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

    fn leaving(&mut self, source: Source, names: &[String]) {
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
    // Fails if the caller is gone.
    let _ = waiting.reply.send(Err(refusal));
}
