//! A new version meets few, and is left when it fails.

use std::time::Duration;

use route::relay::canary::{Stage, Tally, advance, bad, meets};

const OVER: Duration = Duration::from_secs(24);
const GOOD: Tally = Tally { runs: 60, bad: 2 };
const BAD: Tally = Tally { runs: 30, bad: 12 };
const OLD: Tally = Tally { runs: 600, bad: 20 };

macro_rules! stages {
    ($($(#[$doc:meta])* $name:ident: $from:expr, $seconds:expr, $new:expr => $to:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(advance($from, Duration::from_secs($seconds), OVER, $new, OLD), $to);
        }
    )*};
}

stages! {
    trial_goes_on: Stage::Trial, 5, GOOD => Stage::Trial;
    trial_that_was_stood_shifts: Stage::Trial, 16, GOOD => Stage::Shift;
    // Not condemned yet, and not good either: it must not reach everybody.
    doubtful_version_is_not_let_go_on: Stage::Trial, 16, Tally { runs: 24, bad: 4 } => Stage::Trial;
    trial_without_evidence_waits: Stage::Trial, 16, Tally::default() => Stage::Trial;
    failing_version_is_left_on_trial: Stage::Trial, 2, BAD => Stage::Reverted;
    // It turns bad late, or only under everybody's load.
    failing_version_is_left_on_the_shift: Stage::Shift, 18, BAD => Stage::Reverted;
    // The old version's runs have ended by then: its endpoints stop at once.
    shift_ends: Stage::Shift, 22, GOOD => Stage::Done;
    done_stays_done: Stage::Done, 23, BAD => Stage::Done;
    reverted_stays_reverted: Stage::Reverted, 23, GOOD => Stage::Reverted;
}

#[test]
fn few_bad_answers_condemn_nobody() {
    assert!(!bad(Tally { runs: 6, bad: 3 }, OLD));
    assert!(!bad(GOOD, OLD));
}

/// Servers fail for reasons of their own, on both versions alike.
#[test]
fn trouble_of_both_versions_condemns_neither() {
    assert!(!bad(Tally { runs: 40, bad: 12 }, Tally { runs: 400, bad: 110 }));
}

/// A route of the service fails one time in ten on any version; four in ten of
/// the new version's answers are failures. A factor over the old share would
/// need six in ten.
#[test]
fn failures_that_are_usual_hide_no_bad_version() {
    assert!(bad(Tally { runs: 40, bad: 16 }, Tally { runs: 500, bad: 60 }));
}

/// A bad version that is never found out stays within its share.
#[test]
fn trial_stays_far_below_what_a_bad_version_may_get() {
    let met = (0..10_000).filter(|&session| meets(Stage::Trial, session, "v2", 0.15)).count();
    assert!((400..800).contains(&met), "{met}");
}

#[test]
fn sessions_that_meet_it_are_the_same_everywhere() {
    for session in 0..1_000 {
        let first = meets(Stage::Trial, session, "v2", 0.15);
        assert_eq!(first, meets(Stage::Trial, session, "v2", 0.15));
        assert!(meets(Stage::Shift, session, "v2", 0.15));
        assert!(!meets(Stage::Reverted, session, "v2", 0.15));
    }
}

/// Its answers are all good, and several times slower than the old version's.
/// Runs of both versions are late by what is usual, while the service is busy.
#[test]
fn version_that_is_only_slow_is_told_from_an_overloaded_service() {
    let usual = 3.0;
    assert!(route::relay::canary::slow(8.0 * usual, usual));
    assert!(!route::relay::canary::slow(1.5 * usual, usual));
}
