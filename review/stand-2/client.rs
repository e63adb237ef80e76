//! Requesters and trainers.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{Json, base64, quote},
    record::Record,
};

pub const HOST: &str = "site.example";
pub const MODEL: &str = "model-a";

/// Item of a batch submission.
#[derive(Clone)]
pub struct Item {
    pub id: String,
    pub group: String,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    /// Events that the engine makes.
    pub events: u64,
}

pub struct Listed {
    pub id: String,
    pub state: String,
}

pub fn submission(path: &str, items: &[Item], wanted: usize) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|item| {
            format!(
                "{{\"id\":{},\"path\":\"{path}run\",\"headers\":{{\"X-Filbertsail-Model\":\"{MODEL}\",\
                 \"X-Filbertsail-Token-Counts\":\"{},{}\",\"X-Filbertsail-Length-Hint\":\"{}\",\
                 \"X-Events\":\"{}\"}},\"body\":{},\"tokens\":{},\"group\":{}}}",
                quote(&item.id),
                item.prompt_tokens,
                item.output_tokens,
                item.output_tokens,
                item.events,
                quote(&base64(format!("prompt of {}", item.id).as_bytes())),
                item.prompt_tokens + item.output_tokens,
                quote(&item.group),
            )
        })
        .collect();
    format!(
        "{{\"step\":1,\"model\":\"{MODEL}\",\"min_version\":1,\"desired_count\":{wanted},\"items\":[{}]}}",
        items.join(",")
    )
}

fn headers(id: &str, left: Duration) -> [(&'static str, String); 3] {
    [
        ("Host", HOST.to_owned()),
        ("X-Filbertsail-Attempt-Id", id.to_owned()),
        ("X-Filbertsail-Deadline-Ms", left.as_millis().to_string()),
    ]
}

/// Posts a request on a new channel.
pub fn post(
    front: SocketAddr,
    path: &str,
    id: &str,
    more: &[(&'static str, String)],
    body: &[u8],
    left: Duration,
) -> std::io::Result<Message> {
    let mut all = headers(id, left).to_vec();
    all.extend_from_slice(more);
    http::call(front, "POST", path, &all, body, left)
}

/// Submits a batch until it is accepted or `limit` has passed; returns whether it was.
pub fn submit(
    fronts: &[SocketAddr],
    path: &str,
    batch: &str,
    body: &str,
    limit: Duration,
    record: &Record,
) -> bool {
    let end = Instant::now() + limit;
    for front in fronts.iter().cycle() {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let kind = [("Content-Type", "application/json".to_owned())];
        let target = format!("{path}{batch}");
        let response =
            post(*front, &target, batch, &kind, body.as_bytes(), left.min(Duration::from_secs(4)));
        let status = response.map(|response| response.status());
        record.line(&format!("batch {batch} submitted at {front}: {status:?}"));
        if matches!(status, Ok(202)) {
            return true;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Reads the results of a batch from position `after` on.
pub fn read(front: SocketAddr, batch: &str, after: usize) -> Option<Vec<Listed>> {
    let all = [("Host", HOST.to_owned()), ("X-Filbertsail-Wait-Ms", "1000".to_owned())];
    let target = format!("/-/lots/{batch}?after={after}");
    let response =
        http::call(front, "GET", &target, &all, b"", Duration::from_millis(2_500)).ok()?;
    if response.status() != 200 {
        return None;
    }
    let body = Json::parse(&response.text())?;
    let listed = body.list("results").iter();
    Some(
        listed
            .map(|result| Listed { id: result.text("id"), state: result.text("state") })
            .collect(),
    )
}

/// Ends a batch; returns the status.
pub fn end(front: SocketAddr, batch: &str, record: &Record) -> u16 {
    let all = [("Host", HOST.to_owned())];
    let response =
        http::call(front, "DELETE", &format!("/-/lots/{batch}"), &all, b"", Duration::from_secs(4));
    let status = response.map_or(0, |response| response.status());
    record.line(&format!("batch {batch} ended: {status}"));
    status
}

/// Reads a batch about twice a second until all `total` items are listed or `until`.
pub fn follow(
    fronts: &[SocketAddr],
    batch: &str,
    total: usize,
    until: Instant,
    record: &Record,
) -> Vec<Listed> {
    let mut listed: Vec<Listed> = Vec::new();
    for front in fronts.iter().cycle() {
        if listed.len() >= total || Instant::now() >= until {
            break;
        }
        if let Some(page) = read(*front, batch, listed.len()) {
            for result in &page {
                record.line(&format!("batch {batch} lists {} {}", result.id, result.state));
            }
            listed.extend(page);
        }
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(left.min(Duration::from_millis(500)));
    }
    listed
}
