//! Points in time and spans, as numbers that travel.
//!
//! Tasks measure spans with tokio's clock; what crosses a process boundary is
//! wall-clock milliseconds since the Unix epoch.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

/// A span in milliseconds.
pub type Millis = u64;

/// Wall-clock time, milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Milliseconds from `earlier` to this, zero when it lies in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Millis {
        self.0.saturating_sub(earlier.0)
    }

    /// This time moved `span` milliseconds on.
    #[must_use]
    pub fn plus(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl From<SystemTime> for Timestamp {
    /// What the machine's clock showed; the epoch for times before it.
    fn from(time: SystemTime) -> Self {
        Self(millis(time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()))
    }
}

/// A span in whole milliseconds, the longest for spans that do not fit.
#[must_use]
pub fn millis(span: Duration) -> Millis {
    Millis::try_from(span.as_millis()).unwrap_or(Millis::MAX)
}
