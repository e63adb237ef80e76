//! Plain application service that records each request it runs.
//!
//! The response echoes the `id` of the JSON request body, so that a caller can verify that the
//! response belongs to its request.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use filbertsail_api::engine::Load;
use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_http::Body;
use http::{HeaderValue, Request, Response, StatusCode};
use serde_json::{Value, json as object};
use tokio::{sync::Semaphore, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    fault,
    server::{self, Closed, Handler, Location, REQUEST_ID_HEADER, json, reject},
};

/// Request that a service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identifier in the request body, set by the caller.
    pub id: String,
    /// Identifier set by the gateway.
    pub request_id: String,
    /// Method and path.
    pub call: String,
    /// Time when it started.
    pub started_at: Instant,
}

/// Configuration of a plain service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Worker name.
    pub name: String,
    /// Maximum requests that run concurrently; more are queued.
    pub capacity: u32,
    /// Duration of a request.
    pub request_duration: Duration,
    /// Maximum requests in the queue; more are rejected.
    pub max_queued: u32,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    slots: Semaphore,
    runs: Mutex<Vec<Run>>,
    /// Duration of a request relative to normal, in thousandths.
    slowdown_permille: AtomicU32,
    queued: AtomicU32,
    is_leaving: AtomicBool,
    faults: fault::Injector,
}

/// Handle of a running plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Listen address.
    pub address: SocketAddr,
    /// Fault injector.
    pub faults: fault::Injector,
    inner: Arc<Inner>,
}

#[derive(Clone, Debug)]
struct Server(Arc<Inner>);

/// Starts a plain service.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    options: Options,
    location: Location,
    stop: CancellationToken,
) -> eyre::Result<Service> {
    let faults = fault::Injector::new(u64::from(address.port()));
    let inner = Arc::new(Inner {
        slots: Semaphore::new(options.capacity as usize),
        options,
        runs: Mutex::default(),
        slowdown_permille: AtomicU32::new(1_000),
        queued: AtomicU32::new(0),
        is_leaving: AtomicBool::new(false),
        faults: faults.clone(),
    });
    let address = server::start(address, location, faults.clone(), Server(inner.clone()), stop)?;
    Ok(Service { address, faults, inner })
}

impl Service {
    /// Worker name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.inner.options.name
    }

    /// Requests that ran, in order of start.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.inner.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes each request take `factor` times its normal duration.
    pub fn set_slowdown(&self, factor: f64) {
        self.inner.slowdown_permille.store((factor * 1e3) as u32, Ordering::Relaxed);
    }

    /// Sets whether the load report says that the worker is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.inner.is_leaving.store(is_leaving, Ordering::Relaxed);
    }
}

impl Inner {
    fn load(&self) -> Load {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        Load {
            age_ms: 0,
            capacity: self.options.capacity,
            incarnation: 1,
            kv_used_permille: 0,
            leaving: self.is_leaving.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
            running: self.options.capacity.saturating_sub(free),
            weight_version: None,
            worker: self.options.name.clone(),
        }
    }

    async fn run(&self, request: &Request<Bytes>) -> Response<Body> {
        if self.queued.load(Ordering::Relaxed) >= self.options.max_queued {
            return reject(StatusCode::SERVICE_UNAVAILABLE, "queue full");
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.queued.fetch_sub(1, Ordering::Relaxed);
        let id = serde_json::from_slice::<Value>(request.body())
            .ok()
            .and_then(|body| Some(body.get("id")?.as_str()?.to_owned()))
            .unwrap_or_default();
        let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let run = Run {
            id: id.clone(),
            request_id: header_text(request_id.as_ref()),
            call: format!("{} {}", request.method(), request.uri().path()),
            started_at: Boot.now(),
        };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
        let factor = f64::from(self.slowdown_permille.load(Ordering::Relaxed)) / 1e3;
        sleep(self.options.request_duration.mul_f64(factor)).await;
        drop(slot);
        let body = object!({"answer_to": id, "worker": self.options.name, "done": true});
        let mut response = json(StatusCode::OK, &body);
        if let Some(value) = request_id {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }
}

fn header_text(value: Option<&HeaderValue>) -> String {
    value.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

impl Handler for Server {
    async fn handle(
        &self,
        request: Request<Bytes>,
        _fault: Option<fault::Kind>,
    ) -> Result<Response<Body>, Closed> {
        match request.uri().path() {
            "/load" => return Ok(json(StatusCode::OK, &self.0.load())),
            "/healthz" => return Ok(Response::new(Body::full("ok"))),
            _ => {}
        }
        // A started request continues after its caller disconnects, unless the service goes down.
        let inner = self.0.clone();
        let run = tokio::spawn(async move {
            let mut down = inner.faults.watch_down();
            tokio::select! {
                response = inner.run(&request) => Ok(response),
                _ = down.wait_for(|down| *down) => Err(Closed),
            }
        });
        run.await.unwrap_or(Err(Closed))
    }
}
