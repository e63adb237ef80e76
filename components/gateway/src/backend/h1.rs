//! HTTP/1.1 connections to one backend server.
//!
//! A server may close a kept connection at the moment a request is written to it, and then the
//! request may have run. Non-idempotent requests therefore get a connection of their own.

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
    Answer, Call, Failure, Kind,
    counted::{Counted, Counter},
    failure::chain,
};

/// Age from which an idle connection is not used again.
const IDLE_LIFE: Duration = Duration::from_secs(15);
/// Most idle connections kept per server.
const MAX_IDLE: usize = 256;
/// Time for a kept connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

type Idle = Arc<Mutex<Vec<Connection>>>;

/// Connections to one backend server.
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
    used_at: Instant,
    reused: bool,
}

/// Connection task; the socket closes when it is dropped.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connection in use by one request.
#[derive(Debug)]
pub struct Lease {
    connection: Connection,
    idle: Idle,
}

impl Lease {
    /// Keeps the connection for a later request.
    pub fn release(self) {
        let mut connection = self.connection;
        connection.used_at = Instant::now();
        connection.reused = true;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }
}

impl Pool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, idle: Idle::default() }
    }

    pub(super) async fn send(&self, address: SocketAddr, call: &Call) -> Result<Answer, Failure> {
        if call.idempotent
            && let Some(connection) = self.kept().await
        {
            match self.exchange(connection, address, call).await {
                // Proved unsent on a connection that the server was closing.
                Err(failure) if failure.kind == Kind::Broken && failure.verdict.may_retry() => {}
                result => return result,
            }
        }
        let connection = connect(self.address, call.connect_limit()).await?;
        self.exchange(connection, address, call).await
    }

    /// Most recently used connection that is still open and ready.
    async fn kept(&self) -> Option<Connection> {
        loop {
            let mut connection = {
                let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                idle.pop()?
            };
            if connection.used_at.elapsed() > IDLE_LIFE {
                // Older ones lie below.
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
    ) -> Result<Answer, Failure> {
        let request = call.request(address, false)?;
        let before = connection.written.get();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Answer {
                    head,
                    body,
                    lease: Some(Lease { connection, idle: self.idle.clone() }),
                })
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let message = chain(error.error());
                let reused = connection.reused;
                let written = connection.close().await;
                let mut failure = if unsent || written == before {
                    Failure::unsent(Kind::Broken, message)
                } else {
                    Failure::sent(Kind::Broken, message)
                };
                failure.stale_connection = reused;
                Err(failure)
            }
        }
    }
}

impl Connection {
    /// Closes the socket and returns the bytes written in all; none follow later.
    async fn close(mut self) -> u64 {
        self.task.0.abort();
        let _ = (&mut self.task.0).await;
        self.written.get()
    }
}

pub(super) async fn open(address: SocketAddr, limit: Duration) -> Result<TcpStream, Failure> {
    let failed = |message: String| Failure::unsent(Kind::Connect, message);
    let stream = time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| failed("connect timed out".to_owned()))?
        .map_err(|error| failed(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
    Ok(stream)
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, Failure> {
    let (stream, written) = Counted::new(open(address, limit).await?);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Failure::unsent(Kind::Connect, chain(&error)))?;
    let task = Task(tokio::spawn(async move {
        // The request under way sees the error.
        let _ = connection.await;
    }));
    Ok(Connection { sender, written, task, used_at: Instant::now(), reused: false })
}
