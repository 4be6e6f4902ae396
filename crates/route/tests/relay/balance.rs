//! Endpoints are chosen in turns, whatever the age of reported loads.

use std::time::Duration;

use proptest::prelude::*;
use route::relay::{
    balance::{Balanced, Pace, Turn, backlog_now, choose, dependable_runs, is_silent},
    placement::{self, Candidate, Request},
};

use crate::reported_placement;

const IDLE: Candidate<'_> = Candidate {
    id: "a",
    slots: 4,
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

const PLAIN: Request = Request { affinity: None, reprocess_ms: 0.0, shared_tokens: 0, first_byte_ms: 40.0 };

const NEW: Turn = Turn { due: None, others: 0.0, pace: 1.0, is_full: false, is_silent: false };

const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// An instance that chooses among endpoints whose loads it knows as of some time.
struct Instance {
    seed: u64,
    clock: f64,
    turns: Vec<Turn>,
}

impl Instance {
    fn new(seed: u64, endpoints: usize) -> Self {
        Self { seed, clock: 0.0, turns: vec![NEW; endpoints] }
    }

    fn choose(&mut self, candidates: &[Candidate<'_>], request: Request) -> Balanced {
        let balanced = choose(candidates, &self.turns[..candidates.len()], request, self.clock, self.seed).unwrap();
        for (index, due) in &balanced.entered {
            self.turns[*index].due = Some(*due);
        }
        self.clock = balanced.clock;
        self.turns[balanced.choice.index].due = Some(balanced.due);
        balanced
    }
}

fn candidates(count: usize) -> Vec<Candidate<'static>> {
    NAMES[..count].iter().map(|&id| Candidate { id, ..IDLE }).collect()
}

