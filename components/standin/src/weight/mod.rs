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
    server::{self, Closed, Handler, Location, json, parse_json, text},
    table::Bucket,
};

#[derive(Debug)]
struct State {
    latest: HashMap<String, Latest>,
    download_limit: Bucket,
    rejected_downloads: u64,
}

/// Handle of a running weight store.
#[derive(Clone, Debug)]
pub struct Store {
    /// Listen address.
    pub address: SocketAddr,
    /// Fault injector.
    pub faults: fault::Injector,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Debug)]
struct Server(Arc<Mutex<State>>);

/// Starts a weight store that allows `downloads_per_s` downloads per second.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    downloads_per_s: f64,
    location: Location,
    stop: CancellationToken,
) -> eyre::Result<Store> {
    let state = Arc::new(Mutex::new(State {
        latest: HashMap::default(),
        download_limit: Bucket::new(downloads_per_s, Boot.now()),
        rejected_downloads: 0,
    }));
    let faults = fault::Injector::new(4);
    let address = server::start(address, location, faults.clone(), Server(state.clone()), stop)?;
    Ok(Store { address, faults, state })
}

impl Store {
    /// Publishes `version` as the latest weights of a service; `bytes` is their size.
    pub fn publish(&self, service: &str, version: u64, bytes: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = Latest { service: service.to_owned(), version, bytes };
        state.latest.insert(service.to_owned(), latest);
    }

    /// Number of downloads rejected by the rate limit.
    #[must_use]
    pub fn rejected_downloads(&self) -> u64 {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).rejected_downloads
    }
}

impl Server {
    fn latest(&self, query: Option<&str>) -> Response<Body> {
        let service = query
            .unwrap_or_default()
            .split('&')
            .find_map(|pair| pair.strip_prefix("service="))
            .unwrap_or_default();
        // Callers may percent-encode any character.
        let service = percent_decode_str(service).decode_utf8_lossy();
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match state.latest.get(&*service) {
            Some(latest) => json(StatusCode::OK, latest),
            None => text(StatusCode::NOT_FOUND, "nothing published"),
        }
    }

    fn publish(&self, body: &Bytes) -> Response<Body> {
        let publication: Publication = match parse_json(body) {
            Ok(publication) => publication,
            Err(rejection) => return rejection,
        };
        let Publication { service, version, bytes } = publication;
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.latest.insert(service.clone(), Latest { service, version, bytes });
        text(StatusCode::OK, "")
    }

    fn download(&self) -> Response<Body> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.download_limit.try_take(Boot.now()) {
            return text(StatusCode::OK, "weights");
        }
        state.rejected_downloads += 1;
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
