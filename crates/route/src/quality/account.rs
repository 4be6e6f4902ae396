//! A customer's account in one class: passes ahead of or behind its target.

use serde::{Deserialize, Serialize};

/// Weight of the newest answer once an account has seen many.
const MEMORY: f64 = 2_000.0;

/// Passes ahead of (positive) or behind (negative) the target.
///
/// An answer with no rating yet counts as expected at a cautious rate, and
/// its spread is kept, so that an hour without ratings makes the account
/// careful and not bold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    rated: f64,
    pending: f64,
    pending_variance: f64,
    answers: f64,
}

/// An answer that waits for its rating.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Pending {
    target: f64,
    expected: f64,
    variance: f64,
}

impl Account {
    /// Enters an answer of unknown rating, expected to pass at `rate`.
    pub fn open(&mut self, rate: f64, target: f64) -> Pending {
        let pending = Pending { target, expected: rate - target, variance: rate * (1.0 - rate) };
        self.pending += pending.expected;
        self.pending_variance += pending.variance;
        self.answers = (self.answers + 1.0).min(MEMORY);
        pending
    }

    /// Replaces an expected rating by the real one.
    pub fn close(&mut self, pending: Pending, pass: bool) {
        self.void(pending);
        self.rated += f64::from(u8::from(pass)) - pending.target;
    }

    /// Takes an answer out that was never given.
    pub fn void(&mut self, pending: Pending) {
        self.pending -= pending.expected;
        self.pending_variance = (self.pending_variance - pending.variance).max(0.0);
    }

    /// Passes ahead of the target, `z` standard deviations of the unrated
    /// answers taken off.
    #[must_use]
    pub fn credit(&self, z: f64) -> f64 {
        z.mul_add(-self.pending_variance.sqrt(), self.rated + self.pending)
    }

    /// Answers entered, up to the account's memory.
    #[must_use]
    pub fn answers(&self) -> f64 {
        self.answers
    }
}
