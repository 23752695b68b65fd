//! Resource usage of a process: memory, processor time and descriptors.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`, on every Linux that this runs on.
const TICKS_PER_SECOND: u64 = 100;

/// Resident memory, in KiB.
pub fn resident_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// The processor time of all threads, from schedstat if available, otherwise in clock ticks.
pub fn processor_time(id: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let fine = tasks.filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    let fine: u64 = fine.sum();
    if fine > 0 { Duration::from_nanos(fine) } else { ticks(id) }
}

fn ticks(id: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    // User and system time are fields 14 and 15, which are fields 12 and 13 after the process name.
    let ticks: u64 = fields.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

pub fn descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}