/// Sends of instances that each place `each` requests on the same known loads.
fn sends(instances: u64, each: u32, candidates: &[Candidate<'_>], turns: &[Turn]) -> Vec<u32> {
    let mut counts = vec![0; candidates.len()];
    for seed in 0..instances {
        let mut instance = Instance { turns: turns.to_vec(), ..Instance::new(seed, 0) };
        for _ in 0..each {
            counts[instance.choose(candidates, PLAIN).choice.index] += 1;
        }
    }
    counts
}

/// Ages of reported loads, up to two seconds.
const AGES: [Duration; 4] =
    [Duration::ZERO, Duration::from_millis(250), Duration::from_millis(1_250), Duration::from_secs(2)];

/// Each instance hears that one endpoint has become empty, and all send before the next report. The
/// endpoint must not get much more than its share, whatever the age of the report.
#[test]
fn empty_endpoint_is_not_flooded() {
    for age in AGES {
        for (instances, each) in [(8, 40), (62, 5), (300, 1)] {
            let turn = |index: usize| {
                let reported = if index == 3 { 0.0 } else { 3.0 };
                Turn { others: dependable_runs(reported, 2.6, age, Duration::from_millis(70)), ..NEW }
            };
            let turns: Vec<Turn> = (0..8).map(turn).collect();
            let counts = sends(instances, each, &candidates(8), &turns);
            let total: u32 = counts.iter().sum();
            // Up to date, the endpoint looks as free as three others; an old report changes little.
            let max_share = if age.is_zero() { 3 } else { 2 };
            assert!(counts[3] * 8 <= total * max_share, "{counts:?}, age {age:?}");
            assert!(counts.iter().all(|count| count * 8 * 3 >= total), "{counts:?}, age {age:?}");
        }
    }
}

/// An endpoint was away for thousands of requests. It must not get those that it missed.
#[test]
fn returned_endpoint_is_due_once() {
    let mut instance = Instance::new(1, 8);
    for _ in 0..16 {
        instance.choose(&candidates(8), PLAIN);
    }
    for _ in 0..5_000 {
        instance.choose(&candidates(7), PLAIN);
    }
    let chosen: Vec<usize> = (0..16).map(|_| instance.choose(&candidates(8), PLAIN).choice.index).collect();
    let returned = chosen.iter().filter(|index| **index == 7).count();
    assert!((1..=3).contains(&returned), "{chosen:?}");
}

/// An endpoint restarts and has no place in the rotation yet.
#[test]
fn new_endpoint_is_not_flooded() {
    let mut instance = Instance::new(1, 8);
    for _ in 0..5_000 {
        instance.choose(&candidates(8), PLAIN);
    }
    instance.turns[2] = NEW;
    let chosen: Vec<usize> = (0..16).map(|_| instance.choose(&candidates(8), PLAIN).choice.index).collect();
    let new = chosen.iter().filter(|index| **index == 2).count();
    assert!((1..=3).contains(&new), "{chosen:?}");
}

/// Fast endpoints complete 2.4 times the requests of slow ones, and large ones three times those of
/// small ones. Equal shares overload the slow and small ones.
#[test]
fn rate_follows_slots_and_pace() {
    let mut endpoints = candidates(3);
    endpoints[1].slots = 12;
    let turns = [NEW, NEW, Turn { pace: 2.4, ..NEW }];
    let counts = sends(8, 500, &endpoints, &turns);
    let relative = |index: usize| f64::from(counts[index]) / f64::from(counts[0]);
    assert!((2.9..3.1).contains(&relative(1)), "{counts:?}");
    assert!((0.38..0.45).contains(&relative(2)), "{counts:?}");
}

/// Half of the instances send ten times as much as the others. Each must spread its own requests.
#[test]
fn instances_with_unequal_traffic_spread_their_requests() {
    let mut counts = vec![0_u32; 6];
    for (seed, each) in (0..60).map(|seed| (seed, if seed % 2 == 0 { 50 } else { 5 })) {
        let mut instance = Instance::new(seed, 6);
        for _ in 0..each {
            counts[instance.choose(&candidates(6), PLAIN).choice.index] += 1;
        }
    }
    let total: u32 = counts.iter().sum();
    assert!(counts.iter().all(|count| (total / 8..total / 5).contains(count)), "{counts:?}");
}

/// Requests of 300 instances that each send once must reach all endpoints, and none much more often
/// than others. Without a phase of its own each instance would start at the same endpoint.
#[test]
fn instances_that_start_together_begin_at_different_endpoints() {
    let counts = sends(300, 1, &candidates(6), &[NEW; 6]);
    assert!(counts.iter().all(|count| (25..=80).contains(count)), "{counts:?}");
}

/// The loads of lost instances leave the sums, and an endpoint that they used looks empty.
#[test]
fn lost_instances_change_rates_only_slightly() {
    let all = [Turn { others: 3.0, ..NEW }; 6];
    let mut left = all;
    for turn in &mut left[3..] {
        turn.others = 1.5;
    }
    let (before, after) = (sends(8, 60, &candidates(6), &all), sends(8, 60, &candidates(6), &left));
    for index in 0..6 {
        let change = f64::from(after[index]) / f64::from(before[index]);
        assert!((0.4..1.8).contains(&change), "{before:?} {after:?}");
    }
}

/// An endpoint reads a long prompt, which notices announced. It must get no request while others
/// are free, also when its turn has come.
#[test]
fn announced_backlog_goes_before_turns() {
    let mut endpoints = candidates(6);
    endpoints[2].backlog_ms = 300.0;
    endpoints[4].backlog_ms = 80.0;
    let mut instance = Instance::new(1, 6);
    for _ in 0..600 {
        let index = instance.choose(&endpoints, PLAIN).choice.index;
        assert!(![2, 4].contains(&index));
    }
    assert!((backlog_now(300.0, Duration::from_millis(250)) - 50.0).abs() < 1e-9);
}

/// An endpoint that rejected a request as full is left out, unless all did.
#[test]
fn full_endpoint_is_left_out() {
    let mut instance = Instance::new(1, 6);
    instance.turns[2].is_full = true;
    assert!((0..60).all(|_| instance.choose(&candidates(6), PLAIN).choice.index != 2));
    instance.turns.iter_mut().for_each(|turn| turn.is_full = true);
    instance.choose(&candidates(6), PLAIN);
}

/// Runs at one endpoint get no answer. It must get no further ones while others answer, or it would
/// keep its share of requests until the first deadline passes. If all are silent, as in an overload,
/// each keeps its share; a silent endpoint is preferred to one that rejects.
#[test]
fn silent_endpoint_has_no_turn_while_others_answer() {
    let silent = Turn { is_silent: true, ..NEW };
    let mut turns = vec![NEW; 6];
    turns[2] = silent;
    assert_eq!(sends(8, 60, &candidates(6), &turns)[2], 0);
    assert!(sends(8, 60, &candidates(6), &[silent; 6]).iter().all(|count| (60..100).contains(count)));
    turns.fill(Turn { is_full: true, ..NEW });
    turns[2] = silent;
    assert_eq!(sends(8, 60, &candidates(6), &turns)[2], 480);
}

/// The holder of a hot prefix gets no answers out. Requests with the prefix must go elsewhere, and not
/// wait for a copy from there.
#[test]
fn silent_holder_of_a_prefix_loses_its_preference() {
    let hot = Request { affinity: Some(7), reprocess_ms: 150.0, shared_tokens: 5_000, first_byte_ms: 60.0 };
    let mut endpoints = candidates(6);
    endpoints[3].holds_prefix = true;
    let mut instance = Instance::new(1, 6);
    instance.turns[3].is_silent = true;
    for _ in 0..60 {
        let choice = instance.choose(&endpoints, hot).choice;
        assert!(choice.index != 3 && choice.source.is_none());
    }
}

/// Runs that take a few times as long as usual, wait for a prompt or are short must not make an
/// endpoint look silent.
#[test]
fn late_answers_are_no_silence() {
    let ms = Duration::from_millis;
    assert!(!is_silent(ms(1_900), ms(500), 0.0) && is_silent(ms(2_100), ms(500), 0.0));
    assert!(!is_silent(ms(2_900), ms(500), 1_000.0) && is_silent(ms(3_100), ms(500), 1_000.0));
    assert!(!is_silent(ms(90), ms(2), 0.0) && is_silent(ms(110), ms(2), 0.0));
}

/// One run failed at an endpoint with free slots, and the others have more runs than slots. It must
/// keep part of its share. One that always fails must get next to nothing.
#[test]
fn endpoint_that_failed_once_keeps_part_of_its_share() {
    let turns: Vec<Turn> = (0..6).map(|index| Turn { others: if index == 2 { 1.0 } else { 6.0 }, ..NEW }).collect();
    let share = |excess_failure_rate: f64| {
        let mut endpoints = candidates(6);
        endpoints[2].excess_failure_rate = excess_failure_rate;
        f64::from(sends(8, 300, &endpoints, &turns)[2]) / 2_400.0
    };
    let (sound, failed_once, failing) = (share(0.0), share(0.15), share(0.9));
    assert!(failed_once < 0.7 * sound && failed_once > 0.25 * sound, "{sound} {failed_once}");
    assert!(failing < 0.02, "{failing}");
}

/// All requests with a hot prefix go to its holder while it is not too busy. Other requests must
/// get out of its way, and it returns to the rotation soon after the prefix has cooled down.
#[test]
fn holder_of_a_hot_prefix_keeps_its_preference() {
    let hot = Request { affinity: Some(7), reprocess_ms: 150.0, shared_tokens: 5_000, first_byte_ms: 60.0 };
    let mut endpoints = candidates(6);
    endpoints[3].holds_prefix = true;
    let mut instance = Instance::new(1, 6);
    let mut others = [0; 6];
    for _ in 0..300 {
        let choice = instance.choose(&endpoints, hot).choice;
        assert!(choice.index == 3 && choice.preferred);
        others[instance.choose(&endpoints, PLAIN).choice.index] += 1;
    }
    assert!(others[3] <= 6, "{others:?}");
    let cool: Vec<usize> = (0..60).map(|_| instance.choose(&candidates(6), PLAIN).choice.index).collect();
    assert!(cool.iter().filter(|index| **index == 3).count() >= 4, "{cool:?}");
    endpoints[3].backlog_ms = 400.0;
    let choice = instance.choose(&endpoints, hot).choice;
    assert!(choice.index != 3 && choice.source == Some(3));
}

/// All of 300 instances learn at once that an endpoint is back. Their next requests must not all go
/// there.
#[test]
fn returned_endpoint_is_not_flooded_by_all_instances() {
    let mut next = 0;
    for seed in 0..300 {
        let mut instance = Instance::new(seed, 8);
        for _ in 0..40 {
            instance.choose(&candidates(8), PLAIN);
        }
        for _ in 0..40 {
            instance.choose(&candidates(7), PLAIN);
        }
        next += u32::from(instance.choose(&candidates(8), PLAIN).choice.index == 7);
    }
    assert!(next <= 75, "{next} of 300");
}

/// A single slow request must not make an endpoint look slow, and a slow period is forgotten.
#[test]
fn pace_moves_slowly_and_recovers() {
    let at = Duration::from_secs(100);
    let mut pace = Pace::default();
    pace.observe(5.0, at);
    assert!((1.0..2.3).contains(&pace.factor(1.0, at)));
    for _ in 0..20 {
        pace.observe(2.5, at);
    }
    assert!((2.2..2.8).contains(&pace.factor(1.0, at)));
    for _ in 0..20 {
        pace.observe(1.0, at);
    }
    assert!((0.9..1.2).contains(&pace.factor(1.0, at)));
    pace.observe(1_000.0, at);
    assert!(pace.factor(1.0, at) < 1.4);
    assert!((pace.factor(1.7, at + Duration::from_mins(2)) - 1.7).abs() < 0.1);
}

#[test]
fn no_candidate_gives_no_choice() {
    assert_eq!(choose(&[], &[], PLAIN, 0.0, 0), None);
}

fn candidate() -> impl Strategy<Value = Candidate<'static>> {
    let loads = (0_u32..60, 0.0..90.0, 0.0..500.0, 0.0..500.0);
    let rest = (0.3..6.0, 0.0..1.0, any::<bool>(), any::<bool>(), any::<bool>());
    (loads, rest).prop_map(|((slots, runs, backlog_ms, reported_backlog_ms), rest)| Candidate {
        id: "",
        slots,
        runs,
        backlog_ms,
        reported_backlog_ms,
        slowness: rest.0,
        pace: 1.0,
        excess_failure_rate: rest.1,
        local: rest.2,
        holds_prefix: rest.3,
        holds_prompt: rest.4,
    })
}

