//! Wall-clock time.
//!
//! It is read in this crate only and passed to deciding code as an argument.

use std::time::SystemTime;

use tokio::time::Instant;
pub use world::time::millis;
use world::{Millis, Timestamp};

/// Returns the present wall-clock time.
#[must_use]
pub fn now() -> Timestamp {
    SystemTime::now().into()
}

/// Returns the time left until `deadline`, in milliseconds.
#[must_use]
pub fn left(deadline: Instant) -> Millis {
    millis(deadline.saturating_duration_since(Instant::now()))
}
