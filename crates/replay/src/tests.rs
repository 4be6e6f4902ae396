//! The same seed gives the same figures, and they show what they are for.

use crate::{
    site::{self, Caller, Outcome, Plan, Policy},
    trace::Trace,
};
use world::contract::Objective;

fn outcome(seed: u64, policy: Policy, loads: &[(&str, f64)]) -> Outcome {
    let callers = loads.iter().map(|(name, load)| {
        let customer = name.parse().expect("a name");
        Caller { customer, weight: 1, load: *load }
    });
    let (span_ms, deadline_ms, report_late_ms) = (40_000, 8_000, 2_000);
    let callers = callers.collect();
    site::run(&Plan { seed, policy, span_ms, deadline_ms, report_late_ms, callers, admission: true })
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    for policy in Policy::ALL {
        let run = |seed| format!("{:?}", outcome(seed, policy, &[("c", 0.9)]));
        assert_eq!(run(3), run(3));
        assert_ne!(run(3), run(4));
    }
}

#[test]
fn the_same_seed_gives_the_same_trace() {
    let costs = |seed| {
        let trace = Trace::new(seed, Objective::Cost);
        let costs = trace.requests.iter().take(1_000).map(|request| trace.cost(request, 1));
        costs.map(f64::to_bits).collect::<Vec<_>>()
    };
    assert_eq!(costs(3), costs(3));
    assert_ne!(costs(3), costs(4));
}

/// A large customer sends ten times its share. The small one's requests must
/// all be answered in time, and the large one's excess be refused.
#[test]
fn a_flood_leaves_the_small_one_whole() {
    let outcome = outcome(5, Policy::Ours, &[("small", 0.125), ("large", 5.0)]);
    assert!(outcome.requests[0] > 100);
    assert_eq!(outcome.missed[0], 0);
    assert!(outcome.refused[1] > outcome.requests[1] / 2);
}
