//! Task of one trainer: works off its rounds and delivers its batches while the lease is held.

mod attempt;
mod deliver;
mod load;
mod offer;
mod ops;
mod schedule;
mod score;
mod store;
mod term;
mod work;

use filbertsail_clock::Source;
use filbertsail_cluster::lease::Grant;
use filbertsail_http::client::Client as Http;
use filbertsail_ports::{object::Store, table::Table};
use filbertsail_rollout::policy::Policy;
use filbertsail_telemetry::event::Line;
use filbertsail_wire::{
    Frame,
    frame::{Fetch, Offer, Workers},
    link::auth::Key,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::{gateways::Gateways, metrics::Metrics, plan::Plan, refusal::not_holder};
use term::{Carried, Term};

/// Commands that wait for the task.
pub const COMMAND_QUEUE: usize = 256;

/// What the task works with.
#[derive(Clone)]
pub struct Ports<T, S, G, C> {
    /// Table service.
    pub table: T,
    /// Object store.
    pub store: S,
    /// Gateways.
    pub gateways: G,
    /// Clock of the lease deadlines.
    pub clock: C,
    /// Cluster key, which authenticates cursors.
    pub key: Key,
    /// Client for scorers.
    pub http: Http,
    /// How rounds are worked off.
    pub policy: Policy,
    /// Metrics.
    pub metrics: Metrics,
}

/// Message to the task.
#[derive(Debug)]
pub enum Command {
    /// A trainer wants a batch.
    Fetch {
        /// The fetch.
        fetch: Fetch,
        /// Takes the answer.
        reply: oneshot::Sender<Frame>,
    },
    /// A gateway has a round that the table did not take.
    Offer {
        /// The round.
        offer: Offer,
        /// Takes the answer.
        reply: oneshot::Sender<Frame>,
    },
    /// The round of this step was posted or closed.
    Notice(u64),
}

/// Result of background work.
enum Event {
    Attempt(attempt::Outcome),
    Scored(score::Outcome),
    Put(store::Outcome),
    Table(ops::Outcome),
    Loaded(load::Outcome),
    Surveyed(Option<Workers>),
    /// The row of an offered round exists.
    Entered(u64),
}

/// Runs the task until `stop`.
pub async fn run<T: Table, S: Store, G: Gateways, C: Source>(
    ports: Ports<T, S, G, C>,
    plan: watch::Receiver<Plan>,
    mut holding: watch::Receiver<Option<Grant>>,
    mut commands: mpsc::Receiver<Command>,
    stop: CancellationToken,
) {
    let mut carried = Carried::default();
    // A term that ended is over, even while the agent has not noticed the loss yet.
    let mut ended = 0;
    loop {
        let held = holding.borrow_and_update().filter(|held| held.epoch > ended);
        if let Some(held) = held {
            let trainer = plan.borrow().trainer.clone();
            event("term_started", &trainer, held.epoch);
            let term = Term::new(ports.clone(), plan.clone(), held, std::mem::take(&mut carried));
            carried = term.run(&mut holding, &mut commands, &stop).await;
            event("term_ended", &trainer, held.epoch);
            ended = held.epoch;
            if stop.is_cancelled() {
                return;
            }
        }
        tokio::select! {
            () = stop.cancelled() => return,
            changed = holding.changed() => if changed.is_err() { return },
            command = commands.recv() => match command {
                None => return,
                Some(command) => refuse(command),
            },
        }
    }
}

fn refuse(command: Command) {
    match command {
        // Fails only if the caller is gone.
        Command::Fetch { reply, .. } | Command::Offer { reply, .. } => {
            let _ = reply.send(not_holder());
        }
        Command::Notice(_) => {}
    }
}

fn event(name: &str, trainer: &str, epoch: u64) {
    Line::new(name).with("trainer", trainer).with("epoch", epoch).info();
}
