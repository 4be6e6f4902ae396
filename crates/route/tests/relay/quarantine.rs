//! Refusal of requests that crash the endpoints that run them.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use route::relay::{
    content::Content,
    quarantine::{CRASH_LIMIT, Effect, Finding, Quarantine, REFUSAL_PERIOD},
};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(1);
const ONE: Content = Content { team: 1, work: 7 };
const OTHER: Content = Content { team: 1, work: 8 };

fn crash(content: Content, start: u32) -> Finding {
    Finding::Crash { content, start }
}

/// Applies findings at intervals of a second and returns the quarantine and the time.
fn after(findings: &[Finding]) -> (Quarantine, Duration) {
    let mut quarantine = Quarantine::default();
    let mut now = REFUSAL_PERIOD * 5;
    for finding in findings {
        now += SECOND;
        quarantine.apply(now, *finding);
    }
    (quarantine, now)
}

/// Each case has a name, findings applied at intervals of a second, and whether the request
/// is refused afterwards.
macro_rules! cases {
    ($($name:ident: $findings:expr => $refused:expr;)*) => {$(
        #[test]
        fn $name() {
            let (quarantine, now) = after(&$findings);
            assert_eq!(quarantine.refusal_left(now, ONE).is_some(), $refused);
        }
    )*};
}

cases! {
    nothing_is_refused_at_first: [] => false;
    two_crashes_only_raise_a_suspicion: [crash(ONE, 1), crash(ONE, 2)] => false;
    three_crashes_cause_a_refusal: [crash(ONE, 1), crash(ONE, 2), crash(ONE, 3)] => true;
    one_crash_reported_repeatedly_counts_once: [crash(ONE, 1), crash(ONE, 1), crash(ONE, 1), crash(ONE, 2)] => false;
    crashes_of_others_do_not_count: [crash(ONE, 1), crash(OTHER, 2), crash(OTHER, 3), crash(OTHER, 4)] => false;
    completion_in_between_clears: [
        crash(ONE, 1), crash(ONE, 2), Finding::EndedWell { content: ONE }, crash(ONE, 3), crash(ONE, 4)
    ] => false;
    completion_of_another_request_clears_nothing: [
        crash(ONE, 1), crash(ONE, 2), Finding::EndedWell { content: OTHER }, crash(ONE, 3)
    ] => true;
    refusal_by_another_instance_is_adopted: [Finding::Held { content: ONE, age: SECOND }] => true;
    refusal_from_before_a_completion_is_ignored: [
        crash(ONE, 1), Finding::EndedWell { content: ONE }, Finding::Held { content: ONE, age: SECOND * 5 }
    ] => false;
    expired_refusal_is_ignored: [Finding::Held { content: ONE, age: REFUSAL_PERIOD }] => false;
}

#[test]
fn effects_report_only_changes() {
    let mut quarantine = Quarantine::default();
    let effects: Vec<Effect> = [1, 2, 2, 3, 4].map(|start| quarantine.apply(SECOND, crash(ONE, start))).into();
    assert_eq!(effects, [Effect::Counted, Effect::Counted, Effect::None, Effect::Held, Effect::Counted]);
    assert_eq!(quarantine.apply(SECOND, Finding::Held { content: ONE, age: SECOND }), Effect::None);
    assert_eq!(quarantine.apply(SECOND, Finding::EndedWell { content: ONE }), Effect::Released);
    assert_eq!(quarantine.apply(SECOND, Finding::EndedWell { content: ONE }), Effect::None);
    quarantine.apply(SECOND, crash(ONE, 1));
    assert_eq!(quarantine.apply(SECOND, Finding::EndedWell { content: ONE }), Effect::Cleared);
    assert_eq!(quarantine.apply(SECOND, Finding::EndedWell { content: OTHER }), Effect::None);
}

/// A request has runs at several endpoints that crash at the same moment. Only a run that
/// was sent after a crash shows that its crash is a separate one.
#[test]
fn run_active_at_the_last_crash_is_no_new_evidence() {
    let (mut quarantine, now) = after(&[crash(ONE, 1)]);
    assert!(!quarantine.is_new_evidence(now + SECOND, ONE, now));
    assert!(quarantine.is_new_evidence(now + SECOND, ONE, now + STEP));
    assert!(quarantine.is_new_evidence(now + SECOND, OTHER, now));
    quarantine.apply(now + SECOND, Finding::EndedWell { content: ONE });
    assert!(quarantine.is_new_evidence(now + 2 * SECOND, ONE, now));
}

/// A popular request runs at many endpoints when several crash together for another reason.
/// It has completed a moment ago and does so again elsewhere.
#[test]
fn mass_crash_counts_once_for_a_request_that_completes() {
    let (mut quarantine, now) = after(&[Finding::EndedWell { content: ONE }]);
    for start in 0..20 {
        quarantine.apply(now + SECOND, crash(ONE, start));
    }
    assert_eq!(quarantine.refusal_left(now + SECOND, ONE), None);
}

