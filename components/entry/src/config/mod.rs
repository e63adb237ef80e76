//! Active configuration: routes, services and limits.

pub mod check;
mod index;

use std::time::Duration;

use derive_more::Debug;
use filbertsail_collections::HashMap;
use filbertsail_workspaces::{Digest, Directory, Secret, Skipped, key};
use http::HeaderValue;
use rand::{Rng, RngExt};

pub use index::Index;

/// Kind of the requests on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once per attempt of the caller.
    AtMostOnce,
    /// Requests whose responses are event streams.
    Stream,
    /// Batches of rollout items.
    Batch,
}

/// Service of a route, with its share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub service: String,
    /// Share of the traffic relative to the other targets.
    pub weight: f64,
}

/// Route from a host and path prefix to one or more services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    /// Host of the requests, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Determines whether requests may be repeated.
    pub kind: Kind,
    /// Longest time until a response.
    pub timeout: Duration,
    /// Latency up to which a response has its full value.
    pub target_latency: Duration,
    pub targets: Vec<Target>,
    /// Largest number of workers that one attempt of a caller may reach.
    pub max_attempts: u32,
    /// Whether a broken stream may be resumed at another worker.
    pub resumable: bool,
    /// Time from acceptance after which an item may be given up.
    pub max_queue: Duration,
    /// Whether all events of a result must come from one weight version.
    pub single_version: bool,
    /// Rank among the requests of a service; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key although the configuration has workspaces.
    pub is_public: bool,
}

impl Route {
    /// Picks a service at random according to the weights; nothing if there is no target.
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
    pub name: String,
    /// Properties of its model engines; absent for other services.
    pub engine: Option<Engine>,
    /// Limits on the number of its workers; absent if it cannot be changed.
    pub scaling: Option<Scaling>,
}

/// Workers of a service that may be ordered from the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Least number of workers in each zone, of both kinds together.
    pub minimum: u32,
    /// Largest number of workers in each zone, of both kinds together.
    pub maximum: u32,
    /// Time from an order until a new worker takes requests.
    pub boot_time: Duration,
    /// Price of a spot worker relative to that of an on-demand worker; absent if there are none.
    pub spot_price: Option<f64>,
    /// Price of a worker by zone.
    pub zone_prices: Vec<(String, f64)>,
}

/// Part of the callers, identified by its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    pub name: String,
    // Keys are secrets and must not reach a log.
    #[debug(skip)]
    pub keys: Vec<String>,
    /// Rank of its requests, which goes before that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

impl Workspace {
    /// Whether workers can be told the name, which they get in a header. Spaces around a value are no
    /// part of it, so another workspace may have the name that would arrive.
    #[must_use]
    pub fn has_valid_name(&self) -> bool {
        let is_trimmed = self.name.trim_matches([' ', '\t']) == self.name;
        !self.name.is_empty() && is_trimmed && HeaderValue::from_bytes(self.name.as_bytes()).is_ok()
    }
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Size of the KV cache, in tokens.
    pub kv_tokens: u64,
    pub tokens_per_event: u64,
    /// Names of the models that it serves.
    pub models: Vec<String>,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// A higher version replaces a lower one.
    pub version: u64,
    pub routes: Vec<Route>,
    /// Index of the routes, built from them.
    pub index: Index,
    /// Services by name.
    pub services: HashMap<String, Service>,
    pub limits: Limits,
    /// Workspaces; without a list, no request needs a key, and with an empty one no key is valid.
    pub workspaces: Option<Vec<Workspace>>,
    /// Workspaces by key; absent without a list of workspaces.
    pub directory: Option<Directory>,
}

impl Config {
    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(self.index.position(host, path)?)
    }

    /// Returns the route of an item or reward call of a batch; none also if the batch may not use it:
    /// one that was accepted without a key on a public route (`is_public`) uses public routes only,
    /// as long as the others need a key.
    #[must_use]
    pub fn batch_route(&self, is_public: bool, host: &str, path: &str) -> Option<&Route> {
        let needs_public = is_public && self.directory.is_some();
        self.route(host, path).filter(|route| route.is_public || !needs_public)
    }

    /// Replaces the keys of the workspaces by a directory of their hashes. Returns the faults of the
    /// workspaces.
    pub fn hash_keys(&mut self, secret: &Secret) -> KeyFaults {
        let Some(workspaces) = &mut self.workspaces else { return KeyFaults::default() };
        // A name that cannot be passed on must not keep the other workspaces from a new version.
        let (valid, unusable): (Vec<&Workspace>, Vec<_>) =
            workspaces.iter().partition(|workspace| workspace.has_valid_name());
        let unusable = unusable.into_iter().map(|workspace| workspace.name.clone()).collect();
        let unmatchable = unmatchable_keys(secret, &valid);
        let entries = valid.into_iter().map(|workspace| {
            let keys = workspace.keys.iter().map(String::as_str);
            let keys = keys.filter(|key| key::fault(key.as_bytes()).is_none());
            (workspace.name.as_str(), workspace.priority, keys)
        });
        let (directory, ambiguous) = Directory::build(secret, entries);
        self.directory = Some(directory);
        // Only hashes are kept in memory.
        workspaces.iter_mut().for_each(|workspace| workspace.keys = Vec::new());
        KeyFaults { ambiguous, unusable, unmatchable }
    }
}

fn unmatchable_keys(secret: &Secret, workspaces: &[&Workspace]) -> Vec<Unmatchable> {
    let keys = workspaces
        .iter()
        .flat_map(|workspace| workspace.keys.iter().map(|key| (&workspace.name, key.as_bytes())));
    keys.filter_map(|(workspace, key)| {
        let reason = key::fault(key)?;
        Some(Unmatchable { workspace: workspace.clone(), key: secret.digest(key), reason })
    })
    .collect()
}

/// Key of the configuration that no request can carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unmatchable {
    pub workspace: String,
    pub key: Digest,
    pub reason: &'static str,
}

/// Faults of the workspaces of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyFaults {
    /// Keys that identify no workspace, because they stand in several.
    pub ambiguous: Vec<Skipped>,
    /// Names of workspaces whose keys are unknown, because workers cannot be told the name.
    pub unusable: Vec<String>,
    /// Keys that no request can carry.
    pub unmatchable: Vec<Unmatchable>,
}
