//! One attempt at a sample: dispatches it through a gateway and checks the labels of the answer.

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

/// Time after the deadline for a gateway to report that it has passed.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);

/// Result of an attempt.
pub struct Outcome {
    pub step: u64,
    /// Slot of the sample.
    pub key: Key,
    /// Attempt ID.
    pub attempt: u64,
    /// Sample and name of its worker, or the reason for the failure.
    pub result: Result<(Sample, String), String>,
}

/// Runs one attempt through `gateway` and counts the received tokens in `tokens`.
pub async fn run<G: Gateways>(
    gateways: G,
    gateway: Option<SocketAddr>,
    dispatch: Dispatch,
    tokens: Arc<AtomicU32>,
) -> Result<(Sample, String), String> {
    let timeout = Duration::from_millis(dispatch.deadline_ms) + DEADLINE_GRACE;
    let started = time::Instant::now();
    let answer = time::timeout(timeout, receive(gateways, gateway, dispatch, &tokens)).await;
    let (stream, finish) =
        answer.map_err(|_| "no answer before the attempt deadline".to_owned())??;
    let mut sample = check_stream(&stream, &finish)?;
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
            Some(Frame::Token(token)) => {
                return Err(format!("token {} arrived out of order", token.index));
            }
            Some(Frame::Finish(finish)) => return Ok((stream, finish)),
            Some(Frame::Fault(fault)) => return Err(fault.code),
            Some(_) => return Err("gateway sent an unexpected frame in a token stream".to_owned()),
            None => return Err("token stream ended without a finish frame".to_owned()),
        }
    }
}

/// Builds a sample from a stream whose labels, token count and text match its tokens.
fn check_stream(stream: &[Token], finish: &Finish) -> Result<Sample, String> {
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
        return Err("text of the finish frame differs from the text of the tokens".to_owned());
    }
    Ok(Sample { labels, tokens: finish.tokens, text, score: None, took: None })
}
