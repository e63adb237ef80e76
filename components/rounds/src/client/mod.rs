//! Client of the trainer API.
//!
//! It sends the last delivery cursor with each fetch and acknowledgement, and rejects a batch whose
//! epoch is lower than the highest one seen. The trainer must save [`State`] in its checkpoint.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error, From};
use filbertsail_api::{
    fault,
    trainer::{Batch, Progress, Receipt, Round},
};
use filbertsail_http::{
    Body,
    client::{Client as Http, Error as HttpError},
};
use http::{Method, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Timeout of a call, in addition to the wait of a fetch.
const CALL_GRACE: Duration = Duration::from_secs(15);

/// State that the trainer must keep between fetches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Highest epoch seen.
    pub epoch: u64,
    /// Delivery cursor of the last accepted batch.
    pub cursor: Option<String>,
}

impl State {
    /// Records a batch. Must be called before the batch is used.
    ///
    /// # Errors
    /// Fails if a superseded lease holder delivered the batch; the caller must then discard it and
    /// fetch again.
    pub fn accept(&mut self, batch: &Batch) -> Result<(), Error> {
        if batch.epoch < self.epoch {
            return Err(Error::Superseded { epoch: batch.epoch, seen: self.epoch });
        }
        self.epoch = batch.epoch;
        self.cursor.clone_from(&batch.cursor);
        Ok(())
    }
}

/// Reason why a call failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The gateway sent no complete response.
    Http(HttpError),
    /// The gateway rejected the call.
    #[display("rejected with status {status}: {}: {}", detail.code, detail.message)]
    #[from(skip)]
    Refused {
        status: StatusCode,
        /// Error code, message and verdict.
        detail: fault::Detail,
    },
    /// The batch came from a superseded lease holder.
    #[display("batch has epoch {epoch}, but a batch of epoch {seen} was received before")]
    #[from(skip)]
    Superseded {
        /// Epoch of the batch.
        epoch: u64,
        /// Highest epoch seen.
        seen: u64,
    },
    /// The request cannot be built or the response cannot be decoded.
    #[display("malformed request or response")]
    #[from(skip)]
    Malformed,
}

/// Result of a fetch.
#[derive(Clone, Debug, PartialEq)]
pub enum Fetched {
    /// Complete batch.
    Batch(Box<Batch>),
    /// The batch is not complete yet.
    Progress(Progress),
}

/// Client of one trainer.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http,
    trainer: String,
    token: String,
    state: State,
}

impl Client {
    /// Client of `trainer` that continues from `state`.
    #[must_use]
    pub fn new(http: Http, trainer: &str, token: &str, state: State) -> Self {
        Self { http, trainer: trainer.to_owned(), token: token.to_owned(), state }
    }

    /// State to save in the trainer's checkpoint.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Posts a round.
    ///
    /// # Errors
    /// See [`Error`]. The post may be repeated.
    pub async fn post(&self, gateway: SocketAddr, round: &Round) -> Result<Receipt, Error> {
        let body = serde_json::to_vec(round).map_err(|_| Error::Malformed)?;
        let request = self.request(Method::POST, gateway, "", Body::full(body))?;
        decode(&check_status(self.http.send(request, CALL_GRACE).await?)?)
    }

    /// Fetches the batch of `step` for weight version `version`, waiting up to `wait`.
    ///
    /// # Errors
    /// See [`Error`]. The fetch may be repeated at any gateway.
    pub async fn fetch(
        &mut self,
        gateway: SocketAddr,
        step: u64,
        version: u64,
        wait: Duration,
    ) -> Result<Fetched, Error> {
        let cursor = self.cursor_parameter("&cursor=");
        let path = format!(
            "/{}/{step}/batch?version={version}&wait_ms={}{cursor}",
            self.trainer,
            wait.as_millis()
        );
        let request = self.request(Method::GET, gateway, &path, Body::empty())?;
        let response = check_status(self.http.send(request, wait + CALL_GRACE).await?)?;
        if response.status() == StatusCode::ACCEPTED {
            return decode(&response).map(Fetched::Progress);
        }
        let batch: Batch = decode(&response)?;
        if batch.trainer != self.trainer || batch.step != step {
            return Err(Error::Malformed);
        }
        self.state.accept(&batch)?;
        Ok(Fetched::Batch(Box::new(batch)))
    }

    /// Acknowledges the batch of `step`.
    ///
    /// # Errors
    /// See [`Error`]. The call may be repeated.
    pub async fn acknowledge(&self, gateway: SocketAddr, step: u64) -> Result<(), Error> {
        let path = format!("/{}/{step}/ack{}", self.trainer, self.cursor_parameter("?cursor="));
        let request = self.request(Method::POST, gateway, &path, Body::empty())?;
        check_status(self.http.send(request, CALL_GRACE).await?).map(drop)
    }

    /// Cancels the round of `step`.
    ///
    /// # Errors
    /// See [`Error`]. The call may be repeated.
    pub async fn cancel(&self, gateway: SocketAddr, step: u64) -> Result<(), Error> {
        let path = format!("/{}/{step}", self.trainer);
        let request = self.request(Method::DELETE, gateway, &path, Body::empty())?;
        check_status(self.http.send(request, CALL_GRACE).await?).map(drop)
    }

    /// Cursor as a query parameter after `prefix`; empty if there is none.
    fn cursor_parameter(&self, prefix: &str) -> String {
        self.state.cursor.as_ref().map_or_else(String::new, |cursor| format!("{prefix}{cursor}"))
    }

    fn request(
        &self,
        method: Method,
        gateway: SocketAddr,
        path: &str,
        body: Body,
    ) -> Result<Request<Body>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{gateway}/v1/rounds{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        request.body(body).map_err(|_| Error::Malformed)
    }
}

/// Turns a response with an error status into an error.
fn check_status(response: Response<bytes::Bytes>) -> Result<Response<bytes::Bytes>, Error> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body: fault::Body = decode(&response)?;
    Err(Error::Refused { status, detail: body.error })
}

fn decode<T: DeserializeOwned>(response: &Response<bytes::Bytes>) -> Result<T, Error> {
    serde_json::from_slice(response.body()).map_err(|_| Error::Malformed)
}
