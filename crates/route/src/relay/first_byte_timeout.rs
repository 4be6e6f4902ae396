//! Sets how long a run may take until its first byte before another one is tried.
//!
//! Engines can become several times slower for some seconds; in one load pattern a third of
//! them turn six times slower. A short prompt on such an engine used up most of its route's
//! goal for the first byte, and the retry on another engine, which answers within a tenth
//! of the goal, came too late. With a timeout of a quarter of the goal the second run is
//! still in time, and so is a larger model after it. Under overload the expected time grows
//! with the queues, so that requests are not retried on top of an existing backlog.

use std::time::Duration;

/// Timeout as a multiple of the expected time.
const EXPECTED_FACTOR: f64 = 5.0;

/// Minimum timeout as a fraction of the goal. Pauses of this length are common while an
/// engine processes long prompts of other requests.
const GOAL_FRACTION: f64 = 0.25;

/// Upper bound of the expected time, in milliseconds: an hour, longer than any caller
/// waits.
const MAX_EXPECTED_MS: f64 = 3_600_000.0;

/// Returns the timeout for the first byte of a run that is expected to take `expected_ms`
/// milliseconds, on a route with the given goal.
#[must_use]
pub fn first_byte_timeout(expected_ms: f64, goal: Duration) -> Duration {
    let expected = Duration::from_secs_f64(expected_ms.clamp(0.0, MAX_EXPECTED_MS) / 1_000.0);
    expected.mul_f64(EXPECTED_FACTOR).max(goal.mul_f64(GOAL_FRACTION))
}
