//! Requests that may be rejected by endpoints that survive few rejections.

use std::time::Duration;

use route::relay::rejection::{Endpoint, Guard, Share, Statement};
use world::hash;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Number of slots in an instance's part.
const SLOTS: u32 = 4;

/// Returns a guard of an endpoint that survives `max_per_s` rejections, with a share of them.
fn guard(max_per_s: u32, share: usize) -> Guard {
    let mut guard = Guard::default();
    guard.record(Statement { max_per_s: Some(max_per_s), at: ms(0) });
    guard.set_share(Share { rejections: share, slots: SLOTS });
    guard
}

/// All instances together must not cause more rejections than the endpoint survives.
fn check_shares(instances: u64, max_per_s: u32) {
    let names: Vec<u64> = (0..instances).map(|name| hash::stable(&name.to_be_bytes())).collect();
    for endpoint in 0..20 {
        let others = |me: u64| names.iter().copied().filter(move |name| *name != me);
        let endpoint = Endpoint { hash: endpoint, slots: 32, max_per_s };
        let parts: Vec<Share> = names.iter().map(|me| endpoint.share(*me, others(*me))).collect();
        let shares: Vec<usize> = parts.iter().map(|part| part.rejections).collect();
        let sum = shares.iter().sum::<usize>();
        assert!(sum <= usize::try_from(max_per_s).unwrap().max(1), "{shares:?}");
        assert!(sum >= 1, "somebody must be able to send");
        assert!(parts.iter().map(|part| part.slots).sum::<u32>() <= endpoint.slots, "{parts:?}");
    }
}

macro_rules! shares {
    ($($name:ident: $instances:expr, $max_per_s:expr;)*) => {$(
        #[test]
        fn $name() {
            check_shares($instances, $max_per_s);
        }
    )*};
}

shares! {
    one_instance: 1, 5;
    several_instances: 7, 20;
    as_many_rejections_as_instances: 7, 7;
    fewer_rejections_than_instances: 7, 3;
    hundreds_of_instances: 295, 10;
    no_rejection_at_all: 7, 0;
}

/// A full endpoint must not get requests faster than it may reject them.
#[test]
fn rejections_in_any_second_stay_within_the_share() {
    let mut guard = guard(10, 3);
    let mut rejections: Vec<Duration> = Vec::new();
    for now in (0..9_000).map(ms) {
        if guard.may_send(now, 0) {
            guard.record_send(now);
            guard.record_rejection(now, now);
            rejections.push(now);
        }
    }
    for from in &rejections {
        let within = rejections.iter().filter(|at| (*from..*from + ms(1_000)).contains(at)).count();
        assert!(within <= 3, "{within} rejections within a second");
    }
    assert!(rejections.len() > 8, "the endpoint must be tried again");
}

/// An endpoint with room gets requests although each of them might be rejected at first.
#[test]
fn accepted_requests_do_not_use_up_the_share() {
    let mut guard = guard(10, 1);
    let mut sent = 0;
    for now in (0..1_000).map(ms) {
        if guard.may_send(now, 0) {
            guard.record_send(now);
            sent += 1;
        }
    }
    assert!(sent >= 3, "{sent} requests in a second");
}

/// A request whose first byte has arrived cannot be rejected any more.
#[test]
fn answered_request_makes_room_at_once() {
    let mut guard = guard(10, 1);
    guard.record_send(ms(0));
    assert!(!guard.may_send(ms(20), 0));
    guard.record_acceptance(ms(0));
    assert!(guard.may_send(ms(20), 0));
}

/// On a busy processor, a rejection is handled long after the request was sent. If the endpoint
/// was full before, no other request must be sent until then.
#[test]
fn late_rejection_is_waited_for() {
    let mut guard = guard(10, 1);
    guard.record_send(ms(0));
    guard.record_rejection(ms(1), ms(0));
    let sent_at = ms(1_500);
    assert!(guard.may_send(sent_at, 0));
    guard.record_send(sent_at);
    assert!(!guard.may_send(sent_at + ms(1_200), 0));
    guard.record_rejection(sent_at + ms(1_200), sent_at);
    assert!(!guard.may_send(sent_at + ms(2_100), 0));
    assert!(guard.may_send(sent_at + ms(2_300), 0));
}

/// On a busy processor, rejections are handled long after the requests were sent. Even if the
/// endpoint was not full before, no more requests must be sent than there are slots.
#[test]
fn late_rejections_are_no_more_than_the_slots() {
    let mut guard = guard(10, 1);
    let mut runs = 0;
    for now in (0..1_000).map(ms) {
        if guard.may_send(now, runs) {
            guard.record_send(now);
            runs += 1;
        }
    }
    assert_eq!(runs, SLOTS);
}

/// Requests for which there is no slot must not be sent.
#[test]
fn requests_beyond_the_slots_are_not_sent() {
    let guard = guard(10, 10);
    assert!(guard.may_send(ms(0), SLOTS - 1));
    assert!(!guard.may_send(ms(0), SLOTS));
}

/// An endpoint that has answered nobody yet is treated as others of its service say.
#[test]
fn statement_of_the_service_applies_to_an_endpoint_without_one() {
    let mut guard = Guard::default();
    guard.set_statement_of_service(Some(Statement { max_per_s: Some(10), at: ms(0) }));
    assert_eq!(guard.max_per_s(ms(100)), Some(10));
    guard.record(Statement { max_per_s: None, at: ms(50) });
    assert_eq!(guard.max_per_s(ms(100)), None);
}

/// Another endpoint that survives any number of rejections must not end an endpoint's own
/// statement.
#[test]
fn own_statement_precedes_the_statement_of_the_service() {
    let mut guard = guard(10, 0);
    guard.set_statement_of_service(Some(Statement { max_per_s: None, at: ms(50) }));
    assert_eq!(guard.max_per_s(ms(100)), Some(10));
}

#[test]
fn statement_ends_with_an_answer_without_one() {
    let mut guard = guard(10, 0);
    assert!(!guard.may_send(ms(100), 0));
    guard.record(Statement { max_per_s: None, at: ms(50) });
    assert!(guard.may_send(ms(100), 0));
}

/// An answer to an earlier request may arrive after a statement, and does not end it.
#[test]
fn statement_outlasts_an_answer_to_an_earlier_request() {
    let mut guard = Guard::default();
    guard.record(Statement { max_per_s: Some(10), at: ms(200) });
    guard.record(Statement { max_per_s: None, at: ms(100) });
    assert!(!guard.may_send(ms(300), 0));
}

/// An endpoint that no longer answers must not be avoided forever.
#[test]
fn statement_expires() {
    assert!(guard(10, 0).may_send(ms(60_000), 0));
}
