//! Adapter to the table service over HTTP; one attempt per call.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_api::table::{Commit, Page, Query, Row, Scan, Transaction};
use http::StatusCode;
use serde::{Serialize, de::DeserializeOwned};

use super::{Error, Table};
use crate::exchange::{Endpoint, Failure};

/// Time limit of one attempt.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the table service, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Client of the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_timeout(address, TIMEOUT)
    }

    /// Client with another time limit per attempt.
    #[must_use]
    pub fn with_timeout(address: SocketAddr, timeout: Duration) -> Self {
        Self { endpoint: Endpoint::new(address, timeout) }
    }

    async fn look<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let answer = self.endpoint.post(path, body).await;
        let (status, body) = answer.map_err(|failure| Error::Unavailable(failure.text()))?;
        if status != StatusCode::OK {
            return Err(Error::Unavailable(unexpected(status, &body)));
        }
        serde_json::from_slice(&body).map_err(|error| Error::Unavailable(error.to_string()))
    }
}

fn unexpected(status: StatusCode, body: &Bytes) -> String {
    format!("status {}: {}", status.as_u16(), String::from_utf8_lossy(body))
}

impl Table for Client {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        let (status, body) = match self.endpoint.post("/v1/transact", &transaction).await {
            Ok(answer) => answer,
            Err(Failure::Refused(text)) => return Err(Error::Unavailable(text)),
            Err(Failure::Lost(text)) => return Err(Error::Unknown(text)),
        };
        let broken = |error: serde_json::Error| Error::Unknown(error.to_string());
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(broken),
            StatusCode::CONFLICT => {
                Err(Error::Conflict(serde_json::from_slice(&body).map_err(broken)?))
            }
            status if status.is_client_error() => {
                Err(Error::Unavailable(unexpected(status, &body)))
            }
            status => Err(Error::Unknown(unexpected(status, &body))),
        }
    }

    async fn read(&self, query: Query) -> Result<Vec<Row>, Error> {
        self.look::<Page>("/v1/read", &query).await.map(|page| page.rows)
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.look("/v1/scan", &scan).await
    }
}
