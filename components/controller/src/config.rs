//! Configuration of the trainer tasks, taken from the inventory.

use std::time::Duration;

use filbertsail_config::inventory::{Class, Inventory};
use filbertsail_rollout::scheduler::Share;

/// Configuration of one trainer task.
#[derive(Clone, Debug, PartialEq)]
pub struct Trainer {
    pub name: String,
    /// Team that pays for the work.
    pub team: String,
    /// Model service that generates the samples.
    pub service: String,
    /// Priority of the trainer's samples; 0 without a matching rule.
    pub priority: u32,
    /// Timeout of one attempt at a sample.
    pub timeout: Duration,
    /// Capacity shares of all trainers of the service.
    pub shares: Vec<Share>,
    /// Relative weight of idle time against staleness in the deployment, 0 to 1.
    pub idle_share: f64,
}

impl Trainer {
    /// Configuration of `trainer`, if the inventory contains it and its service.
    #[must_use]
    pub fn new(inventory: &Inventory, trainer: &str) -> Option<Self> {
        let entry = inventory.trainers.iter().find(|entry| entry.name == trainer)?;
        let service = inventory.service(&entry.service)?;
        let rule = inventory.rules.iter().find(|rule| {
            rule.service == service.name
                && rule.class.is_none_or(|class| class == Class::Rollout)
                && rule.priority.is_some()
        });
        let sharing = inventory.trainers.iter().filter(|other| other.service == entry.service);
        let shares =
            sharing.map(|other| Share { weight: other.share, is_requester: other.name == trainer });
        Some(Self {
            name: trainer.to_owned(),
            team: entry.team.clone(),
            service: service.name.clone(),
            priority: rule.and_then(|rule| rule.priority).unwrap_or(0),
            timeout: Duration::from_millis(service.timeout_ms),
            shares: shares.collect(),
            idle_share: idle_share(inventory),
        })
    }
}

/// Relative weight of idle time against staleness in the deployment, 0 to 1; 0.5 if both are 0.
#[must_use]
pub fn idle_share(inventory: &Inventory) -> f64 {
    let idle = inventory.deployment.idle_weight.max(0.0);
    let total = idle + inventory.deployment.staleness_weight.max(0.0);
    if total > 0.0 { idle / total } else { 0.5 }
}
