//! A customer's account in one class: passes ahead of or behind its target.

use serde::{Deserialize, Serialize};

/// Most passes an account may be ahead. Where even the cheapest version is
/// better than asked, the account would grow for months, and would then pay
/// for a version that has turned bad for as long.
const MAX_AHEAD: f64 = 60.0;
/// Most passes an account may be behind: a bad day is made good, but not by
/// paying for the best version all year.
const MAX_BEHIND: f64 = 100.0;
/// Largest variance of lapsed answers.
const MAX_LAPSED: f64 = 25.0;

/// Standard deviations held back for answers whose rating is to come.
const PENDING_CAUTION: f64 = 1.0;
/// Standard deviations held back for answers whose rating will not come.
const LAPSED_CAUTION: f64 = 3.0;

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
    lapsed_variance: f64,
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
        pending
    }

    /// Expects another rate of an answer not yet rated.
    pub fn reopen(&mut self, pending: Pending, rate: f64) -> Pending {
        self.void(pending);
        self.open(rate, pending.target)
    }

    /// Replaces an expected rating by the real one.
    pub fn close(&mut self, pending: Pending, pass: bool) {
        self.void(pending);
        self.enter(f64::from(u8::from(pass)) - pending.target);
    }

    /// Lets an answer count as expected for good: its rating will not come.
    ///
    /// Its spread stays: the answer was as good or bad as any, only nobody
    /// will say.
    pub fn lapse(&mut self, pending: Pending) {
        self.void(pending);
        self.enter(pending.expected);
        self.lapsed_variance = (self.lapsed_variance + pending.variance).min(MAX_LAPSED);
    }

    /// Takes an answer out that was never given.
    pub fn void(&mut self, pending: Pending) {
        self.pending -= pending.expected;
        self.pending_variance = (self.pending_variance - pending.variance).max(0.0);
    }

    /// Passes ahead of the target, with caution.
    ///
    /// A pending answer's rating will correct the account, a lapsed one's will
    /// not; so more is held back for the lapsed.
    #[must_use]
    pub fn credit(&self) -> f64 {
        let spread = PENDING_CAUTION.powi(2) * self.pending_variance + LAPSED_CAUTION.powi(2) * self.lapsed_variance;
        self.rated + self.pending - spread.sqrt()
    }

    fn enter(&mut self, passes: f64) {
        self.rated = (self.rated + passes).clamp(-MAX_BEHIND, MAX_AHEAD);
    }
}
