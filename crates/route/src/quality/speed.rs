//! Estimates the duration of a version's runs.

use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp};

/// Weight of the latest run in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Ratio of the mean to the deviation of a run's duration before the first run.
const PRIOR_MEAN_TO_DEVIATION: f64 = 2.0;
/// Assumed time to the first token before the first run, in milliseconds.
const PRIOR_START_MS: f64 = 300.0;
/// Assumed time per generated token before the first run, in milliseconds.
const PRIOR_TOKEN_MS: f64 = 10.0;
/// Assumed number of tokens of an answer before the first run.
const PRIOR_OUTPUT_TOKENS: f64 = 100.0;
/// Time without a run after which the learned durations are halved.
const HALF_LIFE_MS: Millis = 30_000;
/// Maximum number of halvings; after that many the durations are near zero.
const MAX_HALVINGS: i32 = 20;

/// Moving averages over the runs of a version.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    /// Duration of a run, in milliseconds.
    millis: f64,
    /// Absolute deviation of the duration, in milliseconds.
    deviation: f64,
    /// Number of output tokens of a run.
    output: f64,
    /// Number of recorded runs.
    runs: u64,
    /// Time at which the last run was recorded.
    seen: Timestamp,
}

impl Default for Speed {
    fn default() -> Self {
        let millis = PRIOR_TOKEN_MS.mul_add(PRIOR_OUTPUT_TOKENS, PRIOR_START_MS);
        Self {
            millis,
            deviation: millis / PRIOR_MEAN_TO_DEVIATION,
            output: PRIOR_OUTPUT_TOKENS,
            runs: 0,
            seen: Timestamp(0),
        }
    }
}

impl Speed {
    /// Records a finished run.
    pub fn observe(&mut self, millis: Millis, output_tokens: u32, now: Timestamp) {
        self.runs += 1;
        self.seen = now;
        #[expect(clippy::cast_precision_loss, reason = "counts and milliseconds stay far below 2^52")]
        let (weight, millis) = (SMOOTHING_FACTOR.max(1.0 / self.runs as f64), millis as f64);
        let error = millis - self.millis;
        self.millis += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
        self.output += weight * (f64::from(output_tokens) - self.output);
    }

    /// Returns the expected duration of a run, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.millis
    }

    /// Returns the mean absolute deviation of the duration of a run, in milliseconds.
    #[must_use]
    pub fn deviation_ms(&self) -> f64 {
        self.deviation
    }

    /// Returns a time that a run is unlikely to undercut, in milliseconds, or 0
    /// before the first run. Refusals for lack of time are based on it.
    #[must_use]
    pub fn plausible_min_ms(&self) -> f64 {
        if self.runs == 0 { 0.0 } else { (self.millis - self.deviation).max(0.0) }
    }

    /// Returns the averages decayed to `now`: durations halve with every
    /// `HALF_LIFE_MS` without a run.
    ///
    /// After a slow period every request might be refused for lack of time. Without
    /// the decay no run would ever show that the period is over, and the refusals
    /// would continue.
    #[must_use]
    pub fn decayed(mut self, now: Timestamp) -> Self {
        let halvings = i32::try_from(now.since(self.seen) / HALF_LIFE_MS).unwrap_or(i32::MAX).min(MAX_HALVINGS);
        if self.runs > 0 {
            self.millis /= 2f64.powi(halvings);
            self.deviation /= 2f64.powi(halvings);
        }
        self
    }

    /// Returns the expected number of tokens of an answer.
    #[must_use]
    pub fn output_tokens(&self) -> f64 {
        self.output
    }
}
