//! Calling side with pooled connections, for calls whose bodies are small.

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
/// Largest response body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Why a call gave no response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No connection; the request was not sent.
    #[display("no connection: {_0}")]
    Connect(#[error(not(source))] String),
    /// The request may have been sent and no whole response came.
    #[display("no whole response: {_0}")]
    Broken(#[error(not(source))] String),
}

impl Error {
    /// Whether the called server may have acted on the request.
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
        // Only a provider without cipher suites could fail; `ring` has them.
        let config = tls::client(RootCertStore::empty()).expect("TLS versions of ring");
        Self::with_tls(config)
    }
}

impl Client {
    /// Client for `https` addresses whose certificates `config` trusts, and for `http` ones.
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

    /// Sends `request` and returns the whole response within `timeout`.
    ///
    /// # Errors
    /// Fails if there is no connection, no whole response, or no time left.
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
                Error::Connect(chain(&error))
            } else {
                Error::Broken(chain(&error))
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|error| Error::Broken(error.to_string()))?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
