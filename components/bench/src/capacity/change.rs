//! Time until an accepted configuration is active on all daemons.

use std::time::{Duration, Instant};

use derive_more::Display;
use eyre::{WrapErr, eyre};
use filbertsail_api::admin::Apply;
use serde::Serialize;
use tokio::time::timeout;

use super::fleet::{Fleet, INVENTORY};

/// Time limit for one configuration to become active on all daemons.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Times from the operator's request until the version is active on the last daemon.
#[derive(Clone, Copy, Debug, Display, Serialize)]
#[display(
    "configuration in force on {daemons} daemons: p50 {p50_ms} ms, max {max_ms} ms over {changes}"
)]
pub struct Changes {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of measured changes.
    pub changes: usize,
    /// Median time in milliseconds.
    pub p50_ms: u64,
    /// Maximum time in milliseconds.
    pub max_ms: u64,
}

/// Applies `changes` configurations in sequence, each through the next daemon.
///
/// # Errors
/// Fails if a configuration is not accepted or not active on all daemons in time.
pub async fn run(daemons: usize, changes: usize) -> eyre::Result<Changes> {
    let fleet = Fleet::start(daemons).await?;
    fleet.wait_for_members().await?;
    let mut times = Vec::new();
    for number in 0..changes {
        times.push(time_change(&fleet, number).await?);
    }
    fleet.stop().await;
    times.sort_unstable();
    let millis = |time: Option<&Duration>| {
        time.and_then(|time| u64::try_from(time.as_millis()).ok()).unwrap_or(0)
    };
    Ok(Changes {
        daemons,
        changes,
        p50_ms: millis(times.get(times.len() / 2)),
        max_ms: millis(times.last()),
    })
}

async fn time_change(fleet: &Fleet, number: usize) -> eyre::Result<Duration> {
    let request = Apply {
        author: "bench".to_owned(),
        expect_version: None,
        text: format!("# {number}\n{INVENTORY}"),
        wait_ms: Some(0),
    };
    let start = Instant::now();
    let agent = fleet.agents.get(number % fleet.agents.len()).ok_or_else(|| eyre!("no daemons"))?;
    let applied = agent.apply(request).await.wrap_err("failed to apply a configuration")?;
    for agent in &fleet.agents {
        let mut config = agent.config();
        let in_force = config.wait_for(|config| {
            config.as_ref().is_some_and(|config| config.version >= applied.version)
        });
        timeout(CHANGE_TIMEOUT, in_force)
            .await
            .wrap_err("configuration did not become active on all daemons in time")??;
    }
    Ok(start.elapsed())
}
