//! Metrics of this process from `/proc`.

use std::fs;

use crate::metric;

/// The clock ticks per second in `/proc`, fixed by the kernel's interface to user
/// space.
const TICKS_PER_SECOND: u64 = 100;

/// The microseconds of one tick.
const TICK_MICROSECONDS: u64 = 1_000_000 / TICKS_PER_SECOND;

/// The index of the user time in `/proc/self/stat`, counted after the program's
/// name.
const USER_TIME_FIELD: usize = 11;

/// Updates the metrics of the process. A metric whose source cannot be read keeps
/// its value.
pub(crate) fn refresh() {
    if let Some(ticks) = fs::read_to_string("/proc/self/stat")
        .ok()
        .and_then(|stat| cpu_ticks(&stat))
    {
        metrics::counter!(metric::PROCESS_CPU).absolute(ticks * TICK_MICROSECONDS);
    }
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    if let Some(bytes) = memory_bytes(&status, "VmRSS:") {
        metrics::gauge!(metric::PROCESS_RESIDENT).set(bytes);
    }
    if let Some(bytes) = memory_bytes(&status, "VmHWM:") {
        metrics::gauge!(metric::PROCESS_RESIDENT_PEAK).set(bytes);
    }
}

fn cpu_ticks(stat: &str) -> Option<u64> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn memory_bytes(status: &str, field: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kibibytes: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024.0)
}
