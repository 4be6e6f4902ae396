//! Points in time and spans, as numbers that travel.
//!
//! Tasks measure spans with tokio's clock; what crosses a process boundary is
//! wall-clock milliseconds since the Unix epoch.

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
