//! Service that scores samples.

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
    server::{self, Closed, Handler, Place, json, parse},
};

/// Running scorer.
#[derive(Clone, Debug)]
pub struct Scorer {
    /// Address.
    pub address: SocketAddr,
    /// Faults.
    pub faults: fault::Handle,
    calls: Arc<AtomicU64>,
}

#[derive(Clone, Debug)]
struct Server {
    calls: Arc<AtomicU64>,
    latency: Duration,
}

/// Starts a scorer.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    latency: Duration,
    place: Place,
    stop: CancellationToken,
) -> eyre::Result<Scorer> {
    let calls = Arc::new(AtomicU64::new(0));
    let faults = fault::Handle::new(5);
    let handler = Server { calls: calls.clone(), latency };
    let address = server::start(address, place, faults.clone(), handler, stop)?;
    Ok(Scorer { address, faults, calls })
}

impl Scorer {
    /// Samples scored so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

impl Handler for Server {
    async fn handle(
        &self,
        request: Request<Bytes>,
        _fault: Option<fault::Kind>,
    ) -> Result<Response<Body>, Closed> {
        let sample: ScoreRequest = match parse(request.body()) {
            Ok(sample) => sample,
            Err(bad) => return Ok(bad),
        };
        tokio::time::sleep(self.latency).await;
        self.calls.fetch_add(1, Ordering::Relaxed);
        // A short text scores high; only that it depends on the text matters.
        let score = 1.0 / (1.0 + sample.text.len() as f64);
        Ok(json(StatusCode::OK, &ScoreResponse { id: sample.id, score }))
    }
}
