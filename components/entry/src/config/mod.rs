//! Configuration in force: routes, services and limits, as the operator last wrote them.

use std::time::Duration;

use filbertsail_collections::HashMap;
use rand::{Rng, RngExt};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once per attempt of the caller.
    AtMostOnce,
    /// Answers are event streams.
    Stream,
    /// Batches of rollout items.
    Batch,
}

/// Target of a route with its share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service name.
    pub service: String,
    /// Relative share.
    pub weight: f64,
}

/// Route from a host and path prefix to one or more services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Route name.
    pub name: String,
    /// Host header that it serves.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub target_latency: Duration,
    /// Services by share.
    pub targets: Vec<Target>,
    /// Most workers that one attempt of a caller may reach.
    pub max_attempts: u32,
    /// Whether a stream may go on at another worker.
    pub resumable: bool,
    /// Time after acceptance at which an item may be given up.
    pub max_queue: Duration,
    /// Whether all events of a result must come from one weight version.
    pub single_version: bool,
}

impl Route {
    /// Service for one request, drawn by weight.
    pub fn service<R: Rng>(&self, rng: &mut R) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut draw = rng.random::<f64>() * total;
        for target in &self.targets {
            draw -= target.weight;
            if draw < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| target.service.as_str())
    }
}

/// Service that requests are forwarded to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// Properties of model engines; absent for plain services.
    pub engine: Option<Engine>,
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for the KV cache in tokens.
    pub kv_tokens: u64,
    /// Tokens per event.
    pub stride: u64,
    /// Model names.
    pub models: Vec<String>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head.
    pub header_timeout: Duration,
    /// Time that an idle connection stays open.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Limits on callers.
    pub limits: Limits,
}

impl Config {
    /// Route of the host with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Whether any route has `host`.
    #[must_use]
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.iter().any(|route| route.host == host)
    }
}
