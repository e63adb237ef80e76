//! Platform, gateways and controllers in one process.

#![allow(dead_code)]

pub mod engine;
pub mod store;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use filbertsail_api::{table::Transaction, trainer::Round};
use filbertsail_clock::{Boot, Source};
use filbertsail_cluster::lease::Grant;
use filbertsail_controller::{
    config,
    gateways::{Gateway, Links},
    metrics::Metrics,
    peers::Trainers,
    trainer::{COMMAND_QUEUE, Context, run},
};
use filbertsail_http::{
    Body,
    client::Client as Http,
    server::{Handler as Serve, Limits, serve as serve_http},
    token,
};
use filbertsail_ports::{
    fake,
    rate::{Limiter, Quota},
    table::{Table as _, resolve},
};
use filbertsail_rollout::{policy::Policy, scheduler::Share};
use filbertsail_rounds::{
    client::{Client as Trainer, State},
    handler::Handler,
    holder::{self, Directory},
    row,
};
use filbertsail_telemetry::metrics::Registry;
use filbertsail_wire::{
    Frame,
    frame::{Fetch, Hello},
    link::{
        auth::Key,
        client::Client,
        server::{Handler as Answer, Sender, serve},
    },
};
use http::{Request, Response};
use hyper::body::Incoming;
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use tokio_util::sync::CancellationToken;

pub use engine::Engine;
pub use store::Objects;

/// Name of the trainer in all tests.
pub const TRAINER: &str = "lather";
/// Lifetime of a granted lease.
const LEASE_TERM: Duration = Duration::from_secs(600);
const TOKEN: &str = "0123456789abcdef";

pub fn key() -> Key {
    Key::new(vec![3; 32])
}

pub fn hello(name: &str) -> Hello {
    Hello {
        protocol: 1,
        name: name.to_owned(),
        incarnation: 1,
        zone: "lahti-c".to_owned(),
        address: "127.0.0.1:1".parse().expect("address"),
        sent_at_ms: 0,
        nonce: [0; 16],
    }
}

pub fn metrics() -> Metrics {
    Metrics::new(&Registry::new("test").expect("registry"))
}

/// Peer addresses of the controllers, by name.
#[derive(Clone, Default)]
pub struct Addresses(Arc<Mutex<Vec<(String, SocketAddr)>>>);

impl Directory for Addresses {
    fn address(&self, name: &str) -> Option<SocketAddr> {
        let addresses = self.0.lock().expect("lock");
        addresses.iter().find(|(known, _)| known == name).map(|(_, address)| *address)
    }
}

/// Deployment without membership and lease agents; the test grants the leases.
#[derive(Clone)]
pub struct Deployment {
    pub table: fake::Table,
    pub store: Objects,
    pub engine: Engine,
    pub addresses: Addresses,
    pub engine_address: SocketAddr,
    pub stop: CancellationToken,
}

/// Controller that runs the trainer task.
pub struct Controller {
    pub name: String,
    pub grants: watch::Sender<Option<Grant>>,
    pub stop: CancellationToken,
}

impl Deployment {
    pub async fn start() -> Self {
        let stop = CancellationToken::new();
        let engine = Engine::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let engine_address = listener.local_addr().expect("address");
        tokio::spawn(serve(listener, key(), engine.clone(), stop.clone()));
        let (table, store, addresses) = Default::default();
        Self { table, store, engine, addresses, engine_address, stop }
    }

    fn client(&self) -> resolve::Client<fake::Table> {
        let quota = Quota { reads_per_s: 1e6, writes_per_s: 1e6 };
        resolve::Client::new(self.table.clone(), Limiter::new(quota))
    }

    /// Starts a controller without a lease.
    pub async fn controller(&self, name: &str, policy: Policy) -> Controller {
        self.controller_with_clock(name, policy, Boot).await
    }

