//! Retries and hedges stay within budget and deadline.

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::retry::{self, Budget, Decision, Failure, Hedge, Policy, Reason, Request};
use world::{Timestamp, request::Repeat};

const NOT_RUN: Failure = Failure::NotRun { retry_after: None };

fn request(repeat: Repeat, tries: u32) -> Request {
    Request { repeat, tries, deadline: Timestamp(10_000), expected_ms: 500 }
}

fn check_decision(request: &Request, failure: Failure, now: u64, expected: Result<(), Reason>) {
    let policy = Policy::default();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let decision = retry::decide(&policy, &mut Budget::new(&policy), request, failure, Timestamp(now), &mut random);
    let outcome = match decision {
        Decision::Retry { .. } => Ok(()),
        Decision::GiveUp(reason) => Err(reason),
    };
    assert_eq!(outcome, expected);
}

macro_rules! cases {
    ($($name:ident: $request:expr, $failure:expr, at $now:literal => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            check_decision(&$request, $failure, $now, $expected);
        })*
    };
}

cases! {
    idempotent_request_is_retried_after_a_possible_run: request(Repeat::Idempotent, 1), Failure::MayHaveRun, at 0 => Ok(());
    non_idempotent_request_is_not_retried_after_a_possible_run: request(Repeat::Never, 1), Failure::MayHaveRun, at 0 => Err(Reason::NotRepeatable);
    non_idempotent_request_is_retried_if_it_did_not_run: request(Repeat::Never, 1), NOT_RUN, at 0 => Ok(());
    no_retry_past_the_deadline: request(Repeat::Idempotent, 1), NOT_RUN, at 9_600 => Err(Reason::Deadline);
    no_retry_if_the_requested_delay_passes_the_deadline: request(Repeat::Idempotent, 1),
        Failure::NotRun { retry_after: Some(9_900) }, at 0 => Err(Reason::Deadline);
    no_retry_after_the_maximum_number_of_dispatches: request(Repeat::Idempotent, 4), NOT_RUN, at 0 => Err(Reason::Tries);
}

#[test]
fn hedges_only_late_and_only_idempotent_requests() {
    let policy = Policy::default();
    let hedge = |request: &Request, now| retry::hedge(&policy, &mut Budget::new(&policy), request, Timestamp(now));
    let idempotent = request(Repeat::Idempotent, 1);
    assert_eq!(hedge(&idempotent, 0), Hedge::DecideAt(Timestamp(9_375)));
    assert_eq!(hedge(&idempotent, 9_400), Hedge::Dispatch);
    assert_eq!(hedge(&idempotent, 9_501), Hedge::Never(Reason::Deadline));
    assert_eq!(hedge(&request(Repeat::Never, 1), 9_400), Hedge::Never(Reason::NotRepeatable));
    assert_eq!(hedge(&request(Repeat::Idempotent, 2), 9_400), Hedge::Never(Reason::Tries));
}

/// Every attempt fails. Dispatches must stay below `1 + share` times the first attempts
/// plus the burst, so that retries cannot sustain an overload.
#[test]
fn budget_bounds_dispatches_when_every_attempt_fails() {
    let unbounded = dispatches(&Policy { share: 3.0, burst: 1e9, ..Policy::default() });
    let bounded = dispatches(&Policy::default());
    println!("10,000 requests, every attempt fails: {bounded} dispatches, {unbounded} without a budget");
    assert!((10_990..=11_005).contains(&bounded), "{bounded} dispatches for 10,000 requests");
    assert_eq!(unbounded, 40_000);
}

/// Returns the number of dispatches of 10,000 requests if every attempt fails.
fn dispatches(policy: &Policy) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut budget = Budget::new(policy);
    let mut dispatches = 0;
    for _ in 0..10_000 {
        budget.add_first_attempt(policy);
        for tries in 1.. {
            dispatches += 1;
            let failed = Request { tries, ..request(Repeat::Idempotent, 1) };
            let decision = retry::decide(policy, &mut budget, &failed, NOT_RUN, Timestamp(0), &mut random);
            if matches!(decision, Decision::GiveUp(_)) {
                break;
            }
        }
    }
    dispatches
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// For any sequence of failures: a request that may have run and must not run twice
    /// is not retried, no retry would end after the deadline, and no budget is overdrawn.
    #[test]
    fn retries_respect_idempotency_deadline_and_budget(
        seed: u64,
        steps in prop::collection::vec((any::<bool>(), 0u8..3, 0u64..2_000, 0u32..6, 0u64..12_000, 1u64..4_000), 1..60),
    ) {
        let policy = Policy::default();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = Budget::new(&policy);
        for (idempotent, kind, requested_ms, tries, now, expected_ms) in steps {
            let repeat = if idempotent { Repeat::Idempotent } else { Repeat::Never };
            let failure = match kind {
                0 => NOT_RUN,
                1 => Failure::NotRun { retry_after: Some(requested_ms) },
                _ => Failure::MayHaveRun,
            };
            let request = Request { repeat, tries, deadline: Timestamp(10_000), expected_ms };
            let before = budget.remaining();
            let decision = retry::decide(&policy, &mut budget, &request, failure, Timestamp(now), &mut random);
            if let Decision::Retry { after_ms } = decision {
                prop_assert!(idempotent || failure != Failure::MayHaveRun);
                prop_assert!(now + after_ms + expected_ms <= 10_000);
                prop_assert!(kind != 1 || after_ms >= requested_ms);
                prop_assert!((before - budget.remaining() - 1.0).abs() < 1e-9);
            } else {
                prop_assert!((before - budget.remaining()).abs() < 1e-9, "a refusal costs nothing");
            }
            prop_assert!(budget.remaining() >= 0.0);
        }
    }
}
