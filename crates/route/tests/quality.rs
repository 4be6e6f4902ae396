//! Learning from ratings that arrive late, are missing, or stop.

use route::quality::{Answer, Book, Cell, Ledger, Prior, Stage};
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

fn rate(book: &mut Book, cell: Cell, at: &str, passes: u32, fails: u32) {
    for n in 0..passes + fails {
        book.rate(cell, &version(at), Stage::First, n % (passes + fails) < passes);
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
    let mut book = Book::default();
    rate(&mut book, cell(rated.0, rated.1), rated.2, 700, 300);
    let parent = parent.map(version);
    let prior = Prior { parent: parent.as_ref(), fallback_rate: PRIOR_RATE };
    let estimate = book.profile(cell(asked.0, asked.1), &version(asked.2), prior, Timestamp(0)).first;
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
    let estimate = Book::default().profile(cell("a", "k"), &version("m@1"), prior, Timestamp(0)).first;
    assert!(estimate.lower_bound(1.0) < 0.75, "{estimate:?}");
}

/// A caller puts a number into the class name, so that each request has its own class.
/// Beyond the limit such classes share one cell; otherwise nothing would be learned.
#[test]
fn classes_beyond_the_limit_share_one_cell() {
    let mut book = Book::default();
    for n in 0..2_000 {
        rate(&mut book, cell("a", &format!("job-{n}")), "m@1", 1, 1);
    }
    let prior = Prior { parent: None, fallback_rate: PRIOR_RATE };
    let estimate = book.profile(cell("a", "job-5000"), &version("m@1"), prior, Timestamp(0)).first;
    assert!(estimate.deviation < 0.02, "{estimate:?}");
}

#[test]
fn estimate_drops_when_a_version_becomes_bad() {
    let mut book = Book::default();
    rate(&mut book, cell("a", "k"), "m@1", 20_000, 0);
    rate(&mut book, cell("a", "k"), "m@1", 0, 700);
    let prior = Prior { parent: None, fallback_rate: PRIOR_RATE };
    assert!(book.profile(cell("a", "k"), &version("m@1"), prior, Timestamp(0)).first.mean < 0.6);
}

/// The rating service is down for an hour. Answers count with their expected rating,
/// but the account must become more cautious with each of them.
#[test]
fn credit_drops_during_an_hour_without_ratings() {
    let (mut book, cell) = (Book::default(), cell("a", "k"));
    let before = book.account(cell).credit();
    for _ in 0..400 {
        book.open(cell, TARGET, TARGET);
    }
    assert!(book.account(cell).credit() < before - 5.0);
}

/// One of three answers is not rated, and an answer given more than ten minutes later
/// is. The rating service has skipped the first: it lapses, counts with its expected
/// rating, and its variance lowers the credit.
#[test]
fn an_answer_skipped_by_the_rating_service_lapses() {
    let (mut book, mut ledger, cell) = (Book::default(), Ledger::default(), cell("a", "k"));
    let add_answer = |book: &mut Book, ledger: &mut Ledger, id: u64, at: u64| {
        let pending = book.open(cell, TARGET, TARGET);
        let answer = Answer { cell, version: &version("m@1"), stage: Stage::First, pending };
        ledger.answered(book, id, &answer, Timestamp(at));
    };
    add_answer(&mut book, &mut ledger, 1, 0);
    add_answer(&mut book, &mut ledger, 2, 5 * MINUTE);
    add_answer(&mut book, &mut ledger, 3, 11 * MINUTE);
    assert!(ledger.rated(&mut book, 3, true));
    assert_eq!(ledger.waiting(), 1);
    assert!(!ledger.rated(&mut book, 1, true));
    assert!(ledger.rated(&mut book, 2, true));
    let credit = book.account(cell).credit();
    let passes = 2.0 * (1.0 - TARGET);
    assert!(credit < passes && credit > passes - 1.0, "{credit}");
}

/// Requests that escalate are harder than average. When unrated ones counted with the
/// rate of the whole ladder, classes ended below their target.
#[test]
fn an_escalated_answer_counts_with_its_lower_pass_rate() {
    let (mut book, cell) = (Book::default(), cell("a", "k"));
    let pending = book.open(cell, 0.97, TARGET);
    let pending = book.escalated(cell, pending, 0.6);
    book.lapse(cell, pending);
    assert!(book.account(cell).credit() < 0.6 - TARGET);
}

/// Even the cheapest version exceeds the target for a year, then becomes bad. The
/// credit accumulated until then must be bounded, or bad answers would be tolerated
/// for long.
#[test]
fn credit_of_an_account_is_bounded() {
    let (mut book, cell) = (Book::default(), cell("a", "k"));
    for _ in 0..100_000 {
        let pending = book.open(cell, 1.0, TARGET);
        book.close(cell, pending, true);
    }
    assert!(book.account(cell).credit() <= 60.0);
}

/// In a slow period every run takes a minute, and requests with less time are refused.
/// Without runs the end of the period is not observed, so the durations must decay.
#[test]
fn durations_decay_after_a_slow_period() {
    let (mut book, cell) = (Book::default(), cell("a", "k"));
    for _ in 0..50 {
        book.ran(cell, &version("m@1"), MINUTE, 10, Timestamp(0));
    }
    let least = |minutes: u64| book.speed(cell, &version("m@1"), Timestamp(minutes * MINUTE)).least_ms();
    assert!(least(0) > 30_000.0);
    assert!(least(5) < 100.0);
}
