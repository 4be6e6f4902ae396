//! Keeps long prompts away from running streams.
//!
//! An engine processes prompts in chunks between the decoding steps of its other runs. While it
//! processes a prompt of tens of thousands of tokens for a large model, the next events of all its
//! streams come later than callers accept. With 60 engines and 230 streams per second, one prompt
//! in twenty made one stream in ten late. Neither the time to the first byte nor the number of
//! runs shows this.
//!
//! A long prompt therefore counts the streams that it would interrupt, and a stream counts the
//! long prompts that an endpoint got lately, of which notices inform all instances at once. Long
//! prompts so gather at a few endpoints that other streams leave, without any agreement on which
//! these are. If one of them is lost, the prompts gather elsewhere.

use std::time::Duration;

/// Time in which half of the long prompts of an endpoint are forgotten: a few times the length of a
/// stream. If it were shorter, streams would return between two long prompts.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Usual length of a stream, in seconds.
const STREAM_S: f64 = 5.0;

/// Cost of a pause that makes a stream late, in milliseconds of waiting before its first event.
/// About as long a wait makes it late as well.
const LATE_STREAM_MS: f64 = 2_000.0;

/// Cost of a stream of another caller that becomes late, in milliseconds of waiting of a long
/// prompt. A long prompt is worth about three streams.
const OTHER_LATE_STREAM_MS: f64 = 700.0;

/// Processing time, as a share of the streams' target pause, up to which a prompt makes no stream
/// late, and from which on it makes all of them late. Chunks of other prompts add to the pause.
const HARMLESS_SHARE: f64 = 0.4;
const HARMFUL_SHARE: f64 = 1.0;

/// Long prompts that an endpoint got lately.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Arrivals {
    /// Sum of the prompts' severities; old ones count for less.
    sum: f64,
    updated_at: Duration,
}

impl Arrivals {
    /// Adds a prompt of a severity.
    pub fn add(&mut self, severity: f64, now: Duration) {
        *self = Self { sum: self.sum_at(now) + severity, updated_at: now };
    }

    /// Returns the number of prompts per second that make streams late.
    #[must_use]
    pub fn per_s(&self, now: Duration) -> f64 {
        self.sum_at(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn sum_at(&self, now: Duration) -> f64 {
        let half_lives = now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.sum * 0.5_f64.powf(half_lives)
    }
}

/// Returns the share of an endpoint's streams that a prompt's processing makes late, from 0 to 1.
#[must_use]
pub fn severity(processing_ms: f64, target_pause_ms: f64) -> f64 {
    let share = processing_ms / target_pause_ms.max(1.0);
    ((share - HARMLESS_SHARE) / (HARMFUL_SHARE - HARMLESS_SHARE)).clamp(0.0, 1.0)
}

/// Returns the cost of sending a request to an endpoint that has `streams` and gets `per_s` long
/// prompts, in milliseconds of waiting. `severity` is that of the request's own prompt.
#[must_use]
pub fn cost_ms(severity: f64, streams: f64, per_s: f64) -> f64 {
    let interrupted = 1.0 - (-per_s * STREAM_S).exp();
    OTHER_LATE_STREAM_MS * severity * streams + LATE_STREAM_MS * interrupted
}
