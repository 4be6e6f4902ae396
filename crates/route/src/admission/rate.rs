//! How fast runs end while others wait.

use world::{Millis, Timestamp};

/// Share of the newest interval in the mean.
const STEP: f64 = 0.02;
/// Ends before the mean is believed.
const LEAST: u32 = 20;
/// Time after which what was measured is too old.
const STALE_MS: Millis = 10_000;

/// Mean time between the ends of runs, measured under backlog only: else it
/// would tell how often requests come, not how fast they are done.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate {
    interval_ms: f64,
    ends: u32,
    last: Option<Timestamp>,
}

impl Rate {
    /// Takes in the end of a run.
    pub fn finished(&mut self, backlog: bool, now: Timestamp) {
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
        self.ends = self.ends.saturating_add(1);
        #[expect(clippy::cast_precision_loss, reason = "an interval is far below 2^52 milliseconds")]
        let interval = now.since(last) as f64;
        self.interval_ms += STEP.max(1.0 / f64::from(self.ends)) * (interval - self.interval_ms);
    }

    /// Time in which so many runs end; nothing while that is not known.
    pub fn time(&self, runs: u64) -> Option<Millis> {
        if self.ends < LEAST || self.last.is_none() {
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
