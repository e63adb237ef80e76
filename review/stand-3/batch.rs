//! Batch submissions of a trainer.

use std::{io, time::Duration};

use crate::{
    Bed,
    http::Connection,
    json::{Json, base64, object},
    vm::Vm,
};

/// Time within which a submission must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Tokens of the prompt and of an output of 25 events, as in the deployment.
const TOKEN_COUNTS: &str = "271,1525";
/// Items of a group.
const GROUP_SIZE: usize = 8;

/// Route of the batches, as in the deployment.
pub fn route() -> Json {
    let further: [(&str, Json); 5] = [
        ("timeout_ms", 10_000.into()),
        ("max_attempts", 3.into()),
        ("max_queue_s", 40.into()),
        ("result_deadline_ms", 7_500.into()),
        ("resumable", true.into()),
    ];
    crate::route("rounds", "rollout", "kettle-models", &further)
}

/// Submits a batch of `items` whose bodies have `body_bytes` each.
pub fn submit(bed: &Bed, vm: &Vm, batch: &str, items: usize, body_bytes: usize) -> io::Result<()> {
    let list = (0..items).map(|number| {
        object([
            ("id", item_id(batch, number).into()),
            ("path", format!("/rounds/{number}/a").into()),
            (
                "headers",
                object([
                    ("X-Filbertsail-Model", "lm".into()),
                    ("X-Filbertsail-Token-Counts", TOKEN_COUNTS.into()),
                ]),
            ),
            ("body", base64(&vec![number as u8; body_bytes]).into()),
            ("tokens", 1_796.into()),
            ("group", format!("{batch}-{}", number / GROUP_SIZE).into()),
        ])
    });
    let body = object([
        ("step", 1.into()),
        ("model", "lm".into()),
        ("min_version", 1.into()),
        ("desired_count", 8.into()),
        ("items", list.collect::<Vec<_>>().into()),
    ]);
    let body = body.to_string();
    let headers = [("X-Filbertsail-Attempt-Id", batch), ("Content-Type", "application/json")];
    let mut connection = Connection::open(vm.front, ANSWER_TIMEOUT)?;
    let answer = connection.call(("POST", "/rounds/a"), &headers, body.as_bytes())?;
    let detail = format!("{} bytes to {}, answered {}", body.len(), vm.name, answer.status());
    bed.record.add("batch submitted", batch, &detail);
    match answer.status() {
        202 => Ok(()),
        status => Err(io::Error::other(format!("the batch was answered {status}"))),
    }
}

/// Identifier of an item.
pub fn item_id(batch: &str, number: usize) -> String {
    format!("{}{number:08x}", &batch[..8])
}
