//! Time until an accepted configuration is in force everywhere.

use std::time::{Duration, Instant};

use derive_more::Display;
use eyre::{WrapErr, eyre};
use filbertsail_api::admin::Apply;
use serde::Serialize;
use tokio::time::timeout;

use super::fleet::{Fleet, INVENTORY};

/// Time limit of one change.
const LIMIT: Duration = Duration::from_secs(60);

/// Times from the request of the operator until the last daemon has the version in force.
#[derive(Clone, Copy, Debug, Display, Serialize)]
#[display(
    "configuration in force on {daemons} daemons: p50 {p50_ms} ms, max {max_ms} ms over {changes}"
)]
pub struct Changes {
    /// Daemons.
    pub daemons: usize,
    /// Changes.
    pub changes: usize,
    /// Median in milliseconds.
    pub p50_ms: u64,
    /// Largest in milliseconds.
    pub max_ms: u64,
}

/// Applies `changes` configurations one after the other, each at another daemon.
///
/// # Errors
/// Fails if a configuration is not accepted or not in force in time.
pub async fn run(daemons: usize, changes: usize) -> eyre::Result<Changes> {
    let fleet = Fleet::start(daemons).await?;
    fleet.meet().await?;
    let mut times = Vec::new();
    for number in 0..changes {
        times.push(change(&fleet, number).await?);
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

async fn change(fleet: &Fleet, number: usize) -> eyre::Result<Duration> {
    let request = Apply {
        author: "bench".to_owned(),
        expect_version: None,
        text: format!("# {number}\n{INVENTORY}"),
        wait_ms: Some(0),
    };
    let start = Instant::now();
    let agent = fleet.agents.get(number % fleet.agents.len()).ok_or_else(|| eyre!("no daemons"))?;
    let applied = agent.apply(request).await.wrap_err("apply the configuration")?;
    for agent in &fleet.agents {
        let mut config = agent.config();
        let in_force = config.wait_for(|config| {
            config.as_ref().is_some_and(|config| config.version >= applied.version)
        });
        timeout(LIMIT, in_force).await.wrap_err("configuration is not in force")??;
    }
    Ok(start.elapsed())
}
