//! A new version gets a small share of the sessions and is reverted if it fails.

use std::time::Duration;

use route::relay::canary::{Lateness, Stage, Tally, advance, bad, meets, tries_versions};

const OVER: Duration = Duration::from_secs(24);
const GOOD: Tally = tally(60, 2);
const BAD: Tally = tally(30, 12);
const OLD: Tally = tally(600, 20);

const fn tally(runs: u32, bad: u32) -> Tally {
    Tally { runs, bad, lateness: Lateness { runs: 0, sum: 0.0, squares: 0.0 } }
}

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
    // Neither rejected nor accepted by the evidence, so it must not get all sessions.
    doubtful_version_is_not_let_go_on: Stage::Trial, 16, tally(24, 4) => Stage::Trial;
    trial_without_evidence_waits: Stage::Trial, 16, Tally::default() => Stage::Trial;
    failing_version_is_left_on_trial: Stage::Trial, 2, BAD => Stage::Reverted;
    // The version fails late, or only under full load.
    failing_version_is_left_on_the_shift: Stage::Shift, 18, BAD => Stage::Reverted;
    // The old version's runs have ended by then, so its endpoints can stop at once.
    shift_ends: Stage::Shift, 22, GOOD => Stage::Done;
    done_stays_done: Stage::Done, 23, BAD => Stage::Done;
    reverted_stays_reverted: Stage::Reverted, 23, GOOD => Stage::Reverted;
}

#[test]
fn few_bad_answers_condemn_nobody() {
    assert!(!bad(tally(6, 3), OLD));
    assert!(!bad(GOOD, OLD));
}

/// Servers also fail for other reasons, which affect both versions alike.
#[test]
fn trouble_of_both_versions_condemns_neither() {
    assert!(!bad(tally(40, 12), tally(400, 110)));
}

/// One in ten of the service's requests fails on any version, and four in ten of the new
/// version's answers. A test for a factor over the old failure rate would need six in ten.
#[test]
fn failures_that_are_usual_hide_no_bad_version() {
    assert!(bad(tally(40, 16), tally(500, 60)));
}

/// A bad version that is never detected stays within its share of sessions.
#[test]
fn trial_stays_far_below_what_a_bad_version_may_get() {
    let met = (0..10_000).filter(|&session| tries_versions(session, 0.15)).count();
    assert!((400..800).contains(&met), "{met}");
}

macro_rules! meetings {
    ($($(#[$doc:meta])* $name:ident: $stage:expr, $ms:expr, settled $settled:expr => $meets:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let session = (0..10_000).find(|&session| tries_versions(session, 0.15)).unwrap();
            assert_eq!(meets($stage, Duration::from_millis($ms), session, $settled, 0.15), $meets);
        }
    )*};
}

meetings! {
    new_session_meets_a_version_on_trial: Stage::Trial, 3_000, settled false => true;
    // The session's last request, a second ago, was answered by the old version.
    session_under_way_stays_on_the_old_version: Stage::Trial, 3_000, settled true => false;
    // Other instances may know of requests that this one has not been told of yet.
    nobody_meets_it_before_instances_have_compared: Stage::Trial, 500, settled false => false;
    everybody_moves_on_the_shift: Stage::Shift, 16_000, settled true => true;
    nobody_meets_a_reverted_version: Stage::Reverted, 16_000, settled false => false;
}

/// Lateness of `runs` runs that vary by a factor of two around a typical ratio.
fn late(runs: u32, typical: f64) -> Lateness {
    (0..runs)
        .fold(Tally::default(), |sum, run| {
            let spread = [0.5, 0.7, 1.0, 1.4, 2.0][run as usize % 5];
            sum.plus(Tally { lateness: Lateness::of(typical * spread), ..Tally::default() })
        })
        .lateness
}

macro_rules! paces {
    ($($(#[$doc:meta])* $name:ident: $runs:expr, $new:expr, $old:expr => $bad:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let new = Tally { runs: $runs, bad: 0, lateness: late($runs, $new) };
            let old = Tally { runs: 400, bad: 0, lateness: late(400, $old) };
            assert_eq!(bad(new, old), $bad);
        }
    )*};
}

paces! {
    // All answers are successful but take several times as long as the old version's.
    slow_version_is_condemned: 15, 6.0, 1.0 => true;
    // Network latency dominates for short prompts, so a factor of eight is observed as
    // three.
    slowness_hidden_by_the_way_is_found: 30, 3.0, 1.0 => true;
    // Both versions are late while the service is overloaded.
    overloaded_service_condemns_nobody: 60, 5.0, 4.5 => false;
    a_few_slow_runs_condemn_nobody: 4, 8.0, 1.0 => false;
    // Some servers of the new version's small pool are slow.
    somewhat_slower_is_put_up_with: 60, 1.7, 1.0 => false;
}
