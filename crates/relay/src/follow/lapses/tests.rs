//! What others are told of endpoints that lapsed.

use std::time::Duration;

use super::{Lapse, Lapses, RETURN};
use crate::desk::track::Change;

const OUTAGE_ENDS: Duration = Duration::from_secs(10);

/// Endpoint "e0" lapsed during an outage and was given up.
fn given_up() -> Lapses {
    let mut lapses = Lapses::default();
    lapses.lapse("e0".into(), OUTAGE_ENDS);
    assert!(lapses.expire(OUTAGE_ENDS).is_empty());
    let gone = lapses.expire(OUTAGE_ENDS + RETURN);
    assert_eq!(gone, [Lapse { id: "e0".into(), since: OUTAGE_ENDS }]);
    lapses.gone("e0".into());
    lapses
}

#[test]
fn endpoint_given_up_is_told_once() {
    let mut lapses = given_up();
    assert!(!lapses.waits());
    assert_eq!(lapses.tell(), [Change::Gone("e0".into())]);
    assert_eq!(lapses.tell(), []);
}

/// An endpoint registers just after it was given up, before anybody else was
/// told. Instances that heard "gone" with a later change than its registration
/// would send it nothing until it changes once more.
#[test]
fn endpoint_that_came_back_is_not_told_as_gone() {
    let mut lapses = given_up();
    lapses.lapse("e1".into(), OUTAGE_ENDS + RETURN);
    lapses.back("e0");
    lapses.back("e1");
    assert!(!lapses.waits());
    assert_eq!(lapses.tell(), []);
}

/// After it gave an endpoint up, this instance is kept in step by another one,
/// from which it hears that the endpoint has registered again, and later
/// watches the store anew: what it once had to tell is out of date.
#[test]
fn old_word_is_not_told_after_another_has_led() {
    let mut lapses = given_up();
    lapses.leave();
    assert_eq!(lapses.tell(), []);
}
