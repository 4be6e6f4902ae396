//! Whether an endpoint is fit for work: ejected when it fails or crawls, let
//! back in gradually.

use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp};

/// Failures in a row that eject.
const ROW: u32 = 5;
/// Failures in a row that eject again while coming back.
const ROW_WHILE_RETURNING: u32 = 1;
/// Pace, as a multiple of the typical, that ejects.
const CRAWL: f64 = 4.0;
/// Runs before a pace is believed.
const PACE_RUNS: u32 = 10;
/// Share of the newest run in the pace.
const PACE_STEP: f64 = 0.2;
/// First ejection; each further one is twice as long.
const EJECT_MS: Millis = 10_000;
/// Longest ejection.
const MAX_EJECT_MS: Millis = 300_000;
/// Time from the end of an ejection to full weight.
const RETURN_MS: Millis = 30_000;
/// Weight at the start of the return.
const LEAST_WEIGHT: f64 = 0.1;

/// How a run failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The endpoint is full and ran nothing; no fault of its health.
    Full,
    /// It does not have the version loaded and ran nothing.
    NotLoaded,
    /// It answered with an error.
    Error,
    /// The connection could not be made or broke.
    Broken,
    /// It gave no sign in time.
    Timeout,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    row: u32,
    ejections: u32,
    until: Timestamp,
    pace: f64,
    paced: u32,
}

impl Health {
    pub fn ejected(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Share of its normal work that it should get, above 0 to 1.
    pub fn weight(&self, now: Timestamp) -> f64 {
        if self.ejections == 0 {
            return self.pace_weight();
        }
        let back = now.since(self.until).min(RETURN_MS);
        #[expect(clippy::cast_precision_loss, reason = "below 2^52")]
        let share = back as f64 / RETURN_MS as f64;
        share.max(LEAST_WEIGHT) * self.pace_weight()
    }

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

    fn pace_weight(&self) -> f64 {
        if self.paced < PACE_RUNS || self.pace <= 1.0 { 1.0 } else { (1.0 / self.pace).max(LEAST_WEIGHT) }
    }
}
