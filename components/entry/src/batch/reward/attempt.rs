//! One attempt at a reward call.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_clock::running;
use filbertsail_collections::arena::Key;
use filbertsail_http::{Body, status::is_final};
use http::{HeaderMap, Method, Request, StatusCode};

use super::Call;
use crate::{
    channel::Terms,
    dialect::{Dialect, Dispatch},
    fleet::{End, Worker},
    shared::Shared,
};

/// Pause before a worker that refused a call gets new requests: about as long as a slot stays busy.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);
/// Pause before a worker gets new requests after another instance answered at its address.
const MISDIRECTED_PAUSE: Duration = Duration::from_secs(2);

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The complete response arrived, with this score.
    Scored(String),
    /// The worker reported a failure of the call.
    Failed,
    /// The worker reported that the call is invalid; a retry cannot succeed.
    Invalid,
    /// The worker did not run the call; it gets no new requests for the given time.
    Refused(Duration),
    /// No response, a wrong one, or one that broke off, with the reason.
    Broken(String),
}

impl Finish {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Scored(_) => "scored",
            Self::Failed => "failed",
            Self::Invalid => "invalid",
            Self::Refused(_) => "refused",
            Self::Broken(_) => "broken",
        }
    }

    /// What the end of the attempt means for the health of its worker. Some calls fail at every
    /// worker, so a reported failure says nothing about the worker.
    #[must_use]
    pub fn worker_end(&self) -> End {
        match self {
            Self::Scored(_) => End::Success,
            Self::Failed | Self::Invalid => End::Inconclusive,
            Self::Refused(pause) => End::Refused { pause: *pause },
            Self::Broken(_) => End::Failure,
        }
    }
}

/// Parameters of an attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: Key<Worker>,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Instance identifier of the worker.
    pub instance: String,
    pub call: Call,
    /// Time until the item is given up, which is passed to the worker.
    pub time_left: Duration,
    /// Timeout of the attempt.
    pub limit: Duration,
}

impl Attempt {
    /// Sends the call and reads the response.
    pub async fn run<D: Dialect>(self, shared: &Shared) -> Finish {
        let sent_at = shared.now();
        match running::timeout(self.limit, self.exchange::<D>(shared)).await {
            Ok(finish) => finish,
            Err(_) => {
                shared.pool.close_idle_since(self.address, sent_at);
                Finish::Broken("no complete response before the timeout".to_owned())
            }
        }
    }

    async fn exchange<D: Dialect>(&self, shared: &Shared) -> Finish {
        let Some(request) = self.request::<D>() else {
            return Finish::Broken("path is not a valid URI".to_owned());
        };
        let terms = Terms::identified(true, self.call.id.as_bytes());
        let sent = shared.pool.send_with_fallback(self.address, request, terms, shared.now());
        let result = sent.await;
        let (response, connection) = match result {
            Ok(exchange) => exchange,
            Err(fault) => return Finish::Broken(fault.to_string()),
        };
        let answer = D::decode_answer(response.headers());
        if answer.id.as_ref().is_some_and(|id| id.as_bytes() != self.call.id.as_bytes()) {
            return Finish::Broken("response to another request".to_owned());
        }
        if !is_final(response.status(), &Method::POST, &HeaderMap::new()) {
            return Finish::Broken(format!("invalid status {}", response.status().as_u16()));
        }
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            shared.record_answer(self.worker, &answer);
        }
        match response.status() {
            StatusCode::MISDIRECTED_REQUEST => return Finish::Refused(MISDIRECTED_PAUSE),
            _ if answer.not_run => return Finish::Refused(REFUSAL_PAUSE),
            _ if answer.id.is_none() || !answer.is_genuine => {
                return Finish::Broken("not the worker's own response".to_owned());
            }
            StatusCode::INTERNAL_SERVER_ERROR => return Finish::Failed,
            StatusCode::UNPROCESSABLE_ENTITY => return Finish::Invalid,
            status if !status.is_success() => {
                return Finish::Broken(format!("unexpected status {}", status.as_u16()));
            }
            _ => {}
        }
        let score = answer.signature.as_ref().and_then(|score| score.to_str().ok());
        let Some(score) = score.filter(|score| !score.is_empty()) else {
            return Finish::Broken("response has no readable score".to_owned());
        };
        if let Err(fault) = shared.foreign.read(response.into_body()).await {
            return Finish::Broken(fault.to_string());
        }
        shared.pool.keep(connection, answer.keep_alive, shared.now());
        Finish::Scored(score.to_owned())
    }

    fn request<D: Dialect>(&self) -> Option<Request<Body>> {
        let body = Body::full(Bytes::copy_from_slice(&self.call.body));
        let mut request =
            Request::builder().method(Method::POST).uri(&self.call.path).body(body).ok()?;
        let headers = request.headers_mut();
        *headers = D::item_headers(&self.call.id, &self.call.host, &[]);
        let dispatch = Dispatch {
            instance: &self.instance,
            time_left: Some(self.time_left),
            last_event: None,
            priority: None,
            workspace: None,
        };
        D::set_dispatch_headers(headers, &dispatch);
        Some(request)
    }
}
