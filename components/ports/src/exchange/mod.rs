//! One JSON call over HTTP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_http::{
    Body,
    client::{Client, Error},
};
use http::{Method, Request, StatusCode, header};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;

/// Characters of a key that a path cannot carry as they are.
const PATH: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// What is known of a call that gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The service was not reached or refused the call before it ran.
    Refused(String),
    /// The service may have acted on the call.
    Lost(String),
}

impl Failure {
    pub(crate) fn text(self) -> String {
        match self {
            Self::Refused(text) | Self::Lost(text) => text,
        }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Connect(text) => Self::Refused(text),
            Error::Broken(text) => Self::Lost(text),
        }
    }
}

/// Endpoint of a service.
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

    pub(crate) async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let body = serde_json::to_vec(body).map_err(|error| Failure::Refused(error.to_string()))?;
        self.call(Method::POST, path, Some(body.into())).await
    }

    /// Sends one request; `path` is escaped.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let path = utf8_percent_encode(path, PATH);
        self.raw(method, &path.to_string(), body).await
    }

    /// Sends one request to a path and query that are escaped already.
    pub(crate) async fn raw(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(body.map_or_else(Body::empty, Body::full))
            .map_err(|error| Failure::Refused(error.to_string()))?;
        let response = self.client.send(request, self.timeout).await?;
        let (head, body) = response.into_parts();
        check(head.status, &body).map(|()| (head.status, body))
    }
}

/// Sorts out server errors: 503 states that the call was refused, other 5xx state nothing.
fn check(status: StatusCode, body: &[u8]) -> Result<(), Failure> {
    let text = || format!("status {}: {}", status.as_u16(), String::from_utf8_lossy(body));
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Err(Failure::Refused(text())),
        status if status.is_server_error() => Err(Failure::Lost(text())),
        _ => Ok(()),
    }
}

/// Escapes a query value.
pub(crate) fn escape(value: &str) -> String {
    utf8_percent_encode(value, NON_ALPHANUMERIC).to_string()
}
