//! One attempt at a sample: a dispatch through a gateway and the check of its label.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use filbertsail_rollout::{
    label::{self, Range},
    round::{Key, Sample},
};
use filbertsail_wire::{
    Frame,
    frame::{Dispatch, Finish, Token},
};
use tokio::time;

use crate::gateways::Gateways;

/// Time for a gateway to report a deadline that has passed.
const GRACE: Duration = Duration::from_secs(5);

/// Result of an attempt.
pub struct Outcome {
    /// Step number.
    pub step: u64,
    /// Slot.
    pub key: Key,
    /// Attempt number.
    pub attempt: u64,
    /// Whole answer with its worker, or why there is none.
    pub result: Result<(Sample, String), String>,
}

/// Runs one attempt at `gateway`; `tokens` counts the tokens received.
pub async fn run<G: Gateways>(
    gateways: G,
    gateway: Option<SocketAddr>,
    dispatch: Dispatch,
    tokens: Arc<AtomicU32>,
) -> Result<(Sample, String), String> {
    let limit = Duration::from_millis(dispatch.deadline_ms) + GRACE;
    let started = time::Instant::now();
    let answer = time::timeout(limit, receive(gateways, gateway, dispatch, &tokens)).await;
    let (stream, finish) = answer.map_err(|_| "timed out".to_owned())??;
    let mut sample = check(&stream, &finish)?;
    sample.took = Some(started.elapsed());
    Ok((sample, finish.worker))
}

async fn receive<G: Gateways>(
    gateways: G,
    gateway: Option<SocketAddr>,
    dispatch: Dispatch,
    tokens: &AtomicU32,
) -> Result<(Vec<Token>, Finish), String> {
    let mut replies =
        gateways.call(gateway, dispatch.into()).await.map_err(|error| error.to_string())?;
    let mut stream: Vec<Token> = Vec::new();
    loop {
        match replies.next().await.map_err(|error| error.to_string())? {
            Some(Frame::Token(token)) if token.index as usize == stream.len() => {
                stream.push(token);
                tokens.store(u32::try_from(stream.len()).unwrap_or(u32::MAX), Ordering::Relaxed);
            }
            Some(Frame::Token(token)) => return Err(format!("token {} out of turn", token.index)),
            Some(Frame::Finish(finish)) => return Ok((stream, finish)),
            Some(Frame::Fault(fault)) => return Err(fault.code),
            Some(_) => return Err("unexpected frame".to_owned()),
            None => return Err("stream ended early".to_owned()),
        }
    }
}

/// Sample of a stream whose end agrees with its tokens.
fn check(stream: &[Token], finish: &Finish) -> Result<Sample, String> {
    let range = |label: &filbertsail_wire::frame::Label| Range {
        version: label.version,
        from: label.from,
        to: label.to,
    };
    let labels: Vec<Range> = finish.labels.iter().map(range).collect();
    let versions: Vec<u64> = stream.iter().map(|token| token.weight_version).collect();
    label::check(&labels, finish.tokens, &versions).map_err(|fault| fault.to_string())?;
    let text: String = stream.iter().map(|token| token.text.as_str()).collect();
    if !finish.text.is_empty() && finish.text != text {
        return Err("text differs from the tokens".to_owned());
    }
    Ok(Sample { labels, tokens: finish.tokens, text, score: None, took: None })
}
