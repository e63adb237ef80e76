//! Interface to the wire formats of callers, workers and the operator.
//!
//! An implementation only translates; it is stateless and makes no decisions.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use http::{HeaderMap, HeaderValue, Method, Request};

use crate::{
    batch::{Record, Submission},
    config::Config,
    fleet::{Entry, Report},
};

/// Input that could not be decoded, with the reason.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{_0}")]
pub struct Malformed(#[error(not(source))] pub String);

/// Call on the callers' port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the results of a batch from a position on.
    Results {
        /// Batch identifier.
        batch: String,
        /// First position to return.
        after: usize,
        /// Longest wait for a result.
        wait: Duration,
    },
    /// Read the request body of an item.
    Item {
        /// Batch identifier.
        batch: String,
        /// Item identifier.
        item: String,
    },
    /// End a batch.
    End {
        /// Batch identifier.
        batch: String,
    },
    /// Forward the request on its route.
    Route,
    /// Malformed: a reserved path that does not exist or lacks an argument.
    Unknown,
}

/// Key in the headers of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CallerKey {
    #[default]
    Absent,
    // Keys are secrets and must not reach a log.
    #[debug("Present")]
    Present(HeaderValue),
    /// Not a key, with the reason.
    Malformed(&'static str),
}

/// What a caller states in the headers of a request on a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// Identifier of the request attempt.
    pub id: Option<HeaderValue>,
    /// Time left until the caller stops waiting.
    pub time_left: Option<Duration>,
    /// Number of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Key that identifies the workspace.
    pub key: CallerKey,
}

/// What a request to a worker states in its headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dispatch<'a> {
    /// Instance that must take the request; any other refuses it.
    pub instance: &'a str,
    /// Remaining time of the caller.
    pub time_left: Option<Duration>,
    /// Last event received from an earlier run, after which the worker resumes.
    pub last_event: Option<u64>,
    /// Priority at the worker; 0 is the highest.
    pub priority: Option<u8>,
    /// Workspace on whose behalf the request runs.
    pub workspace: Option<&'a str>,
}

/// What a worker states in the headers of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Identifier of the answered request.
    pub id: Option<HeaderValue>,
    /// Whether the worker states that the request has not run.
    pub not_run: bool,
    pub load: Option<Load>,
    /// Weight version at the start of the response.
    pub version: Option<u64>,
    /// How long the worker keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the worker states that it is shutting down.
    pub is_leaving: bool,
    /// Whether the response has the worker's signature and no content encoding added on the way.
    pub is_genuine: bool,
    /// The worker's signature of the response. For a reward call, it is the score.
    pub signature: Option<HeaderValue>,
}

/// Load that a worker states in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that may run concurrently.
    pub slots: u32,
    /// How long work takes on the machine at this moment, in percent of the usual time; absent if
    /// the worker does not state it.
    pub work_time_percent: Option<u32>,
}

/// Treatment of running requests when the weights change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// They finish before the load.
    Wait,
    /// They continue with the new version.
    Keep,
}

/// Order to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Instance that must take the order; any other refuses it.
    pub instance: &'a str,
    pub model: &'a str,
    /// Version to load.
    pub version: u64,
    /// Treatment of running requests.
    pub swap: Swap,
    /// Name of the VM that holds the lease.
    pub holder: &'a str,
    /// Epoch of the lease, by which the worker rejects orders of earlier holders.
    pub epoch: u64,
    /// Number of orders that the worker must have accepted before; not checked if absent.
    pub expected_orders: Option<u64>,
}

/// Content of a row in the operator's table.
#[derive(Clone, Debug, PartialEq)]
pub enum Directive {
    Config(Box<Config>),
    /// New weight version of a model.
    Version {
        model: String,
        version: u64,
    },
    /// Irrelevant to this daemon.
    Other,
}

/// Wire formats of an installation.
pub trait Dialect: Clone + Copy + Send + Sync + 'static {
    /// Table with the operator's rows, in its empty part.
    const OPERATOR_TABLE: &'static str;
    /// Table in which workers register, in its empty part.
    const WORKER_TABLE: &'static str;
    /// Event field that states a new weight version.
    const VERSION_FIELD: &'static str;

    /// Classifies a request on the callers' port.
    fn classify(method: &Method, path: &str, query: Option<&str>, headers: &HeaderMap) -> Call;
    /// Whether `path` is that of the readiness check.
    fn is_readiness(path: &str) -> bool;
    /// Decodes the headers of a caller.
    fn decode_caller(headers: &HeaderMap) -> Caller;
    /// Sets the headers of a request to a worker. Removes the caller's key, and any workspace that
    /// the caller stated.
    fn set_dispatch_headers(headers: &mut HeaderMap, dispatch: &Dispatch<'_>);
    /// Decodes the headers of a worker's response.
    fn decode_answer(headers: &HeaderMap) -> Answer;
    /// Decodes a batch that a caller submits.
    ///
    /// # Errors
    /// Fails if the body is not a batch, an item is malformed, or two items have the same
    /// identifier.
    fn decode_submission(body: &[u8]) -> Result<Submission, Malformed>;
    /// Encodes the results of a batch of `total` items from position `after` on.
    fn encode_results(total: usize, after: usize, results: &[Record]) -> Bytes;
    /// Decodes a row of the operator's table.
    ///
    /// # Errors
    /// Fails if the value is malformed.
    fn decode_directive(key: &str, value: &[u8]) -> Result<Directive, Malformed>;
    /// Decodes the registry entry of a worker.
    ///
    /// # Errors
    /// Fails if a field is missing or has the wrong type.
    fn decode_worker(key: &str, value: &[u8]) -> Result<Entry, Malformed>;
    /// Builds the request for the state of a worker.
    fn report_request(address: SocketAddr, instance: &str) -> Request<Bytes>;
    /// Decodes the state of a worker.
    ///
    /// # Errors
    /// Fails if the body is malformed.
    fn decode_report(body: &[u8]) -> Result<Report, Malformed>;
    /// Builds the request that carries an order.
    fn order_request(address: SocketAddr, order: &Order<'_>) -> Request<Bytes>;
    /// Builds the headers of an item's request from its own `headers`, the route's host and its
    /// identifier.
    fn item_headers(id: &str, host: &str, headers: &[(String, String)]) -> HeaderMap;
}
