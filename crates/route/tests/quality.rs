//! Learning from ratings that arrive late, are missing, or stop.

use route::quality::{Answer, Cell, Estimates, PendingAnswers, Prior, Stage};
use world::{Timestamp, contract::Customer, model::Version, request::Class};

const PRIOR_RATE: f64 = 0.9;
const TARGET: f64 = 0.9;
const MINUTE: u64 = 60_000;

fn cell(customer: &str, class: &str) -> Cell {
    Cell::new(&Customer::parse(customer).expect("valid name"), &Class::parse(class).expect("valid name"))
}

fn version(text: &str) -> Version {
    Version::parse(text).expect("a version")
}

fn rate(quality: &mut Estimates, cell: Cell, at: &str, passes: u32, fails: u32) {
    for n in 0..passes + fails {
        quality.record_rating(cell, &version(at), Stage::First, n % (passes + fails) < passes);
    }
}

/// Records 1,000 ratings, of which 700 pass, for the customer, class and version in
/// `rated`, and checks the estimate for those in `asked`.
fn check_estimate(
    rated: (&str, &str, &str),
    asked: (&str, &str, &str),
    parent: Option<&str>,
    low: f64,
    high: f64,
    max_deviation: f64,
) {
    let mut quality = Estimates::default();
    rate(&mut quality, cell(rated.0, rated.1), rated.2, 700, 300);
    let parent = parent.map(version);
    let prior = Prior { parent: parent.as_ref(), fallback_rate: PRIOR_RATE };
    let estimate = quality.profile(cell(asked.0, asked.1), &version(asked.2), prior, Timestamp(0)).first;
    assert!((low..=high).contains(&estimate.mean), "{estimate:?}");
    assert!(estimate.deviation <= max_deviation, "{estimate:?}");
}

