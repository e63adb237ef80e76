//! Resources that this process has used, from the process file system.

use std::{fs, time::Duration};

use eyre::{OptionExt, WrapErr};

/// Length of a clock tick, which Linux fixes at 10 ms for user space.
const TICK: Duration = Duration::from_millis(10);
/// Fields of the status line before the CPU times, counted after the command name.
const FIELDS_BEFORE_CPU: usize = 11;

/// Resources used so far.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// CPU time of all threads.
    pub cpu: Duration,
    /// Resident memory in MiB.
    pub memory_mib: f64,
}

impl Usage {
    /// Reads the usage of this process.
    ///
    /// # Errors
    /// Fails if the process file system cannot be read.
    pub fn read() -> eyre::Result<Self> {
        let stat = fs::read_to_string("/proc/self/stat").wrap_err("read process times")?;
        let (_, fields) = stat.rsplit_once(')').ok_or_eyre("command name is missing")?;
        let times = fields.split_whitespace().skip(FIELDS_BEFORE_CPU).take(2);
        let ticks = times.map(str::parse::<u32>).sum::<Result<u32, _>>()?;
        let status = fs::read_to_string("/proc/self/status").wrap_err("read memory use")?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|line| line.split_whitespace().next());
        let kib: f64 = resident.ok_or_eyre("resident memory is missing")?.parse()?;
        Ok(Self { cpu: TICK * ticks, memory_mib: kib / 1024.0 })
    }
}
