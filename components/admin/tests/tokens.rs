//! Access control and metrics of the admin port, over TCP.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use filbertsail_admin::{Fleet, Handler, Health, Measurement, Metered, Rejection, View};
use filbertsail_api::admin::{Answer, Applied, Apply, Drain, Drained, Head, Question, Status};
use filbertsail_http::{
    Body,
    client::Client,
    server::{Limits, serve},
    token::Table,
};
use filbertsail_telemetry::metrics::Registry;
use http::{Request, StatusCode};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const TOKENS: &str = "operator-token-0001 operator ops\nreader-token-000001 reader r\n\
                      trainer-token-00001 trainer t\n";

/// Fleet that counts the changes requested of it.
#[derive(Clone, Default)]
struct Counting {
    changes: Arc<AtomicUsize>,
}

impl Health for Counting {
    fn unready_reason(&self) -> Option<String> {
        Some("draining".to_owned())
    }

    fn measurements(&self) -> Vec<Measurement> {
        View { known_daemons: 3, table_reachable: true }.measurements()
    }
}

impl Fleet for Counting {
    async fn head(&self) -> Option<Head> {
        None
    }

    async fn status(&self) -> Status {
        Status {
            gateway: "gateway-1".to_owned(),
            ready: false,
            config_version: 0,
            table_reachable: true,
            daemons: Vec::new(),
            backends: Vec::new(),
            leases: Vec::new(),
        }
    }

    async fn apply(&self, _apply: Apply) -> Result<Applied, Rejection> {
        self.changes.fetch_add(1, Ordering::SeqCst);
        Err(Rejection::Unavailable("test".to_owned()))
    }

    async fn drain(&self, drain: Drain) -> Result<Drained, Rejection> {
        self.changes.fetch_add(1, Ordering::SeqCst);
        Ok(Drained { name: drain.name, draining: drain.draining, in_flight: 0 })
    }

    async fn explain(&self, question: Question) -> Result<Answer, Rejection> {
        Err(Rejection::NotFound(question.service))
    }
}

async fn start(fleet: Counting) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let tokens = Arc::new(Table::parse(TOKENS).expect("tokens"));
    let registry = Registry::new("gateway-1").expect("registry");
    let handler = Metered::new(Handler::new(fleet, tokens, registry.clone()), "admin", &registry);
    tokio::spawn(serve(listener, Limits::default(), handler, CancellationToken::new()));
    address
}

async fn call(
    address: SocketAddr,
    (method, path, body): (&str, &str, &str),
    token: Option<&str>,
) -> (StatusCode, String) {
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request.body(Body::full(body.to_owned())).expect("request");
    let response = Client::default().send(request, Duration::from_secs(10)).await.expect("answer");
    (response.status(), String::from_utf8_lossy(response.body()).into_owned())
}

const DRAIN: (&str, &str, &str) =
    ("POST", "/admin/v1/drain", r#"{"name":"advisor-1","draining":true}"#);
const APPLY: (&str, &str, &str) = ("PUT", "/admin/v1/config", r#"{"text":"","author":"ops"}"#);

/// Guards against changes by a caller without an operator's token.
#[tokio::test]
async fn can_deny_changes_without_an_operator_token() {
    let fleet = Counting::default();
    let address = start(fleet.clone()).await;
    for command in [DRAIN, APPLY] {
        assert_eq!(call(address, command, None).await.0, StatusCode::UNAUTHORIZED);
        let wrong = call(address, command, Some("operator-token-0002")).await;
        assert_eq!(wrong.0, StatusCode::UNAUTHORIZED);
        for token in ["reader-token-000001", "trainer-token-00001"] {
            let (status, body) = call(address, command, Some(token)).await;
            assert_eq!(status, StatusCode::FORBIDDEN);
            assert!(body.contains(r#""verdict":"not_run""#), "{body}");
        }
    }
    assert_eq!(fleet.changes.load(Ordering::SeqCst), 0);
    assert_eq!(call(address, DRAIN, Some("operator-token-0001")).await.0, StatusCode::OK);
    assert_eq!(fleet.changes.load(Ordering::SeqCst), 1);
}

/// Guards against activating an invalid configuration.
#[tokio::test]
async fn can_reject_an_invalid_configuration() {
    let fleet = Counting::default();
    let address = start(fleet.clone()).await;
    let (status, body) = call(address, APPLY, Some("operator-token-0001")).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{body}");
    assert_eq!(fleet.changes.load(Ordering::SeqCst), 0);
}

/// Guards against health checks that need a token, and metrics or status that need none.
#[tokio::test]
async fn can_answer_probes_without_a_token() {
    let address = start(Counting::default()).await;
    assert_eq!(call(address, ("GET", "/healthz", ""), None).await.0, StatusCode::OK);
    let ready = call(address, ("GET", "/readyz", ""), None).await;
    assert_eq!(ready, (StatusCode::SERVICE_UNAVAILABLE, "draining\n".to_owned()));
    for path in ["/metrics", "/admin/v1/status"] {
        assert_eq!(call(address, ("GET", path, ""), None).await.0, StatusCode::UNAUTHORIZED);
        let reader = call(address, ("GET", path, ""), Some("reader-token-000001")).await;
        assert_eq!(reader.0, StatusCode::OK);
        let trainer = call(address, ("GET", path, ""), Some("trainer-token-00001")).await;
        assert_eq!(trainer.0, StatusCode::FORBIDDEN);
    }
}

/// Guards against metrics that miss requests, count finished ones as in flight, or use an unknown
/// method as a label.
#[tokio::test]
async fn can_count_requests() {
    let address = start(Counting::default()).await;
    call(address, ("GET", "/healthz", ""), None).await;
    call(address, ("BREW", "/admin/v1/drain", ""), None).await;
    let (_, text) = call(address, ("GET", "/metrics", ""), Some("reader-token-000001")).await;
    for line in [
        "filbertsail_ready 0",
        "filbertsail_members_known 3",
        "filbertsail_table_reachable 1",
        "filbertsail_requests_total{method=\"GET\",port=\"admin\",status=\"200\"} 1",
        "filbertsail_requests_total{method=\"other\",port=\"admin\",status=\"401\"} 1",
        "filbertsail_requests_in_flight{port=\"admin\"} 1",
        "filbertsail_request_duration_seconds_count{port=\"admin\"} 2",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in\n{text}");
    }
}
