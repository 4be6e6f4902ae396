//! Bodies give way by how far they are behind, not by how long they take.

use std::{sync::Arc, time::Duration};

use super::{MIN_AGE, MIN_LAG, STEADY_RATE, Upload, Uploads};
use crate::clock;

/// Adds a body that was on pace until `ago`.
fn lagging(uploads: &Arc<Uploads>, ago: Duration) -> Upload {
    let then = clock::now().saturating_sub(ago);
    let upload = uploads.add();
    let mut entries = uploads.lock();
    let entry = entries.get_mut(upload.id).unwrap();
    (entry.started, entry.behind_since) = (then, then);
    drop(entries);
    upload
}

/// A caller that sends as fast as others must not lose its body to them.
#[test]
fn body_on_pace_does_not_give_way() {
    let uploads = Arc::<Uploads>::default();
    let _upload = lagging(&uploads, MIN_LAG / 2);
    assert!(uploads.give_up_slowest().is_none());
}

/// The one that is furthest behind is least likely to end.
#[test]
fn body_that_is_furthest_behind_gives_way_first() {
    let uploads = Arc::<Uploads>::default();
    let near = lagging(&uploads, MIN_LAG);
    let far = lagging(&uploads, MIN_LAG * 3);
    assert!(Arc::ptr_eq(&uploads.give_up_slowest().unwrap(), &far.end));
    assert!(Arc::ptr_eq(&uploads.give_up_slowest().unwrap(), &near.end));
    assert!(uploads.give_up_slowest().is_none());
}

/// A single byte now and then would otherwise keep the memory of a body for as long as its deadline.
#[test]
fn single_byte_does_not_make_up_for_a_pause() {
    let uploads = Arc::<Uploads>::default();
    let upload = lagging(&uploads, MIN_LAG * 2);
    upload.record(1, 1);
    assert!(uploads.give_up_slowest().is_some());
}

/// Callers send in bursts, and a lost packet delays the rest of one.
#[test]
fn burst_makes_up_for_a_pause() {
    let uploads = Arc::<Uploads>::default();
    let upload = lagging(&uploads, MIN_LAG * 2);
    upload.record(STEADY_RATE as usize * 4, STEADY_RATE as usize * 4);
    assert!(uploads.give_up_slowest().is_none());
}

/// A body is given up while its request is not waiting for more of it, and must be refused all the same.
#[test]
fn body_that_was_given_up_stays_so() {
    let uploads = Arc::<Uploads>::default();
    let upload = lagging(&uploads, MIN_LAG);
    assert!(!upload.is_given_up());
    uploads.give_up_slowest().unwrap();
    assert!(upload.is_given_up());
}

/// A short request must not be refused because of bodies that take their time.
#[test]
fn largest_body_gives_way_to_a_short_one_unless_it_is_new() {
    let uploads = Arc::<Uploads>::default();
    let (small, large, new) =
        (lagging(&uploads, MIN_AGE), lagging(&uploads, MIN_AGE), lagging(&uploads, Duration::ZERO));
    small.record(100, 100);
    large.record(5_000, 5_000);
    new.record(90_000, 90_000);
    assert!(Arc::ptr_eq(&uploads.give_up_largest().unwrap(), &large.end));
    assert!(!large.end.is_gone(), "its memory is still to be released");
    drop(large);
    assert!(Arc::ptr_eq(&uploads.give_up_largest().unwrap(), &small.end));
    assert!(uploads.give_up_largest().is_none());
}
