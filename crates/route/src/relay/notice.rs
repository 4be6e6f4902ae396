//! Word of long prompts, told when they are sent, and what it amounts to.
//!
//! The load pattern: few prompts take an endpoint a third of a second to read,
//! and whatever comes meanwhile waits. Loads in news are up to 1.25 s old with
//! 74 instances, longer than such a reading takes, so half of them spoke of
//! prompts that had long been read and none of those that were just coming. So
//! an instance tells all others of a long prompt at once, in a few bytes, and
//! each keeps what endpoints still have to read: an endpoint reads one
//! prompt after another, so its [`Backlog`] melts by a millisecond each
//! millisecond, and nobody has to tell that a prompt has been read.

use std::time::Duration;

/// Least reading that is worth a notice, in milliseconds: shorter prompts pass
/// before the wait for them matters to a goal of a second.
pub const LEAST_MS: f64 = 80.0;

/// Datagrams a second that an instance spends on notices. With some twenty
/// microseconds for each, sent or received, this is two hundredths of a core at
/// most; at 74 instances it is five notices a second, as many as long prompts and
/// shared parts come to on a heavy day.
const DATAGRAMS: f64 = 400.0;

/// Notices that may be told at once after a quiet while.
const BURST: f64 = 6.0;

/// What an endpoint still has to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Backlog {
    /// When all of it will have been read.
    until: Duration,
}

impl Backlog {
    /// Adds a prompt that takes so many milliseconds to read.
    pub fn add(&mut self, now: Duration, reading_ms: f64) {
        self.until = self.until.max(now) + Duration::from_secs_f64(reading_ms.max(0.0) / 1_000.0);
    }

    /// What is left of it, in milliseconds.
    #[must_use]
    pub fn left_ms(&self, now: Duration) -> f64 {
        self.until.saturating_sub(now).as_secs_f64() * 1_000.0
    }
}

/// What an instance may still spend on notices.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Notices that may be told now.
    left: f64,
    filled: Duration,
}

impl Budget {
    /// A budget for the first notices of a process.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { left: BURST, filled: now }
    }

    /// Whether a prompt that takes so long to read is told to `others`; any
    /// that `shares` a part worth keeping is, while the budget lasts.
    pub fn spend(&mut self, now: Duration, reading_ms: f64, shares: bool, others: usize) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "instances are far fewer than 2^53")]
        let rate = DATAGRAMS / others.max(1) as f64;
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.left = (self.left + passed * rate).min(BURST);
        self.filled = now;
        if others == 0 || !(shares || reading_ms >= LEAST_MS) || self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
