//! Wall-clock time, read at the rim and passed on as an argument.

use std::time::SystemTime;

use tokio::time::Instant;
pub use world::time::millis;
use world::{Millis, Timestamp};

/// The wall-clock time now.
#[must_use]
pub fn now() -> Timestamp {
    SystemTime::now().into()
}

/// Time left until `deadline`, in milliseconds.
#[must_use]
pub fn left(deadline: Instant) -> Millis {
    millis(deadline.saturating_duration_since(Instant::now()))
}
