//! Benchmark: latency and throughput through a gateway relative to direct connections.
//!
//! `cargo run --release -p filbertsail-gateway --example latency -- --seconds 3`
//!
//! Backend servers, the gateway and the platform's stand-ins run in this process. Each client uses
//! one keep-alive connection over loopback. Direct and gateway phases alternate.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use eyre::{WrapErr, ensure};
use filbertsail_api::table::{Transaction, Write};
use filbertsail_cluster::config;
use filbertsail_config::settings::Settings;
use filbertsail_gateway::daemon;
use filbertsail_http::{
    Body,
    server::{Handler, Limits, serve},
};
use filbertsail_ports::table::{Table as _, http as http_table};
use filbertsail_standin::{object, server::Location, table, vm};
use hdrhistogram::Histogram;
use http::{Request, Response, header};
use http_body_util::BodyExt;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

const WORKER_COUNT: usize = 4;
const ROUND_COUNT: usize = 3;

/// Added latency and throughput of a gateway as ratios to a direct client.
#[derive(FromArgs)]
struct Cli {
    /// length of each phase in seconds
    #[argh(option, default = "2.0")]
    seconds: f64,
    /// connections in the throughput phases
    #[argh(option, default = "64")]
    connections: usize,
    /// write a log line per routing decision to the log file
    #[argh(switch)]
    log: bool,
}

#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let id = request.headers().get("filbertsail-request-id").cloned();
        let mut response = Response::new(Body::full("0123456789abcdef"));
        if let Some(id) = id {
            response.headers_mut().insert("filbertsail-request-id", id);
        }
        response
    }
}

async fn start_backend() -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(listener, Limits::default(), Echo, CancellationToken::new()));
    Ok(address)
}

async fn start_gateway(
    files: &std::path::Path,
    workers: &[SocketAddr],
) -> eyre::Result<daemon::Handle> {
    let (free_address, stop) = ("127.0.0.1:0".parse()?, CancellationToken::new());
    let table =
        table::start(free_address, table::Options::default(), Location::default(), stop.clone())?;
    let objects =
        object::start(free_address, table::Options::default(), Location::default(), stop.clone())?;
    let vms =
        vm::start(free_address, Vec::new(), Duration::ZERO, Location::default(), stop.clone())?;
    let mut text = "[deployment]\nname = \"d\"\nstaleness_weight = 1.0\nidle_weight = 1.0\n\
        [[zone]]\nname = \"a\"\nregion = \"r\"\n[[service]]\nname = \"svc\"\n\
        kind = \"application\"\nreports_load = false\nmax_concurrency = 256\n"
        .to_owned();
    for (index, address) in workers.iter().enumerate() {
        text.push_str(&format!(
            "[[worker]]\nname = \"w{index}\"\nservice = \"svc\"\nzone = \"a\"\n\
             address = \"{address}\"\n"
        ));
    }
    configure(table.address, text).await?;
    let (key, tokens) = (files.join("key"), files.join("tokens"));
    std::fs::write(&key, "07".repeat(32))?;
    std::fs::write(&tokens, "")?;
    let settings = format!(
        "name = \"g\"\nzone = \"a\"\nregion = \"r\"\n[listen]\ncallers = \"{free_address}\"\n\
         admin = \"{free_address}\"\npeers = \"{free_address}\"\n[platform]\ntable = \"{}\"\n\
         objects = \"{}\"\nvms = \"{}\"\nweights = \"{free_address}\"\n[security]\n\
         cluster_key_file = \"{}\"\ntokens_file = \"{}\"\n",
        table.address,
        objects.address,
        vms.address,
        key.display(),
        tokens.display()
    );
    daemon::start(Settings::parse(&settings)?, stop).await
}

