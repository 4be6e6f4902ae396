//! Tests of which instances count as alive and of the sums of their loads.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use proptest::prelude::*;

use super::{Peer, Peers, Phase, Sighting, Word};
use crate::desk::fleet::{Load, short_hash};

const INSTANCES: u32 = 6;
const ENDPOINTS: u32 = 5;

/// An event among the peers of an instance.
#[derive(Debug, Clone)]
enum Event {
    Heard { instance: u32, run: u64, loads: Vec<(u32, u16)> },
    Left(u32),
    Passed { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let loads = prop::collection::vec((0..ENDPOINTS, 0..50_u16), 0..4);
    prop_oneof![
        5 => (0..INSTANCES, 0..3_u64, loads).prop_map(|(instance, run, loads)| Event::Heard { instance, run, loads }),
        1 => (0..INSTANCES).prop_map(Event::Left),
        3 => (0..900_u64).prop_map(|ms| Event::Passed { ms }),
    ]
}

fn news(instance: u32) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(1_000 + instance).unwrap()).into()
}

fn hear(peers: &mut Peers, instance: u32, word: Word, now: Duration) {
    let name = format!("i{instance}");
    let peer = Peer { hash: 0, news: news(instance), found: now, heard: None, counts: false, word: Word::default() };
    peers.known.entry(name.clone()).or_insert(peer);
    peers.take(&name, word, now);
}

fn word(run: u64, loads: &[(u32, u16)]) -> Word {
    let load = |runs| Load { runs: f64::from(runs), backlog_ms: 3.0 * f64::from(runs) };
    let loads = loads.iter().map(|(endpoint, runs)| (*endpoint, load(*runs))).collect();
    Word { run, pause: Duration::from_millis(250), loads, ..Word::default() }
}

/// Sums the loads of all live instances on an endpoint from scratch.
fn summed(peers: &Peers, endpoint: u32, now: Duration) -> Load {
    let live = peers.known.values().filter(|peer| peer.live(now));
    let loads = live.filter_map(|peer| peer.word.loads.get(&endpoint));
    loads.fold(Load::default(), |sum, load| Load {
        runs: sum.runs + load.runs,
        backlog_ms: sum.backlog_ms + load.backlog_ms,
    })
}

proptest! {
    /// Guards against loads of an instance that became silent, left or restarted being kept
    /// in the sums or subtracted twice.
    #[test]
    fn sums_are_those_of_who_lives(events in prop::collection::vec(event(), 1..80)) {
        let (mut peers, mut now) = (Peers::default(), Duration::from_secs(9));
        for event in events {
            match event {
                Event::Heard { instance, run, loads } => hear(&mut peers, instance, word(run, &loads), now),
                Event::Left(instance) => peers.forget(&format!("i{instance}")),
                Event::Passed { ms } => now += Duration::from_millis(ms),
            }
            peers.settle(now);
            prop_assert_eq!(peers.live, peers.known.values().filter(|peer| peer.live(now)).count());
            for endpoint in 0..ENDPOINTS {
                prop_assert_eq!(peers.load(endpoint), summed(&peers, endpoint, now));
            }
        }
    }
}

/// Guards against summing over all instances and endpoints for each piece of news, which
/// took nine tenths of the processor time of 295 instances.
#[test]
fn a_piece_costs_what_it_carries() {
    let mut peers = Peers::default();
    let now = Duration::from_secs(9);
    let loads: HashMap<u32, Load> = word(1, &[(1, 2), (2, 4), (3, 6)]).loads;
    for instance in 0..300 {
        let own = loads.iter().map(|(endpoint, load)| (endpoint + 3 * instance, *load)).collect();
        hear(&mut peers, instance, Word { loads: own, ..word(1, &[]) }, now);
    }
    peers.sums.take_changed();
    hear(&mut peers, 7, Word { loads, ..word(2, &[]) }, now);
    assert_eq!(peers.sums.take_changed().len(), 6);
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(10_000 + ms)
}

/// Returns peers with one instance that sent news at the start, in rounds of `pause_ms`.
fn heard(pause_ms: u64) -> Peers {
    let mut peers = Peers::default();
    hear(&mut peers, 0, Word { pause: Duration::from_millis(pause_ms), ..word(1, &[(1, 5)]) }, at(0));
    peers.by_hash.insert(short_hash("i0"), "i0".into());
    peers
}

fn sighting(age_ms: u64, leaves: bool) -> Sighting {
    Sighting { name: short_hash("i0"), age: Duration::from_millis(age_ms), leaves }
}

/// Guards against waiting for three missed rounds in a large fleet: with rounds of five
/// seconds, callers were sent to an instance that had been gone for fourteen.
#[test]
fn silent_instance_of_a_large_fleet_is_gone_within_seconds() {
    let mut peers = heard(4_750);
    peers.settle(at(3_900));
    assert_eq!(peers.live, 1);
    peers.settle(at(4_100));
    assert_eq!((peers.live, peers.load(1)), (0, Load::default()));
}

/// An instance that sends no news here between two rounds stays alive by others' sightings.
#[test]
fn instance_that_others_hear_is_not_gone() {
    let mut peers = heard(4_750);
    peers.take_sighting(sighting(500, false), at(3_000));
    peers.settle(at(6_000));
    assert_eq!(peers.live, 1);
    peers.settle(at(6_600));
    assert_eq!(peers.live, 0);
}

/// Sightings of a lost instance circulate for seconds and must not make it alive again.
#[test]
fn old_sighting_keeps_nobody_alive() {
    let mut peers = heard(250);
    peers.take_sighting(sighting(900, false), at(800));
    peers.settle(at(1_200));
    assert_eq!(peers.live, 0);
    peers.take_sighting(sighting(100, false), at(1_300));
    assert_eq!(peers.live, 0);
}

/// Guards against sending callers to a leaving instance until its own next news arrives.
#[test]
fn leaving_is_told_by_others() {
    let mut peers = heard(4_750);
    peers.take_sighting(sighting(10, true), at(500));
    assert_eq!(peers.known["i0"].word.phase, Phase::Leaving);
}

/// Guards against ignoring an instance for good if its machine's clock is reset by a loss of
/// power, so that its new start looks older than the one before.
#[test]
fn start_that_looks_older_is_heard_once_the_other_is_silent() {
    let mut peers = heard(250);
    hear(&mut peers, 0, word(0, &[(2, 7)]), at(100));
    assert!(peers.load(2) == Load::default());
    hear(&mut peers, 0, word(0, &[(2, 7)]), at(1_200));
    assert_eq!((peers.live, peers.load(2).runs.to_bits()), (1, 7.0_f64.to_bits()));
}
