//! Requests that were refused recently: when they may return, and that they are not counted twice.

use std::{collections::HashMap, time::Duration};

use route::{
    admission::demand::{Class, Meter},
    relay::content::Content,
};

/// Longest time over which the returns of refused callers are spread.
const MAX_SPREAD: Duration = Duration::from_secs(4);

/// Time for which the demand of a request is measured. One that comes later counts again.
const COUNTED_FOR: Duration = Duration::from_secs(1);

/// Least upper bound of `Retry-After` before the spread, where the request's deadline is shorter. Callers
/// with short deadlines send new requests, and some seconds are as far as shares are known.
const MIN_MAX_AFTER: Duration = Duration::from_secs(3);

/// Maximum number of refused requests that are recognized when they return.
const MAX_EXPECTED: usize = 4_096;

/// Maximum number of classes whose refusals are measured.
const MAX_CLASSES: usize = 1_024;

/// Time in which the meter of refused cost counts it, in milliseconds.
const METERED_MS: f64 = 500.0;

/// Return of a request that was counted and refused.
#[derive(Debug, Clone)]
struct Expected {
    until: Duration,
    has_returned: bool,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Refusals {
    /// Cost that was refused lately, by class.
    refused: HashMap<Class, Meter>,
    expected: HashMap<Content, Expected>,
}

impl Refusals {
    /// Records a refusal and returns the time after which the caller should return and the time
    /// over which the returns are spread: that in which those refused lately can be served.
    ///
    /// `left` is the time that the caller gave the request. One that returns after more than that is
    /// another request; demand then tells no more of its wait than at its arrival.
    pub fn record(
        &mut self,
        class: Class,
        cost: f64,
        per_ms: f64,
        after_ms: u64,
        left: Duration,
        now: Duration,
    ) -> (Duration, Duration) {
        if self.refused.len() >= MAX_CLASSES {
            self.refused.clear();
        }
        let meter = self.refused.entry(class).or_insert_with(|| Meter::new(now));
        meter.add(cost, now);
        let spread_ms = meter.rate(now) * METERED_MS / per_ms.max(f64::MIN_POSITIVE);
        let spread = Duration::from_secs_f64((spread_ms / 1_000.0).min(MAX_SPREAD.as_secs_f64()));
        (Duration::from_millis(after_ms).min(left.max(MIN_MAX_AFTER)), spread)
    }

    /// Expects a request that was counted at a time to return until another one.
    pub fn expect_return(&mut self, content: Content, counted_at: Duration, until: Duration, now: Duration) {
        if self.expected.len() >= MAX_EXPECTED {
            self.expected.retain(|_, expected| expected.until > now);
        }
        // A flood of identical requests must not excuse itself again and again.
        let is_known = self.expected.get(&content).is_some_and(|expected| expected.until > now);
        if !is_known && self.expected.len() < MAX_EXPECTED {
            let until = until.min(counted_at + COUNTED_FOR);
            self.expected.insert(content, Expected { until, has_returned: false });
        }
    }

    /// Whether a request that arrives was refused and returns before it was told to, or just then,
    /// while it is still counted. Only its first return is excused.
    pub fn is_return(&mut self, content: Content, now: Duration) -> bool {
        let Some(expected) = self.expected.get_mut(&content) else { return false };
        let is_return = expected.until > now && !expected.has_returned;
        expected.has_returned = true;
        is_return
    }
}
