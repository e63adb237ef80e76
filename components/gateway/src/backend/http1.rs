//! HTTP/1.1 connection pool of one backend server.
//!
//! A server may close an idle connection just as a request is written to it; that request then
//! counts as possibly run. Non-idempotent requests therefore always open a new connection.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use filbertsail_http::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time};

use super::{
    Call, Failure, Kind, Response,
    counted::{Counter, Socket},
    failure::error_chain,
};

/// Idle time after which a connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Timeout for an idle connection to become ready for another request.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

type Idle = Arc<Mutex<Vec<Connection>>>;

/// Connection pool of one backend server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Idle,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    written: Counter,
    task: Task,
    last_used_at: Instant,
    reused: bool,
}

/// Task that drives a connection; dropping it closes the socket.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connection checked out by one request.
#[derive(Debug)]
pub struct Checkout {
    connection: Connection,
    idle: Idle,
}

impl Checkout {
    /// Returns the connection to the pool, or closes it if the pool is full.
    pub fn release(self) {
        let mut connection = self.connection;
        connection.last_used_at = Instant::now();
        connection.reused = true;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }
}

impl Pool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, idle: Idle::default() }
    }

    pub(super) async fn send(&self, address: SocketAddr, call: &Call) -> Result<Response, Failure> {
        if call.idempotent
            && let Some(connection) = self.pop_idle().await
        {
            match self.exchange(connection, address, call).await {
                // The server closed the idle connection; provably unsent, so send it on a new one.
                Err(failure) if failure.kind == Kind::Broken && failure.verdict.may_retry() => {}
                result => return result,
            }
        }
        let connection = connect(self.address, call.connect_timeout()).await?;
        self.exchange(connection, address, call).await
    }

    /// Takes the most recently used idle connection that is ready.
    async fn pop_idle(&self) -> Option<Connection> {
        loop {
            let mut connection = {
                let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                idle.pop()?
            };
            if connection.last_used_at.elapsed() > IDLE_TIMEOUT {
                // The pool is ordered by last use, so all others expired too.
                self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
                return None;
            }
            let ready = time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Response, Failure> {
        let request = call.build_request(address, false)?;
        let written_before = connection.written.get();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Response {
                    head,
                    body,
                    checkout: Some(Checkout { connection, idle: self.idle.clone() }),
                })
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let message = error_chain(error.error());
                let reused = connection.reused;
                let written = connection.close().await;
                let mut failure = if unsent || written == written_before {
                    Failure::not_run(Kind::Broken, message)
                } else {
                    Failure::may_have_run(Kind::Broken, message)
                };
                failure.stale_connection = reused;
                Err(failure)
            }
        }
    }
}

impl Connection {
    /// Closes the socket and returns the total of bytes written, which is then final.
    async fn close(mut self) -> u64 {
        self.task.0.abort();
        let _ = (&mut self.task.0).await;
        self.written.get()
    }
}

pub(super) async fn connect_tcp(
    address: SocketAddr,
    limit: Duration,
) -> Result<TcpStream, Failure> {
    let failed = |message: String| Failure::not_run(Kind::Connect, message);
    let stream = time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| failed("connect timed out".to_owned()))?
        .map_err(|error| failed(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
    Ok(stream)
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, Failure> {
    let (stream, written) = Socket::new(connect_tcp(address, limit).await?);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Failure::not_run(Kind::Connect, error_chain(&error)))?;
    let task = Task(tokio::spawn(async move {
        // The request in flight reports the error.
        let _ = connection.await;
    }));
    Ok(Connection { sender, written, task, last_used_at: Instant::now(), reused: false })
}
