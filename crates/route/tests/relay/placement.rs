//! Requests are placed at endpoints that hold their prefix until waiting there costs more.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::relay::placement::{Candidate, Choice, Request, choose, sample};
use world::hash;

const IDLE: Candidate<'_> = Candidate {
    id: "a",
    slots: 32,
    runs: 0.0,
    backlog_ms: 0.0,
    reported_backlog_ms: 0.0,
    slowness: 1.0,
    pace: 1.0,
    excess_failure_rate: 0.0,
    local: true,
    holds_prefix: false,
    holds_prompt: false,
};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn idle() -> Vec<Candidate<'static>> {
    NAMES.iter().map(|&id| Candidate { id, ..IDLE }).collect()
}

fn shared(key: u64) -> Request {
    Request { affinity: Some(key), reprocess_ms: 150.0, shared_tokens: 5_000, first_byte_ms: 60.0 }
}

#[test]
fn requests_with_a_shared_prefix_go_to_one_endpoint() {
    let mut reversed = idle();
    reversed.reverse();
    for key in 0..50 {
        let here = choose(&idle(), shared(key), 1).unwrap();
        let there = choose(&reversed, shared(key), 2).unwrap();
        assert!(here.preferred);
        assert_eq!(NAMES[here.index], reversed[there.index].id);
    }
}

/// A prefix is used by many requests. Its holder is no longer chosen once waiting there
/// costs more than copying the prefix elsewhere: 175 ms for 5,000 tokens. The next endpoint
/// copies the prefix and becomes a holder too, so the prefix spreads only as far as is
/// worthwhile and is never processed again.
#[test]
fn hot_prefix_spreads_only_as_far_as_worthwhile() {
    let request = Request { affinity: Some(7), reprocess_ms: 150.0, shared_tokens: 5_000, first_byte_ms: 60.0 };
    let mut candidates = idle();
    let mut taken = Vec::new();
    for _ in 0..5 {
        let choice = choose(&candidates, request, 0).unwrap();
        assert!(!taken.contains(&choice.index));
        assert!(taken.is_empty() || taken.contains(&choice.source.unwrap()));
        candidates[choice.index].holds_prefix = true;
        candidates[choice.index].backlog_ms = 170.0;
        let stays = choose(&candidates, request, 0).unwrap();
        assert_eq!((stays.index, stays.preferred, stays.source), (choice.index, true, None));
        taken.push(choice.index);
        candidates[choice.index].backlog_ms = 180.0;
    }
}

/// All callers resume their streams at once after all instances were lost. A prompt that an
/// endpoint holds entirely goes there even if other endpoints are less busy, until waiting
/// there costs more than copying the shared prefix and processing the rest elsewhere. The
/// same applies to a prompt without a shared prefix.
#[test]
fn request_goes_to_the_holder_of_its_whole_prompt() {
    let request = Request { affinity: Some(7), reprocess_ms: 150.0, shared_tokens: 5_000, first_byte_ms: 300.0 };
    for request in [request, Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, ..request }] {
        let mut candidates = idle();
        candidates[2].holds_prefix = true;
        candidates[4].holds_prompt = true;
        candidates[4].backlog_ms = 290.0;
        let choice = choose(&candidates, request, 0).unwrap();
        assert_eq!((choice.index, choice.preferred, choice.source), (4, true, None));
        candidates[4].backlog_ms = 480.0;
        assert_ne!(choose(&candidates, request, 0).unwrap().index, 4);
    }
}

/// A small model processes a shared prefix of 5,000 tokens in 15 ms. If only that time
/// counted, its requests would leave the holder for any endpoint that is 45 ms less busy,
/// and half of all shared prefixes would be processed again.
#[test]
fn small_model_requests_stay_with_the_prefix_holder() {
    let request = Request { affinity: Some(7), reprocess_ms: 15.0, shared_tokens: 5_000, first_byte_ms: 10.0 };
    let mut candidates = idle();
    let first = choose(&candidates, request, 0).unwrap().index;
    candidates[first].holds_prefix = true;
    candidates[first].backlog_ms = 170.0;
    assert_eq!(choose(&candidates, request, 0).unwrap().index, first);
    candidates[first].backlog_ms = 180.0;
    let elsewhere = choose(&candidates, request, 0).unwrap();
    assert!(elsewhere.index != first && elsewhere.source == Some(first));
}

/// A short shared prefix is processed again rather than waited for, and copying it saves
/// almost nothing.
#[test]
fn short_prefix_does_not_wait_for_its_holder() {
    let request = Request { affinity: Some(7), reprocess_ms: 1.0, shared_tokens: 200, first_byte_ms: 10.0 };
    let mut candidates = idle();
    candidates[2].holds_prefix = true;
    candidates[2].backlog_ms = 10.0;
    assert_ne!(choose(&candidates, request, 0).unwrap().index, 2);
}

