//! HTTP adapter of the table service; one attempt per call.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_api::table::{Commit, Page, Query, Row, Scan, Transaction};
use http::StatusCode;
use serde::{Serialize, de::DeserializeOwned};

use super::{Error, Table};
use crate::endpoint::{Endpoint, Failure};

/// Time limit of one attempt.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the table service, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Client of the table service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_timeout(address, TIMEOUT)
    }

    /// Client with `timeout` as the time limit of one attempt.
    #[must_use]
    pub fn with_timeout(address: SocketAddr, timeout: Duration) -> Self {
        Self { endpoint: Endpoint::new(address, timeout) }
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let response = self.endpoint.post_json(path, body).await;
        let (status, body) =
            response.map_err(|failure| Error::Unavailable(failure.into_message()))?;
        if status != StatusCode::OK {
            return Err(Error::Unavailable(describe_response(status, &body)));
        }
        serde_json::from_slice(&body).map_err(|error| Error::Unavailable(error.to_string()))
    }
}

fn describe_response(status: StatusCode, body: &Bytes) -> String {
    format!("status {}: {}", status.as_u16(), String::from_utf8_lossy(body))
}

impl Table for Client {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        let (status, body) = match self.endpoint.post_json("/v1/transact", &transaction).await {
            Ok(response) => response,
            Err(Failure::NotRun(message)) => return Err(Error::Unavailable(message)),
            Err(Failure::MayHaveRun(message)) => return Err(Error::Unknown(message)),
        };
        let invalid_body = |error: serde_json::Error| Error::Unknown(error.to_string());
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(invalid_body),
            StatusCode::CONFLICT => {
                Err(Error::Conflict(serde_json::from_slice(&body).map_err(invalid_body)?))
            }
            status if status.is_client_error() => {
                Err(Error::Unavailable(describe_response(status, &body)))
            }
            status => Err(Error::Unknown(describe_response(status, &body))),
        }
    }

    async fn read(&self, query: Query) -> Result<Vec<Row>, Error> {
        self.read_json::<Page>("/v1/read", &query).await.map(|page| page.rows)
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.read_json("/v1/scan", &scan).await
    }
}
