//! Backoff between tries.
//!
//! If each of 750 instances waited a fixed time, all of them would call the platform at the
//! same moment after an outage and overload it again. Each wait is drawn at random between zero
//! and a ceiling that doubles (full jitter), which spreads the calls evenly over the last
//! ceiling.

use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use rand::Rng;

/// The waits between the tries of an operation.
#[derive(Debug)]
pub struct Backoff {
    ceilings: ExponentialBackoff,
    max: Duration,
}

impl Backoff {
    /// Creates a backoff whose ceiling starts at `min` and ends at `max`.
    #[must_use]
    pub fn new(min: Duration, max: Duration) -> Self {
        let builder = ExponentialBuilder::new().with_min_delay(min).with_max_delay(max).without_max_times();
        Self { ceilings: builder.build(), max }
    }

    /// Draws the next wait, which is at least `least`.
    pub fn next(&mut self, least: Duration, rng: &mut impl Rng) -> Duration {
        let ceiling = self.ceilings.next().unwrap_or(self.max).min(self.max);
        least + ceiling.mul_f64(rng.random())
    }
}
