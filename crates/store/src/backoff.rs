//! Waiting between tries.
//!
//! When the platform comes back after an outage, 750 instances would return
//! in the same instant if each waited a fixed time, and push it over again.
//! Each wait is drawn anew from zero to a ceiling that doubles (full jitter),
//! which spreads the returns evenly over the last ceiling.

use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use rand::Rng;

/// The waits of one operation.
#[derive(Debug)]
pub struct Backoff {
    ceilings: ExponentialBackoff,
    max: Duration,
}

impl Backoff {
    /// Starts at the ceiling `min`, ends at `max`.
    #[must_use]
    pub fn new(min: Duration, max: Duration) -> Self {
        let builder = ExponentialBuilder::new().with_min_delay(min).with_max_delay(max).without_max_times();
        Self { ceilings: builder.build(), max }
    }

    /// The next wait, at least `least`.
    pub fn next(&mut self, least: Duration, rng: &mut impl Rng) -> Duration {
        let ceiling = self.ceilings.next().unwrap_or(self.max).min(self.max);
        least + ceiling.mul_f64(rng.random())
    }
}
