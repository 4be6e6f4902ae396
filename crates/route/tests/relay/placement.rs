//! Requests are placed at endpoints that hold their prefix until waiting there costs more.

use route::relay::placement::{Candidate, Request, choose, sample};

const IDLE: Candidate<'_> = Candidate {
    id: "a",
    slots: 32,
    runs: 0.0,
    backlog_ms: 0.0,
    reported_backlog_ms: 0.0,
    slowness: 1.0,
    excess_failure_rate: 0.0,
    late_share: 0.0,
    local: true,
    holds_prefix: false,
    holds_prompt: false,
};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn idle() -> Vec<Candidate<'static>> {
    NAMES.iter().map(|&id| Candidate { id, ..IDLE }).collect()
}

fn shared(key: u64) -> Request {
    Request { affinity: Some(key), reprocess_ms: 150.0, shared_tokens: 5_000, first_byte_ms: 60.0, disturbance: 0.0 }
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
    let request =
        Request { affinity: Some(7), reprocess_ms: 150.0, shared_tokens: 5_000, first_byte_ms: 60.0, disturbance: 0.0 };
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
    let request = Request {
        affinity: Some(7),
        reprocess_ms: 150.0,
        shared_tokens: 5_000,
        first_byte_ms: 300.0,
        disturbance: 0.0,
    };
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
    let request =
        Request { affinity: Some(7), reprocess_ms: 15.0, shared_tokens: 5_000, first_byte_ms: 10.0, disturbance: 0.0 };
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
    let request =
        Request { affinity: Some(7), reprocess_ms: 1.0, shared_tokens: 200, first_byte_ms: 10.0, disturbance: 0.0 };
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
    let plain = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 40.0, disturbance: 0.0 };
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
            let plain = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 40.0, disturbance: 0.0 };
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
    let plain = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 40.0, disturbance: 0.0 };
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
    let plain = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 40.0, disturbance: 0.0 };
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
