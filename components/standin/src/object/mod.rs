//! Object store with conditional create.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use filbertsail_clock::{Boot, Source};
use filbertsail_http::Body;
use http::{Method, Request, Response, StatusCode, header};
use percent_encoding::percent_decode_str;
use tokio_util::sync::CancellationToken;

use crate::{
    fault,
    server::{self, Closed, Handler, Location, text},
    table::{Bucket, Options},
};

#[derive(Debug)]
struct State {
    objects: BTreeMap<String, Bytes>,
    write_limit: Bucket,
    read_limit: Bucket,
}

/// Handle of a running object store.
#[derive(Clone, Debug)]
pub struct Store {
    /// Listen address.
    pub address: SocketAddr,
    /// Fault injector.
    pub faults: fault::Injector,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Debug)]
struct Server {
    state: Arc<Mutex<State>>,
    latency: Duration,
}

/// Starts an object store with the rates and latency of `options`.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    options: Options,
    location: Location,
    stop: CancellationToken,
) -> eyre::Result<Store> {
    let now = Boot.now();
    let state = Arc::new(Mutex::new(State {
        objects: BTreeMap::new(),
        write_limit: Bucket::new(options.writes_per_s, now),
        read_limit: Bucket::new(options.reads_per_s, now),
    }));
    let faults = fault::Injector::new(2);
    let handler = Server { state: state.clone(), latency: options.latency };
    let address = server::start(address, location, faults.clone(), handler, stop)?;
    Ok(Store { address, faults, state })
}

impl Store {
    /// Keys of all objects in order.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.objects.keys().cloned().collect()
    }
}

impl Server {
    fn respond(&self, request: &Request<Bytes>) -> Response<Body> {
        let Some(key) = request.uri().path().strip_prefix("/o/") else {
            return text(StatusCode::NOT_FOUND, "no such path");
        };
        // Callers may percent-encode any character.
        let key = &*percent_decode_str(key).decode_utf8_lossy();
        let now = Boot.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_read = request.method() == Method::GET;
        let allowed =
            if is_read { state.read_limit.try_take(now) } else { state.write_limit.try_take(now) };
        if !allowed {
            return text(StatusCode::TOO_MANY_REQUESTS, "rate limit");
        }
        match *request.method() {
            Method::GET => match state.objects.get(key) {
                Some(body) => Response::new(Body::full(body.clone())),
                None => text(StatusCode::NOT_FOUND, "no such object"),
            },
            Method::PUT => {
                let create_only = request.headers().contains_key(header::IF_NONE_MATCH);
                if create_only && state.objects.contains_key(key) {
                    return text(StatusCode::PRECONDITION_FAILED, "object exists");
                }
                state.objects.insert(key.to_owned(), request.body().clone());
                text(StatusCode::OK, "")
            }
            Method::DELETE => {
                state.objects.remove(key);
                text(StatusCode::OK, "")
            }
            _ => text(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or DELETE"),
        }
    }
}

impl Handler for Server {
    async fn handle(
        &self,
        request: Request<Bytes>,
        _fault: Option<fault::Kind>,
    ) -> Result<Response<Body>, Closed> {
        tokio::time::sleep(self.latency).await;
        Ok(self.respond(&request))
    }
}
