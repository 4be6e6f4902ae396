//! Estimates what a run costs and how much a service can take.
//!
//! The capacity follows from the endpoints' slots and the usual times of runs. Both may be
//! wrong, and so may the demands that are known of other instances. What runs show of their
//! endpoints corrects all of these errors: waits that are longer than usual and rejections by
//! full endpoints lower the assumed capacity, short waits raise it.

use std::time::Duration;

/// Number of runs over which the estimate of a run's time averages.
const RUNS_AVERAGED: f64 = 32.0;

/// Weight of a run above the estimate while the service is above its capacity. Such runs have
/// waited at their endpoint, which must not look like work.
const WEIGHT_OF_WAITS: f64 = 0.005;

/// Change of the assumed capacity, as a power of e per second, while waits are at the bounds of
/// what is corrected. An error by half is corrected in a second.
const CORRECTION_PER_S: f64 = 0.7;

/// Part of the capacity by which a wait at those bounds lowers or raises the rate at once.
/// Without it the assumed capacity would swing: it changes the rate of the waits' growth.
const DAMPING: f64 = 0.5;

/// Longest time that one observation stands for, in seconds. Otherwise the first run after a
/// pause would count for all of it.
const MAX_STEP_S: f64 = 0.1;

/// Shortest time that a rejection stands for, in seconds: several rejections at the same moment
/// show more than one.
const MIN_REJECTION_STEP_S: f64 = 0.02;

/// Weight of an observation in the smoothed excess of waits.
const EXCESS_WEIGHT: f64 = 0.15;

/// Time in which the assumed capacity returns to the declared one while nothing is limited, in
/// seconds.
const RETURN_S: f64 = 2.0;

/// Bounds of the correction.
const MIN_FACTOR: f64 = 0.2;
const MAX_FACTOR: f64 = 3.0;

/// Estimated time of runs of one kind, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTime {
    mean_ms: f64,
    runs: f64,
}

impl RunTime {
    /// Returns the estimate, or `initial_ms` before any run.
    #[must_use]
    pub fn get(&self, initial_ms: f64) -> f64 {
        if self.runs > 0.0 { self.mean_ms } else { initial_ms }
    }

    /// Records the time of a run; `is_crowded` says whether it is likely to have waited at its
    /// endpoint.
    pub fn observe(&mut self, took_ms: f64, is_crowded: bool) {
        self.runs = (self.runs + 1.0).min(RUNS_AVERAGED);
        let weight = 1.0 / self.runs;
        let is_wait = is_crowded && took_ms > self.mean_ms && self.runs > 1.0;
        self.mean_ms += if is_wait { weight.min(WEIGHT_OF_WAITS) } else { weight } * (took_ms - self.mean_ms);
    }
}

/// Ratio of the capacity that a service shows to the declared one.
#[derive(Debug, Clone, Copy)]
pub struct Correction {
    factor: f64,
    /// Smoothed excess of waits, from -1 for none to 1.
    excess: f64,
    updated_at: Duration,
}

impl Correction {
    /// Returns a correction that trusts the declared capacity.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { factor: 1.0, excess: 0.0, updated_at: now }
    }

    /// Records that a run waited at its endpoint for `wait_ms`, where `usual_ms` is the wait at a
    /// service that is just busy. `is_limiting` says whether requests are held back.
    pub fn record_wait(&mut self, wait_ms: f64, usual_ms: f64, is_limiting: bool, now: Duration) {
        let excess = ((wait_ms - usual_ms) / usual_ms.max(1.0)).clamp(-1.0, 1.0);
        let step = self.step(now);
        self.excess += EXCESS_WEIGHT * (excess - self.excess);
        if is_limiting || excess > 0.0 {
            self.scale(-excess * step);
        } else {
            // Short waits below the capacity show nothing about it.
            self.factor += (1.0 - self.factor) * (step / RETURN_S).min(1.0);
        }
    }

    /// Records that a full endpoint rejected a run.
    pub fn record_rejection(&mut self, now: Duration) {
        let step = self.step(now).max(MIN_REJECTION_STEP_S);
        self.excess += EXCESS_WEIGHT * (1.0 - self.excess);
        self.scale(-step);
    }

    /// Returns the assumed capacity as a fraction of the declared one.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.factor * (1.0 - DAMPING * self.excess.max(0.0))
    }

    /// Returns the rate at which runs may start where they are limited, as a multiple of
    /// [`Correction::capacity`].
    #[must_use]
    pub fn boost(&self) -> f64 {
        1.0 - DAMPING * self.excess.min(0.0)
    }

    fn step(&mut self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        passed.min(MAX_STEP_S)
    }

    fn scale(&mut self, change: f64) {
        self.factor = (self.factor * (CORRECTION_PER_S * change).exp()).clamp(MIN_FACTOR, MAX_FACTOR);
    }
}
