//! Long prompts stay away from endpoints at which they would interrupt running streams.

use std::time::Duration;

use proptest::prelude::*;
use route::relay::{
    interruptions::{Count, disturbance, late_share, penalty_ms},
    placement::{Candidate, Choice, Request, choose},
};

/// Streams of a service's endpoints on average, about as many as each of 60 endpoints has in the
/// time that counts while 90 instances get 370 requests per second.
const MEAN_STREAMS: f64 = 80.0;

const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// Number of endpoints that are a third slower: there the same prompts make streams late.
const SLOW: usize = 4;

/// Endpoints with ten streams each; the streams of the slow ones paused for too long.
fn endpoints(late: f64) -> Vec<Candidate<'static>> {
    let candidate = |index: usize| Candidate {
        id: NAMES[index],
        slots: 48,
        runs: 10.0,
        backlog_ms: 0.0,
        reported_backlog_ms: 0.0,
        slowness: 1.0,
        pace: 1.0,
        excess_failure_rate: 0.0,
        late_share: if index < SLOW { late_share(late, MEAN_STREAMS) } else { 0.0 },
        local: true,
        holds_prefix: false,
        holds_prompt: false,
    };
    (0..NAMES.len()).map(candidate).collect()
}

/// A prompt of 38,000 tokens for the largest model.
const LONG: Request =
    Request { affinity: Some(7), reprocess_ms: 120.0, shared_tokens: 5_000, first_byte_ms: 1_300.0, disturbance: 1.0 };

/// A question of some hundred tokens.
const SHORT: Request =
    Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 30.0, disturbance: 0.0 };

fn chosen(candidates: &[Candidate<'_>], request: Request) -> Vec<Choice> {
    (0..400).map(|seed| choose(candidates, request, seed).unwrap()).collect()
}

/// Load: a few long prompts a second among hundreds of streams, a third of the endpoints slower.
/// One in eight streams of a slow endpoint was interrupted for too long.
#[test]
fn long_prompts_go_where_they_interrupt_nobody() {
    let candidates = endpoints(10.0);
    assert!(chosen(&candidates, LONG).iter().all(|choice| choice.index >= SLOW));
}

/// The holder of a long prompt's shared prefix is a slow endpoint. Its streams are worth more than
/// the copy of the prefix.
#[test]
fn long_prompt_leaves_the_holder_of_its_prefix_if_it_would_interrupt_streams() {
    let mut candidates = endpoints(10.0);
    candidates[0].holds_prefix = true;
    assert!(chosen(&candidates, LONG).iter().all(|choice| choice.index >= SLOW && choice.source == Some(0)));
}

/// Load: the other endpoints are full. Slow ones must not idle while requests wait.
#[test]
fn short_requests_use_slow_endpoints_when_others_are_busy() {
    let mut candidates = endpoints(10.0);
    for candidate in &mut candidates[SLOW..] {
        candidate.runs = 52.0;
    }
    assert!(chosen(&candidates, SHORT).iter().any(|choice| choice.index < SLOW));
}

/// One late stream by chance must not move long prompts away from an endpoint whose queue is
/// clearly shorter.
#[test]
fn single_late_stream_does_not_keep_long_prompts_away() {
    let mut candidates = endpoints(1.0);
    for candidate in &mut candidates[SLOW..] {
        candidate.backlog_ms = 400.0;
    }
    assert!(chosen(&candidates, LONG).iter().all(|choice| choice.index < SLOW));
}

/// An endpoint that was slow for some seconds gets long prompts again: late streams are forgotten.
#[test]
fn late_streams_are_forgotten() {
    let mut late = Count::default();
    for _ in 0..20 {
        late.increment(Duration::from_secs(1));
    }
    let share = |at: u64| late_share(late.at(Duration::from_secs(at)), MEAN_STREAMS);
    assert!(share(1) > 0.15);
    assert!(penalty_ms(share(61), 10.0, 1.0) < 100.0);
}

/// Few streams are known after a start of all instances. A share must stay within its bounds, and
/// one late stream of one must not look like certainty.
#[test]
fn share_of_few_streams_is_small() {
    assert!(late_share(1.0, 0.0) < 0.05);
    assert!(late_share(1e9, 1.0) <= 1.0);
}

/// A prompt that is processed between two events interrupts nothing.
#[test]
fn short_prompts_disturb_nobody() {
    assert!(disturbance(30.0, 800.0) <= 0.0);
    assert!((disturbance(2_000.0, 800.0) - 1.0).abs() < f64::EPSILON);
}

proptest! {
    /// Where nothing is learned, prompts of any length are placed as if it were not looked for.
    #[test]
    fn without_late_streams_nothing_changes(seed: u64, runs in 0.0..60.0_f64, disturbance in 0.0..1.0_f64) {
        let mut candidates = endpoints(0.0);
        candidates[3].runs = runs;
        let plain = choose(&candidates, Request { disturbance: 0.0, ..LONG }, seed);
        prop_assert_eq!(choose(&candidates, Request { disturbance, ..LONG }, seed), plain);
    }
}
