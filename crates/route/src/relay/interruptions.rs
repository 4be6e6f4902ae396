//! Learns at which endpoints streams pause for too long, and what a further run there costs.
//!
//! An engine processes prompts in chunks between the decoding steps of its other runs. While it
//! processes a long prompt, the next events of all its streams come late, and on a slow engine
//! later than callers accept. The same prompt does no harm on an engine that is a third faster.
//! Neither the time to the first byte nor the number of runs shows this, so the streams whose
//! events paused for longer than their target are counted for each endpoint, at all instances.

use std::time::Duration;

/// Time in which a count falls to half: some times the length of a stream, so that an endpoint
/// that was slow for a while gets long prompts again.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Number of streams without a late pause that is assumed of each endpoint. A single late pause
/// must not keep prompts away from an endpoint.
const PRIOR_STREAMS: f64 = 20.0;

/// Cost of a stream whose events pause for too long, in milliseconds of waiting. Its caller gets
/// about as little from it as from one whose first event comes a target time late.
const LATE_STREAM_MS: f64 = 2_000.0;

/// Processing time, as a share of the target pause, up to which a prompt disturbs no other
/// stream: it is over before the next event is due.
const HARMLESS_SHARE: f64 = 0.1;

/// A number of streams that decays with time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Count {
    value: f64,
    updated_at: Duration,
}

impl Count {
    /// Adds one stream.
    pub fn increment(&mut self, now: Duration) {
        *self = Self { value: self.at(now) + 1.0, updated_at: now };
    }

    /// Returns the number as of `now`.
    #[must_use]
    pub fn at(&self, now: Duration) -> f64 {
        let half_lives = now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5_f64.powf(half_lives)
    }
}

/// Returns the share of an endpoint's streams that paused for too long, given the number of
/// those and the number of streams that each endpoint of the service had on average.
#[must_use]
pub fn late_share(late: f64, mean_streams: f64) -> f64 {
    (late / (mean_streams.max(late) + PRIOR_STREAMS)).clamp(0.0, 1.0)
}

/// Returns how much of its target pause a prompt's processing takes from the other streams of its
/// endpoint, from 0 to 1.
#[must_use]
pub fn disturbance(processing_ms: f64, target_pause_ms: f64) -> f64 {
    let share = processing_ms / target_pause_ms.max(1.0);
    if share <= HARMLESS_SHARE { 0.0 } else { share.min(1.0) }
}

/// Returns the cost of a stream at an endpoint that has `runs` others, in milliseconds of waiting:
/// it may itself pause for too long, and its prompt may make the others do so.
#[must_use]
pub fn penalty_ms(late_share: f64, runs: f64, disturbance: f64) -> f64 {
    LATE_STREAM_MS * late_share * (1.0 + runs * disturbance)
}
