//! Scores of samples. A scorer that does not answer delays a sample and never drops it.

use std::{sync::Arc, time::Duration};

use filbertsail_api::trainer::{ScoreRequest, ScoreResponse};
use filbertsail_http::{Body, client::Client};
use filbertsail_ports::backoff::Backoff;
use filbertsail_rollout::round::Key;
use http::Request;
use tokio::{sync::Semaphore, time::sleep};

/// Path of a scorer.
pub const PATH: &str = "/v1/score";
const TIMEOUT: Duration = Duration::from_secs(10);
const BACKOFF: Backoff = Backoff { base: Duration::from_millis(50), max: Duration::from_secs(2) };

/// Score of a sample.
pub struct Outcome {
    /// Step number.
    pub step: u64,
    /// Slot.
    pub key: Key,
    /// Text that was scored.
    pub text: String,
    /// Score.
    pub score: f64,
}

/// Asks the scorer until it gives a score.
pub async fn run(
    http: Client,
    limit: Arc<Semaphore>,
    scorer: String,
    request: ScoreRequest,
) -> f64 {
    let body = serde_json::to_vec(&request).expect("a score request has a JSON form");
    let mut attempt = 0;
    loop {
        // The semaphore is never closed.
        let permit = limit.acquire().await;
        let score = ask(&http, &scorer, &request.id, body.clone()).await;
        drop(permit);
        if let Some(score) = score {
            return score;
        }
        let wait = BACKOFF.wait(attempt, &mut rand::rng());
        sleep(wait).await;
        attempt += 1;
    }
}

async fn ask(http: &Client, scorer: &str, id: &str, body: Vec<u8>) -> Option<f64> {
    let request = Request::post(format!("http://{scorer}{PATH}")).body(Body::full(body)).ok()?;
    let response = http.send(request, TIMEOUT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let response: ScoreResponse = serde_json::from_slice(response.body()).ok()?;
    (response.id == id).then_some(response.score)
}
