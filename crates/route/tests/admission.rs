//! Order of admission, and immediate refusals.

use std::collections::BTreeMap;

use proptest::{prelude::*, test_runner::RngSeed};
use route::admission::{Cause, Key, Queue, Ticket};
use world::{Timestamp, contract::Customer};

const RUN_MS: u64 = 100;

fn customer(name: &str) -> Customer {
    Customer::parse(name).expect("valid name")
}

fn ticket(customer: &Customer, weight: u32, deadline: u64) -> Ticket<'_> {
    Ticket { customer, weight, deadline: Timestamp(deadline), run_ms: RUN_MS, draw: 7 }
}

/// Admits and finishes `turns` requests one after the other and counts them by customer.
fn shares(queue: &mut Queue, turns: usize) -> BTreeMap<String, usize> {
    let mut shares = BTreeMap::new();
    for _ in 0..turns {
        let admitted = queue.next(Timestamp(0)).expect("somebody waits");
        *shares.entry(admitted.customer.to_string()).or_default() += 1;
        queue.record_finish(Timestamp(0));
    }
    shares
}

fn check_shares(weights: &[(&str, u32, usize)], turns: usize, expected: &[(&str, usize)]) {
    let mut queue = Queue::new(1);
    for (name, weight, requests) in weights {
        for _ in 0..*requests {
            let offered = queue.offer(&ticket(&customer(name), *weight, 1_000_000), Timestamp(0));
            offered.expect("the deadline is far away");
        }
    }
    let expected = expected.iter().map(|(name, turns)| (name.to_string(), *turns)).collect();
    assert_eq!(shares(&mut queue, turns), expected);
}

macro_rules! share_tests {
    ($($name:ident: $weights:expr, $turns:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check_shares(&$weights, $turns, &$expected); })*
    };
}

share_tests! {
    equal_weights_get_equal_shares: [("a", 1, 50), ("b", 1, 50)], 20 => [("a", 10), ("b", 10)];
    shares_are_proportional_to_weights: [("a", 3, 50), ("b", 1, 50)], 20 => [("a", 15), ("b", 5)];
    a_flood_does_not_starve_a_small_customer: [("large", 1, 500), ("small", 1, 5)], 10 => [("large", 5), ("small", 5)];
    unused_turns_go_to_other_customers: [("a", 1, 2), ("b", 1, 50)], 20 => [("a", 2), ("b", 18)];
}

#[test]
fn earliest_deadline_first_within_a_customer() {
    let (mut queue, a) = (Queue::new(1), customer("a"));
    let keys = [9_000, 3_000, 6_000]
        .map(|due| queue.offer(&ticket(&a, 1, due), Timestamp(0)).expect("the deadline leaves enough time"));
    let mut turns = Vec::new();
    while let Some(admitted) = queue.next(Timestamp(0)) {
        queue.record_finish(Timestamp(0));
        turns.push(admitted.key);
    }
    assert_eq!(turns, [keys[1], keys[2], keys[0]]);
}

/// Engines order the runs of all instances by priority. A customer that floods the
/// queue must get a lower priority than one with a single request, otherwise its runs
/// would delay the single one in the queue of the engine.
#[test]
fn customers_over_their_share_get_a_lower_engine_priority() {
    let (mut queue, large, small) = (Queue::new(100), customer("large"), customer("small"));
    let mut run = |customer: &Customer, now: u64| {
        queue.offer(&ticket(customer, 1, now + 1_000_000), Timestamp(now)).expect("the deadline leaves enough time");
        let admitted = queue.next(Timestamp(now)).expect("a request is waiting");
        queue.record_finish(Timestamp(now));
        admitted.priority
    };
    let small_first = run(&small, 0);
    let flood = (1..50).map(|now| run(&large, now)).max().expect("there are some");
    assert_eq!(run(&small, 50), small_first);
    assert!(flood > small_first, "{flood} and {small_first}");
    assert_eq!(run(&large, 500_000), small_first, "past usage decays");
}

/// A customer returns with a burst after being idle. If it had accumulated its unused
/// turns, the burst would lock out all other customers.
#[test]
fn idle_time_does_not_accumulate_turns() {
    let (mut queue, a, b) = (Queue::new(1), customer("a"), customer("b"));
    for _ in 0..100 {
        queue.offer(&ticket(&a, 1, 1_000_000), Timestamp(0)).expect("the deadline leaves enough time");
        queue.next(Timestamp(0)).expect("a request is waiting");
        queue.record_finish(Timestamp(0));
    }
    for _ in 0..20 {
        queue.offer(&ticket(&a, 1, 1_000_000), Timestamp(0)).expect("the deadline leaves enough time");
        queue.offer(&ticket(&b, 1, 1_000_000), Timestamp(0)).expect("the deadline leaves enough time");
    }
    let shares = shares(&mut queue, 10);
    assert!((4..=6).contains(&shares["a"]), "{shares:?}");
}

