//! Wall-clock time.
//!
//! Code that makes decisions gets the time as an argument instead of reading the clock.

use std::time::SystemTime;

use tokio::time::Instant;
pub use world::time::millis;
use world::{Millis, Timestamp};

/// Returns the current wall-clock time.
#[must_use]
pub fn now() -> Timestamp {
    SystemTime::now().into()
}

/// Returns the time left until `deadline`, in milliseconds.
#[must_use]
pub fn remaining_ms(deadline: Instant) -> Millis {
    millis(deadline.saturating_duration_since(Instant::now()))
}
