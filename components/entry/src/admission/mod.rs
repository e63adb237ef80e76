//! Admission of callers' requests to plain services while their capacity is short.
//!
//! [`Controllers`] holds the decision type of each service ([`filbertsail_admission::Admission`]); a
//! [`Permit`] takes one request through it. A request waits for a notification that comes
//! with the next response or release of a worker, and at most until the time set by the decision.
//! Only configurations with workspaces use it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use derive_more::Debug;
use filbertsail_admission::{
    Admission, Decision, Reason, Refusal, Request, Ticket, capacity::Assessment,
};
use filbertsail_clock::Instant;
use filbertsail_collections::{HashMap, arena::Key};
use filbertsail_http::Body;
use filbertsail_telemetry::event::Line;
use http::Response;
use tokio::{sync::oneshot, time::sleep};

use crate::{
    config::{Config, Route},
    fleet::Worker,
    forward::{Job, reply},
    shared::Shared,
};

/// Notifies a waiting request that it may be sent.
type Notifier = oneshot::Sender<()>;

/// Admission by service.
#[derive(Clone, Debug, Default)]
#[debug("Controllers")]
pub struct Controllers {
    // The names come from the configuration, which only the operator writes.
    services: Arc<Mutex<HashMap<String, Admission<Notifier>>>>,
}

impl Controllers {
    /// Locks the services. The guard must not be held across an await or while the fleet is locked.
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Admission<Notifier>>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.lock().values().map(Admission::queue_len).sum()
    }

    /// Notifies the next waiting request if a worker of `service` has room. Once sent, this request
    /// wakes the next one.
    pub fn wake(&self, shared: &Shared, service: &str) {
        if self.lock().get(service).is_none_or(|controller| controller.queue_len() == 0) {
            return;
        }
        loop {
            let now = shared.now();
            let capacity = shared.fleet().capacity(service, now).capacity;
            let next =
                self.lock().get_mut(service).and_then(|controller| controller.next(capacity, now));
            let Some(notifier) = next else { break };
            if notifier.send(()).is_ok() {
                break;
            }
        }
        shared.metrics.set_admission_queue(self.queue_len());
    }

    /// Records a response of a worker of `service` that took `took`.
    pub fn record_response(
        &self,
        shared: &Shared,
        service: &str,
        worker: Key<Worker>,
        took: Duration,
    ) {
        if !self.lock().contains_key(service) {
            return;
        }
        let now = shared.now();
        let load_per_slot = shared.fleet().get(worker).map_or(0.0, |worker| {
            f64::from(worker.load(now)) / f64::from(worker.entry.slots.max(1))
        });
        if let Some(controller) = self.lock().get_mut(service) {
            controller.record_response(took, load_per_slot);
        }
    }
}

/// Permit of one request to be sent to a service of its route, which it may have to wait for.
#[derive(Debug)]
pub struct Permit<'a> {
    shared: &'a Shared,
    config: Arc<Config>,
    route: &'a Route,
    job: &'a Job,
    /// Whether it was admitted before.
    is_repeat: bool,
}

impl<'a> Permit<'a> {
    /// Permit for a request, not granted yet; absent if the configuration has no workspaces.
    #[must_use]
    pub fn new(shared: &'a Shared, route: &'a Route, job: &'a Job) -> Option<Self> {
        let config = shared.config().filter(|config| config.workspaces.is_some())?;
        Some(Self { shared, config, route, job, is_repeat: false })
    }

    /// Waits until the request may be sent to a worker of `service`. It must be sent before the
    /// next await.
    ///
    /// # Errors
    /// Returns the response for the caller if the request is refused.
    pub async fn enter(&mut self, service: &str) -> Result<(), Response<Body>> {
        if !self.is_plain(service) {
            return Ok(());
        }
        let shared = self.shared;
        // Requests that wait already go first.
        shared.admission.wake(shared, service);
        let now = shared.now();
        let assessment = shared.fleet().capacity(service, now);
        let (notifier, notified) = oneshot::channel();
        let (request, capacity) = (self.request(), assessment.capacity);
        let decision = {
            let mut services = shared.admission.lock();
            let controller = services.entry(service.to_owned()).or_default();
            controller.decide(&request, notifier, capacity, now, &mut rand::rng())
        };
        self.is_repeat = true;
        match decision {
            Decision::Send => {
                shared.metrics.count_admission("sent");
                Ok(())
            }
            Decision::Refuse(refusal) => Err(self.refused(service, refusal, &assessment, now)),
            Decision::Wait(ticket, until) => self.wait(service, ticket, notified, until).await,
        }
    }

    /// Records that a worker of `service` refused the request.
    pub fn record_refusal(&self, service: &str) {
        if let Some(controller) = self.shared.admission.lock().get_mut(service) {
            controller.record_refusal(&self.request(), self.shared.now());
        }
    }

