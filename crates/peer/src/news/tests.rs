//! Duplicate detection of news and the rate limit of a link.

use world::instance::{Id, Incarnation};

use super::{Allowance, Name, Seen};

fn name(origin: &str, incarnation: u64, sequence: u64) -> Name {
    Name { origin: Id::parse(origin).unwrap(), incarnation: Incarnation(incarnation), sequence }
}

/// Adds items given as (incarnation, sequence, whether it must be new) in order.
fn check(given: &[(u64, u64, bool)]) {
    let mut seen = Seen::default();
    for (incarnation, sequence, expected) in given {
        let name = name("a", *incarnation, *sequence);
        assert_eq!(seen.has(&name), !expected, "before {incarnation}/{sequence} of {given:?}");
        let is_new = seen.is_new(&name);
        assert_eq!(is_new, *expected, "{incarnation}/{sequence} of {given:?}");
    }
}

macro_rules! orders {
    ($($name:ident: $given:expr;)*) => { $(#[test] fn $name() { check(&$given); })* };
}

orders! {
    each_once: [(1, 1, true), (1, 1, false), (1, 2, true), (1, 1, false)];
    over_another_way_out_of_order: [(1, 3, true), (1, 1, true), (1, 2, true), (1, 3, false), (1, 1, false)];
    after_a_gap: [(1, 1, true), (1, 100, true), (1, 2, true), (1, 1, false)];
    older_than_the_window: [(1, 1, true), (1, 500, true), (1, 372, false), (1, 373, true), (1, 1, false)];
    a_restart_counts_from_one_again: [(1, 900, true), (2, 1, true), (2, 1, false), (1, 901, false)];
}

#[test]
fn origins_are_apart_and_forgotten() {
    let mut seen = Seen::default();
    assert!(seen.is_new(&name("a", 1, 1)) && seen.is_new(&name("b", 1, 1)));
    seen.keep(|id| id.as_str() == "a");
    assert!(!seen.is_new(&name("a", 1, 1)) && seen.is_new(&name("b", 1, 1)));
}

#[test]
fn a_flood_is_cut_to_the_allowance() {
    let mut allowance = Allowance::new(10, 0);
    let taken = |allowance: &mut Allowance, now| (0..1_000).filter(|_| allowance.take(now)).count();
    assert_eq!(taken(&mut allowance, 0), 10);
    assert_eq!(taken(&mut allowance, 999), 0);
    assert_eq!(taken(&mut allowance, 1_000), 10);
}
