//! Tests of which removals other instances are notified of after an outage.

use std::time::Duration;

use super::{Lapse, Lapses, RETURN};
use crate::desk::track::Change;

const OUTAGE_ENDS: Duration = Duration::from_secs(10);

/// Returns lapses in which endpoint "e0" lapsed during an outage and was removed.
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

/// An endpoint registers just after it was removed, before other instances were notified.
/// An instance that is told "gone" together with a change later than the registration
/// would send it nothing until its registration changes again.
#[test]
fn endpoint_that_came_back_is_not_told_as_gone() {
    let mut lapses = given_up();
    lapses.lapse("e1".into(), OUTAGE_ENDS + RETURN);
    lapses.back("e0");
    lapses.back("e1");
    assert!(!lapses.waits());
    assert_eq!(lapses.tell(), []);
}

/// After removing an endpoint, this instance is synchronized by another one, which may
/// deliver a new registration of the endpoint, and later watches the store again. The
/// removal is out of date by then and must not be announced.
#[test]
fn old_word_is_not_told_after_another_has_led() {
    let mut lapses = given_up();
    lapses.leave();
    assert_eq!(lapses.tell(), []);
}
