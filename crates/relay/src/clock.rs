//! A clock that keeps counting while the machine is suspended.
//!
//! The usual monotonic clock stops during suspension, so a lease measured with it
//! would stay valid too long by the time spent suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including time spent suspended.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Converts a duration to fractional milliseconds.
#[must_use]
pub fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
