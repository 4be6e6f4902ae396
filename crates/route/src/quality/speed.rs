//! How long a version's runs take.

use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp};

/// Share of the newest run in the means.
const STEP: f64 = 0.05;
/// Deviations added for a run that must be done in time.
const SPARE: f64 = 2.0;
/// Guess before the first run: time to the first token, in milliseconds.
const BLANK_START_MS: f64 = 300.0;
/// Guess before the first run: milliseconds per generated token.
const BLANK_TOKEN_MS: f64 = 10.0;
/// Guess before the first run: tokens of an answer.
const BLANK_OUTPUT: f64 = 100.0;
/// Time without a run after which what was learned counts for half.
const STALE_MS: Millis = 30_000;
/// Halvings after which nothing is left.
const MAX_HALVINGS: i32 = 20;

/// Running means of a version's runs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Speed {
    millis: f64,
    deviation: f64,
    output: f64,
    runs: u64,
    seen: Timestamp,
}

impl Default for Speed {
    fn default() -> Self {
        let millis = BLANK_TOKEN_MS.mul_add(BLANK_OUTPUT, BLANK_START_MS);
        Self { millis, deviation: millis / SPARE, output: BLANK_OUTPUT, runs: 0, seen: Timestamp(0) }
    }
}

impl Speed {
    /// Takes in a finished run.
    pub fn observe(&mut self, millis: Millis, output_tokens: u32, now: Timestamp) {
        self.runs += 1;
        self.seen = now;
        #[expect(clippy::cast_precision_loss, reason = "counts and milliseconds stay far below 2^52")]
        let (step, millis) = (STEP.max(1.0 / self.runs as f64), millis as f64);
        let error = millis - self.millis;
        self.millis += step * error;
        self.deviation += step * (error.abs() - self.deviation);
        self.output += step * (f64::from(output_tokens) - self.output);
    }

    /// Expected time of a run, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.millis
    }

    /// Mean absolute deviation of a run's time, in milliseconds.
    #[must_use]
    pub fn deviation_ms(&self) -> f64 {
        self.deviation
    }

    /// Time that a run can hardly beat, in milliseconds; what refusals rest on.
    #[must_use]
    pub fn least_ms(&self) -> f64 {
        if self.runs == 0 { 0.0 } else { (self.millis - self.deviation).max(0.0) }
    }

    /// The same, as far as it still holds at `now`.
    ///
    /// After a slow spell every request might be refused for want of time; then
    /// no run would ever show that the spell is over, and the refusals would
    /// stay. So times halve with every `STALE_MS` without a run.
    #[must_use]
    pub fn aged(mut self, now: Timestamp) -> Self {
        let halvings = i32::try_from(now.since(self.seen) / STALE_MS).unwrap_or(i32::MAX).min(MAX_HALVINGS);
        if self.runs > 0 {
            self.millis /= 2f64.powi(halvings);
            self.deviation /= 2f64.powi(halvings);
        }
        self
    }

    /// Expected tokens of an answer.
    #[must_use]
    pub fn output_tokens(&self) -> f64 {
        self.output
    }
}
