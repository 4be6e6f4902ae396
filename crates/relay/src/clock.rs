//! A clock that also counts suspension.
//!
//! A suspended instance's monotonic clock stands still, so a lease counted on
//! it would outlive its bound by the length of the sleep. This clock does not.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the instance's machine started, suspension included.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// A span in milliseconds, fractions included.
#[must_use]
pub fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
