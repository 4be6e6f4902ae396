//! Learning from ratings that arrive late, are missing, or stop.

use route::quality::{Answer, Book, Cell, Guess, Ledger, Stage};
use world::{Timestamp, contract::Customer, model::Version, request::Class};

const BLANK: f64 = 0.9;
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
/// `seen`, and checks the estimate for those in `asked`.
fn check(seen: (&str, &str, &str), asked: (&str, &str, &str), parent: Option<&str>, low: f64, high: f64, spread: f64) {
    let mut book = Book::default();
    rate(&mut book, cell(seen.0, seen.1), seen.2, 700, 300);
    let parent = parent.map(version);
    let guess = Guess { parent: parent.as_ref(), blank: BLANK };
    let estimate = book.profile(cell(asked.0, asked.1), &version(asked.2), guess, Timestamp(0)).first;
    assert!((low..=high).contains(&estimate.mean), "{estimate:?}");
    assert!(estimate.deviation <= spread, "{estimate:?}");
}

macro_rules! believes {
    ($($name:ident: $seen:expr, $asked:expr, $parent:expr => $low:expr, $high:expr, $spread:expr;)*) => {
        $(#[test] fn $name() { check($seen, $asked, $parent, $low, $high, $spread); })*
    };
}

believes! {
    what_was_rated_is_believed: ("a", "k", "m@1"), ("a", "k", "m@1"), None => 0.69, 0.71, 0.02;
    a_class_is_learned_from_other_customers: ("a", "k", "m@1"), ("b", "k", "m@1"), None => 0.69, 0.72, 0.09;
    a_new_class_starts_from_the_version_in_general: ("a", "k", "m@1"), ("a", "new", "m@1"), None => 0.69, 0.72, 0.12;
    a_new_version_starts_from_the_one_it_replaces: ("a", "k", "m@1"), ("a", "k", "m@2"), Some("m@1") => 0.69, 0.71, 0.3;
    a_version_nobody_rated_is_a_guess: ("a", "k", "m@1"), ("a", "k", "m@2"), None => 0.89, 0.91, 0.3;
}

#[test]
fn a_guess_is_unsure() {
    let guess = Guess { parent: None, blank: BLANK };
    let estimate = Book::default().profile(cell("a", "k"), &version("m@1"), guess, Timestamp(0)).first;
    assert!(estimate.lower(1.0) < 0.75, "{estimate:?}");
}

/// A caller puts a number into the class name, so that each request has its own class.
/// Beyond the limit such classes share one cell; otherwise nothing would be learned.
#[test]
fn classes_without_number_are_learned_as_one() {
    let mut book = Book::default();
    for n in 0..2_000 {
        rate(&mut book, cell("a", &format!("job-{n}")), "m@1", 1, 1);
    }
    let guess = Guess { parent: None, blank: BLANK };
    let estimate = book.profile(cell("a", "job-5000"), &version("m@1"), guess, Timestamp(0)).first;
    assert!(estimate.deviation < 0.02, "{estimate:?}");
}

#[test]
fn a_version_that_turns_bad_shows() {
    let mut book = Book::default();
    rate(&mut book, cell("a", "k"), "m@1", 20_000, 0);
    rate(&mut book, cell("a", "k"), "m@1", 0, 700);
    let guess = Guess { parent: None, blank: BLANK };
    assert!(book.profile(cell("a", "k"), &version("m@1"), guess, Timestamp(0)).first.mean < 0.6);
}

/// The rating service is down for an hour. Answers count with their expected rating,
/// but the account must become more cautious with each of them.
#[test]
fn an_hour_without_ratings_makes_careful() {
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
fn an_answer_that_is_passed_by_lapses() {
    let (mut book, mut ledger, cell) = (Book::default(), Ledger::default(), cell("a", "k"));
    let give = |book: &mut Book, ledger: &mut Ledger, id: u64, at: u64| {
        let pending = book.open(cell, TARGET, TARGET);
        let answer = Answer { cell, version: &version("m@1"), stage: Stage::First, pending };
        ledger.answered(book, id, &answer, Timestamp(at));
    };
    give(&mut book, &mut ledger, 1, 0);
    give(&mut book, &mut ledger, 2, 5 * MINUTE);
    give(&mut book, &mut ledger, 3, 11 * MINUTE);
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
fn an_escalated_answer_counts_at_what_is_left_of_its_ladder() {
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
fn an_account_does_not_save_without_end() {
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
fn a_slow_spell_is_forgotten() {
    let (mut book, cell) = (Book::default(), cell("a", "k"));
    for _ in 0..50 {
        book.ran(cell, &version("m@1"), MINUTE, 10, Timestamp(0));
    }
    let least = |minutes: u64| book.speed(cell, &version("m@1"), Timestamp(minutes * MINUTE)).least_ms();
    assert!(least(0) > 30_000.0);
    assert!(least(5) < 100.0);
}
