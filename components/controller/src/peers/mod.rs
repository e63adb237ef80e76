//! Peer port: calls of gateways and other daemons to a controller.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use filbertsail_cluster::agent;
use filbertsail_ports::table::Table;
use filbertsail_wire::{
    Frame,
    frame::{Done, Hello},
    link::server::{Handler, Sender},
};
use tokio::sync::{mpsc, oneshot};

use crate::{refusal::not_holder, trainer::Command};

/// Command channels of the trainer tasks in this process, by trainer name.
#[derive(Clone, Debug, Default)]
pub struct Trainers(Arc<Mutex<HashMap<String, mpsc::Sender<Command>>>>);

impl Trainers {
    /// Adds or replaces the command channel of a trainer.
    pub fn insert(&self, trainer: &str, commands: mpsc::Sender<Command>) {
        self.lock().insert(trainer.to_owned(), commands);
    }

    /// Removes the command channel of a trainer.
    pub fn remove(&self, trainer: &str) {
        self.lock().remove(trainer);
    }

    fn get(&self, trainer: &str) -> Option<mpsc::Sender<Command>> {
        self.lock().get(trainer).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, mpsc::Sender<Command>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a fetch, an offer or a notice.
    ///
    /// # Errors
    /// Returns any other request unchanged.
    pub async fn answer(&self, request: Frame) -> Result<Frame, Frame> {
        match request {
            Frame::Fetch(fetch) => {
                let Some(commands) = self.get(&fetch.trainer) else { return Ok(not_holder()) };
                let (reply, answer) = oneshot::channel();
                if commands.send(Command::Fetch { fetch, reply }).await.is_err() {
                    return Ok(not_holder());
                }
                Ok(answer.await.unwrap_or_else(|_| not_holder()))
            }
            Frame::Offer(offer) => {
                let Some(commands) = self.get(&offer.trainer) else { return Ok(not_holder()) };
                let (reply, answer) = oneshot::channel();
                if commands.send(Command::Offer { offer, reply }).await.is_err() {
                    return Ok(not_holder());
                }
                Ok(answer.await.unwrap_or_else(|_| not_holder()))
            }
            Frame::Notice(notice) => {
                if let Some(commands) = self.get(&notice.trainer) {
                    // If the notice is lost, the task finds the change in its next poll of the
                    // table.
                    let _ = commands.send(Command::Notice(notice.step)).await;
                }
                Ok(Done.into())
            }
            other => Err(other),
        }
    }
}

/// Handler of calls to the peer port.
#[derive(Clone)]
pub struct Peers<T> {
    /// Trainer tasks of this process.
    pub trainers: Trainers,
    /// Membership and lease agent, which answers the calls that are not about rounds.
    pub agent: agent::Handle<T>,
}

impl<T: Table> Handler for Peers<T> {
    async fn handle(&self, _caller: Hello, request: Frame, mut replies: Sender) {
        let reply = match self.trainers.answer(request).await {
            Ok(reply) => reply,
            Err(other) => self.agent.answer(other).await,
        };
        // Fails only if the caller no longer waits.
        let _ = replies.send(reply).await;
    }
}
