//! Running means of an endpoint's statistics.

use std::time::Duration;

/// Weight of a new observation in a running mean, which thus covers about seven observations.
const NEWEST_WEIGHT: f64 = 0.15;

/// Time in which a running mean moves half-way to its neutral value.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// A running mean that decays to a neutral value.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingMean {
    /// The mean at the latest observation.
    pub(super) value: f64,
    /// Time of the latest observation.
    pub(super) updated_at: Duration,
}

impl DecayingMean {
    /// Adds an observation.
    pub(super) fn observe(&mut self, value: f64, neutral: f64, now: Duration) {
        let current = self.value_at(neutral, now);
        *self = Self { value: current + NEWEST_WEIGHT * (value - current), updated_at: now };
    }

    /// Returns the mean, decayed towards `neutral` since the latest observation.
    pub(super) fn value_at(&self, neutral: f64, now: Duration) -> f64 {
        let half_lives = now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        neutral + (self.value - neutral) * 0.5_f64.powf(half_lives)
    }
}
