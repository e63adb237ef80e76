//! Adapters and services of other crates with the type parameters that a gateway uses.

use std::net::SocketAddr;

use filbertsail_claims as claims;
use filbertsail_clock::Boot;
use filbertsail_cluster::agent;
use filbertsail_ports::{object, table};
use filbertsail_rounds as rounds;
use filbertsail_wire::frame::Role;

/// Client of the table service.
pub type Table = table::resolve::Client<table::http::Client>;
/// Client of the object store.
pub type Objects = object::http::Client;
/// Cluster agent of the gateway.
pub type Agent = agent::Handle<Table>;
/// Claims on idempotency keys.
pub type Claims = claims::Claims<Table, Objects, Members, Boot>;
/// Claim held by a running request.
pub type Ticket = claims::Ticket<Table, Objects, Members, Boot>;
/// Handler of the trainer API.
pub type Rounds = rounds::handler::Handler<Table, Objects, rounds::holder::Client<Table, Members>>;

/// Live daemons in the agent's membership view.
#[derive(Clone)]
pub struct Members(pub Agent);

impl claims::Members for Members {
    fn is_live(&self, name: &str, incarnation: u64) -> bool {
        self.0.members().borrow().iter().any(|member| {
            member.role == Role::Gateway
                && member.live
                && member.name == name
                && member.incarnation == incarnation
        })
    }
}

impl rounds::holder::Directory for Members {
    fn address(&self, name: &str) -> Option<SocketAddr> {
        let members = self.0.members();
        let members = members.borrow();
        members.iter().find(|member| member.live && member.name == name).map(|it| it.address)
    }
}
