//! Test fixtures: gateways, platform services and scripted backend servers on real sockets.
#![allow(dead_code)]

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use filbertsail_api::table::{Transaction, Write};
use filbertsail_cluster::config;
use filbertsail_config::{inventory::Inventory, settings::Settings};
use filbertsail_gateway::daemon::{self, Handle};
use filbertsail_http::{Body, client::Client};
use filbertsail_ports::table::{Table as _, http as http_table};
use filbertsail_standin::{object, server::Location, table, vm};
use http::{Method, Request, Response};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// Timeout of each call and wait in a test, far above the expected time.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Cluster key of all tests.
pub const CLUSTER_KEY: [u8; 32] = [7; 32];
/// Operator's token of all tests.
pub const OPERATOR_TOKEN: &str = "operator-token-of-tests";

/// Backend server that runs a script per connection.
pub struct Scripted {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    pub requests: Arc<AtomicUsize>,
}

impl Scripted {
    /// Starts a server that runs `script` with the index of each connection, from 0.
    pub async fn start<F, R>(script: F) -> Self
    where
        F: Fn(usize, Conn) -> R + Send + Sync + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("address");
        let connections = Arc::new(AtomicUsize::new(0));
        let requests = Arc::new(AtomicUsize::new(0));
        let (counter, served) = (connections.clone(), requests.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = counter.fetch_add(1, Ordering::SeqCst);
                let conn = Conn { stream, buffer: Vec::new(), served: served.clone() };
                tokio::spawn(script(number, conn));
            }
        });
        Self { address, connections, requests }
    }

    pub fn served(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Raw connection of a scripted server.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    served: Arc<AtomicUsize>,
}

/// Request read from a raw connection.
pub struct Received {
    pub head: String,
    pub id: String,
    pub body: Vec<u8>,
}

impl Conn {
    /// Next request; `None` at the end of the connection.
    pub async fn request(&mut self) -> Option<Received> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            if self.stream.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        };
        let head = String::from_utf8(self.buffer.drain(..end).collect()).ok()?;
        let length = header(&head, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if self.stream.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        }
        let body = self.buffer.drain(..length).collect();
        self.served.fetch_add(1, Ordering::SeqCst);
        let id = header(&head, "filbertsail-request-id").unwrap_or_default();
        Some(Received { head, id, body })
    }

    pub async fn write(&mut self, text: &str) {
        // Fails if the gateway has closed the connection.
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// Writes a complete response.
    pub async fn respond(&mut self, id: &str, body: &str) {
        self.write(&encode_response(id, body)).await;
    }
}

/// Complete HTTP/1.1 response.
pub fn encode_response(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nfilbertsail-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_owned())
}

/// Server that responds to every request.
pub async fn start_healthy(text: &'static str) -> Scripted {
    Scripted::start(move |_, mut conn| async move {
        while let Some(request) = conn.request().await {
            conn.respond(&request.id, text).await;
        }
    })
    .await
}

/// Stand-ins for the platform's services.
pub struct Platform {
    pub table: table::Table,
    pub objects: object::Store,
    pub vms: vm::List,
    version: AtomicUsize,
}

fn free_address() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

impl Platform {
    pub fn start() -> Self {
        let stop = CancellationToken::new();
        let location = Location::default;
        let options = table::Options::default();
        let table = table::start(free_address(), options, location(), stop.clone()).expect("table");
        let options = table::Options::default();
        let objects =
            object::start(free_address(), options, location(), stop.clone()).expect("objects");
        let vms =
            vm::start(free_address(), Vec::new(), Duration::ZERO, location(), stop).expect("vms");
        Self { table, objects, vms, version: AtomicUsize::new(0) }
    }

    /// Stores an inventory as the next configuration version.
    pub async fn configure(&self, inventory: &Inventory) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) as u64 + 1;
        let text = toml::to_string(inventory).expect("TOML");
        let digest = filbertsail_config::digest(&text);
        let author = "test".to_owned();
        let head = config::Head { version, digest: digest.clone(), author: author.clone() };
        let row = config::Version { version, digest, author, text };
        let write = |key: String, value| Write { key, value: Some(value) };
        let writes = vec![
            write(config::HEAD.to_owned(), serde_json::to_value(head).expect("JSON")),
            write(config::key(version), serde_json::to_value(row).expect("JSON")),
        ];
        let token = format!("test-{version}");
        let client = http_table::Client::new(self.table.address);
        client.transact(Transaction { token, checks: vec![], writes }).await.expect("commits");
    }
}

/// Running gateway with its temporary files.
pub struct Gateway {
    pub handle: Handle,
    pub stop: CancellationToken,
    pub platform: Arc<Platform>,
    _files: TempDir,
}

