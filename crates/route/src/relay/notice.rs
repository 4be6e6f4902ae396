//! Notices of long prompts, sent to other instances at dispatch, and the backlog they add.
//!
//! A few prompts occupy an endpoint for a third of a second, and other requests wait
//! meanwhile. Regular load updates are up to 1.25 s old with 74 instances, longer than such
//! prompt processing takes, so half of them described prompts that had already been
//! processed and missed those that were just arriving. An instance therefore notifies all
//! others of a long prompt at once in a few bytes, and each tracks the outstanding prompt
//! processing of every endpoint. An endpoint processes one prompt after another, so its
//! [`Backlog`] shrinks by a millisecond per millisecond and no message is needed when a
//! prompt is done.

use std::time::Duration;

/// Shortest prompt processing that is worth a notice, in milliseconds. Waiting for shorter
/// prompts does not matter for a goal of a second.
pub const MIN_PROCESSING_MS: f64 = 80.0;

/// Maximum rate of notice datagrams of an instance, per second. At some twenty microseconds
/// for each one sent or received, they use at most two hundredths of a core. With 74
/// instances the rate allows five notices per second, which covers the long prompts and
/// shared prefixes of heavy traffic.
const MAX_DATAGRAMS_PER_S: f64 = 400.0;

/// Maximum number of notices sent at once after a quiet period.
const MAX_BURST: f64 = 6.0;

/// Prompt processing that an endpoint still has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Backlog {
    /// Time at which all of it will have been processed.
    until: Duration,
}

impl Backlog {
    /// Adds a prompt whose processing takes `processing_ms` milliseconds.
    pub fn add(&mut self, now: Duration, processing_ms: f64) {
        self.until = self.until.max(now) + Duration::from_secs_f64(processing_ms.max(0.0) / 1_000.0);
    }

    /// Returns the remaining processing time in milliseconds.
    #[must_use]
    pub fn left_ms(&self, now: Duration) -> f64 {
        self.until.saturating_sub(now).as_secs_f64() * 1_000.0
    }
}

/// Rate limit on the notices that an instance sends.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Number of notices that may be sent now.
    left: f64,
    refilled_at: Duration,
}

impl Budget {
    /// Creates a budget with a full burst, at the start of the process.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { left: MAX_BURST, refilled_at: now }
    }

    /// Decides whether the `others` instances are notified of a prompt, and if so counts
    /// the notice. Prompts whose processing takes long are announced, and those that
    /// contain a shared prefix worth caching (`has_shared_prefix`), while the budget lasts.
    pub fn try_notify(&mut self, now: Duration, processing_ms: f64, has_shared_prefix: bool, others: usize) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "instances are far fewer than 2^53")]
        let rate = MAX_DATAGRAMS_PER_S / others.max(1) as f64;
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.left = (self.left + passed * rate).min(MAX_BURST);
        self.refilled_at = now;
        if others == 0 || !(has_shared_prefix || processing_ms >= MIN_PROCESSING_MS) || self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
