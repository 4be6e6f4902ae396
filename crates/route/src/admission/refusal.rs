//! Refusals of requests, and when their callers should return.

use std::fmt;

use world::Millis;

/// Minimum retry time of a refused request, in milliseconds.
const MIN_RETRY_MS: Millis = 100;
/// Divisor of a retry time that gives the maximum delay added to it. The delay differs
/// between requests, so that callers refused at the same time don't retry at the same
/// time.
const RETRY_SPREAD_DIVISOR: u64 = 4;
/// Refusal of a request. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub cause: Cause,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: Millis,
}

/// Cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The request would not finish by its deadline.
    Deadline {
        /// Expected time in the queue, in milliseconds.
        wait_ms: Millis,
        /// Time left until the deadline, in milliseconds.
        left_ms: Millis,
    },
    /// Too many requests are waiting.
    Full,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.cause {
            Cause::Deadline { wait_ms, left_ms } => write!(
                f,
                "would wait {wait_ms} ms and has {left_ms} ms left; come back in {} ms or allow more time",
                self.retry_after_ms
            ),
            Cause::Full => write!(f, "too many requests wait; come back in {} ms", self.retry_after_ms),
        }
    }
}

impl std::error::Error for Refusal {}

/// Returns a refusal whose caller should return after a time, and up to a quarter of it later.
pub(super) fn refusal(cause: Cause, after_ms: Millis, draw: u64) -> Refusal {
    let after_ms = after_ms.max(MIN_RETRY_MS);
    let spread = draw % (after_ms / RETRY_SPREAD_DIVISOR + 1);
    Refusal { cause, retry_after_ms: after_ms + spread }
}
