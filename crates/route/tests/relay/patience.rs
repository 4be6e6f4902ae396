//! When a run that brings nothing is given up for another one.

use std::time::Duration;

use route::relay::patience::patience;

const GOAL_MS: u32 = 1_500;

/// Whether a second run that takes as long as expected still begins in time,
/// after the first one has brought nothing.
fn second_is_in_time(expected_ms: u32) -> bool {
    let first = patience(f64::from(expected_ms), Duration::from_millis(GOAL_MS.into()));
    first + Duration::from_millis(expected_ms.into()) <= Duration::from_millis(GOAL_MS.into())
}

/// Engines turn six times slower under requests that would take 30 to 200 ms
/// elsewhere. Waited for through most of the goal, they made each of those late.
#[test]
fn short_run_is_given_up_while_another_is_in_time() {
    for expected_ms in [10, 30, 60, 100, 200, 240] {
        assert!(second_is_in_time(expected_ms), "{expected_ms} ms");
        // And a larger model that takes a few hundred milliseconds after it.
        let both = patience(f64::from(expected_ms), Duration::from_millis(GOAL_MS.into()));
        assert!(expected_ms > 120 || both <= Duration::from_millis(600), "{expected_ms} ms: {both:?}");
    }
}

/// All engines are behind: what is expected has grown with the waits, and a run
/// is not sent once more on top of the others before five times that.
#[test]
fn crowd_is_not_sent_again_on_top_of_itself() {
    for expected_ms in [400_u32, 800, 2_000] {
        let given = patience(f64::from(expected_ms), Duration::from_millis(GOAL_MS.into()));
        assert!(given >= Duration::from_millis(u64::from(expected_ms) * 5), "{expected_ms} ms: {given:?}");
    }
}

/// Nothing is expected yet, or more than any clock holds.
#[test]
fn odd_expectations_end_nothing() {
    for expected_ms in [0.0, -5.0, f64::INFINITY, 1e300] {
        assert!(patience(expected_ms, Duration::from_secs(1)) >= Duration::from_millis(250));
    }
}
