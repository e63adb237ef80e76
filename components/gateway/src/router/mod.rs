//! Actor that owns the routing state of a gateway.
//!
//! Request tasks ask it for a [`Permit`] and report the end of each attempt through it. Other tasks
//! update the state by messages, so that no lock is held during a routing decision.

pub mod admission;
mod report;
mod task;

use std::{collections::HashMap, sync::Arc};

use filbertsail_api as api;
use filbertsail_clock::{self as clock, Instant};
use filbertsail_cluster::config::Snapshot;
use filbertsail_collections::arena::Key;
use filbertsail_config::inventory::Service;
use filbertsail_routing::{
    policy::Policy,
    prefix::Change,
    state::{Report, Worker},
};
use filbertsail_wire::frame;
use tokio::sync::{mpsc, oneshot, watch};

pub use admission::{Admission, Permit, Refusal};

use crate::{backend::Server, metrics::Metrics};

/// Services of the active inventory by name.
pub type Catalog = HashMap<String, Arc<Service>>;

/// Backend server to monitor.
#[derive(Clone, Debug)]
pub struct Target {
    /// Worker name.
    pub name: String,
    pub service: Arc<Service>,
    /// Connections to the server.
    pub server: Arc<Server>,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    pub change: Change,
    /// Hash of the prefix.
    pub prefix: String,
}

/// Source that reports which workers are leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// VM list of the platform.
    VmList,
    /// Drain marks of operators.
    Operator,
}

/// Message to the routing task.
#[derive(Debug)]
pub(crate) enum Message {
    Admit(Admission, oneshot::Sender<Result<Permit, Refusal>>),
    Progressed { worker: Key<Worker>, sent_at: Instant },
    Finished(admission::Finished),
    SetConfig(Arc<Snapshot>, oneshot::Sender<()>),
    RecordReport { worker: String, report: Report },
    RecordContact { worker: String, reached: bool },
    RecordCacheEvents { worker: String, events: Vec<CacheEvent>, next: u64 },
    SetLeaving { source: Source, names: Vec<String> },
    WorkerStates(String, oneshot::Sender<Vec<frame::Worker>>),
    Explain(api::admin::Question, oneshot::Sender<Option<api::admin::Answer>>),
    Backends(oneshot::Sender<Vec<api::admin::Backend>>),
}

/// Handle of the routing task, cheap to clone.
#[derive(Clone, Debug)]
pub struct Router {
    messages: mpsc::UnboundedSender<Message>,
    catalog: watch::Receiver<Arc<Catalog>>,
    targets: watch::Receiver<Arc<[Target]>>,
}

/// Parameters of a routing task.
#[derive(Debug)]
pub struct Setup<P, C> {
    /// Gateway name, which also selects its subset of workers.
    pub name: String,
    /// Availability zone of the gateway.
    pub zone: String,
    pub policy: P,
    pub clock: C,
    /// Seed of the random number generator.
    pub seed: u64,
    pub metrics: Metrics,
}

impl Router {
    /// Starts the routing task, which ends when all handles are dropped.
    pub fn start<P, C>(setup: Setup<P, C>) -> Self
    where
        P: Policy + Send + Sync + 'static,
        C: clock::Source,
    {
        let (messages, inbox) = mpsc::unbounded_channel();
        let (catalog, catalog_view) = watch::channel(Arc::default());
        let (targets, targets_view) = watch::channel(Arc::from([]));
        let outputs = task::Outputs { catalog, targets };
        let task = task::Task::new(setup, messages.downgrade(), outputs);
        tokio::spawn(task.run(inbox));
        Self { messages, catalog: catalog_view, targets: targets_view }
    }

    /// Service `name` of the active inventory.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Arc<Service>> {
        self.catalog.borrow().get(name).cloned()
    }

    /// Backend servers to monitor; changes with the inventory.
    #[must_use]
    pub fn targets(&self) -> watch::Receiver<Arc<[Target]>> {
        self.targets.clone()
    }

    /// Waits for a permit to use a worker.
    ///
    /// # Errors
    /// See [`Refusal`].
    pub async fn admit(&self, admission: Admission) -> Result<Permit, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Admit(admission, reply));
        answer.await.unwrap_or(Err(Refusal::Stopped))
    }

    /// Activates a configuration; returns once it is active.
    pub async fn set_config(&self, config: Arc<Snapshot>) {
        self.call(|reply| Message::SetConfig(config, reply)).await;
    }

    /// Records a load report. `measured_at` is the time of arrival minus the age stated by the
    /// worker.
    pub fn record_report(&self, worker: &str, report: Report) {
        self.send(Message::RecordReport { worker: worker.to_owned(), report });
    }

    /// Records whether the monitor reached a worker.
    pub fn record_contact(&self, worker: &str, reached: bool) {
        self.send(Message::RecordContact { worker: worker.to_owned(), reached });
    }

    /// Records cache events; `next` is the sequence number to continue from.
    pub fn record_cache_events(&self, worker: &str, events: Vec<CacheEvent>, next: u64) {
        self.send(Message::RecordCacheEvents { worker: worker.to_owned(), events, next });
    }

    /// Replaces the set of leaving workers of a source.
    pub fn set_leaving(&self, source: Source, names: Vec<String>) {
        self.send(Message::SetLeaving { source, names });
    }

    /// State of the workers of a service.
    pub async fn worker_states(&self, service: &str) -> Vec<frame::Worker> {
        self.call(|reply| Message::WorkerStates(service.to_owned(), reply))
            .await
            .unwrap_or_default()
    }

    /// Routing decision for a hypothetical request; `None` if the service is unknown.
    pub async fn explain(&self, question: api::admin::Question) -> Option<api::admin::Answer> {
        self.call(|reply| Message::Explain(question, reply)).await.flatten()
    }

    /// State of all backend servers.
    pub async fn backends(&self) -> Vec<api::admin::Backend> {
        self.call(Message::Backends).await.unwrap_or_default()
    }

    async fn call<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply));
        answer.await.ok()
    }

    fn send(&self, message: Message) {
        // Fails only during process shutdown.
        let _ = self.messages.send(message);
    }
}
