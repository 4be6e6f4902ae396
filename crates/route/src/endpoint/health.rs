//! Health of an endpoint: it is ejected when it fails or becomes very slow, and readmitted
//! gradually.

use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp};

/// Consecutive failures that eject an endpoint.
const ROW: u32 = 5;
/// Consecutive failures that eject an endpoint again while it is being readmitted.
const ROW_WHILE_RETURNING: u32 = 1;
/// Relative run time, as a multiple of the typical one, above which an endpoint is ejected.
const CRAWL: f64 = 4.0;
/// Number of runs before the average relative run time is used.
const PACE_RUNS: u32 = 10;
/// Weight of the newest run in the average relative run time.
const PACE_STEP: f64 = 0.2;
/// Duration of the first ejection. Each further one is twice as long.
const EJECT_MS: Millis = 10_000;
/// Maximum duration of an ejection.
const MAX_EJECT_MS: Millis = 300_000;
/// Time from the end of an ejection until the endpoint has its full weight again.
const RETURN_MS: Millis = 30_000;
/// Minimum weight of an endpoint that is not ejected.
const LEAST_WEIGHT: f64 = 0.1;

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
    row: u32,
    /// Ejections since the endpoint was last healthy for long enough.
    ejections: u32,
    /// End of the last ejection.
    until: Timestamp,
    /// Average run time relative to the typical one.
    pace: f64,
    /// Number of runs in that average.
    paced: u32,
}

impl Health {
    pub fn ejected(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Returns the fraction of its normal work that the endpoint should get, above 0 and at
    /// most 1.
    pub fn weight(&self, now: Timestamp) -> f64 {
        if self.ejections == 0 {
            return self.pace_weight();
        }
        let back = now.since(self.until).min(RETURN_MS);
        #[expect(clippy::cast_precision_loss, reason = "below 2^52")]
        let share = back as f64 / RETURN_MS as f64;
        share.max(LEAST_WEIGHT) * self.pace_weight()
    }

    /// Records a successful run. `pace` is its run time relative to the typical one.
    pub fn finished(&mut self, pace: f64, may_eject: bool, now: Timestamp) {
        self.row = 0;
        self.paced = self.paced.saturating_add(1);
        let step = PACE_STEP.max(1.0 / f64::from(self.paced));
        self.pace += step * (pace - self.pace);
        if self.paced >= PACE_RUNS && self.pace > CRAWL && may_eject {
            self.eject(now);
        }
        if self.ejections > 0 && now.since(self.until) > RETURN_MS + MAX_EJECT_MS {
            self.ejections = 0;
        }
    }

    /// Records a failed run.
    pub fn failed(&mut self, failure: Failure, may_eject: bool, now: Timestamp) {
        match failure {
            Failure::Full | Failure::NotLoaded => return,
            Failure::Error | Failure::Broken | Failure::Timeout => self.row += 1,
        }
        let returning = self.ejections > 0 && now.since(self.until) < RETURN_MS;
        let row = if returning { ROW_WHILE_RETURNING } else { ROW };
        if self.row >= row && may_eject && !self.ejected(now) {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let doubled = EJECT_MS.saturating_mul(1 << self.ejections.min(10));
        self.until = now.plus(doubled.min(MAX_EJECT_MS));
        self.ejections += 1;
        self.row = 0;
        self.pace = 0.0;
        self.paced = 0;
    }

    /// Returns the weight that follows from the average relative run time.
    fn pace_weight(&self) -> f64 {
        if self.paced < PACE_RUNS || self.pace <= 1.0 { 1.0 } else { (1.0 / self.pace).max(LEAST_WEIGHT) }
    }
}
