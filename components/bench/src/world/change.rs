//! Changes that scenarios make to daemons and configuration.

use std::time::Duration;

use eyre::eyre;
use filbertsail_http::client::Client;
use tokio::time::sleep;

use super::{World, daemon::Role};
use crate::operator::Operator;

impl World {
    /// Lag of the VM list.
    #[must_use]
    pub fn vm_lag(&self) -> Duration {
        self.options.standins.vm_list_delay
    }

    /// Number of the daemon that `index` stands for; `None` if the role has none.
    #[must_use]
    pub fn index(&self, role: Role, index: usize) -> Option<usize> {
        let count = match role {
            Role::Gateway => self.options.gateways,
            Role::Controller => self.options.controllers,
        };
        index.checked_rem(count)
    }

    /// Operator of this world.
    #[must_use]
    pub fn operator(&self) -> Operator {
        Operator {
            balancer: self.balancer.clone(),
            journal: self.journal.clone(),
            broken: self.options.broken,
            workers: self.set.inventory.workers.iter().map(|worker| worker.name.clone()).collect(),
            client: Client::default(),
        }
    }

    /// Applies the inventory to the fleet, which has no configuration yet.
    ///
    /// # Errors
    /// Fails if no gateway accepts it in time.
    pub async fn apply_first(&self) -> eyre::Result<()> {
        /// Attempts, one per pause.
        const ATTEMPTS: u32 = 100;
        const PAUSE: Duration = Duration::from_millis(100);
        let operator = self.operator();
        let mut last = eyre!("no gateway");
        for _ in 0..ATTEMPTS {
            for (gateway, _) in self.balancer.gateways() {
                let inventory = &self.set.inventory;
                match operator.apply(&gateway, inventory, None, "operator").await {
                    Ok(_) => return Ok(()),
                    Err(error) => last = error,
                }
            }
            sleep(PAUSE).await;
        }
        Err(last.wrap_err("first configuration"))
    }

    /// Two operators apply different versions on top of the same head through different gateways;
    /// one leaves out the last worker.
    pub async fn race(&self) {
        let operator = self.operator();
        let (Some(first), Some(second)) = (self.balancer.pick(), self.balancer.pick()) else {
            return;
        };
        let Ok(head) = operator.head(&first).await else { return };
        let mut without = self.set.inventory.clone();
        without.workers.pop();
        let whole = &self.set.inventory;
        let (one, two) = tokio::join!(
            operator.apply(&first, &without, Some(head.version), "operator-1"),
            operator.apply(&second, whole, Some(head.version), "operator-2"),
        );
        if let (Ok(Some(one)), Ok(Some(two))) = (&one, &two) {
            log::error!("both operators won: versions {one} and {two}");
        }
    }

    /// Kills the daemons of a zone, or starts new ones in their place.
    ///
    /// # Errors
    /// Fails if a daemon cannot start.
    pub async fn zone_daemons(&self, zone: &str, is_down: bool) -> eyre::Result<()> {
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