macro_rules! estimate_tests {
    ($($name:ident: $rated:expr, $asked:expr, $parent:expr => $low:expr, $high:expr, $max_deviation:expr;)*) => {
        $(#[test] fn $name() { check_estimate($rated, $asked, $parent, $low, $high, $max_deviation); })*
    };
}

estimate_tests! {
    estimate_follows_the_ratings_of_the_same_class: ("a", "k", "m@1"), ("a", "k", "m@1"), None => 0.69, 0.71, 0.02;
    a_class_is_learned_from_other_customers: ("a", "k", "m@1"), ("b", "k", "m@1"), None => 0.69, 0.72, 0.09;
    a_new_class_starts_from_the_version_in_general: ("a", "k", "m@1"), ("a", "new", "m@1"), None => 0.69, 0.72, 0.12;
    a_new_version_starts_from_the_one_it_replaces: ("a", "k", "m@1"), ("a", "k", "m@2"), Some("m@1") => 0.69, 0.71, 0.3;
    an_unrated_version_has_the_prior_rate: ("a", "k", "m@1"), ("a", "k", "m@2"), None => 0.89, 0.91, 0.3;
}

#[test]
fn the_prior_has_a_wide_deviation() {
    let prior = Prior { parent: None, fallback_rate: PRIOR_RATE };
    let estimate = Estimates::default().profile(cell("a", "k"), &version("m@1"), prior, Timestamp(0)).first;
    assert!(estimate.lower_bound(1.0) < 0.75, "{estimate:?}");
}

/// A caller puts a number into the class name, so that each request has its own class.
/// Beyond the limit such classes share one cell; otherwise nothing would be learned.
#[test]
fn classes_beyond_the_limit_share_one_cell() {
    let mut quality = Estimates::default();
    for n in 0..2_000 {
        rate(&mut quality, cell("a", &format!("job-{n}")), "m@1", 1, 1);
    }
    let prior = Prior { parent: None, fallback_rate: PRIOR_RATE };
    let estimate = quality.profile(cell("a", "job-5000"), &version("m@1"), prior, Timestamp(0)).first;
    assert!(estimate.deviation < 0.02, "{estimate:?}");
}

#[test]
fn estimate_drops_when_a_version_becomes_bad() {
    let mut quality = Estimates::default();
    rate(&mut quality, cell("a", "k"), "m@1", 20_000, 0);
    rate(&mut quality, cell("a", "k"), "m@1", 0, 700);
    let prior = Prior { parent: None, fallback_rate: PRIOR_RATE };
    assert!(quality.profile(cell("a", "k"), &version("m@1"), prior, Timestamp(0)).first.mean < 0.6);
}

/// The rating service is down for an hour. Answers count with their expected rating,
/// but the account must become more cautious with each of them.
#[test]
fn credit_drops_during_an_hour_without_ratings() {
    let (mut quality, cell) = (Estimates::default(), cell("a", "k"));
    let before = quality.account(cell).credit();
    for _ in 0..400 {
        quality.add_pending(cell, TARGET, TARGET);
    }
    assert!(quality.account(cell).credit() < before - 5.0);
}

/// One of three answers is not rated, and an answer given more than ten minutes later
/// is. The rating service has skipped the first: it lapses, counts with its expected
/// rating, and its variance lowers the credit.
#[test]
fn an_answer_skipped_by_the_rating_service_lapses() {
    let (mut quality, mut pending_answers, cell) = (Estimates::default(), PendingAnswers::default(), cell("a", "k"));
    let add_answer = |quality: &mut Estimates, pending_answers: &mut PendingAnswers, id: u64, at: u64| {
        let pending = quality.add_pending(cell, TARGET, TARGET);
        let answer = Answer { cell, version: &version("m@1"), stage: Stage::First, pending };
        pending_answers.add(quality, id, &answer, Timestamp(at));
    };
    add_answer(&mut quality, &mut pending_answers, 1, 0);
    add_answer(&mut quality, &mut pending_answers, 2, 5 * MINUTE);
    add_answer(&mut quality, &mut pending_answers, 3, 11 * MINUTE);
    assert!(pending_answers.record_rating(&mut quality, 3, true));
    assert_eq!(pending_answers.waiting(), 1);
    assert!(!pending_answers.record_rating(&mut quality, 1, true));
    assert!(pending_answers.record_rating(&mut quality, 2, true));
    let credit = quality.account(cell).credit();
    let passes = 2.0 * (1.0 - TARGET);
    assert!(credit < passes && credit > passes - 1.0, "{credit}");
}

/// Requests that escalate are harder than average. When unrated ones counted with the
/// rate of the whole ladder, classes ended below their target.
#[test]
fn an_escalated_answer_counts_with_its_lower_pass_rate() {
    let (mut quality, cell) = (Estimates::default(), cell("a", "k"));
    let pending = quality.add_pending(cell, 0.97, TARGET);
    let pending = quality.update_pending(cell, pending, 0.6);
    quality.lapse(cell, pending);
    assert!(quality.account(cell).credit() < 0.6 - TARGET);
}

/// Even the cheapest version exceeds the target for a year, then becomes bad. The
/// credit accumulated until then must be bounded, or bad answers would be tolerated
/// for long.
#[test]
fn credit_of_an_account_is_bounded() {
    let (mut quality, cell) = (Estimates::default(), cell("a", "k"));
    for _ in 0..100_000 {
        let pending = quality.add_pending(cell, 1.0, TARGET);
        quality.record_final_rating(cell, pending, true);
    }
    assert!(quality.account(cell).credit() <= 60.0);
}

/// In a slow period every run takes a minute, and requests with less time are refused.
/// Without runs the end of the period is not observed, so the durations must decay.
#[test]
fn durations_decay_after_a_slow_period() {
    let (mut quality, cell) = (Estimates::default(), cell("a", "k"));
    for _ in 0..50 {
        quality.record_run(cell, &version("m@1"), MINUTE, 10, Timestamp(0));
    }
    let least = |minutes: u64| quality.speed(cell, &version("m@1"), Timestamp(minutes * MINUTE)).plausible_min_ms();
    assert!(least(0) > 30_000.0);
    assert!(least(5) < 100.0);
}
