//! The quality account of a customer in one class: passes ahead of or behind the
//! target.

use serde::{Deserialize, Serialize};

/// Maximum number of passes that an account may be ahead. If even the cheapest
/// version exceeds the target, an unbounded account would grow for months, and
/// would then tolerate a bad version for as long.
const MAX_AHEAD_PASSES: f64 = 60.0;
/// Maximum number of passes that an account may be behind. A bad day is compensated
/// for, but not by paying for the best version all year.
const MAX_BEHIND_PASSES: f64 = 100.0;
/// Maximum variance of lapsed answers.
const MAX_LAPSED_VARIANCE: f64 = 25.0;

/// Standard deviations subtracted for answers whose rating is pending.
const PENDING_CAUTION_DEVIATIONS: f64 = 1.0;
/// Standard deviations subtracted for answers whose rating has lapsed.
const LAPSED_CAUTION_DEVIATIONS: f64 = 3.0;

/// Passes ahead of (positive) or behind (negative) the target.
///
/// An answer without a rating counts with its expected pass rate, and its variance
/// is added up, so that an hour without ratings makes the account more cautious.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Passes ahead of the target from answers that were rated or have lapsed.
    rated: f64,
    /// Passes ahead of the target expected from pending answers.
    pending: f64,
    /// Variance of the passes of pending answers.
    pending_variance: f64,
    /// Variance of the passes of lapsed answers.
    lapsed_variance: f64,
}

/// An answer whose rating is pending.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Pending {
    /// Target pass rate.
    target: f64,
    /// Expected pass rate minus the target.
    expected: f64,
    /// Variance of the answer's rating.
    variance: f64,
}

impl Account {
    /// Adds an answer without a rating that is expected to pass at `rate`.
    pub fn add_pending(&mut self, rate: f64, target: f64) -> Pending {
        let pending = Pending { target, expected: rate - target, variance: rate * (1.0 - rate) };
        self.pending += pending.expected;
        self.pending_variance += pending.variance;
        pending
    }

    /// Changes the expected pass rate of an answer without a rating.
    pub fn update_pending(&mut self, pending: Pending, rate: f64) -> Pending {
        self.remove_pending(pending);
        self.add_pending(rate, pending.target)
    }

    /// Replaces the expected rating of an answer by the actual one.
    pub fn record_rating(&mut self, pending: Pending, pass: bool) {
        self.remove_pending(pending);
        self.add_passes(f64::from(u8::from(pass)) - pending.target);
    }

    /// Counts an answer permanently with its expected rating, since the actual one
    /// is no longer expected.
    ///
    /// Its variance is kept, since the quality of the answer remains unknown.
    pub fn lapse(&mut self, pending: Pending) {
        self.remove_pending(pending);
        self.add_passes(pending.expected);
        self.lapsed_variance = (self.lapsed_variance + pending.variance).min(MAX_LAPSED_VARIANCE);
    }

    /// Removes an answer that was never given.
    pub fn remove_pending(&mut self, pending: Pending) {
        self.pending -= pending.expected;
        self.pending_variance = (self.pending_variance - pending.variance).max(0.0);
    }

    /// Returns the passes ahead of the target, less a margin for unrated answers.
    ///
    /// The rating of a pending answer will correct the account, that of a lapsed
    /// answer will not, so the margin for lapsed answers is larger.
    #[must_use]
    pub fn credit(&self) -> f64 {
        let variance = PENDING_CAUTION_DEVIATIONS.powi(2) * self.pending_variance
            + LAPSED_CAUTION_DEVIATIONS.powi(2) * self.lapsed_variance;
        self.rated + self.pending - variance.sqrt()
    }

    fn add_passes(&mut self, passes: f64) {
        self.rated = (self.rated + passes).clamp(-MAX_BEHIND_PASSES, MAX_AHEAD_PASSES);
    }
}
