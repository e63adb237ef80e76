//! The gateway binary under signals; backend servers and platform services run in the test process.

mod common;

use std::{
    fs,
    net::SocketAddr,
    process::{Child, Command, ExitStatus},
    sync::Arc,
    time::Duration,
};

use common::{Gateway, Platform, Scripted, TEST_TIMEOUT, inventory, readiness, settings, verdict};
use filbertsail_http::{Body, client::Client};
use filbertsail_standin::{engine, server::Location};
use http::{Request, Response};
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

const KEY: &str = "soap-order-9";

/// Gateway in a separate process, killed on drop.
struct Process {
    child: Child,
    callers: SocketAddr,
    admin: SocketAddr,
    _files: TempDir,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if it has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    async fn start(platform: &Platform, name: &str) -> Self {
        let files = TempDir::new().expect("folder");
        let (path, log) = (files.path().join("gateway.toml"), files.path().join("log"));
        let mut text = settings(&files, name, platform);
        text.push_str(&format!("[log]\nlevel = \"info\"\nfile = \"{}\"\n", log.display()));
        fs::write(&path, text).expect("settings file");
        let binary = env!("CARGO_BIN_EXE_filbertsail-gateway");
        let child = Command::new(binary).arg("--settings").arg(&path).spawn().expect("starts");
        let until = Instant::now() + TEST_TIMEOUT;
        let line = loop {
            let text = fs::read_to_string(&log).unwrap_or_default();
            let line = text.lines().find(|line| line.contains("event=listening"));
            if let Some(line) = line.filter(|_| text.ends_with('\n')) {
                break line.to_owned();
            }
            assert!(Instant::now() < until, "the daemon does not log its addresses");
            sleep(Duration::from_millis(10)).await;
        };
        let address = |name: &str| {
            let value = line.split_whitespace().find_map(|pair| pair.strip_prefix(name));
            value.expect("pair").parse().expect("address")
        };
        let (callers, admin) = (address("callers="), address("admin="));
        let process = Self { child, callers, admin, _files: files };
        while readiness(process.admin).await != 200 {
            assert!(Instant::now() < until, "the daemon does not become ready");
            sleep(Duration::from_millis(10)).await;
        }
        process
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("own child");
    }

    async fn wait_exit(&mut self) -> ExitStatus {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("own child") {
                return status;
            }
            assert!(Instant::now() < until, "the daemon does not exit");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn post(
    address: SocketAddr,
    path: &str,
    body: &str,
) -> Result<Response<bytes::Bytes>, filbertsail_http::client::Error> {
    let request = Request::post(format!("http://{address}{path}")).header("idempotency-key", KEY);
    let request = request.body(Body::full(body.to_owned())).expect("request");
    Client::default().send(request, TEST_TIMEOUT * 3).await
}

/// Guards against a graceful shutdown that cuts a stream, stays ready for the load balancer or
/// exits with an error.
#[tokio::test]
async fn can_finish_streams_after_sigterm() {
    let options = engine::Options { typical_tokens: 400, ..engine::Options::new("w0", "svc") };
    let free = "127.0.0.1:0".parse().expect("address");
    let (record, stop) = (engine::record::Record::default(), CancellationToken::new());
    let engine = engine::start(free, options, Location::default(), record, stop).expect("engine");
    let platform = Platform::start();
    platform.configure(&inventory("model", "", &[engine.address])).await;
    let mut process = Process::start(&platform, "gateway-1").await;
    let callers = process.callers;
    let request_body = r#"{"model":"svc","prompt":"p","max_tokens":400,"stream":true}"#;
    let stream = tokio::spawn(async move { post(callers, "/v1/completions", request_body).await });
    sleep(Duration::from_millis(500)).await;
    process.signal(Signal::TERM);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(readiness(process.admin).await, 503);
    // The load balancer may not have noticed yet, so new requests are still served.
    let late_request =
        post(callers, "/v1/completions", r#"{"model":"svc","prompt":"p","max_tokens":2}"#);
    assert_eq!(late_request.await.expect("served during the drain grace").status(), 200);
    process.signal(Signal::TERM);
    let response = stream.await.expect("task").expect("complete stream");
    let text = String::from_utf8(response.body().to_vec()).expect("text");
    assert!(text.ends_with("data: [DONE]\n\n"), "{}", &text[text.len().saturating_sub(300)..]);
    assert_eq!(process.wait_exit().await.code(), Some(0));
}

async fn start_slow_service() -> Scripted {
    Scripted::start(|_, mut conn| async move {
        while let Some(request) = conn.request().await {
            sleep(Duration::from_secs(3)).await;
            conn.respond(&request.id, "ordered").await;
        }
    })
    .await
}

async fn wait_served(server: &Scripted) {
    let until = Instant::now() + TEST_TIMEOUT;
    while server.served() == 0 {
        assert!(Instant::now() < until, "the request does not reach the server");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a second run of a keyed request after the gateway that sent it was killed.
#[tokio::test]
async fn can_run_a_keyed_request_at_most_once_after_sigkill() {
    let server = start_slow_service().await;
    let platform = Arc::new(Platform::start());
    let options = "reports_load = false";
    platform.configure(&inventory("application", options, &[server.address])).await;
    let other = Gateway::join(platform.clone(), "gateway-2").await;
    let process = Process::start(&platform, "gateway-1").await;
    let callers = process.callers;
    let first = tokio::spawn(async move { post(callers, "/s/svc/orders", "soap").await });
    wait_served(&server).await;
    process.signal(Signal::KILL);
    assert!(first.await.expect("task").is_err());
    let repeat = post(other.handle.callers, "/s/svc/orders", "soap").await.expect("response");
    assert_eq!((repeat.status().as_u16(), &*verdict(&repeat)), (502, "may_have_run"));
    assert_eq!(server.served(), 1);
}

/// Guards against a second run of a keyed request while the gateway that sent it is paused, and
/// against different responses after it resumes.
#[tokio::test]
async fn can_run_a_keyed_request_at_most_once_across_sigstop() {
    let server = start_slow_service().await;
    let platform = Arc::new(Platform::start());
    let options = "reports_load = false";
    platform.configure(&inventory("application", options, &[server.address])).await;
    let other = Gateway::join(platform.clone(), "gateway-2").await;
    let process = Process::start(&platform, "gateway-1").await;
    let callers = process.callers;
    let first = tokio::spawn(async move { post(callers, "/s/svc/orders", "soap").await });
    wait_served(&server).await;
    process.signal(Signal::STOP);
    let address = other.handle.callers;
    let repeat = tokio::spawn(async move { post(address, "/s/svc/orders", "soap").await });
    sleep(Duration::from_secs(5)).await;
    assert!(!repeat.is_finished(), "the claim of a paused gateway is given up too early");
    process.signal(Signal::CONT);
    let first = first.await.expect("task").expect("response");
    assert_eq!(first.body(), "ordered");
    let repeat = repeat.await.expect("task").expect("response");
    assert_eq!(repeat.body(), "ordered");
    assert_eq!(server.served(), 1);
}
