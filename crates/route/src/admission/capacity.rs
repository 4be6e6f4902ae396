//! Estimates what a run costs and how much a service can take.
//!
//! The capacity follows from the endpoints' slots and the usual times of runs. Both may be
//! wrong, and so may the demands that are known of other instances. What runs show of their
//! endpoints corrects all of these errors: waits that are longer than usual and rejections by
//! full endpoints lower the assumed capacity, short waits raise it.

use std::time::Duration;

/// Number of runs over which the mean time of runs averages.
const RUNS_AVERAGED: f64 = 32.0;

/// The same for runs that took longer than usual although the demand is below the capacity. Some of
/// them wait in an overload that begins; a lasting change outlasts this number.
const LATE_RUNS_AVERAGED: f64 = 256.0;

/// Number of runs below the capacity after which their mean is used. The first runs of an overload
/// count as such too, since it is recognized with a delay.
const MIN_CALM_RUNS: f64 = 20.0;

/// Weight of a run that took less than the estimate, while the mean is not known. The first runs of
/// an overload may have waited for longer than they ran.
const WEIGHT_BELOW: f64 = 0.5;

/// Weight of a run that took longer, while the mean is not known.
const WEIGHT_ABOVE: f64 = 0.01;

/// The same above the capacity. Nearly all of the excess is a wait at its endpoint, which must not look
/// like work: after some hundred runs, a team that asks for just its share would seem to ask for more.
const CROWDED_WEIGHT_ABOVE: f64 = 0.001;

/// Decrease of the assumed capacity, as a power of e per second, while waits are at the upper bound
/// of what is corrected. An error by half is corrected in some four seconds. Faster, the queues
/// that the first moments of an overload leave at endpoints would look like a lack of capacity.
const DECREASE_PER_S: f64 = 0.2;

/// Increase while waits are at the lower bound, which means that requests are held back although
/// there is room.
const INCREASE_PER_S: f64 = 0.5;

/// Part by which waits at those bounds lower or raise the rate of limited requests at once.
/// Without it the assumed capacity would swing: it changes the rate of the waits' growth.
const DAMPING: f64 = 0.4;

/// Excess of waits above which endpoints are nearly full, and the further part by which the rate of
/// limited requests is lowered at the upper bound. Requests that are not limited need the room.
const FULL_EXCESS: f64 = 0.5;
const FULL_DAMPING: f64 = 0.2;

/// Part by which waits at those bounds lower the assumed capacity at once while the measured demand
/// does not explain them. Demand is measured over a second, and endpoints are full sooner.
const SURPRISE: f64 = 0.3;

/// Demand over capacity above which it explains long waits, and from which on it partly does.
const EXPLAINED_ABOVE: f64 = 1.5;
const UNEXPLAINED_BELOW: f64 = 1.0;

/// Longest time that one observation stands for, in seconds. Otherwise the first run after a
/// pause would count for all of it.
const MAX_STEP_S: f64 = 0.1;

/// Shortest time that a rejection stands for, in seconds: several rejections at the same moment
/// show more than one.
const MIN_REJECTION_STEP_S: f64 = 0.02;

/// Weight of an observation in the smoothed excess of waits.
const EXCESS_WEIGHT: f64 = 0.3;

/// Time in which the assumed capacity returns to the declared one while nothing is limited, in
/// seconds.
const RETURN_S: f64 = 2.0;

/// Bounds of the correction.
const MIN_FACTOR: f64 = 0.2;
const MAX_FACTOR: f64 = 3.0;

/// Load under which a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunLoad {
    /// Demand below the capacity, and no longer waits than usual.
    Calm,
    /// Demand below the capacity, but longer waits than usual: runs may have become longer.
    Late,
    /// Demand near or above the capacity; the run is likely to have waited at its endpoint.
    Crowded,
}

/// Estimated time of runs of one kind, in milliseconds: the mean of those that ran while the
/// service was below its capacity or, before enough of these, about the shortest ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTime {
    calm_ms: f64,
    calm_runs: f64,
    shortest_ms: Option<f64>,
}