fn named(list: Vec<Candidate<'static>>) -> Vec<Candidate<'static>> {
    list.into_iter().zip(NAMES).map(|(candidate, id)| Candidate { id, ..candidate }).collect()
}

fn request() -> impl Strategy<Value = Request> {
    (any::<Option<u64>>(), 0.0..300.0, 0_u32..20_000, 1.0..400.0).prop_map(
        |(affinity, reprocess_ms, shared_tokens, first_byte_ms)| Request {
            affinity,
            reprocess_ms,
            shared_tokens,
            first_byte_ms,
        },
    )
}

proptest! {
    /// Guards against a state of the rotation that no request can leave, or that is not a number.
    #[test]
    fn every_choice_is_valid(
        list in prop::collection::vec(candidate(), 1..8),
        paces in prop::collection::vec((0.0..9.0, any::<bool>()), 8),
        request in request(),
        seed in any::<u64>(),
    ) {
        let candidates = named(list);
        let turns = paces[..candidates.len()].iter().map(|(pace, is_full)| Turn { pace: *pace, is_full: *is_full, ..NEW });
        let mut instance = Instance { turns: turns.collect(), ..Instance::new(seed, 0) };
        for _ in 0..20 {
            let before = instance.clock;
            let balanced = instance.choose(&candidates, request);
            prop_assert!(balanced.choice.index < candidates.len());
            prop_assert!(balanced.clock.is_finite() && balanced.clock > before && balanced.due.is_finite());
        }
    }

    /// Without the setting, each decision is the same as before the setting existed.
    #[test]
    fn reported_decisions_are_unchanged(
        list in prop::collection::vec(candidate(), 0..8),
        request in request(),
        seed in any::<u64>(),
    ) {
        let candidates = named(list);
        let before = reported_placement::choose(&candidates, request, seed);
        prop_assert_eq!(placement::choose(&candidates, request, seed), before);
    }

    /// Holders and the hash are preferred by the same rules as with reported loads: where there is
    /// one candidate besides, both ways decide the same.
    #[test]
    fn preferences_are_those_of_placement(one in candidate(), request in request(), seed in any::<u64>()) {
        let candidates = named(vec![one]);
        let balanced = choose(&candidates, &[NEW], request, 0.0, seed).unwrap();
        prop_assert_eq!(Some(balanced.choice), placement::choose(&candidates, request, seed));
    }
}
