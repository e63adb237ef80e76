//! Control overhead per daemon by fleet size, time until the lease of a crashed holder is taken
//! over, and time until a configuration is active.
//!
//! All daemons run in this process and communicate over loopback sockets. Each consists only of the
//! parts that take part in the fleet: peer port, membership, configuration and leases. The table is
//! the stand-in behind HTTP.

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

/// Time for the fleet to converge before it is measured.
const SETTLE_DURATION: Duration = Duration::from_secs(15);

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// Fleet sizes to measure, in ascending order so that freed memory does not hide growth.
    pub daemons: Vec<usize>,
    /// Duration of the measurement of each fleet size.
    pub duration: Duration,
    /// Number of configuration changes to time.
    pub changes: usize,
    /// Fleet size for the configuration changes.
    pub change_daemons: usize,
    /// Number of holder crashes per lease TTL.
    pub crashes: usize,
    /// Lease TTLs to measure.
    pub ttls: Vec<Duration>,
    /// Number of digest exchanges over each transport.
    pub exchanges: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            daemons: vec![4, 10, 25, 50, 100, 200],
            duration: Duration::from_secs(20),
            changes: 200,
            change_daemons: 24,
            crashes: 12,
            ttls: [2, 3, 4, 6, 8, 12].map(Duration::from_secs).to_vec(),
            exchanges: 20_000,
        }
    }
}

/// Overhead of one daemon at a fleet size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Number of daemons.
    pub daemons: usize,
    /// Bytes per second on peer links, sent and received.
    pub peer_bytes_per_s: f64,
    /// Bytes per second of table requests and responses, without HTTP headers.
    pub table_bytes_per_s: f64,
    /// Table reads per second.
    pub table_reads_per_s: f64,
    /// Table writes per second.
    pub table_writes_per_s: f64,
    /// CPU time in percent of one core, including this daemon's share of the table stand-in.
    pub cpu_percent: f64,
    /// Resident memory in MiB.
    pub memory_mib: f64,
}

/// Results of a capacity run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Overhead per daemon by fleet size.
    pub points: Vec<Point>,
    /// Fit of the peer bytes per second of all daemons.
    pub peer_bytes: Line,
    /// Fit of the CPU percentage of all daemons.
    pub cpu: Line,
    /// Fit of the resident memory of all daemons in MiB.
    pub memory: Line,
    /// Cost of a digest exchange, if measured.
    pub heartbeat: Option<Heartbeat>,
    /// Takeover times by lease TTL.
    pub takeovers: Vec<Takeover>,
    /// Times until a configuration is active, if measured.
    pub changes: Option<Changes>,
}

/// Runs all measurements selected by `options`.
///
/// # Errors
/// Fails if sockets cannot be opened, the fleet does not converge or `/proc` cannot be read.
pub async fn run(options: Options) -> eyre::Result<Report> {
    let mut points = Vec::new();
    for daemons in options.daemons.iter().copied() {
        points.push(measure_point(daemons, options.duration).await?);
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

async fn measure_point(daemons: usize, duration: Duration) -> eyre::Result<Point> {
    let fleet = Fleet::start(daemons).await?;
    fleet.apply().await?;
    sleep(SETTLE_DURATION).await;
    fleet.wait_for_members().await?;
    let (before, calls, peers) = (Usage::read()?, fleet.calls(), meter::total_bytes());
    sleep(duration).await;
    let (after, calls_after, peers_after) = (Usage::read()?, fleet.calls(), meter::total_bytes());
    fleet.stop().await;
    let share = 1.0 / duration.as_secs_f64() / daemons as f64;
    let per_daemon = |before: u64, after: u64| (after - before) as f64 * share;
    // Both ends of each link are in this process, so each byte is counted as sent and as received.
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
