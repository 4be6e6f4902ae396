//! Health of an endpoint: it is ejected when it fails or becomes very slow, and readmitted
//! gradually.

use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp};

/// Consecutive failures that eject an endpoint.
const FAILURES_TO_EJECT: u32 = 5;
/// Consecutive failures that eject an endpoint again while it is being readmitted.
const FAILURES_TO_EJECT_WHILE_RETURNING: u32 = 1;
/// Relative run time, as a multiple of the typical one, above which an endpoint is ejected.
const MAX_SLOWNESS: f64 = 4.0;
/// Number of runs before the average relative run time is used.
const MIN_SLOWNESS_RUNS: u32 = 10;
/// Weight of the newest run in the average relative run time.
const SLOWNESS_STEP: f64 = 0.2;
/// Duration of the first ejection. Each further one is twice as long.
const EJECT_MS: Millis = 10_000;
/// Maximum duration of an ejection.
const MAX_EJECT_MS: Millis = 300_000;
/// Time from the end of an ejection until the endpoint has its full weight again.
const READMISSION_MS: Millis = 30_000;
/// Minimum weight of an endpoint that is not ejected.
const MIN_WEIGHT: f64 = 0.1;

/// Kind of failure of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The endpoint is full and ran nothing. Does not count against its health.
    Full,
    /// The endpoint does not have the version loaded and ran nothing. Does not count
    /// against its health.
    NotLoaded,
    /// The endpoint answered with an error.
    Error,
    /// The connection could not be established or was lost.
    Broken,
    /// The endpoint did not respond in time.
    Timeout,
}

/// Health of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    /// Failures since the last successful run.
    consecutive_failures: u32,
    /// Ejections since the count was last reset, which happens when the endpoint succeeds a
    /// long time after its last ejection.
    ejections: u32,
    /// End of the last ejection.
    ejected_until: Timestamp,
    /// Average run time relative to the typical one.
    slowness: f64,
    /// Number of runs in that average.
    measured_runs: u32,
}

impl Health {
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns the fraction of its normal work that the endpoint should get, above 0 and at
    /// most 1.
    pub fn weight(&self, now: Timestamp) -> f64 {
        if self.ejections == 0 {
            return self.slowness_weight();
        }
        let since_return = now.since(self.ejected_until).min(READMISSION_MS);
        #[expect(clippy::cast_precision_loss, reason = "below 2^52")]
        let share = since_return as f64 / READMISSION_MS as f64;
        share.max(MIN_WEIGHT) * self.slowness_weight()
    }

    /// Records a successful run. `slowness` is its run time relative to the typical one.
    pub fn record_success(&mut self, slowness: f64, may_eject: bool, now: Timestamp) {
        self.consecutive_failures = 0;
        self.measured_runs = self.measured_runs.saturating_add(1);
        let step = SLOWNESS_STEP.max(1.0 / f64::from(self.measured_runs));
        self.slowness += step * (slowness - self.slowness);
        if self.measured_runs >= MIN_SLOWNESS_RUNS && self.slowness > MAX_SLOWNESS && may_eject {
            self.eject(now);
        }
        if self.ejections > 0 && now.since(self.ejected_until) > READMISSION_MS + MAX_EJECT_MS {
            self.ejections = 0;
        }
    }

    /// Records a failed run.
    pub fn record_failure(&mut self, failure: Failure, may_eject: bool, now: Timestamp) {
        match failure {
            Failure::Full | Failure::NotLoaded => return,
            Failure::Error | Failure::Broken | Failure::Timeout => self.consecutive_failures += 1,
        }
        let returning = self.ejections > 0 && now.since(self.ejected_until) < READMISSION_MS;
        let limit = if returning { FAILURES_TO_EJECT_WHILE_RETURNING } else { FAILURES_TO_EJECT };
        if self.consecutive_failures >= limit && may_eject && !self.is_ejected(now) {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let doubled = EJECT_MS.saturating_mul(1 << self.ejections.min(10));
        self.ejected_until = now.plus(doubled.min(MAX_EJECT_MS));
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.slowness = 0.0;
        self.measured_runs = 0;
    }

    /// Returns the weight that follows from the average relative run time.
    fn slowness_weight(&self) -> f64 {
        if self.measured_runs < MIN_SLOWNESS_RUNS || self.slowness <= 1.0 {
            1.0
        } else {
            (1.0 / self.slowness).max(MIN_WEIGHT)
        }
    }
}
