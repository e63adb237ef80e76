//! HTTP adapter of the VM list; one attempt per call, since the list is polled.

use std::{net::SocketAddr, time::Duration};

use filbertsail_api::vm;
use http::{Method, StatusCode};

use super::{List, Unavailable};
use crate::endpoint::Endpoint;

/// Time limit of one attempt.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the VM list, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Client of the VM list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { endpoint: Endpoint::new(address, TIMEOUT) }
    }
}

impl List for Client {
    async fn read(&self) -> Result<vm::List, Unavailable> {
        let response = self.endpoint.send(Method::GET, "/v1/vms", None).await;
        let (status, body) =
            response.map_err(|failure| Unavailable { reason: failure.into_message() })?;
        if status != StatusCode::OK {
            return Err(Unavailable { reason: format!("status {}", status.as_u16()) });
        }
        serde_json::from_slice(&body).map_err(|error| Unavailable { reason: error.to_string() })
    }
}
