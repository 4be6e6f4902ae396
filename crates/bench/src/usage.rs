//! What this process uses: processor time by thread, memory.
//!
//! Read from `/proc/self`, which counts processor time in ticks of 10 ms;
//! runs are long enough that this is well under a hundredth.

use std::{fs, time::Duration};

/// Ticks per second in `/proc`, fixed on Linux.
const TICKS_PER_S: u64 = 100;
/// Bytes of a page.
const PAGE: u64 = 4_096;
/// Bytes of a thread's name that the kernel keeps.
const NAME_LEN: usize = 15;

/// Processor time of all threads with this name, so far.
#[must_use]
pub fn cpu(thread: &str) -> Duration {
    let name = &thread[..thread.len().min(NAME_LEN)];
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let ticks: u64 = tasks
        .filter_map(|task| fs::read_to_string(task.path().join("stat")).ok())
        .filter_map(|stat| ticks(&stat, name))
        .sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_S)
}

/// User and system ticks of a `stat` line, if it is the thread's.
fn ticks(stat: &str, name: &str) -> Option<u64> {
    let (head, tail) = stat.rsplit_once(')')?;
    let (_, found) = head.split_once('(')?;
    if found != name {
        return None;
    }
    // After the name: state is field 3, user time 14, system time 15.
    let mut fields = tail.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Resident memory of this process, in bytes.
#[must_use]
pub fn resident() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
