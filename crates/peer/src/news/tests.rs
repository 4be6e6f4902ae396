//! Duplicate detection of news and the rate limit of a link.

use world::instance::{Id, Incarnation};

use super::{Name, RateLimit, Seen};

fn name(origin: &str, incarnation: u64, sequence: u64) -> Name {
    Name { origin: Id::parse(origin).unwrap(), incarnation: Incarnation(incarnation), sequence }
}

/// Adds items given as (incarnation, sequence, whether it must be new) in order.
fn check(given: &[(u64, u64, bool)]) {
    let mut seen = Seen::default();
    for (incarnation, sequence, expected) in given {
        let name = name("a", *incarnation, *sequence);
        assert_eq!(seen.contains(&name), !expected, "before {incarnation}/{sequence} of {given:?}");
        let is_new = seen.insert(&name);
        assert_eq!(is_new, *expected, "{incarnation}/{sequence} of {given:?}");
    }
}

macro_rules! orders {
    ($($name:ident: $given:expr;)*) => { $(#[test] fn $name() { check(&$given); })* };
}

orders! {
    each_item_is_new_once: [(1, 1, true), (1, 1, false), (1, 2, true), (1, 1, false)];
    out_of_order_items_are_new_once: [(1, 3, true), (1, 1, true), (1, 2, true), (1, 3, false), (1, 1, false)];
    items_after_a_gap_are_new: [(1, 1, true), (1, 100, true), (1, 2, true), (1, 1, false)];
    items_older_than_the_window_count_as_seen: [(1, 1, true), (1, 500, true), (1, 372, false), (1, 373, true), (1, 1, false)];
    a_restart_begins_at_one_again: [(1, 900, true), (2, 1, true), (2, 1, false), (1, 901, false)];
}

#[test]
fn origins_are_independent_and_can_be_forgotten() {
    let mut seen = Seen::default();
    assert!(seen.insert(&name("a", 1, 1)) && seen.insert(&name("b", 1, 1)));
    seen.retain_origins(|id| id.as_str() == "a");
    assert!(!seen.insert(&name("a", 1, 1)) && seen.insert(&name("b", 1, 1)));
}

#[test]
fn a_flood_is_cut_to_the_rate_limit() {
    let mut rate_limit = RateLimit::new(10, 0);
    let taken = |rate_limit: &mut RateLimit, now| (0..1_000).filter(|_| rate_limit.take(now)).count();
    assert_eq!(taken(&mut rate_limit, 0), 10);
    assert_eq!(taken(&mut rate_limit, 999), 0);
    assert_eq!(taken(&mut rate_limit, 1_000), 10);
}
