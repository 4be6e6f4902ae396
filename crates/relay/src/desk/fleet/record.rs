//! Running means of an endpoint's statistics.

use std::time::Duration;

/// Weight of a new observation in a running mean, which thus covers about seven observations.
const NEWEST: f64 = 0.15;

/// Time in which a running mean moves half-way to its neutral value.
const FADES: Duration = Duration::from_secs(4);

/// A running mean that decays to a neutral value.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    /// The mean at the latest observation.
    pub(super) value: f64,
    /// Time of the latest observation.
    pub(super) at: Duration,
}

impl Record {
    /// Adds an observation.
    pub(super) fn seen(&mut self, value: f64, neutral: f64, now: Duration) {
        let current = self.now(neutral, now);
        *self = Self { value: current + NEWEST * (value - current), at: now };
    }

    /// Returns the mean, decayed towards `neutral` since the latest observation.
    pub(super) fn now(&self, neutral: f64, now: Duration) -> f64 {
        let halves = now.saturating_sub(self.at).as_secs_f64() / FADES.as_secs_f64();
        neutral + (self.value - neutral) * 0.5_f64.powf(halves)
    }
}
