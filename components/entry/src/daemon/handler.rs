//! Handlers of the ports for callers, the load balancer and metrics.

use std::{future::pending, marker::PhantomData, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_http::{
    Body,
    body::read::{self, ReadError},
    server::Handler,
};
use filbertsail_ports::store::Store;
use filbertsail_telemetry::{event::Line, metrics::CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::{
    access::{self, Authorization, Subject},
    batch::calls::{Calls, Origin},
    config::{Config, Kind, Route},
    dialect::{Call, Caller, CallerKey, Dialect},
    foreign::RequestShare,
    forward::{self, Job, Sent, attempt::strip_hop_by_hop, reply},
    shared::Shared,
    stop::Expectation,
};

/// `Retry-After` while the configuration is not known yet.
const START_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` after a confirmation of the configuration that was missing for a batch.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// `Retry-After` while there is no room for the body of a request. Another VM may have room, and a
/// large batch is stored within a second.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Configurations under which one request is checked. Each check that waits takes up to 1.2 s, and
/// configurations follow each other within seconds at most.
const MAX_ROUTE_ROUNDS: u32 = 3;

/// `Retry-After` while this VM runs a batch whose owner's row its feed has not delivered. A feed is
/// late by some tens of milliseconds.
const ROW_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Reason of refusals and errors during a stop.
const STOPPING: &str = "the VM stops";

const METRICS_PATH: &str = "/metrics";

/// Handler of the callers' port.
#[derive(Clone, Debug)]
pub(super) struct Ingress<D, S> {
    calls: Calls<S>,
    dialect: PhantomData<D>,
}

impl<D: Dialect, S: Store> Ingress<D, S> {
    pub(super) fn new(calls: Calls<S>) -> Self {
        Self { calls, dialect: PhantomData }
    }

    async fn respond(&self, request: Request<Incoming>, sent: &Sent) -> Response<Body> {
        let shared = &self.calls.shared;
        let arrived = shared.now();
        let Some(config) = shared.config() else {
            Line::new("request_refused").with("reason", "no configuration yet").info();
            return reply::refuse("no configuration yet", START_RETRY_AFTER);
        };
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let host = host(&head.headers, &head.uri);
        let call = D::classify(&head.method, path, head.uri.query(), &head.headers);
        let mut caller = D::decode_caller(&head.headers);
        // The key goes no further than its check.
        let key = std::mem::take(&mut caller.key);
        if call != Call::Route {
            if matches!(call, Call::End { .. }) {
                sent.set();
            }
            return self.respond_to_call(call, &caller, &key, arrived).await;
        }
        let id = caller.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned();
        let may_repeat = head.method == Method::POST && caller.id.is_some();
        let mut config = config;
        let mut rounds = 0;
        let (route, authorization, deadline) = loop {
            let route = config.route(&host, path);
            let deadline = deadline(arrived, caller.time_left, route);
            let subject = Subject { id: &id, key: &key, route, deadline };
            let Some(route) = route else {
                if may_repeat
                    && self.calls.is_known(&id)
                    && let Some(response) = self.respond_to_repetition(subject).await
                {
                    return response;
                }
                return not_found(&host, path, &config);
            };
            let checked = access::check(shared, subject).await;
            // The check may have waited for a newer configuration, which has other routes.
            if let Some(newer) = shared.config().filter(|newer| newer.version != config.version) {
                rounds += 1;
                if rounds == MAX_ROUTE_ROUNDS {
                    return reply::refuse("configuration changes", UNCONFIRMED_RETRY_AFTER);
                }
                config = newer;
                continue;
            }
            match checked {
                Ok(authorization) => break (route.clone(), authorization, deadline),
                Err(response) => return response,
            }
        };
        let route = &route;
        let mut share = shared.requests.share();
        let body = match self.read_body(body, &mut share, &config).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        if route.kind == Kind::Batch {
            let batch = caller.id.as_ref().and_then(|id| id.to_str().ok());
            let (Some(batch), &Method::POST) = (batch, &head.method) else {
                return reply::json(
                    StatusCode::BAD_REQUEST,
                    "a batch is posted with an identifier",
                );
            };
            // The key may have been withdrawn while the body arrived.
            let time_left = deadline.map_or(route.timeout, |at| at.since(shared.now()));
            let workspace = authorization.workspace().map(AsRef::as_ref);
            if let Err(reason) =
                access::check_again(shared, authorization.key(), workspace, time_left).await
            {
                Line::new("batch_refused").with("batch", batch).with("reason", reason).warn();
                return match reason {
                    access::KEY_WITHDRAWN => reply::json(StatusCode::UNAUTHORIZED, reason),
                    _ => reply::refuse(reason, UNCONFIRMED_RETRY_AFTER),
                };
            }
            sent.set();
            let origin = Origin { host: &host, config: &config, authorization: &authorization };
            return self.calls.submit::<D>(batch, origin, &body).await;
        }
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        if let Some(schedule) = *shared.stop.borrow() {
            let now = shared.now();
            let request = Expectation {
                may_repeat: route.kind == Kind::Idempotent
                    || (route.kind == Kind::Stream && route.resumable),
                deadline: deadline.unwrap_or(now.after(route.timeout)),
                usual: shared.durations.usual(&route.name),
            };
            if !schedule.admits(request, now) {
                Line::new("request_refused").with("id", &id).with("reason", STOPPING).info();
                return reply::refuse(STOPPING, Duration::ZERO);
            }
            // The worker ends its work by then, too.
            let left = schedule.answers_by.since(arrived);
            caller.time_left = Some(caller.time_left.unwrap_or(left).min(left));
        }
        let job = Job {
            method: head.method,
            path,
            headers,
            body,
            caller,
            arrived,
            workspace: authorization.workspace().cloned(),
            key: authorization.key(),
            priority: authorization.priority(route),
            has_workspaces: authorization.has_workspaces(),
            sent: sent.clone(),
        };
        let response = forward::forward::<D>(shared, route, job).await;
        let took = shared.now().since(arrived);
        if route.kind != Kind::Stream && response.status().is_success() {
            shared.durations.record(&route.name, took);
        }
        shared.metrics.record_request(response.status().as_u16(), took.as_secs_f64());
        response
    }

    /// Responds to the repeated submission of a known batch whose route was removed after it was
    /// accepted; none if the caller may not learn of the batch.
    async fn respond_to_repetition(&self, subject: Subject<'_>) -> Option<Response<Body>> {
        let authorization = match self.check_call(subject).await {
            Ok(authorization) => authorization,
            Err(response) if response.status() == StatusCode::UNAUTHORIZED => return None,
            Err(response) => return Some(response),
        };
        match self.calls.is_accepted(subject.id, &authorization) {
            Some(true) => Some(reply::status(StatusCode::ACCEPTED)),
            Some(false) => None,
            None => Some(reply::refuse("owner of the batch not known yet", ROW_RETRY_AFTER)),
        }
    }

    /// Checks a call on the batch `subject.id`.
    async fn check_call(&self, subject: Subject<'_>) -> Result<Authorization, Response<Body>> {
        match self.calls.keyless_pass(subject.id, subject.key) {
            Some(authorization) => Ok(authorization),
            None => access::check(&self.calls.shared, subject).await,
        }
    }

    /// Responds to a call that has no route.
    async fn respond_to_call(
        &self,
        call: Call,
        caller: &Caller,
        key: &CallerKey,
        arrived: Instant,
    ) -> Response<Body> {
        let (Call::Results { batch, .. } | Call::Item { batch, .. } | Call::End { batch }) = &call
        else {
            return reply::json(StatusCode::BAD_REQUEST, "malformed call");
        };
        let deadline = deadline(arrived, caller.time_left, None);
        let subject = Subject { id: batch, key, route: None, deadline };
        let authorization = match self.check_call(subject).await {
            Ok(authorization) => authorization,
            Err(response) => return response,
        };
        match &call {
            Call::Results { batch, after, wait } => {
                self.calls.results::<D>(batch, *after, *wait, &authorization).await
            }
            Call::Item { batch, item } => self.calls.item(batch, item, &authorization).await,
            Call::End { batch } => self.calls.end_batch(batch, &authorization).await,
            Call::Route | Call::Unknown => reply::json(StatusCode::BAD_REQUEST, "malformed call"),
        }
    }

    async fn read_body(
        &self,
        body: Incoming,
        share: &mut RequestShare,
        config: &Config,
    ) -> Result<Bytes, Response<Body>> {
        let limits = super::port_limits(&config.limits);
        read::read_with(body, &limits, |bytes| share.grow(bytes)).await.map_err(|error| {
            Line::new("body_refused").with("reason", &error).info();
            let mut response = match error {
                ReadError::NoRoom => reply::refuse(&error.to_string(), NO_ROOM_RETRY_AFTER),
                _ => reply::json(error.status(), &error.to_string()),
            };
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            response
        })
    }
}

impl<D: Dialect, S: Store> Handler for Ingress<D, S> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let sent = Sent::default();
        let mut response = tokio::select! {
            biased;
            response = self.respond(request, &sent) => response,
            () = stop_ends(&self.calls.shared) => {
                let may_have_run = sent.get();
                Line::new("request_ended_by_stop").with("may_have_run", may_have_run).warn();
                match may_have_run {
                    true => reply::json(StatusCode::GATEWAY_TIMEOUT, STOPPING),
                    false => reply::refuse(STOPPING, Duration::ZERO),
                }
            }
        };
        if *self.calls.shared.stopping.borrow() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Completes when requests have to be answered because the process stops.
async fn stop_ends(shared: &Shared) {
    let mut stop = shared.stop.subscribe();
    // The sender lives as long as the process.
    let schedule = stop.wait_for(Option::is_some).await.ok().and_then(|schedule| *schedule);
    match schedule {
        Some(schedule) => sleep(schedule.answers_by.since(shared.now())).await,
        None => pending().await,
    }
}

/// When a request times out: at the end of the caller's time or of the route's timeout.
fn deadline(
    arrived: Instant,
    time_left: Option<Duration>,
    route: Option<&Route>,
) -> Option<Instant> {
    let limits = [time_left, route.map(|route| route.timeout)];
    limits.into_iter().flatten().min().map(|limit| arrived.after(limit))
}

fn not_found(host: &str, path: &str, config: &Arc<Config>) -> Response<Body> {
    Line::new("route_not_found")
        .with("host", host)
        .with("path", path)
        .with("config", config.version)
        .info();
    reply::json(StatusCode::NOT_FOUND, "no such route")
}

/// Host of a request without its port, in lower case.
fn host(headers: &HeaderMap, uri: &http::Uri) -> String {
    let host_header = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = uri.host().or(host_header).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

/// Handler of the readiness port.
#[derive(Clone, Debug)]
pub(super) struct Readiness<D> {
    shared: Shared,
    dialect: PhantomData<D>,
}

impl<D: Dialect> Readiness<D> {
    pub(super) fn new(shared: Shared) -> Self {
        Self { shared, dialect: PhantomData }
    }
}

impl<D: Dialect> Handler for Readiness<D> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        if !D::is_readiness(request.uri().path()) {
            return reply::status(StatusCode::NOT_FOUND);
        }
        reply::status(match self.shared.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        })
    }
}

/// Handler of the metrics port.
#[derive(Clone, Debug)]
pub(super) struct Scrape {
    shared: Shared,
}

impl Scrape {
    pub(super) fn new(shared: Shared) -> Self {
        Self { shared }
    }
}

impl Handler for Scrape {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        if request.uri().path() != METRICS_PATH {
            return reply::status(StatusCode::NOT_FOUND);
        }
        let metrics = &self.shared.metrics;
        access::record_age(&self.shared);
        match metrics.registry.render() {
            Ok(text) => {
                let mut response = Response::new(Body::full(text));
                let kind = HeaderValue::from_static(CONTENT_TYPE);
                response.headers_mut().insert(header::CONTENT_TYPE, kind);
                response
            }
            Err(error) => reply::json(StatusCode::INTERNAL_SERVER_ERROR, &format!("{error:#}")),
        }
    }
}
