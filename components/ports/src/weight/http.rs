//! HTTP adapter of the weight store; one attempt per call, since the store is polled.

use std::{net::SocketAddr, time::Duration};

use filbertsail_api::weight::Latest;
use http::{Method, StatusCode};

use super::{Error, Store};
use crate::endpoint::{Endpoint, escape_query_value};

/// Time limit of one attempt.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the weight store, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Client of the weight store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { endpoint: Endpoint::new(address, TIMEOUT) }
    }
}

impl Store for Client {
    async fn latest(&self, service: &str) -> Result<Latest, Error> {
        let path = format!("/v1/latest?service={}", escape_query_value(service));
        let response = self.endpoint.send_escaped(Method::GET, &path, None).await;
        let (status, body) =
            response.map_err(|failure| Error::Unavailable(failure.into_message()))?;
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
