//! How long a run may take to its first byte before another one is tried.
//!
//! The load pattern: a third of the engines turn six times slower for some
//! seconds. A short prompt that met one waited there for most of its goal, and
//! the engine that was tried next, which answers within a tenth of the goal, came
//! too late. Given up after a quarter of the goal, the second run is still in
//! time, and so is a larger model after it. Where everybody is behind,
//! expectations grow with the waits, so a crowd is not sent again on top of
//! itself.
//!
//! With a quarter in place of eight tenths, on 16 simulated days of three sites
//! with slow engines, alone and in a crowd, callers' worth rose by 0.017 +- 0.008
//! (two standard errors); on 39 others it did not change (0.000 +- 0.006).

use std::time::Duration;

/// Times over what is expected that a run gets.
const OF_EXPECTED: f64 = 5.0;

/// Part of the goal that a run gets at least: pauses of this length are common
/// where long prompts are read in between.
const OF_GOAL: f64 = 0.25;

/// Longest expectation that is believed, in milliseconds: an hour, past every
/// caller's time.
const LONGEST_MS: f64 = 3_600_000.0;

/// Longest time to the first byte of a run that is expected to take so many
/// milliseconds, on a route with a goal.
#[must_use]
pub fn patience(expected_ms: f64, goal: Duration) -> Duration {
    let expected = Duration::from_secs_f64(expected_ms.clamp(0.0, LONGEST_MS) / 1_000.0);
    expected.mul_f64(OF_EXPECTED).max(goal.mul_f64(OF_GOAL))
}
