//! Accounting of the money that this instance may spend of one customer's
//! budget.

use std::time::Duration;

use tokio::time::Instant;
use world::money::Amount;

/// Weight of the newest sample in the smoothed spending rate.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Shortest time over which a sample of the rate is taken.
const MIN_SAMPLE: Duration = Duration::from_secs(1);

/// A grant and the parts of it that are spent and reserved.
#[derive(Debug, Clone)]
pub struct Wallet {
    granted: Amount,
    spent: Amount,
    reserved: Amount,
    /// Smoothed spending rate, per second.
    rate: f64,
    /// Start of the current sample and the amount spent since then.
    sample: (Instant, Amount),
    used_at: Instant,
}

/// Parameters of the size of grants.
#[derive(Debug, Clone, Copy)]
pub struct Sizing {
    /// Time that the available amount should last at the present rate.
    pub supply_time: Duration,
    /// Number of requests like the present one that the available amount
    /// should cover, if that is more.
    pub min_requests: u64,
    /// Divisor that bounds the amount to keep available: at most what is left of
    /// the budget divided by this.
    pub share_divisor: u64,
}

impl Default for Sizing {
    fn default() -> Self {
        Self { supply_time: Duration::from_secs(30), min_requests: 8, share_divisor: 28 }
    }
}

impl Wallet {
    /// Creates an empty wallet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let none = Amount::ZERO;
        Self { granted: none, spent: none, reserved: none, rate: 0.0, sample: (now, none), used_at: now }
    }

    /// Returns the amount that is neither spent nor reserved.
    #[must_use]
    pub fn available(&self) -> Amount {
        self.granted.saturating_sub(self.spent).saturating_sub(self.reserved)
    }

    /// Returns the amount spent of the grant.
    #[must_use]
    pub fn spent(&self) -> Amount {
        self.spent
    }

    /// Returns the amount reserved for running requests.
    #[must_use]
    pub fn reserved(&self) -> Amount {
        self.reserved
    }

    /// Returns whether any amount is reserved.
    #[must_use]
    pub fn in_use(&self) -> bool {
        self.reserved > Amount::ZERO
    }

    /// Returns the time of the last reservation.
    #[must_use]
    pub fn used_at(&self) -> Instant {
        self.used_at
    }

    /// Reserves a ceiling. Returns false if less is available.
    pub fn reserve(&mut self, ceiling: Amount, now: Instant) -> bool {
        if self.available() < ceiling {
            return false;
        }
        self.reserved = self.reserved.saturating_add(ceiling);
        self.used_at = now;
        true
    }

    /// Ends a reservation of which `actual` was spent.
    pub fn commit(&mut self, ceiling: Amount, actual: Amount, now: Instant) {
        self.reserved = self.reserved.saturating_sub(ceiling);
        self.spent = self.spent.saturating_add(actual);
        self.update_rate(actual, now);
    }

    /// Sets the size of the grant.
    pub fn set_granted(&mut self, granted: Amount) {
        self.granted = granted;
    }

    /// Removes money that is about to be returned, so that it cannot be
    /// reserved.
    pub fn remove_unspent(&mut self, unspent: Amount) {
        self.granted = self.granted.saturating_sub(unspent);
    }

    /// Returns the amount to keep available: enough for the configured time at
    /// the present rate, and for some requests of this ceiling.
    #[must_use]
    pub fn wanted(&self, ceiling: Amount, sizing: &Sizing) -> Amount {
        let ahead = from_f64(self.rate * sizing.supply_time.as_secs_f64());
        ahead.max(total_ceiling(ceiling, sizing.min_requests))
    }

    /// Lowers the smoothed spending rate while nothing is spent.
    pub fn decay_rate(&mut self, now: Instant) {
        self.update_rate(Amount::ZERO, now);
    }

    /// Adds a spent amount to the current sample and updates the rate when the sample is long enough.
    fn update_rate(&mut self, actual: Amount, now: Instant) {
        self.sample.1 = self.sample.1.saturating_add(actual);
        let elapsed = now.duration_since(self.sample.0);
        if elapsed < MIN_SAMPLE {
            return;
        }
        let newest = to_f64(self.sample.1) / elapsed.as_secs_f64();
        self.rate += (newest - self.rate) * SAMPLE_WEIGHT;
        self.sample = (now, Amount::ZERO);
    }
}

/// Returns the amount to keep available: `wanted`, bounded by a fraction of the
/// sum of what is left to grant and what this instance has available. So grants
/// shrink with the budget, and near its end most of the remainder is still free
/// for any instance that needs it.
#[must_use]
pub fn target(wanted: Amount, available: Amount, remaining: Amount, sizing: &Sizing) -> Amount {
    let max_available = Amount(remaining.saturating_add(available).0 / sizing.share_divisor.max(1));
    wanted.min(max_available)
}

/// Returns the size of an extension: enough to reach the target, and at least
/// what the waiting requests need.
#[must_use]
pub fn extension_size(
    shortfall: Amount,
    wanted: Amount,
    available: Amount,
    remaining: Amount,
    sizing: &Sizing,
) -> Amount {
    target(wanted, available, remaining, sizing).saturating_sub(available).max(shortfall)
}

/// Returns the sum of the ceilings of `requests` equal requests.
fn total_ceiling(ceiling: Amount, requests: u64) -> Amount {
    Amount(ceiling.0.saturating_mul(requests))
}

#[expect(clippy::cast_precision_loss, reason = "a rate needs no more than 52 bits")]
fn to_f64(amount: Amount) -> f64 {
    amount.0 as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a cast of a float saturates")]
fn from_f64(number: f64) -> Amount {
    Amount(number as u64)
}
