//! Wall-clock time, read at the rim and passed on as an argument.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use world::{Millis, Timestamp};

/// The wall-clock time now.
#[must_use]
pub fn now() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp(millis(since))
}

/// A span in whole milliseconds.
#[must_use]
pub fn millis(span: Duration) -> Millis {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Time left until `deadline`, in milliseconds.
#[must_use]
pub fn left(deadline: Instant) -> Millis {
    millis(deadline.saturating_duration_since(Instant::now()))
}
