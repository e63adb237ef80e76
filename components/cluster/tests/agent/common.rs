//! Test fleet of agents in one process.

use std::{net::SocketAddr, time::Duration};

use filbertsail_cluster::agent::{self, Handle, Identity, Settings};
use filbertsail_ports::fake::Table;
use filbertsail_wire::{
    Frame,
    frame::{Hello, Role},
    link::{
        auth::Key,
        server::{Handler, Sender, serve},
    },
};
use tokio::{net::TcpListener, time::timeout};
use tokio_util::sync::CancellationToken;

/// Minimal inventory without workers.
pub const INVENTORY: &str = r#"
worker = []

[deployment]
name = "perth"
staleness_weight = 2.0
idle_weight = 1.0

[[zone]]
name = "perth-a"
region = "perth"

[[service]]
name = "advisor-lm"
kind = "model"
"#;

#[derive(Clone)]
struct Peers(Handle<Table>);

impl Handler for Peers {
    async fn handle(&self, _caller: Hello, request: Frame, mut replies: Sender) {
        let reply = self.0.answer(request).await;
        // Fails if the caller no longer waits.
        let _ = replies.send(reply).await;
    }
}

/// Agents that share one in-memory table.
pub struct Fleet {
    pub table: Table,
    pub agents: Vec<Handle<Table>>,
    stops: Vec<CancellationToken>,
    servers: Vec<CancellationToken>,
    seeds: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts `count` agents in three zones.
    pub async fn start(count: usize) -> Self {
        let mut fleet = Self {
            table: Table::default(),
            agents: Vec::new(),
            stops: Vec::new(),
            servers: Vec::new(),
            seeds: Vec::new(),
        };
        for _ in 0..count {
            fleet.add().await;
        }
        fleet
    }

    /// Starts one more agent, with the first one as its seed.
    pub async fn add(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("address");
        if self.seeds.is_empty() {
            self.seeds.push(address);
        }
        let (stop, server) = (CancellationToken::new(), CancellationToken::new());
        let identity = identity(self.agents.len(), address);
        let key = identity.key.clone();
        let settings = Settings { seeds: self.seeds.clone(), ..Settings::default() };
        let agent = agent::start(identity, settings, self.table.clone(), stop.clone());
        let server_stop = server.clone();
        let peers = Peers(agent.clone());
        tokio::spawn(async move {
            // Dropping the server closes its listener, which makes the agent unreachable.
            tokio::select! {
                () = serve(listener, key, peers, CancellationToken::new()) => {}
                () = server_stop.cancelled() => {}
            }
        });
        self.agents.push(agent);
        self.stops.push(stop);
        self.servers.push(server);
    }

    /// Stops the peer server of one agent, so that the others no longer reach it.
    pub fn make_unreachable(&self, index: usize) {
        self.servers[index].cancel();
    }

    /// Waits until all agents are live in the view of every agent.
    pub async fn wait_until_converged(&self) {
        let count = self.agents.len();
        for agent in &self.agents {
            let mut members = agent.members();
            let all = members
                .wait_for(|members| members.iter().filter(|member| member.live).count() == count);
            timeout(Duration::from_secs(30), all).await.expect("views converge").expect("runs");
        }
    }

    /// Performs a graceful shutdown of one agent.
    pub async fn stop(&mut self, index: usize) {
        self.stops[index].cancel();
        self.agents[index].join().await;
    }
}

/// Identity of the agent number `index`.
#[must_use]
pub fn identity(index: usize, address: SocketAddr) -> Identity {
    Identity {
        name: format!("gateway-{index}"),
        role: Role::Gateway,
        zone: ["perth-a", "perth-b", "perth-c"][index % 3].to_owned(),
        address,
        incarnation: 1,
        key: Key::new(vec![7; 32]),
    }
}
