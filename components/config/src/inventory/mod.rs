//! What the operators own and the rules for it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whole inventory of a deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Deployment-wide values.
    pub deployment: Deployment,
    /// Availability zones.
    #[serde(rename = "zone")]
    pub zones: Vec<Zone>,
    /// Network paths between zones.
    #[serde(default, rename = "link")]
    pub links: Vec<Link>,
    /// Services that requests name.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// Backend servers.
    #[serde(rename = "worker")]
    pub workers: Vec<Worker>,
    /// Trainers.
    #[serde(default, rename = "trainer")]
    pub trainers: Vec<Trainer>,
    /// Rules on priority, freshness and placement.
    #[serde(default, rename = "rule")]
    pub rules: Vec<Rule>,
}

/// Deployment-wide values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Deployment name.
    pub name: String,
    /// Weight of sample staleness against idle time in planning.
    pub staleness_weight: f64,
    /// Weight of trainer idle time against staleness in planning.
    pub idle_weight: f64,
    /// One-way delay to clients in milliseconds.
    #[serde(default)]
    pub client_delay_ms: f64,
    /// What a minority does that cannot confirm its configuration.
    #[serde(default)]
    pub unconfirmed: Unconfirmed,
}

/// What a minority does that cannot confirm its configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unconfirmed {
    /// Becomes not ready.
    #[default]
    Stop,
    /// Goes on serving.
    Serve,
}

/// Availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Zone name.
    pub name: String,
    /// Region name.
    pub region: String,
}

/// Network path between two zones, in both directions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Zones at both ends.
    pub between: [String; 2],
    /// One-way delay in milliseconds.
    pub delay_ms: f64,
    /// Cost of the path relative to one inside a zone.
    #[serde(default = "one")]
    pub cost: f64,
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

/// Kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines.
    Model,
    /// Plain application servers.
    Application,
}

/// Service that requests name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// Kind of its workers.
    pub kind: Kind,
    /// Workers report their load.
    #[serde(default = "yes")]
    pub reports_load: bool,
    /// Workers refuse orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Workers return the request identifier.
    #[serde(default = "yes")]
    pub echoes_request_id: bool,
    /// Engines continue a stream from given tokens.
    #[serde(default)]
    pub resumes_streams: bool,
    /// Paths, by prefix, whose `POST` and `PATCH` calls may be repeated.
    #[serde(default)]
    pub idempotent_paths: Vec<String>,
    /// Paths, by prefix, whose `PUT` and `DELETE` calls must not be repeated.
    #[serde(default)]
    pub unrepeatable_paths: Vec<String>,
    /// Workers speak HTTP/2 without TLS.
    #[serde(default)]
    pub http2: bool,
    /// Largest concurrency of one worker.
    #[serde(default = "default_concurrency")]
    pub max_concurrency: u32,
    /// Time limit of a request without a deadline of its own, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Least share of workers that serve during a weight rollout.
    #[serde(default = "default_min_serving")]
    pub min_serving: f64,
}

fn default_concurrency() -> u32 {
    32
}

fn default_timeout_ms() -> u64 {
    60_000
}

fn default_min_serving() -> f64 {
    0.5
}

/// Backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Worker name.
    pub name: String,
    /// Service name.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// IP address and port.
    pub address: SocketAddr,
}

/// Trainer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// Trainer name.
    pub name: String,
    /// Team that owns it.
    pub team: String,
    /// Model service it samples from.
    pub service: String,
    /// Share of the engines relative to other trainers.
    #[serde(default = "one")]
    pub share: f64,
    /// Largest staleness in weight versions when a round states none.
    pub staleness_bound: u64,
}

/// Class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Requests of customers.
    Customer,
    /// Samples for trainers.
    Rollout,
}

/// Rule on priority, freshness and placement of a class of work at a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Rule name.
    pub name: String,
    /// Service that the rule is for.
    pub service: String,
    /// Class that the rule is for; all classes if absent.
    #[serde(default)]
    pub class: Option<Class>,
    /// Higher goes first.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Largest difference to the newest weight version known.
    #[serde(default)]
    pub max_version_lag: Option<u64>,
    /// Zones where the work may go; all zones if absent.
    #[serde(default)]
    pub zones: Option<Vec<String>>,
}

impl Inventory {
    /// Parses an inventory. Cross references are the business of the check.
    ///
    /// # Errors
    /// Fails on TOML syntax, unknown keys and values of a wrong type.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Service named `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Workers of the service named `name`.
    pub fn workers_of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Worker> {
        self.workers.iter().filter(move |worker| worker.service == name)
    }

    /// One-way delay between two zones in milliseconds; zero inside a zone or if none is given.
    #[must_use]
    pub fn delay_ms(&self, from: &str, to: &str) -> f64 {
        self.link(from, to).map_or(0.0, |link| link.delay_ms)
    }

    /// Path between two different zones.
    #[must_use]
    pub fn link(&self, from: &str, to: &str) -> Option<&Link> {
        self.links.iter().find(|link| {
            let [a, b] = &link.between;
            from != to && ((a == from && b == to) || (a == to && b == from))
        })
    }
}
