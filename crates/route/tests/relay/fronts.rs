//! Callers are spread evenly and stably over all instances of a large fleet.

use std::collections::HashMap;

use route::relay::fronts::{Caller, Candidate, choose};
use world::hash;

const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Maximum number of instances in an answer.
const MAX_LISTED: usize = 64;

const LARGE_CORES: f64 = 0.5;
const SMALL_CORES: f64 = 0.125;

/// Returns `small` small instances and three large ones in each of six domains.
fn fleet(small: usize) -> Vec<Candidate<'static>> {
    let of = |domain: &'static str, number: usize| Candidate {
        hash: hash::stable(format!("{domain}{number}").as_bytes()),
        domain,
        cores: if number < 3 { LARGE_CORES } else { SMALL_CORES },
    };
    DOMAINS.iter().flat_map(|domain| (0..small + 3).map(|number| of(domain, number))).collect()
}

fn caller(number: usize) -> Caller<'static> {
    Caller { domain: Some(DOMAINS[number % DOMAINS.len()]), hash: hash::stable(&number.to_le_bytes()) }
}

/// Counts for each instance the answers that contain it, over `callers` callers.
fn answers(fleet: &[Candidate<'_>], callers: usize) -> HashMap<usize, usize> {
    let mut answers = HashMap::new();
    for index in (0..callers).flat_map(|number| choose(fleet, caller(number), MAX_LISTED)) {
        *answers.entry(index).or_default() += 1;
    }
    answers
}

/// Guards against five hundred callers using the same 64 of 295 instances while the others
/// are idle.
#[test]
fn every_instance_is_listed() {
    let fleet = fleet(46);
    let answers = answers(&fleet, 500);
    assert_eq!(answers.len(), fleet.len());
    let small = |index: &usize| fleet[*index].cores < LARGE_CORES;
    let max_count = answers.iter().filter(|(index, _)| small(index)).map(|(_, count)| *count).max().unwrap();
    let mean = 500 * MAX_LISTED / fleet.len();
    assert!(max_count < 2 * mean, "{max_count} of {mean}");
}

/// Guards against an instance with four times the processor cores getting no more callers
/// than others.
#[test]
fn larger_instances_are_listed_more_often() {
    let fleet = fleet(46);
    let answers = answers(&fleet, 500);
    let mean = |is_large: bool| {
        let alike = (0..fleet.len()).filter(|index| (fleet[*index].cores > SMALL_CORES) == is_large);
        let counts: Vec<usize> = alike.map(|index| answers[&index]).collect();
        counts.iter().sum::<usize>() / counts.len()
    };
    assert!(mean(true) > 2 * mean(false), "{} {}", mean(true), mean(false));
}

/// Guards against callers connecting to other failure domains needlessly, and against
/// losing all instances of an answer together with one domain.
#[test]
fn answer_covers_own_domain_and_all_others() {
    let fleet = fleet(46);
    for number in 0..60 {
        let caller = caller(number);
        let chosen = choose(&fleet, caller, MAX_LISTED);
        let of = |domain: &str| chosen.iter().filter(|index| fleet[**index].domain == domain).count();
        for domain in DOMAINS {
            let places = of(domain);
            let expected = if caller.domain == Some(domain) { 32..=32 } else { 6..=7 };
            assert!(expected.contains(&places), "{domain}: {places}");
        }
    }
}

/// If answers changed with each instance that left, callers would close the connections to
/// most other instances.
#[test]
fn loss_of_an_instance_changes_one_entry() {
    let fleet = fleet(46);
    for lost in 0..20 {
        let left: Vec<_> = fleet.iter().enumerate().filter(|(index, _)| *index != lost * 14).map(|(_, c)| *c).collect();
        let hashes = |fleet: &[Candidate<'_>]| -> Vec<u64> {
            choose(fleet, caller(lost), MAX_LISTED).into_iter().map(|index| fleet[index].hash).collect()
        };
        let (before, after) = (hashes(&fleet), hashes(&left));
        let kept = after.iter().filter(|hash| before.contains(hash)).count();
        assert!(kept >= MAX_LISTED - 1, "{kept}");
    }
}

/// The places of a lost domain are filled from the others, so that no answer is too short.
#[test]
fn places_of_a_lost_domain_are_filled() {
    let left: Vec<_> = fleet(46).into_iter().filter(|candidate| candidate.domain != "a").collect();
    assert_eq!(choose(&left, caller(0), MAX_LISTED).len(), MAX_LISTED);
    let own: Vec<_> = fleet(60).into_iter().filter(|c| c.domain == "a" || c.hash % 40 == 0).collect();
    assert_eq!(choose(&own, caller(0), MAX_LISTED).len(), MAX_LISTED.min(own.len()));
}

/// All instances are listed if they fit into an answer.
#[test]
fn small_fleet_is_listed_completely() {
    let fleet = fleet(1);
    assert_eq!(choose(&fleet, caller(0), MAX_LISTED).len(), fleet.len());
}
