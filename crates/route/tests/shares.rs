//! Division of a service's capacity among teams, ranks and instances.

use std::{collections::BTreeMap, time::Duration};

use route::admission::{
    bucket::Bucket,
    capacity::{Correction, RunLoad, RunTime},
    demand::{Class, Demands, MAX_TOLD_TEAMS, Smoothed, Summary},
    share::{Demand, Division, Unnamed, divide},
};

fn class(team: u32, rank: u8) -> Class {
    Class { team, rank }
}

fn demand(team: u32, rank: u8, own: f64, others: f64) -> Demand {
    Demand { class: class(team, rank), own, others }
}

fn check_allocation(division: &Division, team: u32, rank: u8, expected: f64) {
    let got = division.grant(class(team, rank)).allocation;
    assert!((got - expected).abs() < 1e-6, "team {team}, rank {rank}: {got} instead of {expected}");
}

fn check_shares(capacity: f64, demands: &[Demand], expected: &[(u32, u8, f64)]) {
    let division = divide(capacity, demands, Unnamed::default());
    for (team, rank, allocation) in expected {
        check_allocation(&division, *team, *rank, *allocation);
    }
}

macro_rules! division_tests {
    ($($(#[$doc:meta])* $name:ident: $capacity:expr, $demands:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check_shares($capacity, &$demands, &$expected); })*
    };
}

division_tests! {
    /// Below the capacity nobody may be held back.
    demands_below_the_capacity_are_granted:
        1.0, [demand(1, 0, 0.3, 0.0), demand(2, 0, 0.5, 0.1)] => [(1, 0, 0.3), (2, 0, 0.5)];
    /// A large team beside a small one: the small one gets all that it asks for.
    small_team_beside_a_large_one_gets_its_demand:
        1.0, [demand(1, 0, 2.5, 0.0), demand(2, 0, 0.1, 0.0)] => [(1, 0, 0.9), (2, 0, 0.1)];
    /// Two teams that both ask for more than half of the capacity divide it equally, whatever they ask.
    large_teams_divide_the_capacity_equally:
        1.0, [demand(1, 0, 5.0, 0.0), demand(2, 0, 0.8, 0.0)] => [(1, 0, 0.5), (2, 0, 0.5)];
    /// A team through one instance beside one through seven others: an instance gets the part of the
    /// team's share that corresponds to the demand there.
    instances_get_shares_by_their_demands:
        1.0, [demand(1, 0, 0.0, 2.5), demand(2, 0, 0.25, 1.5)] => [(1, 0, 0.0), (2, 0, 0.5 * 0.25 / 1.75)];
    /// An urgent rank beside a flood of a lower one of the same team, the flood at other instances.
    urgent_rank_goes_before_a_flood_of_a_lower_one:
        1.0, [demand(1, 0, 0.6, 0.0), demand(1, 2, 0.0, 2.0)] => [(1, 0, 0.6), (1, 2, 0.0)];
    /// A flood of an urgent rank leaves a twentieth of the team's share to lower ones.
    low_rank_beside_an_urgent_flood_is_not_starved:
        1.0, [demand(1, 0, 4.0, 0.0), demand(1, 2, 1.0, 0.0)] => [(1, 0, 0.95), (1, 2, 0.05)];
    /// A team that is measured slightly above its share is not held back at the cost of a much larger one.
    team_about_at_its_share_is_not_limited:
        1.0, [demand(1, 0, 0.55, 0.0), demand(2, 0, 2.5, 0.0)] => [(1, 0, 0.55), (2, 0, 0.45)];
    /// No capacity is divided where there is none.
    nothing_is_divided_without_capacity: 0.0, [demand(1, 0, 0.5, 0.0)] => [(1, 0, 0.0)];
}

/// Hundreds of teams, of which one sends half of the capacity: those named and those known by their
/// number only keep what they ask for.
#[test]
fn hundreds_of_small_teams_keep_their_demands() {
    let mut demands: Vec<Demand> = (0..200).map(|team| demand(team, 1, 0.001, 0.001)).collect();
    demands.push(demand(1_000, 1, 1.5, 0.0));
    let division = divide(1.0, &demands, Unnamed { teams: 300, demand: 0.3 });
    for team in 0..200 {
        assert!(!division.grant(class(team, 1)).is_limited, "team {team}");
    }
    check_allocation(&division, 1_000, 1, 0.3);
    assert!((division.demand - 2.2).abs() < 1e-9, "{}", division.demand);
}

/// A team that appears between two divisions counts as a small one.
#[test]
fn unknown_team_is_not_limited() {
    let division = divide(1.0, &[demand(1, 0, 3.0, 0.0)], Unnamed::default());
    assert!(!division.grant(class(2, 0)).is_limited);
    assert!(division.grant(class(1, 0)).is_limited && division.grant(class(1, 0)).is_team_over);
}

/// The sum of what all instances may use is the capacity, however a team's traffic is distributed
/// over them; otherwise capacity would be used twice or not at all.
#[test]
fn allocations_of_all_instances_add_up_to_the_capacity() {
    let by_instance: [[f64; 2]; 4] = [[2.0, 0.0], [0.1, 0.3], [0.0, 0.9], [0.4, 0.6]];
    let totals = [2.5, 1.8];
    let mut sum = 0.0;
    for own in by_instance {
        let demands = [0, 1].map(|team| demand([1, 2][team], 0, own[team], totals[team] - own[team]));
        sum += divide(0.9, &demands, Unnamed::default()).limited_rate(1.0);
    }
    assert!((sum - 0.9).abs() < 1e-9, "{sum}");
}

/// A lost instance: its demands are gone, and the others get its part of the capacity.
#[test]
fn share_of_a_lost_instance_goes_to_the_others() {
    let with = divide(1.0, &[demand(1, 0, 1.0, 3.0)], Unnamed::default());
    let without = divide(1.0, &[demand(1, 0, 1.0, 1.0)], Unnamed::default());
    check_allocation(&with, 1, 0, 0.25);
    check_allocation(&without, 1, 0, 0.5);
}

/// Plays limited requests against a service and returns the allocation-weighted rate that is sent in
/// the last second. `unknown` is a demand of other instances that this one does not know of and that
/// they send at the same pace; waits grow with what is sent above the capacity.
fn play_wrong_capacity(seconds: u32, halves: f64, capacity: f64) -> f64 {
    let mut correction = Correction::new(Duration::ZERO);
    let (mut waiting_ms, mut sent, mut steps) = (0.0_f64, 0.0, 0.0);
    for step in 0..seconds * 100 {
        let now = Duration::from_millis(u64::from(step) * 10);
        let rate = halves * correction.capacity_for(2.5) * correction.pace();
        waiting_ms = (waiting_ms + 10.0 * (rate / capacity - 1.0)).clamp(0.0, 200.0);
        correction.record_wait(waiting_ms, 80.0, true, now);
        if waiting_ms >= 200.0 {
            correction.record_rejection(now);
        }
        if step >= (seconds - 1) * 100 {
            sent += rate / capacity;
            steps += 1.0;
        }
    }
    sent / steps
}

/// A partition: each half takes all of the capacity for its own. Waits and rejections have to halve
/// what it sends within a few seconds.
#[test]
fn two_halves_of_a_fleet_share_the_capacity_within_seconds() {
    let sent = play_wrong_capacity(6, 2.0, 1.0);
    assert!((0.9..1.1).contains(&sent), "{sent}");
}

/// Demands that come seconds late, or endpoints faster than declared: requests are held back although
/// there is room, and short waits have to give it to them.
#[test]
fn unused_capacity_is_found_within_seconds() {
    let sent = play_wrong_capacity(4, 1.0, 1.5);
    assert!((0.9..1.1).contains(&sent), "{sent}");
}

/// Short waits below the capacity say nothing of it. If they raised the assumed capacity, an overload
/// would be recognized late.
#[test]
fn calm_service_does_not_look_larger() {
    let mut correction = Correction::new(Duration::ZERO);
    for step in 0..1_000 {
        correction.record_wait(0.0, 80.0, false, Duration::from_millis(step * 10));
    }
    assert!((correction.capacity() - 1.0).abs() < 0.01, "{}", correction.capacity());
}

/// A start in a flood: the demand is not measured yet, but endpoints are full. Capacity has to be
/// divided before the demand explains it.
#[test]
fn full_endpoints_limit_before_the_demand_is_known() {
    let mut correction = Correction::new(Duration::ZERO);
    for step in 0..10 {
        correction.record_rejection(Duration::from_millis(step * 10));
    }
    assert!(correction.capacity_for(0.7) < 0.7, "{}", correction.capacity_for(0.7));
    assert!(correction.capacity_for(2.5) > 0.9, "{}", correction.capacity_for(2.5));
}

/// An overload has no runs without a wait. Taken for work, the waits would make each request look
/// costlier, and all of them together as if they needed twice the service.
#[test]
fn waits_of_an_overload_do_not_look_like_work() {
    let mut run_time = RunTime::default();
    for _ in 0..30 {
        run_time.observe(100.0, RunLoad::Calm);
    }
    for _ in 0..1_000 {
        run_time.observe(300.0, RunLoad::Crowded);
    }
    assert!((run_time.get().expect("there were runs") - 100.0).abs() < 1.0, "{run_time:?}");
    // Where an overload is all that was seen, another instance may have seen runs without waits.
    let mut first = RunTime::default();
    first.observe(280.0, RunLoad::Crowded);
    assert_eq!(first.with_told(Some(105.0)), Some(105.0));
}

/// A small service in a large fleet: an instance may use a ninetieth of 24 slots for runs of 30 ms.
/// Two requests at once have to pass, and over a second no more than its part.
#[test]
fn small_part_of_a_small_service_allows_short_bursts() {
    let mut bucket = Bucket::default();
    let (rate, cost) = (1.0 / 89.0, 30.0 / 24.0);
    bucket.update(rate, cost, Duration::ZERO);
    bucket.fill(Duration::ZERO);
    let mut started = 0;
    for step in 0..2_000 {
        bucket.refill(Duration::from_millis(step));
        while bucket.may_start() {
            bucket.charge(cost);
            started += 1;
        }
        if step == 0 {
            assert!(started >= 2, "{started}");
        }
    }
    assert!((18..=21).contains(&started), "{started} in 2 s, of 18 by the rate");
}

/// A long prompt costs more than the bucket ever holds. It has to start, and what follows waits until
/// it is paid for.
#[test]
fn long_prompt_starts_and_is_paid_for_later() {
    let mut bucket = Bucket::default();
    bucket.update(0.02, 0.1, Duration::ZERO);
    bucket.fill(Duration::ZERO);
    assert!(bucket.may_start());
    bucket.charge(50.0);
    assert!(!bucket.may_start());
    assert!(bucket.wait() > Duration::from_secs(2), "{:?}", bucket.wait());
    bucket.refill(Duration::from_secs(3));
    assert!(bucket.may_start());
}

/// The measured demand of a steady load is that load, from the first tenth of a second on.
#[test]
fn steady_load_is_measured_from_the_start() {
    let mut demands = Demands::default();
    for step in 0..100 {
        let now = Duration::from_millis(step * 10);
        demands.record(class(1, 0), 5.0, now);
        if step >= 15 {
            let measured = demands.current(now)[&class(1, 0)];
            assert!((0.4..0.65).contains(&measured), "{measured} after {step} requests");
        }
    }
}

/// Hundreds of teams at one instance fit into a datagram: the largest by name, the others by number.
#[test]
fn largest_teams_are_told_by_name() {
    let demands: BTreeMap<Class, f64> = (0..300).map(|team| (class(team, 1), 0.001 * f64::from(team))).collect();
    let summary = Summary::new(&demands);
    assert_eq!(summary.classes.len(), MAX_TOLD_TEAMS);
    assert!(summary.classes.iter().all(|(class, _)| class.team >= 268), "{summary:?}");
    assert_eq!(summary.other_teams, 268);
    assert!((summary.total() - demands.values().sum::<f64>()).abs() < 1e-9);
}

/// A single long run at a service with one slot takes half a second of all of it. That is no
/// overload: the next request must not wait because of it once it is over.
#[test]
fn single_long_run_is_no_overload() {
    let mut demands = Demands::default();
    demands.record(class(1, 0), 500.0, Duration::ZERO);
    let measured = demands.current(Duration::ZERO)[&class(1, 0)];
    assert!(measured < 1.0, "{measured}");
}

/// A team that asks for about its share varies around it; a flood is another demand at once.
#[test]
fn noise_is_smoothed_and_a_flood_is_not() {
    let mut smoothed = Smoothed::default();
    let mut measure = |demand: f64, at_ms: u64| {
        let mut demands = BTreeMap::from([(class(1, 0), demand)]);
        smoothed.apply(
            &mut demands,
            Duration::from_millis(at_ms),
            |demand| *demand,
            |demand, factor| *demand *= factor,
        );
        demands[&class(1, 0)]
    };
    for step in 0..200 {
        let noisy = if step % 20 < 10 { 0.6 } else { 0.45 };
        let got = measure(noisy, step * 20);
        assert!(step < 100 || (0.48..0.58).contains(&got), "{got}");
    }
    assert!((measure(2.5, 4_000) - 2.5).abs() < 1e-9);
}

/// One request that costs thousands of usual ones, followed by usual ones: its cost must not be counted
/// over the short time of the usual ones, as if there were many.
#[test]
fn costly_request_counts_once_beside_cheap_ones() {
    let mut demands = Demands::default();
    demands.record(class(1, 0), 20_000.0, Duration::ZERO);
    let mut highest: f64 = 0.0;
    for step in 1..200 {
        let now = Duration::from_millis(step * 20);
        demands.record(class(1, 0), 1.0, now);
        highest = highest.max(demands.current(now)[&class(1, 0)]);
    }
    assert!(highest <= 1.0, "{highest}");
}

/// Runs that become longer for good look like ones that wait, at any load. Without an overload they have
/// to be learned; the few of an overload that begins must move the estimate only slightly.
#[test]
fn late_runs_are_learned_slowly() {
    let mut run_time = RunTime::default();
    (0..100).for_each(|_| run_time.observe(100.0, RunLoad::Calm));
    (0..20).for_each(|_| run_time.observe(200.0, RunLoad::Late));
    assert!(run_time.get().is_some_and(|ms| ms < 110.0), "{run_time:?}");
    (0..1_000).for_each(|_| run_time.observe(200.0, RunLoad::Late));
    assert!(run_time.get().is_some_and(|ms| ms > 190.0), "{run_time:?}");
}

/// In an overload that lasts from the first run on, every run waits at its endpoint. The estimate must not
/// follow the waits, or teams within their shares look as if they asked for more.
#[test]
fn waits_of_a_lasting_overload_are_not_learned() {
    let mut run_time = RunTime::default();
    run_time.observe(100.0, RunLoad::Crowded);
    (0..200).for_each(|_| run_time.observe(180.0, RunLoad::Crowded));
    assert!(run_time.get().is_some_and(|ms| ms < 125.0), "{run_time:?}");
}
