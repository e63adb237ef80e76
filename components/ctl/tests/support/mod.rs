//! Admin port server with a fake fleet.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use filbertsail_admin::{Fleet, Handler, Health, Rejection};
use filbertsail_api::admin::{
    Answer, Applied, Apply, Backend, Candidate, Daemon, Drain, Drained, Head, Holder, Lost,
    Question, Role, Status,
};
use filbertsail_config::digest;
use filbertsail_http::{
    server::{Limits, serve},
    token::Table,
};
use filbertsail_telemetry::metrics::Registry;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Tokens that the fake server accepts.
pub const TOKENS: &str = "operator-token-0001 operator ops\nreader-token-000001 reader r\n";

/// Fault that the fake simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// No fault.
    #[default]
    Normal,
    /// Another operator applies a change between this operator's read and write.
    Race,
    /// The table service does not respond to a write.
    Silent,
    /// Fewer than half of the known daemons are live.
    Minority,
    /// One daemon does not confirm the change.
    Unconfirmed,
}

/// Fleet with one configuration and one worker.
#[derive(Clone, Default)]
pub struct Fake {
    mode: Mode,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    version: u64,
    text: String,
    author: String,
    draining: bool,
}

impl Health for Fake {
    fn unready_reason(&self) -> Option<String> {
        None
    }
}

impl Fleet for Fake {
    async fn head(&self) -> Option<Head> {
        let mut state = self.state.lock().expect("lock");
        let head =
            Head { version: state.version, digest: digest(&state.text), text: state.text.clone() };
        if self.mode == Mode::Race {
            state.version += 1;
            "rival".clone_into(&mut state.author);
        }
        (head.version > 0).then_some(head)
    }

    async fn status(&self) -> Status {
        let state = self.state.lock().expect("lock");
        Status {
            gateway: "gateway-1".to_owned(),
            ready: true,
            config_version: state.version,
            table_reachable: true,
            daemons: vec![Daemon {
                name: "gateway-1".to_owned(),
                role: Role::Gateway,
                zone: "perth-a".to_owned(),
                incarnation: 3,
                live: true,
                draining: false,
                config_version: state.version,
            }],
            backends: vec![Backend {
                name: "advisor-1".to_owned(),
                service: "advisor-lm".to_owned(),
                zone: "perth-a".to_owned(),
                live: true,
                leaving: state.draining,
                circuit: "closed".to_owned(),
                in_flight: 2,
                limit: 16,
                weight_version: None,
            }],
            leases: vec![Holder {
                scope: "trainer/agronomy".to_owned(),
                holder: "controller-1".to_owned(),
                epoch: 4,
            }],
        }
    }

    async fn apply(&self, apply: Apply) -> Result<Applied, Rejection> {
        match self.mode {
            Mode::Silent => return Err(Rejection::Unknown("the table did not answer".to_owned())),
            Mode::Minority => {
                return Err(Rejection::Unavailable("1 of 3 known daemons are live".to_owned()));
            }
            Mode::Normal | Mode::Race | Mode::Unconfirmed => {}
        }
        let mut state = self.state.lock().expect("lock");
        if apply.expect_version.is_some_and(|expected| expected != state.version) {
            let (version, author) = (state.version, state.author.clone());
            return Err(Rejection::Lost(Lost { version, author, digest: digest(&state.text) }));
        }
        state.version += 1;
        state.text = apply.text;
        state.author = apply.author;
        let late = self.mode == Mode::Unconfirmed;
        let unconfirmed = if late { vec!["controller-1".to_owned()] } else { Vec::new() };
        let (version, digest) = (state.version, digest(&state.text));
        Ok(Applied { version, digest, live: 2, confirmed: 2 - u32::from(late), unconfirmed })
    }

    async fn drain(&self, drain: Drain) -> Result<Drained, Rejection> {
        if drain.name != "advisor-1" {
            return Err(Rejection::NotFound(format!("no worker or daemon {}", drain.name)));
        }
        self.state.lock().expect("lock").draining = drain.draining;
        Ok(Drained { name: drain.name, draining: drain.draining, in_flight: 2 })
    }

    async fn explain(&self, _question: Question) -> Result<Answer, Rejection> {
        let candidate = |name: &str, eligible, reason: &str, wait| Candidate {
            name: name.to_owned(),
            zone: "perth-a".to_owned(),
            eligible,
            reason: reason.to_owned(),
            expected_wait_ms: wait,
        };
        Ok(Answer {
            chosen: Some("advisor-1".to_owned()),
            reason: "least expected wait".to_owned(),
            candidates: vec![
                candidate("advisor-1", true, "eligible", Some(12.5)),
                candidate("advisor-2", false, "leaving", None),
            ],
        })
    }
}

/// Serves a new fake on a free port.
pub async fn start(mode: Mode) -> (Fake, SocketAddr) {
    let fake = Fake { mode, state: Arc::default() };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let tokens = Arc::new(Table::parse(TOKENS).expect("tokens"));
    let handler = Handler::new(fake.clone(), tokens, Registry::new("fake").expect("registry"));
    tokio::spawn(serve(listener, Limits::default(), handler, CancellationToken::new()));
    (fake, address)
}
