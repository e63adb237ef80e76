//! Client of the trainer API.
//!
//! It sends the last cursor back with each call and refuses a batch of a lower epoch than the
//! highest it has seen. [`State`] belongs into the trainer's checkpoint.

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

/// Time allowed beyond the wait that a fetch states.
const GRACE: Duration = Duration::from_secs(15);

/// What the trainer must remember between fetches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Highest epoch seen.
    pub epoch: u64,
    /// Cursor of the last batch taken.
    pub cursor: Option<String>,
}

impl State {
    /// Takes note of a batch before it is used.
    ///
    /// # Errors
    /// Fails if a superseded holder delivered it; it must then be dropped and fetched again.
    pub fn accept(&mut self, batch: &Batch) -> Result<(), Error> {
        if batch.epoch < self.epoch {
            return Err(Error::Superseded { epoch: batch.epoch, seen: self.epoch });
        }
        self.epoch = batch.epoch;
        self.cursor.clone_from(&batch.cursor);
        Ok(())
    }
}

/// Why a call failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The gateway gave no whole answer.
    Http(HttpError),
    /// The gateway refused the call.
    #[display("refused with status {status}: {}: {}", detail.code, detail.message)]
    #[from(skip)]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Code, text and verdict.
        detail: fault::Detail,
    },
    /// A holder delivered that another one has superseded.
    #[display("batch of epoch {epoch}, but epoch {seen} was seen")]
    #[from(skip)]
    Superseded {
        /// Epoch of the batch.
        epoch: u64,
        /// Highest epoch seen.
        seen: u64,
    },
    /// The answer has not the expected form.
    #[display("malformed answer")]
    #[from(skip)]
    Malformed,
}

/// Result of a fetch.
#[derive(Clone, Debug, PartialEq)]
pub enum Fetched {
    /// Whole batch.
    Batch(Box<Batch>),
    /// Not whole yet.
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

    /// State for the trainer's checkpoint.
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
        parse(&accepted(self.http.send(request, GRACE).await?)?)
    }

    /// Fetches the batch of `step` for a trainer at weight `version`.
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
        let cursor = self.cursor("&cursor=");
        let path = format!(
            "/{}/{step}/batch?version={version}&wait_ms={}{cursor}",
            self.trainer,
            wait.as_millis()
        );
        let request = self.request(Method::GET, gateway, &path, Body::empty())?;
        let response = accepted(self.http.send(request, wait + GRACE).await?)?;
        if response.status() == StatusCode::ACCEPTED {
            return parse(&response).map(Fetched::Progress);
        }
        let batch: Batch = parse(&response)?;
        if batch.trainer != self.trainer || batch.step != step {
            return Err(Error::Malformed);
        }
        self.state.accept(&batch)?;
        Ok(Fetched::Batch(Box::new(batch)))
    }

    /// Confirms that the batch of `step` was taken.
    ///
    /// # Errors
    /// See [`Error`]. The call may be repeated.
    pub async fn acknowledge(&self, gateway: SocketAddr, step: u64) -> Result<(), Error> {
        let path = format!("/{}/{step}/ack{}", self.trainer, self.cursor("?cursor="));
        let request = self.request(Method::POST, gateway, &path, Body::empty())?;
        accepted(self.http.send(request, GRACE).await?).map(drop)
    }

    /// Withdraws the round of `step`.
    ///
    /// # Errors
    /// See [`Error`]. The call may be repeated.
    pub async fn cancel(&self, gateway: SocketAddr, step: u64) -> Result<(), Error> {
        let path = format!("/{}/{step}", self.trainer);
        let request = self.request(Method::DELETE, gateway, &path, Body::empty())?;
        accepted(self.http.send(request, GRACE).await?).map(drop)
    }

    fn cursor(&self, prefix: &str) -> String {
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

fn accepted(response: Response<bytes::Bytes>) -> Result<Response<bytes::Bytes>, Error> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body: fault::Body = parse(&response)?;
    Err(Error::Refused { status, detail: body.error })
}

fn parse<T: DeserializeOwned>(response: &Response<bytes::Bytes>) -> Result<T, Error> {
    serde_json::from_slice(response.body()).map_err(|_| Error::Malformed)
}
