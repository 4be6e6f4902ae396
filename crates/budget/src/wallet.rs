//! What this instance may spend of one customer's budget.

use std::time::Duration;

use tokio::time::Instant;
use world::money::Amount;

/// Weight of the newest span in the spending rate.
const NEWEST: f64 = 0.3;
/// Shortest span that the rate is taken over.
const SPAN: Duration = Duration::from_secs(1);

/// One grant and what became of it.
#[derive(Debug, Clone)]
pub struct Wallet {
    granted: Amount,
    spent: Amount,
    reserved: Amount,
    /// Spent per second, smoothed.
    rate: f64,
    span: (Instant, Amount),
    used_at: Instant,
}

/// How grants are sized.
#[derive(Debug, Clone, Copy)]
pub struct Sizing {
    /// A grant lasts this long at the present rate.
    pub ahead: Duration,
    /// Or for this many requests like the present one, whichever is more.
    pub requests: u64,
    /// A holding is at most one part in this many of what is left.
    pub parts: u64,
}

impl Default for Sizing {
    fn default() -> Self {
        Self { ahead: Duration::from_secs(30), requests: 8, parts: 28 }
    }
}

impl Wallet {
    /// An empty one.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let none = Amount::ZERO;
        Self { granted: none, spent: none, reserved: none, rate: 0.0, span: (now, none), used_at: now }
    }

    /// Neither spent nor reserved.
    #[must_use]
    pub fn available(&self) -> Amount {
        self.granted.saturating_sub(self.spent).saturating_sub(self.reserved)
    }

    /// Spent of the grant.
    #[must_use]
    pub fn spent(&self) -> Amount {
        self.spent
    }

    /// Set aside for requests that run.
    #[must_use]
    pub fn reserved(&self) -> Amount {
        self.reserved
    }

    /// Whether requests run on it.
    #[must_use]
    pub fn in_use(&self) -> bool {
        self.reserved > Amount::ZERO
    }

    /// When it was last reserved from.
    #[must_use]
    pub fn used_at(&self) -> Instant {
        self.used_at
    }

    /// Reserves a ceiling; false when not enough is available.
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
        self.measure(actual, now);
    }

    /// The grant stands at this much.
    pub fn set_granted(&mut self, granted: Amount) {
        self.granted = granted;
    }

    /// Takes what is to be given back out of what can be reserved.
    pub fn take_out(&mut self, unspent: Amount) {
        self.granted = self.granted.saturating_sub(unspent);
    }

    /// What to hold available: for a time ahead, and some requests.
    #[must_use]
    pub fn wanted(&self, ceiling: Amount, sizing: &Sizing) -> Amount {
        let ahead = amount(self.rate * sizing.ahead.as_secs_f64());
        ahead.max(times(ceiling, sizing.requests))
    }

    /// Lets the rate fall while nothing is spent.
    pub fn pass(&mut self, now: Instant) {
        self.measure(Amount::ZERO, now);
    }

    fn measure(&mut self, actual: Amount, now: Instant) {
        self.span.1 = self.span.1.saturating_add(actual);
        let past = now.duration_since(self.span.0);
        if past < SPAN {
            return;
        }
        let newest = number(self.span.1) / past.as_secs_f64();
        self.rate += (newest - self.rate) * NEWEST;
        self.span = (now, Amount::ZERO);
    }
}

/// What to hold available: what is wanted, but no more than a part of what is
/// left, the own holding included. So grants shrink with the budget, and near
/// its end the most of what is left can still be had by whoever needs it.
#[must_use]
pub fn target(wanted: Amount, available: Amount, left: Amount, sizing: &Sizing) -> Amount {
    let part = Amount(left.saturating_add(available).0 / sizing.parts.max(1));
    wanted.min(part)
}

/// How much more to ask for; the requests at hand go first.
#[must_use]
pub fn cut_size(missing: Amount, wanted: Amount, available: Amount, left: Amount, sizing: &Sizing) -> Amount {
    target(wanted, available, left, sizing).saturating_sub(available).max(missing)
}

/// A number of requests' ceilings.
fn times(ceiling: Amount, requests: u64) -> Amount {
    Amount(ceiling.0.saturating_mul(requests))
}

#[expect(clippy::cast_precision_loss, reason = "a rate needs no more than 52 bits")]
fn number(amount: Amount) -> f64 {
    amount.0 as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a cast of a float saturates")]
fn amount(number: f64) -> Amount {
    Amount(number as u64)
}