    /// Starts a controller without a lease that reads the time from `clock`.
    pub async fn controller_with_clock<C: Source>(
        &self,
        name: &str,
        policy: Policy,
        clock: C,
    ) -> Controller {
        let stop = self.stop.child_token();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("address");
        self.addresses.0.lock().expect("lock").push((name.to_owned(), address));
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        let trainers = Trainers::default();
        trainers.insert(TRAINER, commands);
        tokio::spawn(serve(listener, key(), PeerHandler(trainers), stop.clone()));
        let gateway = Gateway { address: self.engine_address, zone: "lahti-c".to_owned() };
        let (_, known) = watch::channel(Arc::from([gateway]));
        let context = Context {
            table: self.client(),
            store: self.store.clone(),
            gateways: Links::new(known, key(), hello(name)),
            clock,
            key: key(),
            http: Http::default(),
            policy,
            metrics: metrics(),
        };
        let (grants, grant_receiver) = watch::channel(None);
        let (_, config) = watch::channel(trainer_config());
        tokio::spawn(run(context, config, grant_receiver, receiver, stop.clone()));
        Controller { name: name.to_owned(), grants, stop }
    }

    /// Starts a gateway that serves the trainer API.
    pub async fn gateway(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("address");
        let tokens = token::Table::parse(&format!("{TOKEN} trainer {TRAINER}")).expect("tokens");
        let peers =
            holder::Client::new(self.client(), self.addresses.clone(), key(), hello("gateway"));
        let handler =
            Handler::new(self.client(), self.store.clone(), peers, Arc::new(tokens), key());
        tokio::spawn(serve_http(
            listener,
            Limits::default(),
            ApiHandler(handler),
            self.stop.clone(),
        ));
        address
    }

    /// Fetches directly from the controller `name`, whoever holds the lease.
    pub async fn fetch_from(&self, name: &str, step: u64, version: u64) -> Frame {
        let address = self.addresses.address(name).expect("known controller");
        let link = Client::new(address, &key(), &hello("gateway")).expect("link");
        let trainer = TRAINER.to_owned();
        let fetch = Fetch { trainer, step, version, wait_ms: 5_000, cursor: None };
        link.call_unary(&fetch.into()).await.expect("answer")
    }

    /// Grants the lease to `controller` with fencing token `epoch`.
    pub async fn grant(&self, controller: &Controller, epoch: u64) {
        let value = json!({"holder": controller.name, "epoch": epoch});
        let writes = vec![row::write(row::lease_key(TRAINER), &value)];
        let transaction = Transaction { checks: Vec::new(), token: format!("t{epoch}"), writes };
        self.table.transact(transaction).await.expect("lease row");
        let deadline = Boot.now().after(LEASE_TERM);
        controller.grants.send_replace(Some(Grant {
            epoch,
            deadline,
            orders_allowed_from: Boot.now(),
        }));
    }
}

#[derive(Clone)]
struct PeerHandler(Trainers);

impl Answer for PeerHandler {
    async fn handle(&self, _caller: Hello, request: Frame, mut replies: Sender) {
        if let Ok(reply) = self.0.answer(request).await {
            // Fails if the caller no longer waits.
            let _ = replies.send(reply).await;
        }
    }
}

#[derive(Clone)]
struct ApiHandler(
    Handler<
        resolve::Client<fake::Table>,
        Objects,
        holder::Client<resolve::Client<fake::Table>, Addresses>,
    >,
);

impl Serve for ApiHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        self.0.handle(request).await
    }
}

pub fn trainer_config() -> config::Trainer {
    config::Trainer {
        name: TRAINER.to_owned(),
        team: "vaahto".to_owned(),
        service: "kettle-models".to_owned(),
        priority: 0,
        timeout: Duration::from_secs(10),
        shares: vec![Share { weight: 1.0, is_requester: true }],
        idle_share: 0.5,
    }
}

/// Client of the trainer that continues from `state`.
pub fn trainer(state: State) -> Trainer {
    Trainer::new(Http::default(), TRAINER, TOKEN, state)
}

pub fn round(step: u64) -> Round {
    Round {
        trainer: TRAINER.to_owned(),
        step,
        prompts: (0..4).map(|index| format!("prompt {index}")).collect(),
        group_size: 4,
        max_tokens: 8,
        staleness_bound: 2,
        deadline_ms: 1_000,
        scorer: None,
    }
}
