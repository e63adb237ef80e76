//! Forwarding of event streams.
//!
//! Whole events are passed on as they arrive. Where the route allows it, a stream that breaks goes
//! on at another worker after the last event that was passed on; the caller sees one answer.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_collections::arena::Key;
use filbertsail_errors::Verdict;
use filbertsail_http::{Body, body::Abort};
use filbertsail_telemetry::event::Line;
use http::{Response, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{sync::mpsc, time::timeout};

use super::{
    Job,
    attempt::{self, Flight},
    choose, give_up,
};
use crate::{
    channel::Channel,
    config::Route,
    dialect::{Answer, Dialect},
    event::Parser,
    fleet::{End, Entry, Worker},
    shared::Shared,
};

/// Longest pause between two events before a stream counts as broken.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for the head of an answer where the stream may be tried elsewhere.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Events that may wait for a slow caller.
const QUEUE: usize = 16;

/// Stream whose head has arrived.
struct Open {
    head: Parts,
    body: Incoming,
    channel: Channel,
    answer: Answer,
    flight: Flight,
}

/// Forwards a stream and returns the answer for the caller once its head is known.
pub(super) async fn forward<D: Dialect>(
    shared: &Shared,
    route: &Route,
    job: Job,
) -> Response<Body> {
    let mut tried = Vec::new();
    let last_event = job.caller.last_event;
    let opened = open::<D>(shared, route, &job, last_event, &mut tried).await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err((verdict, reason)) => {
            return give_up(shared, route, &job, verdict, reason, tried.len());
        }
    };
    let mut head = std::mem::replace(&mut stream.head, Response::new(()).into_parts().0);
    attempt::strip(&mut head.headers);
    head.headers.remove(http::header::CONTENT_LENGTH);
    let (sender, body) = Body::channel(QUEUE);
    let task = Relay { shared: shared.clone(), route: route.clone(), job, tried, sender };
    tokio::spawn(task.run::<D>(stream));
    Response::from_parts(head, body)
}

/// Finds a worker that begins to answer.
async fn open<D: Dialect>(
    shared: &Shared,
    route: &Route,
    job: &Job,
    last_event: Option<u64>,
    tried: &mut Vec<Key<Worker>>,
) -> Result<Open, (Verdict, &'static str)> {
    let deadline = job.deadline(route);
    let mut verdict = Verdict::NotRun;
    let mut failure = "no worker known";
    while tried.len() < route.max_attempts.max(1) as usize {
        let now = shared.now();
        let left = deadline.since(now);
        if left.is_zero() {
            return Err((verdict, "out of time"));
        }
        let Some(service) = route.service(&mut rand::rng()) else { break };
        let Some(worker) = choose(shared, service, tried, route.resumable, now) else { break };
        tried.push(worker);
        let Some((entry, flight)) = Flight::start(shared, worker) else { continue };
        let more = route.resumable && tried.len() < route.max_attempts as usize;
        let limit = if more { left.min(HEAD_TIMEOUT) } else { left };
        let sent = head::<D>(shared, &entry, job, last_event, left);
        let (fault, end) = match timeout(limit, sent).await {
            Ok(Ok((head, body, channel, answer))) => {
                return Ok(Open { head, body, channel, answer, flight });
            }
            Ok(Err(fault)) => fault,
            Err(_) => ((Verdict::MayHaveRun, "no answer in time"), End::Failure),
        };
        let mut flight = flight;
        flight.end = end;
        verdict = verdict.combine(fault.0);
        failure = fault.1;
        if !verdict.may_retry() && !route.resumable {
            break;
        }
    }
    Err((verdict, failure))
}

type Fault = ((Verdict, &'static str), End);

async fn head<D: Dialect>(
    shared: &Shared,
    entry: &Entry,
    job: &Job,
    last_event: Option<u64>,
    left: Duration,
) -> Result<(Parts, Incoming, Channel, Answer), Fault> {
    let Some(request) = attempt::request::<D>(job, entry, left, last_event) else {
        return Err(((Verdict::NotRun, "request cannot be passed on"), End::Abandoned));
    };
    let sent = shared.pool.send(entry.address, request, false, shared.now()).await;
    let (response, channel) =
        sent.map_err(|fault| ((fault.verdict, "no connection"), End::Failure))?;
    let answer = D::answer(response.headers());
    match attempt::judge(shared, entry, job, response.status(), &answer) {
        Some((attempt::Finish::Failed { verdict, reason }, end)) => Err(((verdict, reason), end)),
        _ => {
            let (head, body) = response.into_parts();
            Ok((head, body, channel, answer))
        }
    }
}

/// Passes events on to one caller.
struct Relay {
    shared: Shared,
    route: Route,
    job: Job,
    tried: Vec<Key<Worker>>,
    sender: mpsc::Sender<Result<Bytes, Abort>>,
}

/// How a relay of one stream ended.
enum Ended {
    Whole,
    CallerLeft,
    Broken(&'static str),
}

impl Relay {
    async fn run<D: Dialect>(mut self, mut stream: Open) {
        let mut last_event = self.job.caller.last_event;
        loop {
            let ended = self.relay::<D>(stream, &mut last_event).await;
            let Ended::Broken(reason) = ended else { return };
            Line::new("stream_broken")
                .with("id", self.job.id())
                .with("reason", reason)
                .with("last_event", last_event.unwrap_or(0))
                .with("resumes", self.route.resumable)
                .warn();
            let next = if self.route.resumable {
                let tried = &mut self.tried;
                open::<D>(&self.shared, &self.route, &self.job, last_event, tried).await.ok()
            } else {
                None
            };
            let Some(next) = next else {
                // The caller sees a connection that breaks off, never a short success.
                let _ = self.sender.send(Err(Abort)).await;
                return;
            };
            stream = next;
        }
    }

    async fn relay<D: Dialect>(&self, stream: Open, last_event: &mut Option<u64>) -> Ended {
        let Open { body, channel, answer, mut flight, .. } = stream;
        let ended = self.events::<D>(body, last_event).await;
        flight.end = match ended {
            Ended::Whole => End::Success,
            Ended::CallerLeft => End::Abandoned,
            Ended::Broken(_) => End::Failure,
        };
        if let Ended::Whole = ended {
            self.shared.pool.keep(channel, answer.keep_alive, self.shared.now());
        }
        ended
    }

    /// Passes events on until the stream ends.
    async fn events<D: Dialect>(&self, mut body: Incoming, last_event: &mut Option<u64>) -> Ended {
        let mut parser = Parser::new(D::VERSION_FIELD);
        loop {
            let frame = tokio::select! {
                () = self.sender.closed() => return Ended::CallerLeft,
                frame = timeout(EVENT_TIMEOUT, body.frame()) => frame,
            };
            let bytes = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return Ended::Broken("connection broke off"),
                Ok(None) if parser.is_empty() => return Ended::Whole,
                Ok(None) => return Ended::Broken("ended within an event"),
                Err(_) if self.route.resumable => return Ended::Broken("no event in time"),
                Err(_) => continue,
            };
            parser.push(&bytes);
            loop {
                match parser.take() {
                    Ok(Some(event)) => {
                        let follows = match (*last_event, event.id) {
                            (Some(last), Some(id)) => id == last + 1,
                            _ => true,
                        };
                        if !follows {
                            return Ended::Broken("event out of order");
                        }
                        *last_event = event.id.or(*last_event);
                        if self.sender.send(Ok(event.raw)).await.is_err() {
                            return Ended::CallerLeft;
                        }
                    }
                    Ok(None) => break,
                    Err(_) => return Ended::Broken("bytes that are no event"),
                }
            }
        }
    }
}
