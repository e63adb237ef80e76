//! HTTP client with pooled connections, for requests and responses with small bodies.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use filbertsail_errors::Verdict;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper_rustls::{HttpsConnector, HttpsConnectorBuilder};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use rustls::{ClientConfig, RootCertStore};
use tokio::time;

use crate::{Body, tls};

/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Failure of a request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The connection failed, so the request was not sent.
    #[display("no connection: {_0}")]
    Connect(#[error(not(source))] String),
    /// The request may have been sent, but no complete response was received.
    #[display("no complete response: {_0}")]
    Broken(#[error(not(source))] String),
}

impl Error {
    /// Whether the server may have executed the request.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) => Verdict::NotRun,
            Self::Broken(_) => Verdict::MayHaveRun,
        }
    }
}

/// HTTP client, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpsConnector<HttpConnector>, Body>,
}

impl Default for Client {
    fn default() -> Self {
        // Fails only for a provider without cipher suites, and `ring` has some.
        let config = tls::client_config_with_roots(RootCertStore::empty())
            .expect("ring supports the default TLS versions");
        Self::with_tls(config)
    }
}

impl Client {
    /// Client for `https` servers whose certificates `config` trusts, and for `http` servers.
    #[must_use]
    pub fn with_tls(config: ClientConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.enforce_http(false);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let connector = HttpsConnectorBuilder::new()
            .with_tls_config(config)
            .https_or_http()
            .enable_http1()
            .wrap_connector(connector);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool }
    }

    /// Sends `request` and returns the complete response within `timeout`.
    ///
    /// # Errors
    /// Fails if the connection fails or no complete response is received within `timeout`.
    pub async fn send(
        &self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        time::timeout(timeout, self.exchange(request))
            .await
            .unwrap_or_else(|_| Err(Error::Broken("timed out".to_owned())))
    }

    async fn exchange(&self, request: Request<Body>) -> Result<Response<Bytes>, Error> {
        let response = self.pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Connect(with_sources(&error))
            } else {
                Error::Broken(with_sources(&error))
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| Error::Broken(error.to_string()))?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

/// Message of an error with those of its sources.
fn with_sources(error: &dyn std::error::Error) -> String {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        message.push_str(": ");
        message.push_str(&cause.to_string());
        source = cause.source();
    }
    message
}
