//! Running means of how an endpoint has been doing.

use std::time::Duration;

/// Weight of a new observation in a running mean: about seven count.
const NEWEST: f64 = 0.15;

/// Time in which half of an endpoint's bad record fades.
const FADES: Duration = Duration::from_secs(4);

/// A running mean that fades to a neutral value.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    pub(super) value: f64,
    pub(super) at: Duration,
}

impl Record {
    pub(super) fn seen(&mut self, value: f64, neutral: f64, now: Duration) {
        let current = self.now(neutral, now);
        *self = Self { value: current + NEWEST * (value - current), at: now };
    }

    pub(super) fn now(&self, neutral: f64, now: Duration) -> f64 {
        let halves = now.saturating_sub(self.at).as_secs_f64() / FADES.as_secs_f64();
        neutral + (self.value - neutral) * 0.5_f64.powf(halves)
    }
}
