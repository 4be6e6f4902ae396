//! Wall-clock time, which tests replace.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use world::{Millis, Timestamp};

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
            Self::System => Timestamp(millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())),
            Self::From(start, since) => start.plus(millis(since.elapsed())),
        }
    }
}

/// A span in milliseconds.
pub(crate) fn millis(span: std::time::Duration) -> Millis {
    u64::try_from(span.as_millis()).unwrap_or(Millis::MAX)
}
