//! Implementation of the administration API: status, configuration, drain and explain.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use filbertsail_admin::{Fleet as Port, Health, Measurement, Rejection, View};
use filbertsail_api::{
    self as api,
    admin::{Answer, Applied, Apply, Daemon, Drain, Drained, Head, Holder, Question, Role, Status},
    table::Scan,
};
use filbertsail_cluster::{config::apply::Error as NotApplied, member::State};
use filbertsail_ports::table::{Error, Table as _};
use filbertsail_wire::frame;
use serde_json::Value;

use crate::{
    drain_marks,
    ports::{Agent, Table},
    readiness::Readiness,
    router::Router,
};

/// Prefix of the lease rows' keys.
const LEASE_PREFIX: &str = "lease/";
/// Largest number of leases in a status.
const MAX_LEASES: u32 = 1_000;

/// State of the fleet as known to this gateway, cheap to clone.
#[derive(Clone)]
pub struct Fleet {
    /// Gateway name.
    pub name: Arc<str>,
    pub incarnation: u64,
    pub router: Router,
    pub agent: Agent,
    pub table: Table,
    pub readiness: Readiness,
    /// Number of drain commands so far, for unique transaction tokens.
    pub drain_commands: Arc<AtomicU64>,
}

impl Health for Fleet {
    fn unready_reason(&self) -> Option<String> {
        self.readiness.unready_reason().map(str::to_owned)
    }

    fn measurements(&self) -> Vec<Measurement> {
        let known_daemons = self.agent.members().borrow().len();
        View { known_daemons, table_reachable: self.agent.table_reachable() }.measurements()
    }
}

impl Port for Fleet {
    async fn head(&self) -> Option<Head> {
        let config = self.agent.config().borrow().clone()?;
        Some(Head {
            digest: config.digest.clone(),
            text: config.text.to_string(),
            version: config.version,
        })
    }

    async fn status(&self) -> Status {
        let config = self.agent.config().borrow().clone();
        let members = self.agent.members().borrow().clone();
        Status {
            backends: self.router.backends().await,
            config_version: config.map_or(0, |config| config.version),
            daemons: members.iter().map(to_daemon).collect(),
            gateway: self.name.to_string(),
            leases: self.leases().await,
            ready: self.readiness.unready_reason().is_none(),
            table_reachable: self.agent.table_reachable(),
        }
    }

    async fn apply(&self, apply: Apply) -> Result<Applied, Rejection> {
        self.agent.apply(apply).await.map_err(|error| match error {
            NotApplied::Lost(lost) => Rejection::Lost(lost),
            error @ NotApplied::Unknown { .. } => Rejection::Unknown(error.to_string()),
            error => Rejection::Unavailable(error.to_string()),
        })
    }

    async fn drain(&self, drain: Drain) -> Result<Drained, Rejection> {
        let backends = self.router.backends().await;
        let worker = backends.iter().find(|backend| backend.name == drain.name);
        let known = worker.is_some() || self.is_known(&drain.name);
        if !known {
            return Err(Rejection::NotFound(format!("no worker or daemon {}", drain.name)));
        }
        let number = self.drain_commands.fetch_add(1, Ordering::Relaxed);
        let token = format!("{}-{:x}-drain-{number:x}", self.name, self.incarnation);
        drain_marks::set(&self.table, &drain.name, drain.draining, token)
            .await
            .map_err(to_rejection)?;
        Ok(Drained {
            draining: drain.draining,
            in_flight: worker.map_or(0, |backend| backend.in_flight),
            name: drain.name,
        })
    }

    async fn explain(&self, question: Question) -> Result<Answer, Rejection> {
        let unknown_service = || Rejection::NotFound(format!("no service {}", question.service));
        self.router.explain(question.clone()).await.ok_or_else(unknown_service)
    }
}

impl Fleet {
    /// Whether a worker or daemon is known; includes workers outside this gateway's subset.
    fn is_known(&self, name: &str) -> bool {
        let config = self.agent.config().borrow().clone();
        let in_config = config.is_some_and(|config| {
            config.inventory.workers.iter().any(|worker| worker.name == name)
        });
        in_config || self.agent.members().borrow().iter().any(|member| member.name == name)
    }

    async fn leases(&self) -> Vec<Holder> {
        let scan = Scan { prefix: LEASE_PREFIX.to_owned(), after: None, limit: MAX_LEASES };
        let Ok(page) = self.table.scan(scan).await else { return Vec::new() };
        let holder = |row: &api::table::Row| {
            Some(Holder {
                epoch: row.value.get("epoch").and_then(Value::as_u64)?,
                holder: row.value.get("holder").and_then(Value::as_str)?.to_owned(),
                scope: row.key.strip_prefix(LEASE_PREFIX)?.to_owned(),
            })
        };
        page.rows.iter().filter_map(holder).collect()
    }
}

fn to_rejection(error: Error) -> Rejection {
    match error {
        Error::Unknown(reason) => Rejection::Unknown(reason),
        error => Rejection::Unavailable(error.to_string()),
    }
}

fn to_daemon(member: &State) -> Daemon {
    Daemon {
        config_version: member.config_version,
        draining: member.draining,
        incarnation: member.incarnation,
        live: member.live,
        name: member.name.clone(),
        role: match member.role {
            frame::Role::Gateway => Role::Gateway,
            frame::Role::Controller => Role::Controller,
        },
        zone: member.zone.clone(),
    }
}
