//! Wall-clock time, which tests replace.

use std::time::SystemTime;

use tokio::time::Instant;
use world::{Timestamp, time::millis};

/// Where wall-clock time comes from.
#[derive(Debug, Clone, Copy, Default)]
pub enum Clock {
    /// The machine's clock.
    #[default]
    System,
    /// A fixed start that moves with tokio's clock, which tests pause.
    From(Timestamp, Instant),
}

impl Clock {
    /// A clock that stands at `start` now.
    #[must_use]
    pub fn starting(start: Timestamp) -> Self {
        Self::From(start, Instant::now())
    }

    /// The time now.
    #[must_use]
    pub fn now(self) -> Timestamp {
        match self {
            Self::System => SystemTime::now().into(),
            Self::From(start, since) => start.plus(millis(since.elapsed())),
        }
    }
}