    /// Response for the caller after the workers of `service` refused; absent if the service has no
    /// admission.
    #[must_use]
    pub fn refuse(&self, service: &str) -> Option<Response<Body>> {
        let now = self.shared.now();
        let assessment = self.shared.fleet().capacity(service, now);
        let refusal = self.refusal(service, Reason::Refused, now)?;
        Some(self.refused(service, refusal, &assessment, now))
    }

    async fn wait(
        &self,
        service: &str,
        ticket: Ticket,
        mut notified: oneshot::Receiver<()>,
        until: Instant,
    ) -> Result<(), Response<Body>> {
        let shared = self.shared;
        let start = shared.now();
        shared.metrics.set_admission_queue(shared.admission.queue_len());
        let mut place = Place { shared, service, ticket, is_sent: false };
        let (reason, assessment) = loop {
            let assessment = shared.fleet().capacity(service, shared.now());
            let wake_at = assessment.changes_at.map_or(until, |at| at.min(until));
            tokio::select! {
                biased;
                result = &mut notified => match result {
                    Ok(()) => {
                        place.is_sent = true;
                        self.log("request_queued", service, &assessment, start).info();
                        shared.metrics.count_admission("queued");
                        return Ok(());
                    }
                    // Other requests have displaced this one, or its time is over.
                    Err(_) if shared.now() < until => break (Reason::QueueFull, assessment),
                    Err(_) => break (Reason::NoRoom, assessment),
                },
                () = sleep(wake_at.since(shared.now())) => {}
            }
            if shared.now() >= until {
                break (Reason::NoRoom, assessment);
            }
            shared.admission.wake(shared, service);
        };
        drop(place);
        let refusal = self.refusal(service, reason, shared.now());
        let refusal = refusal.unwrap_or(Refusal { reason, retry_after: Duration::ZERO });
        Err(self.refused(service, refusal, &assessment, start))
    }

    fn refusal(&self, service: &str, reason: Reason, now: Instant) -> Option<Refusal> {
        let mut services = self.shared.admission.lock();
        let controller = services.get_mut(service)?;
        Some(controller.refuse(&self.request(), reason, now, &mut rand::rng()))
    }

    /// Logs a refusal and returns the response for the caller.
    fn refused(
        &self,
        service: &str,
        refusal: Refusal,
        assessment: &Assessment,
        start: Instant,
    ) -> Response<Body> {
        self.shared.metrics.count_admission(match refusal.reason {
            Reason::AboveShare => "above_share",
            Reason::TooLate => "too_late",
            Reason::NoRoom => "no_room",
            Reason::QueueFull => "queue_full",
            Reason::Refused => "refused_by_workers",
        });
        self.log("request_refused", service, assessment, start)
            .with("reason", refusal.reason)
            .with("retry_after_ms", refusal.retry_after.as_millis())
            .info();
        reply::refuse(&refusal.reason.to_string(), refusal.retry_after)
    }

    fn log(
        &self,
        event: &'static str,
        service: &str,
        assessment: &Assessment,
        start: Instant,
    ) -> Line {
        Line::new(event)
            .with("id", self.job.id())
            .with("route", &self.route.name)
            .with("service", service)
            .with("workspace", self.job.workspace.as_deref().unwrap_or("-"))
            .with("priority", self.job.priority)
            .with("waited_ms", self.shared.now().since(start).as_millis())
            .with("queue_len", self.shared.admission.queue_len())
            .with("capacity", assessment.capacity)
            .with("load_age_ms", assessment.age.unwrap_or_default().as_millis())
    }

    /// Whether `service` serves no batches.
    fn is_plain(&self, service: &str) -> bool {
        self.config.services.get(service).is_none_or(|service| service.engine.is_none())
    }

    fn request(&self) -> Request<'a> {
        Request {
            workspace: self.job.workspace.as_ref(),
            priority: self.job.priority,
            arrived: self.job.arrived,
            deadline: self.job.deadline(self.route),
            target_latency: self.route.target_latency,
            is_repeat: self.is_repeat,
        }
    }
}

/// Place in the queue, which is given up on drop, also if the caller disconnects.
struct Place<'a> {
    shared: &'a Shared,
    service: &'a str,
    ticket: Ticket,
    /// Whether the request is sent now.
    is_sent: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let admission = &self.shared.admission;
        if let Some(controller) = admission.lock().get_mut(self.service) {
            controller.leave(self.ticket);
        }
        // It may have been notified just now, so the next one gets its place.
        admission.wake(self.shared, self.service);
        self.shared.metrics.set_admission_queue(admission.queue_len());
    }
}
