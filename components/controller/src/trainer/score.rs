//! Requests to scorers. While a scorer fails or does not answer, its samples wait; none is dropped.

use std::{sync::Arc, time::Duration};

use filbertsail_api::trainer::{ScoreRequest, ScoreResponse};
use filbertsail_http::{Body, client::Client};
use filbertsail_ports::backoff::Backoff;
use filbertsail_rollout::round::Key;
use http::Request;
use tokio::{sync::Semaphore, time::sleep};

/// Path of the scoring endpoint.
pub const PATH: &str = "/v1/score";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_BACKOFF: Backoff =
    Backoff { base: Duration::from_millis(50), max: Duration::from_secs(2) };

/// Score of a sample.
pub struct Outcome {
    pub step: u64,
    /// Slot of the sample.
    pub key: Key,
    /// Sample text that was scored.
    pub text: String,
    pub score: f64,
}

/// Requests a score and retries without limit; `permits` bounds the requests in flight.
pub async fn run(
    http: Client,
    permits: Arc<Semaphore>,
    scorer: String,
    request: ScoreRequest,
) -> f64 {
    let body = serde_json::to_vec(&request).expect("a score request serializes to JSON");
    let mut attempt = 0;
    loop {
        // The semaphore is never closed.
        let permit = permits.acquire().await;
        let score = request_score(&http, &scorer, &request.id, body.clone()).await;
        drop(permit);
        if let Some(score) = score {
            return score;
        }
        let delay = RETRY_BACKOFF.delay(attempt, &mut rand::rng());
        sleep(delay).await;
        attempt += 1;
    }
}

async fn request_score(http: &Client, scorer: &str, id: &str, body: Vec<u8>) -> Option<f64> {
    let request = Request::post(format!("http://{scorer}{PATH}")).body(Body::full(body)).ok()?;
    let response = http.send(request, REQUEST_TIMEOUT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let response: ScoreResponse = serde_json::from_slice(response.body()).ok()?;
    (response.id == id).then_some(response.score)
}