/// A request completed until its endpoints got another version, and now crashes one
/// endpoint after the other.
#[test]
fn earlier_completion_does_not_excuse_later_crashes() {
    let (mut quarantine, now) = after(&[Finding::EndedWell { content: ONE }]);
    for turn in 1..=3 {
        quarantine.apply(now + 2 * turn * SECOND, crash(ONE, turn));
    }
    assert!(quarantine.refusal_left(now + 6 * SECOND, ONE).is_some());
}

/// An instance that does not know that the request completed attributes a mass crash to it,
/// and keeps reporting it as refused until it is notified.
#[test]
fn reported_refusal_is_disproved_by_a_later_completion() {
    let (mut quarantine, now) = after(&[Finding::EndedWell { content: ONE }]);
    let reported = Finding::Held { content: ONE, age: 3 * SECOND };
    assert_eq!(quarantine.apply(now + SECOND, reported), Effect::Disproved);
    assert_eq!(quarantine.refusal_left(now + SECOND, ONE), None);
    let later = Finding::Held { content: ONE, age: Duration::ZERO };
    assert_eq!(quarantine.apply(now + SECOND, later), Effect::Held);
}

/// The messages about two crashes were lost. The message about the third one arrived
/// slightly later than the instance that refuses the request saw the crash. Its report that
/// the request is refused, repeated with the load updates, makes up for the lost ones.
#[test]
fn reported_refusal_applies_to_a_suspect_with_missed_crashes() {
    let (mut quarantine, now) = after(&[crash(ONE, 3)]);
    assert_eq!(quarantine.apply(now, Finding::Held { content: ONE, age: STEP }), Effect::Held);
    assert_eq!(quarantine.refusal_left(now, ONE), Some(REFUSAL_PERIOD));
}

/// Instances repeat to each other which requests they refuse, and each report is slightly
/// older than it says. Treated as new crashes, the reports would extend the refusal
/// forever.
#[test]
fn repeated_reports_do_not_extend_a_refusal() {
    let (mut quarantine, now) = after(&[crash(ONE, 1), crash(ONE, 2), crash(ONE, 3)]);
    for step in 1..20 {
        let reported = Finding::Held { content: ONE, age: (step * SECOND).saturating_sub(STEP) };
        assert_eq!(quarantine.apply(now + step * SECOND, reported), Effect::None);
    }
    assert_eq!(quarantine.refusal_left(now + REFUSAL_PERIOD, ONE), None);
}

/// A refusal ends, so that the request is accepted again after its endpoints were fixed. If
/// they were not, a single crash renews it, so that it does not crash dozens of endpoints.
#[test]
fn refusal_expires_into_probation() {
    let (mut quarantine, last) = after(&[crash(ONE, 1), crash(ONE, 2), crash(ONE, 3)]);
    assert_eq!(quarantine.refusal_left(last + SECOND, ONE), Some(REFUSAL_PERIOD.saturating_sub(SECOND)));
    assert_eq!(quarantine.refusal_left(last + REFUSAL_PERIOD, ONE), None);
    let mut fixed = quarantine.clone();
    assert_eq!(quarantine.apply(last + REFUSAL_PERIOD, crash(ONE, 9)), Effect::Held);
    assert!(quarantine.refusal_left(last + REFUSAL_PERIOD + SECOND, ONE).is_some());
    fixed.apply(last + REFUSAL_PERIOD, Finding::EndedWell { content: ONE });
    assert_eq!(fixed.apply(last + REFUSAL_PERIOD + SECOND, crash(ONE, 9)), Effect::Counted);
}

/// Crashes that are far apart have different causes.
#[test]
fn suspicion_expires() {
    let (mut quarantine, last) = after(&[crash(ONE, 1), crash(ONE, 2)]);
    assert!(quarantine.is_suspect(last, ONE));
    assert!(!quarantine.is_suspect(last + REFUSAL_PERIOD, ONE));
    assert_eq!(quarantine.apply(last + REFUSAL_PERIOD, crash(ONE, 3)), Effect::Counted);
    assert!(quarantine.refusal_left(last + REFUSAL_PERIOD, ONE).is_none());
}

/// Endpoints crash with thousands of runs, more than there is room for. Refused requests
/// must stay refused, and memory must stay bounded.
#[test]
fn mass_crash_evicts_no_refusal() {
    let (mut quarantine, now) = after(&[crash(ONE, 1), crash(ONE, 2), crash(ONE, 3)]);
    for work in 100..20_000 {
        quarantine.apply(now + SECOND, crash(Content { team: 2, work }, 4));
    }
    assert!(quarantine.len() <= 2_048);
    assert!(quarantine.refusal_left(now + SECOND, ONE).is_some());
}

