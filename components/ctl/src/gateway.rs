//! Client of the administration API.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use eyre::{Context, OptionExt, eyre};
use filbertsail_api::{admin::Lost, fault};
use filbertsail_errors::Verdict;
use filbertsail_http::{Body, client::Client, tls};
use http::{Method, Request, Response, StatusCode, header};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    cli::Cli,
    exit::{Exit, Failure},
};

/// Time limit of a call, not counting the wait that the command itself requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of one gateway's admin port.
#[derive(Debug)]
pub struct Gateway {
    client: Client,
    scheme: &'static str,
    address: SocketAddr,
    token: Option<String>,
}

impl Gateway {
    /// Creates the client for the gateway named by the arguments.
    ///
    /// # Errors
    /// Fails if no gateway is given, or the token file or certificates cannot be read.
    pub fn new(cli: &Cli) -> Result<Self, Failure> {
        let address = cli.gateway.ok_or_eyre("--gateway ADDR is required for this command")?;
        let token = cli.token_file.as_deref().map(read_token).transpose()?;
        let (scheme, client) = match &cli.ca_file {
            None => ("http", Client::default()),
            Some(file) => {
                let config =
                    tls::client_config(file).wrap_err("reading the trusted certificates")?;
                ("https", Client::with_tls(config))
            }
        };
        Ok(Self { client, scheme, address, token })
    }

    /// Gets the resource at `path`.
    ///
    /// # Errors
    /// Fails if the gateway rejects the request, is unreachable, or its response cannot be parsed.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        // A read changes nothing, so a failed one has no unknown outcome.
        self.call(Method::GET, path, Bytes::new(), Duration::ZERO).await.map_err(as_read_failure)
    }

    /// Sends a command. `wait` is the time that the gateway may spend waiting for daemons, on top
    /// of the time limit of the call.
    ///
    /// # Errors
    /// Fails if the gateway rejects the command, is unreachable, or its response cannot be parsed.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        command: &impl Serialize,
        wait: Duration,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(command).wrap_err("cannot serialize the command as JSON")?;
        self.call(method, path, body.into(), wait).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<T, Failure> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}://{}{path}", self.scheme, self.address))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.body(Body::full(body)).wrap_err(
            "cannot build the request; the token may contain characters not allowed in a header",
        )?;
        let response = self.client.send(request, CALL_TIMEOUT + wait).await.map_err(|error| {
            let message = format!("gateway {}: {error}", self.address);
            Failure::new(exit_for(error.verdict()), message)
        })?;
        parse_response(&response)
    }
}

fn as_read_failure(failure: Failure) -> Failure {
    match failure {
        Failure::Command { exit: Exit::Unknown, message } => {
            Failure::new(Exit::Unavailable, message)
        }
        other => other,
    }
}

fn exit_for(verdict: Verdict) -> Exit {
    match verdict {
        Verdict::NotRun => Exit::Unavailable,
        Verdict::MayHaveRun | Verdict::Ran => Exit::Unknown,
    }
}

fn parse_response<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T, Failure> {
    let body = response.body();
    if response.status() == StatusCode::OK {
        return serde_json::from_slice(body).map_err(|error| {
            Failure::new(Exit::Unknown, format!("cannot parse the gateway's response: {error}"))
        });
    }
    if response.status() == StatusCode::CONFLICT
        && let Ok(lost) = serde_json::from_slice::<Lost>(body)
    {
        let message = format!(
            "lost the race: version {} by {} won (digest {}); nothing was changed",
            lost.version, lost.author, lost.digest
        );
        return Err(Failure::new(Exit::Conflict, message));
    }
    Err(rejection(response.status(), body))
}

fn rejection(status: StatusCode, body: &[u8]) -> Failure {
    let Ok(fault::Body { error }) = serde_json::from_slice(body) else {
        return Failure::new(
            Exit::Unknown,
            format!("unexpected response from the gateway: status {status}"),
        );
    };
    let exit = match (status, error.verdict) {
        (StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN, _) => Exit::Denied,
        (StatusCode::NOT_FOUND, _) => Exit::NotFound,
        (StatusCode::UNPROCESSABLE_ENTITY, _) => Exit::Faults,
        (_, fault::Verdict::NotRun) => Exit::Unavailable,
        (_, fault::Verdict::MayHaveRun | fault::Verdict::Ran) => Exit::Unknown,
    };
    Failure::new(exit, format!("{}: {}", error.code, error.message))
}

fn read_token(path: &Path) -> Result<String, eyre::Report> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))?;
    let lines = text.lines().map(str::trim).filter(|line| !line.starts_with('#'));
    let token = lines.flat_map(str::split_whitespace).next();
    token.map(ToOwned::to_owned).ok_or_else(|| eyre!("{} contains no token", path.display()))
}
