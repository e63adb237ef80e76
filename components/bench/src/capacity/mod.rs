//! Control overhead per daemon over the number of daemons, time to take over the lease of a
//! crashed holder, and time until a configuration is in force.
//!
//! All daemons run in this process and meet over loopback sockets. They are the part of a daemon
//! that takes part in the fleet: peer port, membership, configuration and leases. The table is the
//! stand-in behind HTTP.

pub mod change;
pub mod fit;
pub mod fleet;
pub mod heartbeat;
pub mod takeover;
pub mod usage;

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

use filbertsail_wire::link::meter;
use serde::Serialize;
use tokio::time::sleep;

use self::{
    change::Changes, fit::Line, fleet::Fleet, heartbeat::Heartbeat, takeover::Takeover,
    usage::Usage,
};

/// Time for daemons to meet before they are measured.
const SETTLE: Duration = Duration::from_secs(15);

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// Numbers of daemons, in rising order so that freed memory does not hide growth.
    pub daemons: Vec<usize>,
    /// Time over which each number is measured.
    pub seconds: Duration,
    /// Configuration changes to time.
    pub changes: usize,
    /// Daemons that follow the changes.
    pub change_daemons: usize,
    /// Crashed holders per lease TTL.
    pub crashes: usize,
    /// Lease TTLs.
    pub ttls: Vec<Duration>,
    /// Exchanges of digests over each transport.
    pub exchanges: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            daemons: vec![4, 10, 25, 50, 100, 200],
            seconds: Duration::from_secs(20),
            changes: 200,
            change_daemons: 24,
            crashes: 12,
            ttls: [2, 3, 4, 6, 8, 12].map(Duration::from_secs).to_vec(),
            exchanges: 20_000,
        }
    }
}

/// Overhead of one daemon when so many run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Daemons.
    pub daemons: usize,
    /// Bytes per second on peer links, sent and received.
    pub peer_bytes_per_s: f64,
    /// Bytes per second of table calls, requests and answers without HTTP headers.
    pub table_bytes_per_s: f64,
    /// Table reads per second.
    pub table_reads_per_s: f64,
    /// Table writes per second.
    pub table_writes_per_s: f64,
    /// CPU time as a share of one core, in percent, with this daemon's share of the table.
    pub cpu_percent: f64,
    /// Resident memory in MiB.
    pub memory_mib: f64,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Overhead by number of daemons.
    pub points: Vec<Point>,
    /// Line through the peer bytes of all daemons.
    pub peer_bytes: Line,
    /// Line through the CPU percent of all daemons.
    pub cpu: Line,
    /// Line through the memory of all daemons.
    pub memory: Line,
    /// Cost of an exchange of digests.
    pub heartbeat: Option<Heartbeat>,
    /// Time to take over by TTL.
    pub takeovers: Vec<Takeover>,
    /// Time until a configuration is in force.
    pub changes: Option<Changes>,
}

/// Measures everything that `options` name.
///
/// # Errors
/// Fails if sockets cannot be opened, daemons do not meet or the system does not tell usage.
pub async fn run(options: Options) -> eyre::Result<Report> {
    let mut points = Vec::new();
    for daemons in options.daemons.iter().copied() {
        points.push(point(daemons, options.seconds).await?);
    }
    let heartbeat = match options.exchanges {
        0 => None,
        exchanges => Some(heartbeat::run(exchanges).await?),
    };
    let takeovers = takeover::run(&options.ttls, options.crashes).await?;
    let changes = match options.changes {
        0 => None,
        changes => Some(change::run(options.change_daemons, changes).await?),
    };
    let line = |value: fn(&Point) -> f64| {
        let samples = points.iter().map(|point| {
            let daemons = point.daemons as f64;
            (daemons, daemons * value(point))
        });
        Line::through(&samples.collect::<Vec<_>>())
    };
    let (peer_bytes, cpu) = (line(|point| point.peer_bytes_per_s), line(|point| point.cpu_percent));
    let memory = line(|point| point.memory_mib);
    Ok(Report { points, peer_bytes, cpu, memory, heartbeat, takeovers, changes })
}

async fn point(daemons: usize, seconds: Duration) -> eyre::Result<Point> {
    let fleet = Fleet::start(daemons).await?;
    fleet.apply().await?;
    sleep(SETTLE).await;
    fleet.meet().await?;
    let (before, calls, peers) = (Usage::read()?, fleet.calls(), meter::total_bytes());
    sleep(seconds).await;
    let (after, calls_after, peers_after) = (Usage::read()?, fleet.calls(), meter::total_bytes());
    fleet.stop().await;
    let share = 1.0 / seconds.as_secs_f64() / daemons as f64;
    let per_daemon = |before: u64, after: u64| (after - before) as f64 * share;
    // Both ends of each link are in this process, so each byte is counted as sent and received.
    let peer_bytes = (peers_after.0 - peers.0) + (peers_after.1 - peers.1);
    Ok(Point {
        daemons,
        peer_bytes_per_s: peer_bytes as f64 * share,
        table_bytes_per_s: per_daemon(calls.bytes, calls_after.bytes),
        table_reads_per_s: per_daemon(calls.reads, calls_after.reads),
        table_writes_per_s: per_daemon(calls.writes, calls_after.writes),
        cpu_percent: 100.0 * (after.cpu - before.cpu).as_secs_f64() * share,
        memory_mib: after.memory_mib / daemons as f64,
    })
}

impl Display for Report {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(out, "daemons  peer B/s  table B/s  reads/s  writes/s  cpu %  memory MiB")?;
        for point in &self.points {
            writeln!(
                out,
                "{:>7}  {:>8.0}  {:>9.0}  {:>7.2}  {:>8.3}  {:>5.3}  {:>10.2}",
                point.daemons,
                point.peer_bytes_per_s,
                point.table_bytes_per_s,
                point.table_reads_per_s,
                point.table_writes_per_s,
                point.cpu_percent,
                point.memory_mib,
            )?;
        }
        writeln!(out, "peer B/s of all daemons: {}", self.peer_bytes)?;
        writeln!(out, "cpu % of all daemons: {}", self.cpu)?;
        writeln!(out, "memory MiB of all daemons: {}", self.memory)?;
        if let Some(heartbeat) = &self.heartbeat {
            writeln!(out, "{heartbeat}")?;
        }
        for takeover in &self.takeovers {
            writeln!(out, "{takeover}")?;
        }
        match &self.changes {
            Some(changes) => write!(out, "{changes}"),
            None => Ok(()),
        }
    }
}