/// Settings with key files in `files` and free ports.
pub fn settings(files: &TempDir, name: &str, platform: &Platform) -> String {
    let key = files.path().join("cluster.key");
    let tokens = files.path().join("tokens");
    std::fs::write(&key, hex::encode(CLUSTER_KEY)).expect("key file");
    std::fs::write(&tokens, format!("{OPERATOR_TOKEN} operator ops\n")).expect("tokens file");
    format!(
        r#"
        name = "{name}"
        zone = "perth-a"
        region = "perth"
        [listen]
        callers = "127.0.0.1:0"
        admin = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        [platform]
        table = "{}"
        objects = "{}"
        vms = "{}"
        weights = "127.0.0.1:1"
        [security]
        cluster_key_file = "{}"
        tokens_file = "{}"
        "#,
        platform.table.address,
        platform.objects.address,
        platform.vms.address,
        key.display(),
        tokens.display()
    )
}

/// Inventory with one zone and one service with `options` and `workers`.
pub fn inventory(kind: &str, options: &str, workers: &[SocketAddr]) -> Inventory {
    let mut text = format!(
        r#"
        [deployment]
        name = "test"
        staleness_weight = 1.0
        idle_weight = 1.0
        [[zone]]
        name = "perth-a"
        region = "perth"
        [[service]]
        name = "svc"
        kind = "{kind}"
        {options}
        "#
    );
    for (index, address) in workers.iter().enumerate() {
        let worker = format!(
            "[[worker]]\nname = \"w{index}\"\nservice = \"svc\"\nzone = \"perth-a\"\n\
             address = \"{address}\"\n"
        );
        text.push_str(&worker);
    }
    Inventory::parse(&text).expect("inventory")
}

impl Gateway {
    pub async fn start(inventory: Inventory) -> Self {
        let platform = Arc::new(Platform::start());
        platform.configure(&inventory).await;
        Self::join(platform, "gateway-1").await
    }

    /// Starts a gateway in the fleet of `platform` and waits until it is ready.
    pub async fn join(platform: Arc<Platform>, name: &str) -> Self {
        let files = TempDir::new().expect("folder");
        let stop = CancellationToken::new();
        let settings = Settings::parse(&settings(&files, name, &platform)).expect("settings");
        let handle = daemon::start(settings, stop.clone()).await.expect("starts");
        let gateway = Self { handle, stop, platform, _files: files };
        gateway.wait_ready().await;
        gateway
    }

    async fn wait_ready(&self) {
        let until = tokio::time::Instant::now() + TEST_TIMEOUT;
        while self.readiness().await != 200 {
            assert!(tokio::time::Instant::now() < until, "the gateway does not become ready");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn readiness(&self) -> u16 {
        readiness(self.handle.admin).await
    }

    /// Calls the administration API with the operator's token.
    pub async fn admin(&self, method: Method, path: &str, body: &str) -> Response<Bytes> {
        let uri = format!("http://{}{path}", self.handle.admin);
        let request = Request::builder().method(method).uri(uri);
        let request = request.header("authorization", format!("Bearer {OPERATOR_TOKEN}"));
        let request = request.body(Body::full(body.to_owned())).expect("request");
        Client::default().send(request, TEST_TIMEOUT).await.expect("complete response")
    }

    /// Starts a gateway for an application service that reports no load.
    pub async fn start_application(workers: &[SocketAddr]) -> Self {
        Self::start(inventory("application", "reports_load = false", workers)).await
    }

    pub async fn call(&self, method: Method, path: &str, body: &str) -> Response<Bytes> {
        self.call_with(method, path, body, &[]).await
    }

    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Response<Bytes> {
        let uri = format!("http://{}{path}", self.handle.callers);
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Body::full(body.to_owned())).expect("request");
        Client::default().send(request, TEST_TIMEOUT).await.expect("complete response")
    }
}

/// Status code of `/readyz`, 0 if the gateway is unreachable.
pub async fn readiness(admin: SocketAddr) -> u16 {
    let request = Request::get(format!("http://{admin}/readyz")).body(Body::empty());
    let response = Client::default().send(request.expect("request"), TEST_TIMEOUT).await;
    response.map_or(0, |response| response.status().as_u16())
}

/// Verdict of an error response; header and body must agree.
pub fn verdict(response: &Response<Bytes>) -> String {
    let header = response.headers().get("filbertsail-verdict").expect("verdict header");
    let header = header.to_str().expect("text").to_owned();
    let body: serde_json::Value = serde_json::from_slice(response.body()).expect("JSON body");
    assert_eq!(body["error"]["verdict"], header.as_str(), "{body}");
    header
}
