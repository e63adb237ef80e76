//! Sends one JSON request over HTTP and classifies failures by what the service may have done.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_http::{
    Body,
    client::{Client, Error},
};
use http::{Method, Request, StatusCode, header};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;

/// Characters that are percent-encoded in a path.
const PATH_ESCAPES: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Failed call, by whether the service may have executed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The service was not reached or refused the call without executing it.
    NotRun(String),
    /// The service may have executed the call.
    MayHaveRun(String),
}

impl Failure {
    pub(crate) fn into_message(self) -> String {
        match self {
            Self::NotRun(message) | Self::MayHaveRun(message) => message,
        }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Connect(message) => Self::NotRun(message),
            Error::Broken(message) => Self::MayHaveRun(message),
        }
    }
}

/// Address of a service with its HTTP client and time limit.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    address: SocketAddr,
    client: Client,
    timeout: Duration,
}

impl Endpoint {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, client: Client::default(), timeout }
    }

    pub(crate) async fn post_json(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let body = serde_json::to_vec(body).map_err(|error| Failure::NotRun(error.to_string()))?;
        self.send(Method::POST, path, Some(body.into())).await
    }

    /// Sends one request; escapes `path`.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let path = utf8_percent_encode(path, PATH_ESCAPES);
        self.send_escaped(method, &path.to_string(), body).await
    }

    /// Sends one request to `path_and_query`, which must be escaped already.
    pub(crate) async fn send_escaped(
        &self,
        method: Method,
        path_and_query: &str,
        body: Option<Bytes>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path_and_query}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(body.map_or_else(Body::empty, Body::full))
            .map_err(|error| Failure::NotRun(error.to_string()))?;
        let response = self.client.send(request, self.timeout).await?;
        let (head, body) = response.into_parts();
        check_status(head.status, &body).map(|()| (head.status, body))
    }
}

/// Turns server errors into failures: 503 means that the call was refused, other 5xx statuses leave
/// open whether it was executed.
fn check_status(status: StatusCode, body: &[u8]) -> Result<(), Failure> {
    let message = || format!("status {}: {}", status.as_u16(), String::from_utf8_lossy(body));
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Err(Failure::NotRun(message())),
        status if status.is_server_error() => Err(Failure::MayHaveRun(message())),
        _ => Ok(()),
    }
}

/// Percent-encodes a query value.
pub(crate) fn escape_query_value(value: &str) -> String {
    utf8_percent_encode(value, NON_ALPHANUMERIC).to_string()
}
