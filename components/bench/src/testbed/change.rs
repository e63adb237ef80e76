//! Changes that scenarios make to daemons and configuration.

use std::time::Duration;

use eyre::eyre;
use filbertsail_http::client::Client;
use tokio::time::sleep;

use super::{Testbed, daemon::Role};
use crate::operator::Operator;

impl Testbed {
    /// Delay with which the VM list shows a change.
    #[must_use]
    pub fn vm_list_lag(&self) -> Duration {
        self.options.standins.vm_list_delay
    }

    /// Daemon index that `index` wraps around to; `None` if the role has no daemons.
    #[must_use]
    pub fn daemon_index(&self, role: Role, index: usize) -> Option<usize> {
        let count = match role {
            Role::Gateway => self.options.gateways,
            Role::Controller => self.options.controllers,
        };
        index.checked_rem(count)
    }

    /// New operator client.
    #[must_use]
    pub fn operator(&self) -> Operator {
        Operator {
            balancer: self.balancer.clone(),
            journal: self.journal.clone(),
            defect: self.options.defect,
            workers: self
                .standins
                .inventory
                .workers
                .iter()
                .map(|worker| worker.name.clone())
                .collect(),
            client: Client::default(),
        }
    }

    /// Applies the inventory as the first configuration.
    ///
    /// # Errors
    /// Fails if no gateway accepts it within about 10 s.
    pub async fn apply_initial_config(&self) -> eyre::Result<()> {
        const MAX_ATTEMPTS: u32 = 100;
        const RETRY_DELAY: Duration = Duration::from_millis(100);
        let operator = self.operator();
        let mut last = eyre!("no gateway in the load balancer");
        for _ in 0..MAX_ATTEMPTS {
            for (gateway, _) in self.balancer.gateways() {
                let inventory = &self.standins.inventory;
                match operator.apply(&gateway, inventory, None, "operator").await {
                    Ok(_) => return Ok(()),
                    Err(error) => last = error,
                }
            }
            sleep(RETRY_DELAY).await;
        }
        Err(last.wrap_err("failed to apply the first configuration"))
    }

    /// Two operators concurrently apply different configurations on top of the same version through
    /// different gateways; one configuration omits the last worker.
    pub async fn apply_conflicting(&self) {
        let operator = self.operator();
        let (Some(first), Some(second)) = (self.balancer.pick(), self.balancer.pick()) else {
            return;
        };
        let Ok(head) = operator.active_head(&first).await else { return };
        let mut reduced = self.standins.inventory.clone();
        reduced.workers.pop();
        let complete = &self.standins.inventory;
        let (one, two) = tokio::join!(
            operator.apply(&first, &reduced, Some(head.version), "operator-1"),
            operator.apply(&second, complete, Some(head.version), "operator-2"),
        );
        if let (Ok(Some(one)), Ok(Some(two))) = (&one, &two) {
            log::error!("both conflicting configurations were accepted: versions {one} and {two}");
        }
    }

    /// Kills the daemons of a zone, or starts their replacements.
    ///
    /// # Errors
    /// Fails if a daemon cannot start.
    pub async fn set_zone_daemons_down(&self, zone: &str, is_down: bool) -> eyre::Result<()> {
        let counts =
            [(Role::Gateway, self.options.gateways), (Role::Controller, self.options.controllers)];
        for (role, count) in counts {
            for index in (0..count).filter(|index| self.zone_of(*index) == zone) {
                if is_down {
                    self.kill_daemon(&format!("{role}-{}", index + 1));
                } else {
                    self.start_daemon(role, index).await?;
                }
            }
        }
        Ok(())
    }
}
