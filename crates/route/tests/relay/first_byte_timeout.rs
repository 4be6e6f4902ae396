//! Timeout for the first byte of a run, after which another run is tried.

use std::time::Duration;

use route::relay::first_byte_timeout::first_byte_timeout;

const GOAL_MS: u32 = 1_500;

/// Returns whether a second run that takes as long as expected is still in time after the
/// first one has timed out.
fn second_run_is_in_time(expected_ms: u32) -> bool {
    let first = first_byte_timeout(f64::from(expected_ms), Duration::from_millis(GOAL_MS.into()));
    first + Duration::from_millis(expected_ms.into()) <= Duration::from_millis(GOAL_MS.into())
}

/// Engines become six times slower for requests that would take 30 to 200 ms elsewhere. If
/// the timeout used up most of the goal, each of those requests would be late.
#[test]
fn timeout_leaves_time_for_a_second_run() {
    for expected_ms in [10, 30, 60, 100, 200, 240] {
        assert!(second_run_is_in_time(expected_ms), "{expected_ms} ms");
        // There must be time for a larger model that takes a few hundred milliseconds.
        let both = first_byte_timeout(f64::from(expected_ms), Duration::from_millis(GOAL_MS.into()));
        assert!(expected_ms > 120 || both <= Duration::from_millis(600), "{expected_ms} ms: {both:?}");
    }
}

/// All engines are overloaded and the expected time includes the queues. A run must not be
/// retried before five times the expected time.
#[test]
fn overload_does_not_cause_early_retries() {
    for expected_ms in [400_u32, 800, 2_000] {
        let timeout = first_byte_timeout(f64::from(expected_ms), Duration::from_millis(GOAL_MS.into()));
        assert!(timeout >= Duration::from_millis(u64::from(expected_ms) * 5), "{expected_ms} ms: {timeout:?}");
    }
}

/// The expected time is unknown, or larger than any clock can represent.
#[test]
fn odd_expectations_keep_the_minimum_timeout() {
    for expected_ms in [0.0, -5.0, f64::INFINITY, 1e300] {
        assert!(first_byte_timeout(expected_ms, Duration::from_secs(1)) >= Duration::from_millis(250));
    }
}
