//! How often a fault strikes: seeded, so that a run can be had again; and
//! the clocks of delays and records.

use std::time::{Duration, SystemTime};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp};

/// How often a fault strikes: surely the next few times, then by chance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Odds {
    /// Strikes this many times first.
    pub next: u32,
    /// Chance from 0 to 1 after that.
    pub share: f64,
}

impl Odds {
    /// Never.
    pub const NEVER: Self = Self { next: 0, share: 0.0 };
    /// Every time.
    pub const ALWAYS: Self = Self { next: 0, share: 1.0 };

    /// The next `count` times and no more.
    #[must_use]
    pub const fn next(count: u32) -> Self {
        Self { next: count, share: 0.0 }
    }

    /// By chance.
    #[must_use]
    pub const fn share(share: f64) -> Self {
        Self { next: 0, share }
    }
}

/// The random source of one stand-in.
#[derive(Debug)]
pub(crate) struct Dice(ChaCha8Rng);

impl Dice {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Whether the fault strikes this time; counts down its sure strikes.
    pub(crate) fn strikes(&mut self, odds: &mut Odds) -> bool {
        if odds.next > 0 {
            odds.next -= 1;
            return true;
        }
        odds.share > 0.0 && self.0.random_bool(odds.share.min(1.0))
    }
}

/// Waits a switch's milliseconds; none costs no timer.
pub(crate) async fn pause(span: Millis) {
    if span > 0 {
        tokio::time::sleep(Duration::from_millis(span)).await;
    }
}

/// The wall clock, for records.
pub(crate) fn wall_clock() -> Timestamp {
    SystemTime::now().into()
}
