//! Port to the words that callers, workers and the operator use on the wire.
//!
//! An implementation translates and decides nothing. Its functions are stateless.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderValue, Method, Request};

use crate::{
    batch::{Record, Submission},
    config::Config,
    fleet::{Entry, Report},
};

/// Text that could not be decoded, with the reason.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{_0}")]
pub struct Malformed(#[error(not(source))] pub String);

/// What a request on the callers' port asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Results of a batch from a position on.
    Results {
        /// Batch.
        batch: String,
        /// First position wanted.
        after: usize,
        /// Time to wait for a result.
        wait: Duration,
    },
    /// Body of an item.
    Item {
        /// Batch.
        batch: String,
        /// Item.
        item: String,
    },
    /// End of a batch.
    End {
        /// Batch.
        batch: String,
    },
    /// Anything else: a request on a route.
    Route,
    /// A path of the service's own calls that does not exist or lacks an argument.
    Unknown,
}

/// What a caller states in the head of a request on a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// Identifier of the attempt.
    pub id: Option<HeaderValue>,
    /// Time that the caller will still wait.
    pub time_left: Option<Duration>,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// What a dispatch to a worker states.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dispatch<'a> {
    /// Instance that must take the request; any other one refuses it.
    pub instance: &'a str,
    /// Time left of the caller's.
    pub time_left: Option<Duration>,
    /// Last event that arrived from an earlier run.
    pub last_event: Option<u64>,
    /// Priority at the worker, 0 first.
    pub priority: Option<u8>,
}

/// What the head of a worker's answer states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Identifier of the request that it answers.
    pub id: Option<HeaderValue>,
    /// Whether the worker states that the request did not run.
    pub not_run: bool,
    /// Running and waiting requests and slots.
    pub load: Option<Load>,
    /// Weight version at the start of the answer.
    pub version: Option<u64>,
    /// Time that the worker keeps an idle connection.
    pub keep_alive: Option<Duration>,
    /// Whether the answer bears the worker's signature and its body is not encoded on the way.
    pub genuine: bool,
}

/// Load of a worker as stated in its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// What happens to running requests when the weights change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// They finish first.
    Wait,
    /// They go on under the new version.
    Keep,
}

/// Order to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Instance that must take the order.
    pub instance: &'a str,
    /// Model.
    pub model: &'a str,
    /// Version to load.
    pub version: u64,
    /// What happens to running requests.
    pub swap: Swap,
    /// Name of the VM that gives the order.
    pub holder: &'a str,
    /// Fencing number of the lease.
    pub epoch: u64,
    /// Number of orders that the worker must have accepted before.
    pub expected: Option<u64>,
}

/// Row of the operator's.
#[derive(Clone, Debug, PartialEq)]
pub enum Directive {
    /// Configuration.
    Config(Box<Config>),
    /// Newest weight version of a model.
    Version {
        /// Model.
        model: String,
        /// Version.
        version: u64,
    },
    /// A row that concerns something else.
    Other,
}

/// Words on the wire.
pub trait Dialect: Clone + Copy + Send + Sync + 'static {
    /// Table with the operator's rows; the part is empty.
    const OPERATOR_TABLE: &'static str;
    /// Table in which workers register; the part is empty.
    const WORKER_TABLE: &'static str;
    /// Field of an event that states a change of the weight version.
    const VERSION_FIELD: &'static str;

    /// What a request asks for.
    fn call(method: &Method, path: &str, query: Option<&str>, headers: &HeaderMap) -> Call;
    /// Whether a request asks whether the daemon is ready.
    fn is_readiness(path: &str) -> bool;
    /// What a caller states.
    fn caller(headers: &HeaderMap) -> Caller;
    /// Sets the headers of a dispatch.
    fn dispatch(headers: &mut HeaderMap, dispatch: &Dispatch<'_>);
    /// What a worker states.
    fn answer(headers: &HeaderMap) -> Answer;
    /// Decodes a batch that a caller submits.
    ///
    /// # Errors
    /// Fails if the body is no batch, or an item is malformed or named twice.
    fn submission(body: &[u8]) -> Result<Submission, Malformed>;
    /// Encodes results of a batch from position `after` on.
    fn listing(total: usize, after: usize, results: &[Record]) -> Bytes;
    /// Decodes a row of the operator's.
    ///
    /// # Errors
    /// Fails if the row cannot be decoded.
    fn directive(key: &str, value: &[u8]) -> Result<Directive, Malformed>;
    /// Decodes a worker's row.
    ///
    /// # Errors
    /// Fails if a field is missing or of another type.
    fn worker(key: &str, value: &[u8]) -> Result<Entry, Malformed>;
    /// Request that asks a worker for its state.
    fn report(address: SocketAddr, instance: &str) -> Request<Bytes>;
    /// Decodes a worker's state.
    ///
    /// # Errors
    /// Fails if the body cannot be decoded.
    fn decode_report(body: &[u8]) -> Result<Report, Malformed>;
    /// Request that carries an order.
    fn order(address: SocketAddr, order: &Order<'_>) -> Request<Bytes>;
    /// Headers of an item's request: those of the batch, the route's host and the item's id.
    fn item_headers(id: &str, host: &str, headers: &[(String, String)]) -> HeaderMap;
}
