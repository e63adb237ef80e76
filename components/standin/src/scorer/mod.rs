//! Scorer: service that scores samples.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use filbertsail_api::trainer::{ScoreRequest, ScoreResponse};
use filbertsail_http::Body;
use http::{Request, Response, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::{
    fault,
    server::{self, Closed, Handler, Location, json, parse_json},
};

/// Handle of a running scorer.
#[derive(Clone, Debug)]
pub struct Scorer {
    /// Listen address.
    pub address: SocketAddr,
    /// Fault injector.
    pub faults: fault::Injector,
    scored: Arc<AtomicU64>,
}

#[derive(Clone, Debug)]
struct Server {
    scored: Arc<AtomicU64>,
    latency: Duration,
}

/// Starts a scorer that takes `latency` for each sample.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    latency: Duration,
    location: Location,
    stop: CancellationToken,
) -> eyre::Result<Scorer> {
    let scored = Arc::new(AtomicU64::new(0));
    let faults = fault::Injector::new(5);
    let handler = Server { scored: scored.clone(), latency };
    let address = server::start(address, location, faults.clone(), handler, stop)?;
    Ok(Scorer { address, faults, scored })
}

impl Scorer {
    /// Number of samples scored so far.
    #[must_use]
    pub fn scored_samples(&self) -> u64 {
        self.scored.load(Ordering::Relaxed)
    }
}

impl Handler for Server {
    async fn handle(
        &self,
        request: Request<Bytes>,
        _fault: Option<fault::Kind>,
    ) -> Result<Response<Body>, Closed> {
        let sample: ScoreRequest = match parse_json(request.body()) {
            Ok(sample) => sample,
            Err(rejection) => return Ok(rejection),
        };
        tokio::time::sleep(self.latency).await;
        self.scored.fetch_add(1, Ordering::Relaxed);
        // Shorter texts score higher; any score that depends on the text would do.
        let score = 1.0 / (1.0 + sample.text.len() as f64);
        Ok(json(StatusCode::OK, &ScoreResponse { id: sample.id, score }))
    }
}