impl RunTime {
    /// Returns the estimate; `None` before any run.
    #[must_use]
    pub fn get(&self) -> Option<f64> {
        if self.calm_runs >= MIN_CALM_RUNS { Some(self.calm_ms) } else { self.shortest_ms }
    }

    /// Returns the estimate, where `told_ms` is the least that another instance has told. Its first
    /// runs may have waited less.
    #[must_use]
    pub fn with_told(&self, told_ms: Option<f64>) -> Option<f64> {
        if self.calm_runs >= MIN_CALM_RUNS {
            return Some(self.calm_ms);
        }
        match (self.shortest_ms, told_ms) {
            (Some(own), Some(told)) => Some(own.min(told)),
            (own, told) => own.or(told),
        }
    }

    /// Records the time of a run.
    pub fn observe(&mut self, took_ms: f64, load: RunLoad) {
        let shortest_ms = self.shortest_ms.get_or_insert(took_ms);
        let weight = match load {
            _ if took_ms < *shortest_ms => WEIGHT_BELOW,
            RunLoad::Crowded => CROWDED_WEIGHT_ABOVE,
            RunLoad::Calm | RunLoad::Late => WEIGHT_ABOVE,
        };
        *shortest_ms += weight * (took_ms - *shortest_ms);
        match load {
            RunLoad::Calm => {
                self.calm_runs += 1.0;
                self.calm_ms += (took_ms - self.calm_ms) / self.calm_runs.min(RUNS_AVERAGED);
            }
            RunLoad::Late if self.calm_runs >= MIN_CALM_RUNS => {
                self.calm_ms += (took_ms - self.calm_ms) / LATE_RUNS_AVERAGED;
            }
            RunLoad::Late | RunLoad::Crowded => {}
        }
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

    /// Records a wait, or a rejection as the longest one, while requests are held back at other instances
    /// only. They see the same waits and can shorten them; here, a lower capacity would only hold back
    /// teams within their shares.
    pub fn record_wait_of_others(&mut self, wait_ms: f64, usual_ms: f64, now: Duration) {
        let excess = ((wait_ms - usual_ms) / usual_ms.max(1.0)).clamp(-1.0, 1.0);
        let step = self.step(now);
        self.excess += EXCESS_WEIGHT * (excess - self.excess);
        self.factor += (1.0 - self.factor) * (step / RETURN_S).min(1.0);
    }

    /// Returns the assumed capacity as a fraction of the declared one.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.factor
    }

    /// Returns the capacity to divide while a demand is known. It is lower where waits are long
    /// although the demand is not above the capacity: the demand is still rising, or that of other
    /// instances is not known yet.
    #[must_use]
    pub fn capacity_for(&self, demand: f64) -> f64 {
        let excess = (EXPLAINED_ABOVE - demand / self.factor) / (EXPLAINED_ABOVE - UNEXPLAINED_BELOW);
        self.factor * (1.0 - SURPRISE * self.excess.max(0.0) * excess.clamp(0.0, 1.0))
    }

    /// Whether recent waits were longer than usual.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.excess > 0.0
    }

    /// Returns the rate at which limited requests may start, as a multiple of their allocation.
    /// It keeps the waits at endpoints short and above zero, and leaves what is not limited alone.
    #[must_use]
    pub fn pace(&self) -> f64 {
        let fullness = (self.excess - FULL_EXCESS).max(0.0) / (1.0 - FULL_EXCESS);
        1.0 - DAMPING * self.excess - FULL_DAMPING * fullness
    }

    fn step(&mut self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        passed.min(MAX_STEP_S)
    }

    fn scale(&mut self, change: f64) {
        let per_s = if change < 0.0 { DECREASE_PER_S } else { INCREASE_PER_S };
        self.factor = (self.factor * (per_s * change).exp()).clamp(MIN_FACTOR, MAX_FACTOR);
    }
}
