//! Paces the cost of runs that an instance may start at a service.

use std::time::Duration;

/// Time for which unused rate is kept. Requests arrive in short bursts; a bucket that kept
/// less would make them wait although the rate over a fraction of a second is kept.
const BURST_MS: f64 = 200.0;

/// Number of usual runs that may start at once however low the rate is. An instance of a large
/// fleet has a fraction of one slot, and a run costs many times what is refilled in
/// [`BURST_MS`].
const MIN_BURST_RUNS: f64 = 2.0;

/// A token bucket of cost. A run may start while the balance is positive, and may cost more
/// than the balance: long runs would otherwise never start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bucket {
    balance: f64,
    per_ms: f64,
    depth: f64,
    updated_at: Duration,
}

impl Bucket {
    /// Adds what has been refilled since the last update and sets the rate from now on.
    /// `usual_cost` is the cost of a usual run.
    pub fn update(&mut self, per_ms: f64, usual_cost: f64, now: Duration) {
        self.refill(now);
        self.per_ms = per_ms;
        self.depth = (per_ms * BURST_MS).max(MIN_BURST_RUNS * usual_cost);
        self.balance = self.balance.min(self.depth);
    }

    /// Adds what has been refilled since the last update.
    pub fn refill(&mut self, now: Duration) {
        let passed_ms = now.saturating_sub(self.updated_at).as_secs_f64() * 1_000.0;
        self.balance = (self.balance + passed_ms * self.per_ms).min(self.depth);
        self.updated_at = now;
    }

    /// Fills the bucket and forgets its debt.
    pub fn fill(&mut self, now: Duration) {
        self.balance = self.depth;
        self.updated_at = now;
    }

    /// Whether a run may start, as of the last update.
    #[must_use]
    pub fn may_start(&self) -> bool {
        self.balance > 0.0
    }

    /// Charges a cost; a negative one is given back.
    pub fn charge(&mut self, cost: f64) {
        self.balance = (self.balance - cost).min(self.depth);
    }

    /// Returns the cost that a full bucket covers.
    #[must_use]
    pub fn depth(&self) -> f64 {
        self.depth
    }

    /// Returns the cost that was started ahead of the rate.
    #[must_use]
    pub fn debt(&self) -> f64 {
        (-self.balance).max(0.0)
    }

    /// Returns the time until a run may start.
    #[must_use]
    pub fn wait(&self) -> Duration {
        if self.may_start() {
            return Duration::ZERO;
        }
        let millis = (self.debt() / self.per_ms.max(f64::MIN_POSITIVE)).min(60_000.0);
        Duration::from_secs_f64(millis / 1_000.0)
    }
}
