//! Adapter to the weight store over HTTP; one attempt per call, since the store is polled.

use std::{net::SocketAddr, time::Duration};

use filbertsail_api::weight::Latest;
use http::{Method, StatusCode};

use super::{Error, Store};
use crate::exchange::{Endpoint, escape};

/// Time limit of one attempt.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the weight store, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { endpoint: Endpoint::new(address, TIMEOUT) }
    }
}

impl Store for Client {
    async fn latest(&self, service: &str) -> Result<Latest, Error> {
        let path = format!("/v1/latest?service={}", escape(service));
        let answer = self.endpoint.raw(Method::GET, &path, None).await;
        let (status, body) = answer.map_err(|failure| Error::Unavailable(failure.text()))?;
        match status {
            StatusCode::OK => {
                serde_json::from_slice(&body).map_err(|error| Error::Unavailable(error.to_string()))
            }
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Limited),
            StatusCode::NOT_FOUND => Err(Error::NotFound),
            status => Err(Error::Unavailable(format!("status {}", status.as_u16()))),
        }
    }
}
