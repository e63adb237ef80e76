//! Parses responses as callers do.

use bytes::Bytes;
use filbertsail_api::{completion, fault};
use http::{Response, StatusCode};
use serde_json::Value;

use crate::journal::{Kind, Outcome};

/// Parses a response of any status.
pub(super) fn parse_outcome(kind: Kind, response: &Response<Bytes>) -> Outcome {
    if !response.status().is_success() {
        return parse_error(response.status(), response.body());
    }
    match kind {
        Kind::Stream => parse_stream(response.body()),
        Kind::Completion => parse_completion(response.body()),
        Kind::Quote | Kind::Keyed | Kind::Unkeyed => parse_application(response.body()),
    }
}

fn parse_error(status: StatusCode, body: &Bytes) -> Outcome {
    let body: Option<fault::Body> = serde_json::from_slice(body).ok();
    let verdict = body.as_ref().map(|body| body.error.verdict);
    let code = body.map(|body| body.error.code).unwrap_or_default();
    Outcome::Refused { status: status.as_u16(), verdict, code }
}

fn parse_application(body: &Bytes) -> Outcome {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = body.get("answer_to").and_then(Value::as_str).unwrap_or_default().to_owned();
    let is_complete = body.get("done") == Some(&Value::Bool(true));
    Outcome::Answer { text, is_complete }
}

fn parse_completion(body: &Bytes) -> Outcome {
    let Ok(answer) = serde_json::from_slice::<completion::Response>(body) else {
        return Outcome::Answer { text: String::new(), is_complete: false };
    };
    let is_complete = answer.choices.iter().any(|choice| choice.finish_reason.is_some());
    let text = answer.choices.into_iter().map(|choice| choice.text).collect();
    Outcome::Answer { text, is_complete }
}

/// Joins the chunks of a stream; an error event in the stream gives [`Outcome::Refused`].
fn parse_stream(body: &Bytes) -> Outcome {
    let mut text = String::new();
    let mut is_complete = false;
    let body = String::from_utf8_lossy(body);
    for data in body.lines().filter_map(|line| line.strip_prefix("data:")) {
        let data = data.trim();
        if data == "[DONE]" {
            break;
        }
        if let Ok(error) = serde_json::from_str::<fault::Body>(data) {
            let verdict = Some(error.error.verdict);
            return Outcome::Refused { status: 200, verdict, code: error.error.code };
        }
        let Ok(chunk) = serde_json::from_str::<completion::Response>(data) else { continue };
        for choice in chunk.choices {
            text.push_str(&choice.text);
            is_complete |= choice.finish_reason.is_some();
        }
    }
    Outcome::Answer { text, is_complete }
}
