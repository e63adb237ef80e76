//! Task of one trainer: generates the samples of its rounds and delivers its batches while this
//! controller holds the trainer's lease.

mod active;
mod attempt;
mod deliver;
mod load;
mod offer;
mod schedule;
mod score;
mod store;
mod table;
mod term;

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

use crate::{config, gateways::Gateways, metrics::Metrics, refusal::not_holder};
use term::{Carryover, Term};

/// Capacity of the command channel of a task.
pub const COMMAND_QUEUE: usize = 256;

/// Dependencies of the task.
#[derive(Clone)]
pub struct Context<T, S, G, C> {
    /// Client of the table service.
    pub table: T,
    /// Client of the object store.
    pub store: S,
    /// Client of the gateways.
    pub gateways: G,
    /// Clock that lease deadlines refer to.
    pub clock: C,
    /// Cluster key that authenticates cursors.
    pub key: Key,
    /// HTTP client for scorers.
    pub http: Http,
    /// Scheduling and delivery policy.
    pub policy: Policy,
    pub metrics: Metrics,
}

/// Request to the task.
#[derive(Debug)]
pub enum Command {
    /// A trainer fetches a batch.
    Fetch {
        fetch: Fetch,
        /// Receives the answer.
        reply: oneshot::Sender<Frame>,
    },
    /// A gateway hands over a round because the table does not answer.
    Offer {
        offer: Offer,
        /// Receives the answer.
        reply: oneshot::Sender<Frame>,
    },
    /// The round of this step was posted or closed.
    Notice(u64),
}

/// Result of a background task.
enum Event {
    Attempt(attempt::Outcome),
    Scored(score::Outcome),
    Stored(store::Outcome),
    Table(table::Outcome),
    Loaded(load::Outcome),
    Surveyed(Option<Workers>),
    /// The row of an offered round exists in the table.
    RowWritten(u64),
}

/// Runs the task until `stop` is cancelled.
pub async fn run<T: Table, S: Store, G: Gateways, C: Source>(
    context: Context<T, S, G, C>,
    config: watch::Receiver<config::Trainer>,
    mut grants: watch::Receiver<Option<Grant>>,
    mut commands: mpsc::Receiver<Command>,
    stop: CancellationToken,
) {
    let mut carryover = Carryover::default();
    // Epochs up to this one are over, even if the lease agent still reports them as held.
    let mut last_ended_epoch = 0;
    loop {
        let grant = grants.borrow_and_update().filter(|grant| grant.epoch > last_ended_epoch);
        if let Some(grant) = grant {
            let trainer = config.borrow().name.clone();
            log_event("term_started", &trainer, grant.epoch);
            let term =
                Term::new(context.clone(), config.clone(), grant, std::mem::take(&mut carryover));
            carryover = term.run(&mut grants, &mut commands, &stop).await;
            log_event("term_ended", &trainer, grant.epoch);
            last_ended_epoch = grant.epoch;
            if stop.is_cancelled() {
                return;
            }
        }
        tokio::select! {
            () = stop.cancelled() => return,
            changed = grants.changed() => if changed.is_err() { return },
            command = commands.recv() => match command {
                None => return,
                Some(command) => refuse_command(command),
            },
        }
    }
}

fn refuse_command(command: Command) {
    match command {
        // Fails only if the caller no longer waits.
        Command::Fetch { reply, .. } | Command::Offer { reply, .. } => {
            let _ = reply.send(not_holder());
        }
        Command::Notice(_) => {}
    }
}

fn log_event(name: &str, trainer: &str, epoch: u64) {
    Line::new(name).with("trainer", trainer).with("epoch", epoch).info();
}
