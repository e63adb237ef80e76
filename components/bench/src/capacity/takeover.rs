//! Time without a holder after a crash, and table outages through which a holder keeps its lease,
//! by lease TTL.

use std::time::{Duration, Instant};

use derive_more::Display;
use eyre::{WrapErr, eyre};
use filbertsail_cluster::{
    agent::{self, Handle, Identity, Settings},
    lease::{Guard, Timing},
};
use filbertsail_ports::fake::Table;
use filbertsail_wire::{frame::Role, link::auth::Key};
use serde::Serialize;
use tokio::{
    runtime::{Builder, Runtime},
    task::{JoinSet, spawn_blocking},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Time limit of a takeover in TTLs.
const TIMEOUT_TTLS: u32 = 5;
/// Difference between the crash times of two trials; spreads crashes over the renewal interval.
const CRASH_OFFSET_STEP: Duration = Duration::from_millis(173);
/// Durations of the simulated table outages in seconds.
const TABLE_OUTAGES_S: [u64; 4] = [1, 2, 3, 4];

/// Takeover results for one lease TTL.
#[derive(Clone, Debug, Display, Serialize)]
#[display(
    "ttl {ttl_ms} ms: without a holder p50 {p50_ms} ms, max {max_ms} ms over {crashes} crashes; \
     lease kept through table outages of 1, 2, 3, 4 s: {kept:?}"
)]
pub struct Takeover {
    /// Lease TTL in milliseconds.
    pub ttl_ms: u64,
    /// Number of crashes.
    pub crashes: usize,
    /// Median time without a holder in milliseconds.
    pub p50_ms: u64,
    /// Maximum time without a holder in milliseconds.
    pub max_ms: u64,
    /// For each outage, the trials in which the holder kept the lease, as `kept/trials`.
    pub kept: Vec<String>,
}

/// Measures takeovers for each TTL; none if `crashes` is 0.
///
/// # Errors
/// Fails if a lease is lost early or not acquired within five TTLs.
pub async fn run(ttls: &[Duration], crashes: usize) -> eyre::Result<Vec<Takeover>> {
    let mut takeovers = Vec::new();
    for ttl in ttls.iter().copied().filter(|_| crashes > 0) {
        takeovers.push(measure(ttl, crashes).await?);
    }
    Ok(takeovers)
}

async fn measure(ttl: Duration, crashes: usize) -> eyre::Result<Takeover> {
    let (mut trials, mut outages) = (JoinSet::new(), JoinSet::new());
    for number in 0..crashes {
        let offset = CRASH_OFFSET_STEP * u32::try_from(number)?;
        trials.spawn(time_takeover(ttl, offset));
        for outage in TABLE_OUTAGES_S {
            outages.spawn(async move { (outage, keeps_lease(ttl, offset, outage).await) });
        }
    }
    let mut times = trials.join_all().await.into_iter().collect::<eyre::Result<Vec<_>>>()?;
    let outages = outages.join_all().await;
    times.sort_unstable();
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let kept = |seconds| {
        let kept = outages.iter().filter(|(tried, kept)| *tried == seconds && *kept).count();
        format!("{kept}/{crashes}")
    };
    Ok(Takeover {
        ttl_ms: millis(ttl),
        crashes,
        p50_ms: millis(times[times.len() / 2]),
        max_ms: times.last().copied().map_or(0, millis),
        kept: TABLE_OUTAGES_S.map(kept).to_vec(),
    })
}

fn start_agent(
    name: &str,
    ttl: Duration,
    table: &Table,
    stop: &CancellationToken,
) -> Handle<Table> {
    let identity = Identity {
        name: name.to_owned(),
        role: Role::Controller,
        zone: "zone-0".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        incarnation: 1,
        key: Key::new(vec![7; 32]),
    };
    let lease = Timing { ttl, ..Timing::default() };
    let settings = Settings { lease, ..Settings::default() };
    agent::start(identity, settings, table.clone(), stop.clone())
}

async fn wait_for_lease(guard: &Guard, limit: Duration) -> eyre::Result<()> {
    let mut grant = guard.grant();
    timeout(limit, grant.wait_for(Option::is_some))
        .await
        .wrap_err("lease was not acquired in time")??;
    Ok(())
}

/// Crashes a holder without releasing its lease; returns the time until the next holder.
async fn time_takeover(ttl: Duration, offset: Duration) -> eyre::Result<Duration> {
    let (table, stop) = (Table::default(), CancellationToken::new());
    let runtime = holder_runtime()?;
    let limit = ttl * TIMEOUT_TTLS;
    let guard = {
        let _context = runtime.enter();
        let agent = start_agent("holder", ttl, &table, &stop);
        agent.contend_for_lease("trainer/a")
    };
    wait_for_lease(&guard, limit).await?;
    let contender = start_agent("contender", ttl, &table, &stop);
    let next = contender.contend_for_lease("trainer/a");
    // Long enough for renewals; the offset then places the crash between two of them.
    sleep(ttl + offset).await;
    if guard.grant().borrow().is_none() {
        return Err(eyre!("holder lost its lease before the crash"));
    }
    let crashed = Instant::now();
    spawn_blocking(move || runtime.shutdown_background()).await?;
    wait_for_lease(&next, limit).await?;
    let time = crashed.elapsed();
    stop.cancel();
    Ok(time)
}

fn holder_runtime() -> eyre::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .wrap_err("failed to start the holder's runtime")
}

/// Whether a holder keeps its lease through a table outage of `outage` seconds.
async fn keeps_lease(ttl: Duration, offset: Duration, outage: u64) -> bool {
    let (table, stop) = (Table::default(), CancellationToken::new());
    let agent = start_agent("holder", ttl, &table, &stop);
    let guard = agent.contend_for_lease("trainer/a");
    let kept = wait_for_lease(&guard, ttl * TIMEOUT_TTLS).await.is_ok();
    sleep(ttl + offset).await;
    let mut grant = guard.grant();
    table.set_down(true);
    let lost = grant.wait_for(Option::is_none);
    let lost = timeout(Duration::from_secs(outage), lost).await.is_ok();
    table.set_down(false);
    stop.cancel();
    kept && !lost
}