/// No endpoint holds the prefix yet. The request need not wait for the endpoint that the
/// hash selects, since processing costs the same anywhere. That endpoint is chosen only
/// while it is about as free as the others, since a notice that it holds the prefix may
/// have been lost.
#[test]
fn uncached_prefix_does_not_wait_for_its_hashed_endpoint() {
    let mut candidates = idle();
    let named = choose(&candidates, shared(7), 0).unwrap().index;
    candidates[named].backlog_ms = 170.0;
    assert_eq!(choose(&candidates, shared(7), 0).unwrap().index, named);
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.backlog_ms = if index == 3 { 0.0 } else { 180.0 };
    }
    assert_eq!(choose(&candidates, shared(7), 0).unwrap().index, 3);
}

/// Two endpoints hold a prefix. The request goes to the one with the shorter wait,
/// whichever the hash selects.
#[test]
fn hot_prefix_goes_to_its_least_busy_holder() {
    for (busy, free) in [(1, 4), (4, 1)] {
        let mut candidates = idle();
        candidates[busy].holds_prefix = true;
        candidates[free].holds_prefix = true;
        candidates[busy].backlog_ms = 200.0;
        let choice = choose(&candidates, shared(7), 0).unwrap();
        assert!(choice.preferred && choice.index == free);
    }
}

/// Two in five endpoints are processing a prompt, and each instance was notified at once.
/// Almost no request may be placed behind a prompt while other endpoints are free.
#[test]
fn endpoints_with_announced_backlog_are_skipped() {
    let plain = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 40.0 };
    let names: Vec<String> = (0..60).map(|n| format!("e{n}")).collect();
    let reads = |n: usize| n % 5 < 2;
    let candidate = |n: usize| Candidate {
        id: &names[n],
        backlog_ms: if reads(n) { 300.0 } else { 0.0 },
        local: n.is_multiple_of(4),
        ..IDLE
    };
    let candidates: Vec<Candidate<'_>> = (0..60).map(candidate).collect();
    let behind = (0..1_000).filter(|&seed| reads(choose(&candidates, plain, seed).unwrap().index)).count();
    assert!(behind <= 10, "{behind} of 1000 placed behind a prompt");
}

macro_rules! avoided {
    ($($(#[$doc:meta])* $name:ident: $degrade:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let plain = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 40.0 };
            for seed in 0..30 {
                let mut candidates = idle();
                let degrade: fn(&mut Candidate<'_>) = $degrade;
                degrade(&mut candidates[2]);
                assert_ne!(choose(&candidates, plain, seed).unwrap().index, 2);
            }
        }
    )*};
}

avoided! {
    busy_endpoint_is_avoided: |candidate| candidate.runs = 10.0;
    full_endpoint_is_avoided: |candidate| candidate.runs = 40.0;
    slow_endpoint_is_avoided: |candidate| candidate.slowness = 4.0;
    // The health probe of the endpoint succeeds, but part of its requests fail.
    failing_endpoint_is_avoided: |candidate| candidate.excess_failure_rate = 0.3;
    remote_endpoint_is_avoided: |candidate| candidate.local = false;
}

#[test]
fn equal_endpoints_share_the_load() {
    let plain = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 40.0 };
    let mut counts = [0_u32; 6];
    for seed in 0..600 {
        counts[choose(&idle(), plain, seed).unwrap().index] += 1;
    }
    assert!(counts.iter().all(|&count| (60..150).contains(&count)), "{counts:?}");
}

/// Instances exchange their loads once a second and place ten requests between two updates.
/// They must not all send these to the one endpoint that looked idle.
#[test]
fn stale_loads_cause_no_herding() {
    let names: Vec<String> = (0..60).map(|n| format!("e{n}")).collect();
    let plain = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 40.0 };
    let mut placed = [0_u32; 60];
    for seed in 0..740 {
        // Instances of four failure domains in turn.
        let local = |n: usize| n % 4 == usize::try_from(seed % 4).unwrap();
        let runs = |n: usize| if n == 17 { 0.0 } else { 5.0 };
        let candidates: Vec<Candidate<'_>> =
            (0..60).map(|n| Candidate { id: &names[n], local: local(n), runs: runs(n), ..IDLE }).collect();
        placed[choose(&candidates, plain, seed).unwrap().index] += 1;
    }
    // 740 requests on 60 endpoints: about 12 each, and at most a few times that.
    assert!(placed.iter().all(|&count| count <= 60), "{placed:?}");
    assert!(placed.iter().all(|&count| count >= 1), "{placed:?}");
}

#[test]
fn no_candidate_gives_no_choice() {
    assert_eq!(choose(&[], shared(1), 0), None);
}