async fn configure(table: SocketAddr, text: String) -> eyre::Result<()> {
    let (version, digest) = (1, filbertsail_config::digest(&text));
    let author = "bench".to_owned();
    let head = config::Head { version, digest: digest.clone(), author: author.clone() };
    let row = config::Version { version, digest, author, text };
    let writes = vec![
        Write { key: config::HEAD.to_owned(), value: Some(serde_json::to_value(head)?) },
        Write { key: config::key(version), value: Some(serde_json::to_value(row)?) },
    ];
    let transaction = Transaction { token: "bench".to_owned(), checks: vec![], writes };
    http_table::Client::new(table).transact(transaction).await.wrap_err("configuring")?;
    Ok(())
}

/// Sends requests in sequence on one connection until `stop` is set; returns their latencies in
/// nanoseconds.
async fn run_client(
    address: SocketAddr,
    path: &'static str,
    stop: Arc<AtomicBool>,
) -> eyre::Result<Histogram<u64>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut latencies = Histogram::new_with_bounds(1, 60_000_000_000, 3)?;
    while !stop.load(Ordering::Relaxed) {
        let request = Request::get(path).header(header::HOST, "bench").body(Body::empty())?;
        let started = Instant::now();
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        ensure!(response.status().is_success(), "status {}", response.status());
        response.into_body().collect().await?;
        latencies.record(u64::try_from(started.elapsed().as_nanos())?)?;
    }
    Ok(latencies)
}

/// Runs `connections` clients for `phase_length`; returns all latencies and the requests per
/// second.
async fn run_phase(
    address: SocketAddr,
    path: &'static str,
    connections: usize,
    phase_length: Duration,
) -> eyre::Result<(Histogram<u64>, f64)> {
    let stop = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let clients: Vec<_> =
        (0..connections).map(|_| tokio::spawn(run_client(address, path, stop.clone()))).collect();
    sleep(phase_length).await;
    stop.store(true, Ordering::Relaxed);
    let mut merged = Histogram::new_with_bounds(1, 60_000_000_000, 3)?;
    for client in clients {
        merged.add(client.await??)?;
    }
    let rate = merged.len() as f64 / started.elapsed().as_secs_f64();
    Ok((merged, rate))
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let cli: Cli = argh::from_env();
    let files = tempfile::TempDir::new()?;
    if cli.log {
        filbertsail_telemetry::logs::init("info", Some(&files.path().join("log")))?;
    }
    let mut workers = Vec::new();
    for _ in 0..WORKER_COUNT {
        workers.push(start_backend().await?);
    }
    let handle = start_gateway(files.path(), &workers).await?;
    let phase_length = Duration::from_secs_f64(cli.seconds);
    while run_phase(handle.callers, "/s/svc/x", 1, Duration::from_millis(50)).await.is_err() {
        sleep(Duration::from_millis(50)).await;
    }
    for round in 0..ROUND_COUNT {
        let (direct, _) = run_phase(workers[0], "/x", 1, phase_length).await?;
        let (via_gateway, _) = run_phase(handle.callers, "/s/svc/x", 1, phase_length).await?;
        let quantile_us = |it: &Histogram<u64>, at| it.value_at_quantile(at) as f64 / 1_000.0;
        println!(
            "round={round} connections=1 direct_p50_us={:.0} gateway_p50_us={:.0} added_p50_us={:.0} \
             ratio={:.2} gateway_p99_us={:.0}",
            quantile_us(&direct, 0.5),
            quantile_us(&via_gateway, 0.5),
            quantile_us(&via_gateway, 0.5) - quantile_us(&direct, 0.5),
            quantile_us(&via_gateway, 0.5) / quantile_us(&direct, 0.5),
            quantile_us(&via_gateway, 0.99)
        );
        let (_, direct) = run_phase(workers[0], "/x", cli.connections, phase_length).await?;
        let (latencies, via_gateway) =
            run_phase(handle.callers, "/s/svc/x", cli.connections, phase_length).await?;
        println!(
            "round={round} connections={} direct_per_s={direct:.0} gateway_per_s={via_gateway:.0} \
             ratio={:.3} gateway_p50_us={:.0}",
            cli.connections,
            via_gateway / direct,
            quantile_us(&latencies, 0.5)
        );
    }
    Ok(())
}
