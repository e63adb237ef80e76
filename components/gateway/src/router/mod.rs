//! Task that owns the routing state of a gateway.
//!
//! Callers' tasks ask it for a [`Grant`] and report the end of each attempt through it. All other
//! tasks change the state by messages, so that no lock is held across a decision.

pub mod admission;
mod report;
mod task;

use std::{collections::HashMap, sync::Arc};

use filbertsail_api as api;
use filbertsail_clock as clock;
use filbertsail_cluster::config::Snapshot;
use filbertsail_config::inventory::Service as Entry;
use filbertsail_routing::{policy::Policy, prefix::Change, state::Report};
use filbertsail_wire::frame;
use tokio::sync::{mpsc, oneshot, watch};

pub use admission::{Admission, Grant, Refusal};

use crate::{backend::Server, metrics::Metrics};

/// Services by name, as the inventory in force has them.
pub type Catalog = HashMap<String, Arc<Entry>>;

/// Backend server to be observed.
#[derive(Clone, Debug)]
pub struct Target {
    /// Worker name.
    pub name: String,
    /// Its service.
    pub service: Arc<Entry>,
    /// Connections.
    pub server: Arc<Server>,
}

/// Cache event of an engine.
#[derive(Clone, Debug)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// Stored or evicted.
    pub change: Change,
    /// Name of the prefix.
    pub prefix: String,
}

/// Source of marks that say which workers are leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// VM list.
    VmList,
    /// Operator.
    Operator,
}

/// Message to the routing task.
#[derive(Debug)]
pub(crate) enum Message {
    Admit(Admission, oneshot::Sender<Result<Grant, Refusal>>),
    Finished(admission::Finished),
    Inventory(Arc<Snapshot>, oneshot::Sender<()>),
    Report { worker: String, report: Report },
    Contact { worker: String, reached: bool },
    Cache { worker: String, events: Vec<CacheEvent>, next: u64 },
    Leaving { source: Source, names: Vec<String> },
    Survey(String, oneshot::Sender<Vec<frame::Worker>>),
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

/// How a routing task is set up.
#[derive(Debug)]
pub struct Setup<P, C> {
    /// Gateway name.
    pub name: String,
    /// Availability zone of the gateway.
    pub zone: String,
    /// Policy.
    pub policy: P,
    /// Clock.
    pub clock: C,
    /// Seed of the random choices.
    pub seed: u64,
    /// Metrics of the request path.
    pub metrics: Metrics,
}

impl Router {
    /// Starts the task; it ends when all handles are dropped.
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

    /// Service named `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Arc<Entry>> {
        self.catalog.borrow().get(name).cloned()
    }

    /// Backend servers to observe; changes with the inventory.
    #[must_use]
    pub fn targets(&self) -> watch::Receiver<Arc<[Target]>> {
        self.targets.clone()
    }

    /// Waits for a worker.
    ///
    /// # Errors
    /// Fails if the request is shed, expires or names no known service.
    pub async fn admit(&self, admission: Admission) -> Result<Grant, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Admit(admission, reply));
        answer.await.unwrap_or(Err(Refusal::Stopped))
    }

    /// Puts a configuration in force and waits until it is.
    pub async fn set_config(&self, config: Arc<Snapshot>) {
        self.ask(|reply| Message::Inventory(config, reply)).await;
    }

    /// Takes a load report; `measured_at` is its arrival less the age that the worker states.
    pub fn report(&self, worker: &str, report: Report) {
        self.send(Message::Report { worker: worker.to_owned(), report });
    }

    /// Notes whether a worker was reached outside of requests.
    pub fn contact(&self, worker: &str, reached: bool) {
        self.send(Message::Contact { worker: worker.to_owned(), reached });
    }

    /// Takes cache events; `next` is the sequence number to ask for next.
    pub fn cache(&self, worker: &str, events: Vec<CacheEvent>, next: u64) {
        self.send(Message::Cache { worker: worker.to_owned(), events, next });
    }

    /// Replaces the leaving marks of a source.
    pub fn leaving(&self, source: Source, names: Vec<String>) {
        self.send(Message::Leaving { source, names });
    }

    /// Workers of a service.
    pub async fn survey(&self, service: &str) -> Vec<frame::Worker> {
        self.ask(|reply| Message::Survey(service.to_owned(), reply)).await.unwrap_or_default()
    }

    /// How a request would be routed; `None` for an unknown service.
    pub async fn explain(&self, question: api::admin::Question) -> Option<api::admin::Answer> {
        self.ask(|reply| Message::Explain(question, reply)).await.flatten()
    }

    /// All backend servers.
    pub async fn backends(&self) -> Vec<api::admin::Backend> {
        self.ask(Message::Backends).await.unwrap_or_default()
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply));
        answer.await.ok()
    }

    fn send(&self, message: Message) {
        // Fails only while the process ends.
        let _ = self.messages.send(message);
    }
}
