//! Adapter to the object store over HTTP.
//!
//! Every call of the port can be repeated without harm, so failed attempts are retried.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use tokio::time::sleep;

use super::{Error, Store};
use crate::{
    backoff::Backoff,
    exchange::{Endpoint, Failure},
};

/// Time limit of one attempt; bodies of a group are a few megabytes at most.
pub const TIMEOUT: Duration = Duration::from_secs(5);
const ATTEMPTS: u32 = 3;

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

    /// Makes up to [`ATTEMPTS`] attempts; a lost answer of any of them outweighs later refusals.
    async fn call(
        &self,
        method: Method,
        key: &str,
        body: Option<Bytes>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let path = format!("/o/{key}");
        let mut failure = None;
        for attempt in 0..ATTEMPTS {
            let answer = self.endpoint.call(method.clone(), &path, body.clone()).await;
            match answer {
                Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {
                    failure = failure.or(Some(Failure::Refused("status 429".to_owned())));
                }
                Ok(answer) => return Ok(answer),
                Err(lost @ Failure::Lost(_)) => failure = Some(lost),
                Err(refused) => failure = failure.or(Some(refused)),
            }
            if attempt + 1 < ATTEMPTS {
                let wait = self.backoff.wait(attempt, &mut rand::rng());
                sleep(wait).await;
            }
        }
        Err(failure.unwrap_or_else(|| Failure::Refused("not attempted".to_owned())))
    }
}

fn write_error(failure: Failure) -> Error {
    match failure {
        Failure::Refused(text) => Error::Unavailable(text),
        Failure::Lost(text) => Error::Unknown(text),
    }
}

fn expect_success(status: StatusCode) -> Result<(), Error> {
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::NOT_FOUND => Err(Error::NotFound),
        StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT => Err(Error::Exists),
        status => Err(Error::Unavailable(format!("status {}", status.as_u16()))),
    }
}

impl Store for Client {
    async fn put(&self, key: &str, body: Bytes) -> Result<(), Error> {
        let answer = self.call(Method::PUT, key, Some(body)).await;
        expect_success(answer.map_err(write_error)?.0)
    }

    async fn get(&self, key: &str) -> Result<Bytes, Error> {
        let answer = self.call(Method::GET, key, None).await;
        let (status, body) = answer.map_err(|failure| Error::Unavailable(failure.text()))?;
        expect_success(status).map(|()| body)
    }

    async fn delete(&self, key: &str) -> Result<(), Error> {
        let answer = self.call(Method::DELETE, key, None).await;
        match expect_success(answer.map_err(write_error)?.0) {
            Err(Error::NotFound) => Ok(()),
            result => result,
        }
    }
}