/// Guards against examining each of ten thousand endpoints, which takes a millisecond per
/// request.
#[test]
fn sample_examines_few_of_many() {
    for count in [1, 7, 100, 10_000] {
        let mut examined = 0;
        let drawn = sample(count, 20, 0x1234_5678_9ABC, |place| {
            examined += 1;
            place % 2 == 0
        });
        assert!(examined <= 80.min(count), "{examined} of {count}");
        assert!(drawn.iter().all(|place| place % 2 == 0 && *place < count));
        let distinct: std::collections::HashSet<_> = drawn.iter().collect();
        assert_eq!(distinct.len(), drawn.len());
        assert_eq!(drawn.len(), 20.min(count.div_ceil(2)));
    }
}

/// Two thirds of the endpoints take 0.7 times as long as the average, one third 1.7 times, and no
/// loads are known, as between two updates. Each must get requests in proportion to what it
/// completes; otherwise the slow ones have queues while the fast ones have free slots.
#[test]
fn endpoints_get_requests_in_proportion_to_their_pace() {
    let names: Vec<String> = (0..60).map(|n| format!("e{n}")).collect();
    let pace = |n: usize| if n.is_multiple_of(3) { 1.7 } else { 0.7 };
    let candidates: Vec<_> =
        (0..60).map(|n| Candidate { id: &names[n], local: n < 20, pace: pace(n), ..IDLE }).collect();
    let request = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 30.0 };
    let mut placed = [0.0; 2];
    for seed in 0..30_000 {
        let index = choose(&candidates, request, seed).unwrap().index;
        placed[usize::from(index.is_multiple_of(3))] += 1.0;
    }
    let ratio = (placed[0] / 40.0) / (placed[1] / 20.0);
    assert!((2.0..3.0).contains(&ratio), "{ratio}");
}

/// A slow endpoint with free slots is used before a fast one with a queue.
#[test]
fn idle_slow_endpoint_is_chosen_before_full_fast_ones() {
    let full = Candidate { runs: 32.0, pace: 0.7, ..IDLE };
    let candidates = [full, Candidate { id: "b", pace: 1.7, ..IDLE }];
    let request = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 1_000.0 };
    let chosen = (0..1_000).filter(|seed| choose(&candidates, request, *seed).unwrap().index == 1).count();
    assert!(chosen > 300, "{chosen}");
}

/// The wait of an endpoint includes the time by which the run itself takes longer or shorter.
#[test]
fn expected_wait_includes_the_pace_of_the_run() {
    let request = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 100.0 };
    let wait = |pace| choose(&[Candidate { pace, ..IDLE }], request, 0).unwrap().wait_ms;
    assert!((wait(1.7) - 70.0).abs() < 1e-9 && (wait(0.7) + 30.0).abs() < 1e-9);
}

/// Returns a hash of the choices among random candidates without learned paces.
fn hash_of_choices(rounds: u32) -> u64 {
    let names: Vec<String> = (0..64).map(|n| format!("e{n}")).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut seen = Vec::new();
    for _ in 0..rounds {
        let candidates: Vec<Candidate<'_>> = names[..rng.random_range(1..64)]
            .iter()
            .map(|id| Candidate {
                id,
                slots: rng.random_range(1..48),
                runs: f64::from(rng.random_range(0..60)),
                backlog_ms: f64::from(rng.random_range(0..900) / 2 * u32::from(rng.random_bool(0.3))),
                reported_backlog_ms: f64::from(rng.random_range(0..900) * u32::from(rng.random_bool(0.3))),
                slowness: if rng.random_bool(0.2) { rng.random_range(1.6..9.0) } else { 1.0 },
                pace: 1.0,
                excess_failure_rate: if rng.random_bool(0.1) { 0.25 } else { 0.0 },
                local: rng.random_bool(0.3),
                holds_prefix: rng.random_bool(0.05),
                holds_prompt: rng.random_bool(0.02),
            })
            .collect();
        let request = Request {
            affinity: rng.random_bool(0.5).then(|| rng.random()),
            reprocess_ms: f64::from(rng.random_range(0..500)),
            shared_tokens: rng.random_range(0..9_000),
            first_byte_ms: f64::from(rng.random_range(5..900)),
        };
        let Choice { index, wait_ms, preferred, source } = choose(&candidates, request, rng.random()).unwrap();
        seen.extend_from_slice(format!("{index} {:x} {preferred} {source:?};", wait_ms.to_bits()).as_bytes());
    }
    hash::stable(&seen)
}

/// Without learned paces, each decision and each expected wait is the same as before there were any.
#[test]
fn decisions_without_learned_paces_are_unchanged() {
    assert_eq!(hash_of_choices(3_000), 4_295_145_547_613_222_966);
}