/// One request runs at a time, and more are offered than fit before their deadline.
/// The next one must be refused on arrival with a retry time, instead of waiting in
/// vain.
#[test]
fn requests_that_would_be_late_are_refused_on_arrival() {
    let (mut queue, a) = (Queue::new(1), customer("a"));
    for _ in 0..10 {
        queue.offer(&ticket(&a, 1, 400), Timestamp(0)).ok();
    }
    let waiting = queue.waiting();
    let refusal = queue.offer(&ticket(&a, 1, 400), Timestamp(0)).expect_err("the deadline leaves too little time");
    assert!(matches!(refusal.cause, Cause::Deadline { .. }));
    assert!(refusal.retry_after_ms >= RUN_MS, "{refusal}");
    assert_eq!(queue.waiting(), waiting);
}

/// A waiting request can no longer meet its deadline. It must be shed as soon as this
/// is so, and must not be admitted late.
#[test]
fn late_requests_are_shed_and_not_admitted() {
    let (mut queue, a) = (Queue::new(1), customer("a"));
    let slow = queue.offer(&ticket(&a, 1, 150), Timestamp(0)).expect("the deadline leaves enough time");
    let shed = queue.shed(Timestamp(60));
    assert_eq!(shed.iter().map(|(key, _)| *key).collect::<Vec<_>>(), [slow]);
    assert!(queue.next(Timestamp(60)).is_none());
}

/// An operation on the queue.
#[derive(Debug, Clone)]
enum Action {
    Offer { customer: usize, weight: u32, within_ms: u64, run_ms: u64 },
    Next,
    Finish,
    Cancel(usize),
    Limit(u32),
    Advance(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..4usize, 1..5u32, 0..3_000u64, 1..500u64)
            .prop_map(|(customer, weight, within_ms, run_ms)| Action::Offer { customer, weight, within_ms, run_ms }),
        3 => Just(Action::Next),
        3 => Just(Action::Finish),
        1 => (0..50usize).prop_map(Action::Cancel),
        1 => (0..6u32).prop_map(Action::Limit),
        2 => (0..400u64).prop_map(Action::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every accepted request gets exactly one outcome: admitted, shed or cancelled. The
    /// limit of running requests holds, and no request is admitted too late.
    #[test]
    fn every_accepted_request_has_exactly_one_outcome(actions in proptest::collection::vec(action(), 1..200)) {
        let names: Vec<_> = ["a", "b", "c", "d"].map(customer).into();
        let mut queue = Queue::new(2);
        let (mut now, mut limit, mut running) = (Timestamp(0), 2, 0u32);
        let mut waiting: BTreeMap<Key, (Timestamp, u64)> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Offer { customer, weight, within_ms, run_ms } => {
                    let deadline = now.plus(within_ms);
                    let ticket = Ticket { customer: &names[customer], weight, deadline, run_ms, draw: within_ms };
                    match queue.offer(&ticket, now) {
                        Ok(key) => prop_assert!(waiting.insert(key, (deadline, run_ms)).is_none()),
                        Err(refusal) => prop_assert!(refusal.retry_after_ms > 0),
                    }
                }
                Action::Next => if let Some(admitted) = queue.next(now) {
                    let (deadline, run_ms) = waiting.remove(&admitted.key).expect("the request has no outcome yet");
                    prop_assert!(now.plus(run_ms) <= deadline);
                    prop_assert!(running < limit);
                    prop_assert!(admitted.priority <= 9);
                    running += 1;
                },
                Action::Finish if running > 0 => {
                    queue.record_finish(now);
                    running -= 1;
                }
                Action::Finish => {}
                Action::Cancel(nth) => if let Some(key) = waiting.keys().nth(nth).copied() {
                    waiting.remove(&key);
                    prop_assert!(queue.cancel(key));
                },
                Action::Limit(to) => {
                    limit = to.max(1);
                    queue.set_limit(to);
                }
                Action::Advance(millis) => {
                    now = now.plus(millis);
                    for (key, _) in queue.shed(now) {
                        prop_assert!(waiting.remove(&key).is_some());
                    }
                    prop_assert!(waiting.values().all(|(deadline, run_ms)| now.plus(*run_ms) <= *deadline));
                }
            }
            prop_assert_eq!(queue.waiting(), waiting.len());
            prop_assert_eq!(queue.running(), running);
        }
    }
}