#[test]
fn latest_refusals_are_listed_first() {
    let crashes = |content| (1..=3).map(move |start| crash(content, start));
    let (quarantine, now) = after(&crashes(ONE).chain(crashes(OTHER)).collect::<Vec<_>>());
    let reported = quarantine.refused(now, 1);
    assert_eq!(reported, [Finding::Held { content: OTHER, age: Duration::ZERO }]);
    assert_eq!(quarantine.refused(now, 9).len(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Instances that learn of the same crashes in different orders refuse the same
    /// requests.
    #[test]
    fn order_of_crashes_does_not_matter(
        starts in prop::collection::vec((0_u64..3, 0_u32..5), 0..12).prop_shuffle(),
        seed in any::<u64>(),
    ) {
        let mut shuffled = starts.clone();
        shuffled.sort_by_key(|(work, start)| (work ^ u64::from(*start)).wrapping_mul(seed | 1));
        let take = |starts: &[(u64, u32)]| {
            let mut quarantine = Quarantine::default();
            for (work, start) in starts {
                quarantine.apply(SECOND, crash(Content { team: 0, work: *work }, *start));
            }
            quarantine
        };
        let (one, other) = (take(&starts), take(&shuffled));
        for work in 0..3 {
            let content = Content { team: 0, work };
            let crashed = (0..5).filter(|start| starts.contains(&(work, *start))).count();
            prop_assert_eq!(one.refusal_left(SECOND, content).is_some(), crashed >= CRASH_LIMIT);
            prop_assert_eq!(other.refusal_left(SECOND, content), one.refusal_left(SECOND, content));
        }
    }
}

/// Returns a crash of each of the endpoint processes `starts` under each of the parts in turn.
fn crashes_of_parts(parts: &[Content], starts: std::ops::RangeInclusive<u32>) -> Vec<Finding> {
    let crash = |part: Content, start| Finding::PartCrash { part, start, sent_age: STEP * 30 };
    starts.flat_map(|start| parts.iter().map(move |part| crash(*part, start))).collect()
}

/// Each case has a name, findings applied at intervals of a second, and whether requests with
/// the first and with the second part are refused afterwards.
macro_rules! parts {
    ($($name:ident: $findings:expr => $refused:expr;)*) => {$(
        #[test]
        fn $name() {
            let (quarantine, now) = after(&$findings);
            let is_refused = |part: u64| quarantine.refusal_left(now, Content::of_part(part)).is_some();
            assert_eq!([is_refused(1), is_refused(2)], $refused);
        }
    )*};
}

parts! {
    four_crashes_under_a_part_only_raise_a_suspicion: crashes_of_parts(&[Content::of_part(1)], 1..=4) => [false, false];
    five_crashes_under_a_part_cause_a_refusal: crashes_of_parts(&[Content::of_part(1)], 1..=5) => [true, false];
    completion_with_a_part_clears_it: [
        crashes_of_parts(&[Content::of_part(1)], 1..=4),
        vec![Finding::EndedWell { content: Content::of_part(1) }],
        crashes_of_parts(&[Content::of_part(1)], 5..=8),
    ].concat() => [false, false];
    one_of_two_parts_that_crash_together_is_refused:
        crashes_of_parts(&[Content::of_part(1), Content::of_part(2)], 1..=5) => [true, false];
    other_part_is_refused_if_endpoints_go_on_crashing: [
        crashes_of_parts(&[Content::of_part(1), Content::of_part(2)], 1..=5),
        crashes_of_parts(&[Content::of_part(2)], 6..=6),
    ].concat() => [true, true];
}

/// Endpoints that crash together are reported by many instances at once, none of which has heard
/// of the others' reports. A part that runs at all of them must not be refused.
#[test]
fn mass_crash_counts_once_for_a_part() {
    let part = Content::of_part(1);
    let (mut quarantine, mut now) = after(&[]);
    for start in 0..20 {
        now += STEP * 5;
        quarantine.apply(now, Finding::PartCrash { part, start, sent_age: SECOND / 2 });
    }
    assert_eq!(quarantine.refusal_left(now, part), None);
}

/// Endpoints crash together several times, each time reported by many instances at once. A part
/// that runs at all of them must not be refused.
#[test]
fn waves_of_crashes_count_once_each_for_a_part() {
    let part = Content::of_part(1);
    let (mut quarantine, mut now) = after(&[]);
    for start in 0..60 {
        now += if start % 20 == 0 { SECOND } else { STEP * 5 };
        quarantine.apply(now, Finding::PartCrash { part, start, sent_age: SECOND / 2 });
    }
    assert_eq!(quarantine.refusal_left(now, part), None);
}

/// A request with the part is sent again as soon as the crash before was found. The crashes count
/// although little time passes between.
#[test]
fn crashes_one_after_the_other_count_for_a_part() {
    let part = Content::of_part(1);
    let (mut quarantine, mut now) = after(&[]);
    for start in 0..5 {
        now += STEP * 40;
        quarantine.apply(now, Finding::PartCrash { part, start, sent_age: STEP * 30 });
    }
    assert!(quarantine.refusal_left(now, part).is_some());
}

/// A customer must not be able to have requests refused by a name that looks like a part.
#[test]
fn request_of_a_customer_is_no_part() {
    for name in 0..10_000 {
        assert!(!Content::of(Some(&name.to_string()), "POST", "host", "/", b"").is_part());
    }
}
