//! Forwarding of event streams.
//!
//! Events are forwarded as soon as they are complete. Where the route allows it, a broken stream is
//! resumed at another worker after the last forwarded event; the caller sees one response. A worker
//! that responds with another status than 200 sends no events: its response is forwarded whole if
//! nothing was sent to the caller yet, and is a failed attempt otherwise.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_clock::running::{self, Limit};
use filbertsail_collections::arena::Key;
use filbertsail_errors::Verdict;
use filbertsail_http::{Body, body::Abort};
use filbertsail_telemetry::event::Line;
use http::{Response, StatusCode, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::{
    Job,
    attempt::{self, Guard},
    choose, failure_response,
};
use crate::{
    admission::Permit,
    channel::{Channel, Terms},
    config::Route,
    dialect::{Answer, Dialect},
    event::Parser,
    fleet::{End, Entry, Worker},
    shared::Shared,
};

/// Time without an event after which a resumable stream counts as broken.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without an event after which a stream that cannot be resumed is given up. Its caller loses
/// all of it, and leaves earlier if it waits for less.
const LAST_EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the response head while another worker may be tried.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Lowest priority that engines know.
const MAX_PRIORITY: u8 = 9;
/// Number of events buffered for a slow caller.
const EVENT_QUEUE_LEN: usize = 16;

/// Response stream of a worker whose head has arrived.
struct Upstream {
    head: Parts,
    body: Incoming,
    channel: Channel,
    answer: Answer,
    guard: Guard,
}

/// Forwards a stream; returns the response for the caller as soon as its head has arrived.
pub(super) async fn forward<D: Dialect>(
    shared: &Shared,
    route: &Route,
    job: Job,
) -> Response<Body> {
    let mut tried = Vec::new();
    let last_event = job.caller.last_event;
    let permit = Permit::new(shared, route, &job);
    let upstream = open::<D>(shared, route, &job, last_event, &mut tried, permit).await;
    let mut stream = match upstream {
        Ok(stream) => stream,
        Err(Unopened { response: Some(response), .. }) => return *response,
        Err(Unopened { verdict, reason, .. }) => {
            return failure_response(shared, route, &job, verdict, reason, tried.len());
        }
    };
    let mut head = std::mem::replace(&mut stream.head, Response::new(()).into_parts().0);
    attempt::strip_hop_by_hop(&mut head.headers);
    head.headers.remove(http::header::CONTENT_LENGTH);
    let (sender, body) = Body::channel(EVENT_QUEUE_LEN);
    let task = Forwarder { shared: shared.clone(), route: route.clone(), job, tried, sender };
    tokio::spawn(task.run::<D>(stream));
    Response::from_parts(head, body)
}

/// Why no worker sends events.
struct Unopened {
    /// Whether the request may have run.
    verdict: Verdict,
    reason: &'static str,
    /// Last response of a worker that is not a stream.
    response: Option<Box<Response<Body>>>,
}

impl Unopened {
    fn new(verdict: Verdict, reason: &'static str) -> Self {
        Self { verdict, reason, response: None }
    }
}

/// Tries workers until one starts to send events.
async fn open<D: Dialect>(
    shared: &Shared,
    route: &Route,
    job: &Job,
    last_event: Option<u64>,
    tried: &mut Vec<Key<Worker>>,
    mut permit: Option<Permit<'_>>,
) -> Result<Upstream, Unopened> {
    let deadline = job.deadline(route);
    let mut last = Unopened::new(Verdict::NotRun, "no worker known");
    while tried.len() < route.max_attempts.max(1) as usize {
        let Some(service) = route.service(&mut rand::rng()) else { break };
        if last.verdict == Verdict::NotRun
            && let Some(permit) = &mut permit
            && let Err(refusal) = permit.enter(service).await
        {
            return Err(Unopened { response: Some(Box::new(refusal)), ..last });
        }
        if let Err(reason) = job.check_access(shared, deadline.since(shared.now())).await {
            return Err(Unopened { reason, ..last });
        }
        let now = shared.now();
        let time_left = deadline.since(now);
        if time_left.is_zero() {
            return Err(Unopened { reason: "out of time", ..last });
        }
        let Some(worker) = choose(shared, service, tried, route.resumable, now) else { break };
        tried.push(worker);
        let Some((entry, guard)) = Guard::start(shared, worker) else { continue };
        job.sent.set();
        let may_retry = route.resumable && tried.len() < route.max_attempts as usize;
        let limit = if may_retry { time_left.min(HEAD_TIMEOUT) } else { time_left };
        let exchange = head::<D>(shared, (worker, &entry), job, last_event, time_left);
        let (cause, end) = match running::deadline(limit, exchange).await {
            Ok(Ok((head, body, channel, answer))) => {
                return Ok(Upstream { head, body, channel, answer, guard });
            }
            Ok(Err(failure)) => failure,
            Err(elapsed) => {
                shared.pool.close_idle_since(entry.address, now);
                let end = if elapsed.was_frozen { End::Inconclusive } else { End::Failure };
                (Unopened::new(Verdict::MayHaveRun, "no answer in time"), end)
            }
        };
        let mut guard = guard;
        guard.end = end;
        Line::new("request_attempt")
            .with("id", job.id())
            .with("worker", &entry.id)
            .with("status", cause.response.as_ref().map_or(0, |it| it.status().as_u16()))
            .with("reason", cause.reason)
            .with("limit_ms", limit.as_millis())
            .with("took_ms", shared.now().since(now).as_millis())
            .info();
        if let Some(permit) = permit.as_ref().filter(|_| cause.reason == attempt::REFUSED) {
            permit.record_refusal(service);
        }
        let is_final = cause.response.as_ref().is_some_and(|it| !it.status().is_server_error());
        last = Unopened {
            verdict: last.verdict.combine(cause.verdict),
            response: cause.response.or(last.response),
            ..cause
        };
        if is_final || (!last.verdict.may_retry() && !route.resumable) {
            break;
        }
    }
    Err(last)
}

/// Sends the request to a worker and waits for the head of its event stream.
async fn head<D: Dialect>(
    shared: &Shared,
    (worker, entry): (Key<Worker>, &Entry),
    job: &Job,
    last_event: Option<u64>,
    time_left: Duration,
) -> Result<(Parts, Incoming, Channel, Answer), (Unopened, End)> {
    let failed = |verdict, reason, end| Err((Unopened::new(verdict, reason), end));
    let priority = job.has_workspaces.then(|| job.priority.min(MAX_PRIORITY));
    let Some(request) = attempt::request::<D>(job, entry, time_left, last_event, priority) else {
        return failed(Verdict::NotRun, "request cannot be passed on", End::Inconclusive);
    };
    let terms = Terms::identified(false, job.id().as_bytes());
    let (response, channel) =
        match shared.pool.send(entry.address, request, terms, shared.now()).await {
            Ok(exchange) => exchange,
            Err(fault) => return failed(fault.verdict, "no connection", End::Failure),
        };
    let answer = D::decode_answer(response.headers());
    if let Some((attempt::Finish::Failed { verdict, reason }, end)) =
        attempt::check_head(shared, worker, job, response.status(), &answer)
    {
        return failed(verdict, reason, end);
    }
    if response.status() == StatusCode::OK {
        let (head, body) = response.into_parts();
        return Ok((head, body, channel, answer));
    }
    match attempt::read_whole(shared, response, channel, &answer).await {
        Ok(response) => {
            let is_error = response.status().is_server_error();
            let end = if is_error { End::Failure } else { End::Success };
            let reason = "no stream from the worker";
            let response = Some(Box::new(response));
            Err((Unopened { verdict: Verdict::Ran, reason, response }, end))
        }
        Err(fault) => failed(Verdict::MayHaveRun, fault.reason(), End::Failure),
    }
}

/// Task that forwards events to one caller.
struct Forwarder {
    shared: Shared,
    route: Route,
    job: Job,
    tried: Vec<Key<Worker>>,
    sender: mpsc::Sender<Result<Bytes, Abort>>,
}

/// How the stream of one worker ended.
enum StreamEnd {
    Complete,
    CallerDisconnected,
    Broken(&'static str),
}

impl Forwarder {
    async fn run<D: Dialect>(mut self, mut stream: Upstream) {
        let mut last_event = self.job.caller.last_event;
        loop {
            let end_of_stream = self.forward_stream::<D>(stream, &mut last_event).await;
            if let StreamEnd::Complete = end_of_stream {
                let took = self.shared.now().since(self.job.arrived);
                self.shared.durations.record(&self.route.name, took);
            }
            let StreamEnd::Broken(reason) = end_of_stream else { return };
            Line::new("stream_broken")
                .with("id", self.job.id())
                .with("reason", reason)
                .with("last_event", last_event.unwrap_or(0))
                .with("resumes", self.route.resumable)
                .warn();
            let next = if self.route.resumable {
                let tried = &mut self.tried;
                open::<D>(&self.shared, &self.route, &self.job, last_event, tried, None)
                    .await
                    .inspect_err(|cause| {
                        Line::new("stream_not_resumed")
                            .with("id", self.job.id())
                            .with("reason", cause.reason)
                            .with("last_event", last_event.unwrap_or(0))
                            .with("attempts", tried.len())
                            .warn();
                    })
                    .ok()
            } else {
                None
            };
            let Some(next) = next else {
                // Aborts the connection, so that the caller never takes a truncated stream for a
                // complete one.
                let _ = self.sender.send(Err(Abort)).await;
                return;
            };
            stream = next;
        }
    }

    async fn forward_stream<D: Dialect>(
        &self,
        stream: Upstream,
        last_event: &mut Option<u64>,
    ) -> StreamEnd {
        let Upstream { body, channel, answer, mut guard, .. } = stream;
        let end_of_stream = self.forward_events::<D>(body, &guard, last_event).await;
        guard.end = match end_of_stream {
            StreamEnd::Complete => End::Success,
            StreamEnd::CallerDisconnected => End::Inconclusive,
            StreamEnd::Broken(_) => End::Failure,
        };
        if let StreamEnd::Complete = end_of_stream {
            self.shared.pool.keep(channel, answer.keep_alive, self.shared.now());
        }
        end_of_stream
    }

    /// Forwards events until the stream ends.
    async fn forward_events<D: Dialect>(
        &self,
        mut body: Incoming,
        guard: &Guard,
        last_event: &mut Option<u64>,
    ) -> StreamEnd {
        let mut has_progressed = false;
        let mut parser = Parser::new(D::VERSION_FIELD);
        let limit = if self.route.resumable { EVENT_TIMEOUT } else { LAST_EVENT_TIMEOUT };
        // Only complete events count as progress: a worker may send other bytes now and then.
        let mut left = Limit::new(limit);
        loop {
            let frame = tokio::select! {
                () = self.sender.closed() => return StreamEnd::CallerDisconnected,
                frame = left.run(body.frame()) => frame,
            };
            let bytes = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return StreamEnd::Broken("connection broke off"),
                Ok(None) if parser.is_empty() => return StreamEnd::Complete,
                Ok(None) => return StreamEnd::Broken("stream ended within an event"),
                Err(_) => return StreamEnd::Broken("no event before the timeout"),
            };
            parser.push(&bytes);
            loop {
                match parser.take() {
                    Ok(Some(event)) => {
                        let is_next = match (*last_event, event.id) {
                            (Some(last), Some(id)) => last.checked_add(1) == Some(id),
                            // The numbers of a stream start at 1.
                            (None, Some(id)) => id == 1 || !self.route.resumable,
                            // Without a number, its place in the stream is unknown.
                            (Some(_), None) => !self.route.resumable,
                            (None, None) => true,
                        };
                        if !is_next {
                            return StreamEnd::Broken("event ID out of sequence");
                        }
                        *last_event = event.id.or(*last_event);
                        if !std::mem::replace(&mut has_progressed, true) {
                            guard.record_first_event();
                        }
                        if self.sender.send(Ok(event.raw)).await.is_err() {
                            return StreamEnd::CallerDisconnected;
                        }
                        // Counted from here, since a slow caller blocks the send.
                        left = Limit::new(limit);
                    }
                    Ok(None) => break,
                    Err(_) => return StreamEnd::Broken("malformed event"),
                }
            }
        }
    }
}
