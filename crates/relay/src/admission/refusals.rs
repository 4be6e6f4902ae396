//! Requests that were refused recently: when they may return, and that they are not counted twice.

use std::{collections::HashMap, time::Duration};

use route::{
    admission::demand::{Class, Meter},
    relay::content::Content,
};

/// Longest time over which the returns of refused callers are spread.
const MAX_SPREAD: Duration = Duration::from_secs(4);

/// Longest `Retry-After` before the spread.
const MAX_AFTER: Duration = Duration::from_secs(3);

/// Maximum number of refused requests that are recognized when they return.
const MAX_EXPECTED: usize = 4_096;

/// Maximum number of classes whose refusals are measured.
const MAX_CLASSES: usize = 1_024;

/// Time in which the meter of refused cost counts it, in milliseconds.
const METERED_MS: f64 = 500.0;

#[derive(Debug, Clone, Default)]
pub(super) struct Refusals {
    /// Cost that was refused lately, by class.
    refused: HashMap<Class, Meter>,
    /// Number of refusals of a request, and until when its return is expected.
    expected: HashMap<Content, (u32, Duration)>,
}

impl Refusals {
    /// Records a refusal and returns the time after which the caller should return and the time
    /// over which the returns are spread: that in which those refused lately can be served.
    pub fn record(
        &mut self,
        class: Class,
        cost: f64,
        per_ms: f64,
        after_ms: u64,
        now: Duration,
    ) -> (Duration, Duration) {
        if self.refused.len() >= MAX_CLASSES {
            self.refused.clear();
        }
        let meter = self.refused.entry(class).or_insert_with(|| Meter::new(now));
        meter.add(cost, now);
        let spread_ms = meter.rate(now) * METERED_MS / per_ms.max(f64::MIN_POSITIVE);
        let spread = Duration::from_secs_f64((spread_ms / 1_000.0).min(MAX_SPREAD.as_secs_f64()));
        (Duration::from_millis(after_ms).min(MAX_AFTER), spread)
    }

    /// Expects the request to return within a time.
    pub fn expect_return(&mut self, content: Content, within: Duration, now: Duration) {
        if self.expected.len() >= MAX_EXPECTED {
            self.expected.retain(|_, (_, until)| *until > now);
        }
        if self.expected.len() < MAX_EXPECTED {
            let (count, until) = self.expected.entry(content).or_default();
            *count += 1;
            *until = now + within;
        }
    }

    /// Whether a request that arrives was refused and returns before it was told to, or just then.
    /// Each refusal excuses one return.
    pub fn is_return(&mut self, content: Content, now: Duration) -> bool {
        let Some((count, until)) = self.expected.get_mut(&content) else { return false };
        let is_return = *until > now;
        *count -= 1;
        if *count == 0 || !is_return {
            self.expected.remove(&content);
        }
        is_return
    }
}
