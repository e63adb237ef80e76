//! Resource usage of this process, from `/proc`.

use std::{fs, time::Duration};

use eyre::{OptionExt, WrapErr};

/// Clock tick of `/proc` times, which Linux fixes at 10 ms for user space.
const TICK: Duration = Duration::from_millis(10);
/// Number of `/proc/self/stat` fields between the command name and the CPU times.
const FIELDS_BEFORE_CPU: usize = 11;

/// Resources used by this process so far.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// CPU time of all threads.
    pub cpu: Duration,
    /// Resident memory in MiB.
    pub memory_mib: f64,
}

impl Usage {
    /// Reads the current usage.
    ///
    /// # Errors
    /// Fails if `/proc` cannot be read or parsed.
    pub fn read() -> eyre::Result<Self> {
        let stat =
            fs::read_to_string("/proc/self/stat").wrap_err("failed to read /proc/self/stat")?;
        let (_, fields) =
            stat.rsplit_once(')').ok_or_eyre("/proc/self/stat has no command name")?;
        let times = fields.split_whitespace().skip(FIELDS_BEFORE_CPU).take(2);
        let ticks = times.map(str::parse::<u32>).sum::<Result<u32, _>>()?;
        let status =
            fs::read_to_string("/proc/self/status").wrap_err("failed to read /proc/self/status")?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|line| line.split_whitespace().next());
        let kib: f64 = resident.ok_or_eyre("/proc/self/status has no resident memory")?.parse()?;
        Ok(Self { cpu: TICK * ticks, memory_mib: kib / 1024.0 })
    }
}
