//! Rate-limited weight store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use filbertsail_api::weight::{Latest, Publication};
use filbertsail_clock::{Boot, Source};
use filbertsail_collections::HashMap;
use filbertsail_http::Body;
use http::{Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use tokio_util::sync::CancellationToken;

use crate::{
    fault,
    server::{self, Closed, Handler, Place, json, parse, text},
    table::Bucket,
};

#[derive(Debug)]
struct State {
    latest: HashMap<String, Latest>,
    downloads: Bucket,
    refused: u64,
}

/// Running weight store.
#[derive(Clone, Debug)]
pub struct Store {
    /// Address.
    pub address: SocketAddr,
    /// Faults.
    pub faults: fault::Handle,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Debug)]
struct Server(Arc<Mutex<State>>);

/// Starts a weight store that serves `downloads_per_s` downloads.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    downloads_per_s: f64,
    place: Place,
    stop: CancellationToken,
) -> eyre::Result<Store> {
    let state = Arc::new(Mutex::new(State {
        latest: HashMap::default(),
        downloads: Bucket::new(downloads_per_s, Boot.now()),
        refused: 0,
    }));
    let faults = fault::Handle::new(4);
    let address = server::start(address, place, faults.clone(), Server(state.clone()), stop)?;
    Ok(Store { address, faults, state })
}

impl Store {
    /// Publishes weights of a service.
    pub fn publish(&self, service: &str, version: u64, bytes: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = Latest { service: service.to_owned(), version, bytes };
        state.latest.insert(service.to_owned(), latest);
    }

    /// Downloads refused because of the rate.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).refused
    }
}

impl Server {
    fn latest(&self, query: Option<&str>) -> Response<Body> {
        let service = query
            .unwrap_or_default()
            .split('&')
            .find_map(|pair| pair.strip_prefix("service="))
            .unwrap_or_default();
        // Callers may escape any character.
        let service = percent_decode_str(service).decode_utf8_lossy();
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match state.latest.get(&*service) {
            Some(latest) => json(StatusCode::OK, latest),
            None => text(StatusCode::NOT_FOUND, "nothing published"),
        }
    }

    fn publish(&self, body: &Bytes) -> Response<Body> {
        let publication: Publication = match parse(body) {
            Ok(publication) => publication,
            Err(bad) => return bad,
        };
        let Publication { service, version, bytes } = publication;
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.latest.insert(service.clone(), Latest { service, version, bytes });
        text(StatusCode::OK, "")
    }

    fn download(&self) -> Response<Body> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.downloads.take(Boot.now()) {
            return text(StatusCode::OK, "weights");
        }
        state.refused += 1;
        text(StatusCode::TOO_MANY_REQUESTS, "rate limit")
    }
}

impl Handler for Server {
    async fn handle(
        &self,
        request: Request<Bytes>,
        _fault: Option<fault::Kind>,
    ) -> Result<Response<Body>, Closed> {
        let uri = request.uri();
        Ok(match (request.method(), uri.path()) {
            (&Method::GET, "/v1/latest") => self.latest(uri.query()),
            (&Method::POST, "/v1/publications") => self.publish(request.body()),
            (&Method::GET, path) if path.starts_with("/v1/weights/") => self.download(),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        })
    }
}
