//! HTTP adapter of the object store.
//!
//! All calls of the port are idempotent, so failed attempts are retried.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use tokio::time::sleep;

use super::{Error, Store};
use crate::{
    backoff::Backoff,
    endpoint::{Endpoint, Failure},
};

/// Time limit of one attempt; objects of a group are a few megabytes at most.
pub const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ATTEMPTS: u32 = 3;

/// Client of the object store, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: Endpoint,
    backoff: Backoff,
}

impl Client {
    /// Client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { endpoint: Endpoint::new(address, TIMEOUT), backoff: Backoff::default() }
    }

    /// Makes up to [`MAX_ATTEMPTS`] attempts. If any of them may have taken effect, the failure
    /// says so even if later ones were refused.
    async fn send_with_retries(
        &self,
        method: Method,
        key: &str,
        body: Option<Bytes>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let path = format!("/o/{key}");
        let mut failure = None;
        for attempt in 0..MAX_ATTEMPTS {
            let response = self.endpoint.send(method.clone(), &path, body.clone()).await;
            match response {
                Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {
                    failure = failure.or(Some(Failure::NotRun("status 429".to_owned())));
                }
                Ok(response) => return Ok(response),
                Err(unknown @ Failure::MayHaveRun(_)) => failure = Some(unknown),
                Err(refused) => failure = failure.or(Some(refused)),
            }
            if attempt + 1 < MAX_ATTEMPTS {
                let delay = self.backoff.delay(attempt, &mut rand::rng());
                sleep(delay).await;
            }
        }
        Err(failure.unwrap_or_else(|| Failure::NotRun("not attempted".to_owned())))
    }
}

fn write_error(failure: Failure) -> Error {
    match failure {
        Failure::NotRun(message) => Error::Unavailable(message),
        Failure::MayHaveRun(message) => Error::Unknown(message),
    }
}

fn check_status(status: StatusCode) -> Result<(), Error> {
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::NOT_FOUND => Err(Error::NotFound),
        StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT => Err(Error::Exists),
        status => Err(Error::Unavailable(format!("status {}", status.as_u16()))),
    }
}

impl Store for Client {
    async fn put(&self, key: &str, body: Bytes) -> Result<(), Error> {
        let response = self.send_with_retries(Method::PUT, key, Some(body)).await;
        check_status(response.map_err(write_error)?.0)
    }

    async fn get(&self, key: &str) -> Result<Bytes, Error> {
        let response = self.send_with_retries(Method::GET, key, None).await;
        let (status, body) =
            response.map_err(|failure| Error::Unavailable(failure.into_message()))?;
        check_status(status).map(|()| body)
    }

    async fn delete(&self, key: &str) -> Result<(), Error> {
        let response = self.send_with_retries(Method::DELETE, key, None).await;
        match check_status(response.map_err(write_error)?.0) {
            Err(Error::NotFound) => Ok(()),
            result => result,
        }
    }
}
