//! Measures the rate at which runs finish under backlog.

use world::{Millis, Timestamp};

/// Weight of the latest interval in the moving average.
const SMOOTHING_FACTOR: f64 = 0.02;
/// Minimum number of intervals before the average is used.
const MIN_INTERVALS: u32 = 20;
/// Time without a finished run after which the average is discarded.
const STALE_MS: Millis = 10_000;

/// Moving average of the time between the ends of runs, under backlog only.
/// Without backlog it would reflect the arrival rate of requests instead of the
/// rate at which they finish.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CompletionRate {
    interval_ms: f64,
    intervals: u32,
    last: Option<Timestamp>,
}

impl CompletionRate {
    /// Records the end of a run.
    pub fn record_finish(&mut self, backlog: bool, now: Timestamp) {
        let last = self.last.replace(now);
        if !backlog {
            self.last = None;
            return;
        }
        let Some(last) = last else { return };
        if now.since(last) > STALE_MS {
            *self = Self { last: Some(now), ..Self::default() };
            return;
        }
        self.intervals = self.intervals.saturating_add(1);
        #[expect(clippy::cast_precision_loss, reason = "an interval is far below 2^52 milliseconds")]
        let interval = now.since(last) as f64;
        self.interval_ms += SMOOTHING_FACTOR.max(1.0 / f64::from(self.intervals)) * (interval - self.interval_ms);
    }

    /// Returns the time in which `runs` runs finish, or `None` if the rate is unknown.
    pub fn time_for(&self, runs: u64) -> Option<Millis> {
        if self.intervals < MIN_INTERVALS || self.last.is_none() {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "small"
        )]
        let time = (self.interval_ms * runs as f64) as Millis;
        Some(time)
    }
}
