//! Choice of an endpoint for a run, exclusion of endpoints, and subsets.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    ops::RangeInclusive,
};

use proptest::{prelude::*, test_runner::RngSeed};
use route::endpoint::{Choice, Event, Failure, Fleet, Key, Peer, Refusal, Report, Rule, RunRequest, Target};
use world::{Catalog, Timestamp, endpoint::Id, model::Version, object::Object};

const NOW: Timestamp = Timestamp(1_000_000);

fn catalog(domains: usize, each: usize) -> Catalog {
    let mut text = String::from(
        "kind: model\nname: m\nspec: { versions: [{ version: \"1\", price: { input: \"1\", output: \"1\", currency: EUR } }] }\n",
    );
    for domain in 0..domains {
        let _ = write!(
            text,
            "---\nkind: pool\nname: p{domain}\nspec:\n  domain: d{domain}\n  serves: {{ versions: [m@1] }}\n  endpoints:\n"
        );
        for n in 0..each {
            let _ = writeln!(text, "    - {{ name: e{domain}-{n}, address: \"127.0.0.1:1\" }}");
        }
    }
    let objects = Object::parse_file(&text).expect("objects are well formed");
    Catalog::build(1, objects).expect("objects fit each other")
}

fn peer(index: usize, domains: usize) -> Peer {
    Peer {
        id: format!("i{index}").parse().expect("a name"),
        domain: format!("d{}", index % domains).parse().expect("a name"),
    }
}

fn target() -> Target {
    Target::Version(Version::parse("m@1").expect("a version"))
}

fn fleet(domains: usize, each: usize) -> Fleet {
    let mut fleet = Fleet::new(peer(0, domains));
    fleet.apply(&catalog(domains, each), &[peer(0, domains), peer(1, domains)]);
    fleet
}

fn choose(fleet: &Fleet, prefix: Option<u64>, excluded: &[Key], draw: u64, now: Timestamp) -> Result<Choice, Refusal> {
    fleet.choose(&RunRequest { target: &target(), prefix, excluded, draw }, now)
}

fn id(fleet: &Fleet, key: Key) -> Id {
    fleet.endpoint(key).expect("it is in the fleet").id.clone()
}

fn fail(fleet: &mut Fleet, key: Key, times: u32, now: Timestamp) {
    for _ in 0..times {
        fleet.handle(Event::Dispatched(key), now);
        fleet.handle(Event::Failed { key, target: &target(), failure: Failure::Broken }, now);
    }
}

#[test]
fn a_prefix_prefers_the_same_endpoint_at_every_instance() {
    let catalog = catalog(1, 6);
    let peers = [peer(0, 1), peer(1, 1), peer(2, 1)];
    let chosen: BTreeSet<_> = peers
        .iter()
        .map(|me| {
            let mut fleet = Fleet::new(me.clone());
            fleet.apply(&catalog, &peers);
            id(&fleet, choose(&fleet, Some(42), &[], 1, NOW).expect("there are some").key)
        })
        .collect();
    assert_eq!(chosen.len(), 1);
}

#[test]
fn a_loaded_endpoint_is_skipped() {
    let mut fleet = fleet(1, 6);
    let preferred = choose(&fleet, Some(42), &[], 1, NOW).expect("there are some");
    for _ in 0..4 {
        let again = choose(&fleet, Some(42), &[], 1, NOW).expect("there are some");
        assert_eq!(again.key, preferred.key, "most of its slots are free");
        fleet.handle(Event::Dispatched(preferred.key), NOW);
    }
    let next = choose(&fleet, Some(42), &[], 1, NOW).expect("there are some");
    assert_eq!(preferred.rule, Rule::Preferred);
    assert_ne!(next.key, preferred.key);
}

#[test]
fn a_known_holder_of_the_prefix_is_preferred() {
    let mut fleet = fleet(1, 6);
    let preferred = id(&fleet, choose(&fleet, Some(42), &[], 1, NOW).expect("there are some").key);
    let other = fleet.endpoints().map(|(_, e)| e.id.clone()).find(|id| *id != preferred).expect("there are six");
    fleet.handle(Event::Stored { endpoint: &other, prefix: 42 }, NOW);
    let held = choose(&fleet, Some(42), &[], 1, NOW).expect("there are some");
    assert_eq!((id(&fleet, held.key), held.rule), (other.clone(), Rule::Holder));

    fleet.handle(Event::Evicted { endpoint: &other, prefix: 42 }, NOW);
    assert_eq!(choose(&fleet, Some(42), &[], 1, NOW).expect("there are some").rule, Rule::Preferred);
}

/// Cache events may be lost. Requests must still be placed, at worst without a cache hit.
/// If the event that a prefix was stored is lost, the usual endpoint is chosen. An endpoint
/// whose eviction event is lost still attracts the prefix, but only until it is loaded,
/// like any other.
#[test]
fn cache_events_lost_at_choose() {
    let mut fleet = fleet(1, 6);
    let usual = choose(&fleet, Some(42), &[], 1, NOW).expect("there are some");
    assert_eq!(usual.rule, Rule::Preferred, "the event that it is stored elsewhere was lost");
    let (holder, name) = fleet.endpoints().map(|(key, e)| (key, e.id.clone())).find(|e| e.0 != usual.key).expect("six");
    fleet.handle(Event::Stored { endpoint: &name, prefix: 42 }, NOW);
    // The prefix is evicted here, and the event is lost.
    let mut to_holder = 0;
    for draw in 0..64 {
        let choice = choose(&fleet, Some(42), &[], draw, NOW).expect("there are some");
        to_holder += usize::from(choice.key == holder);
        fleet.handle(Event::Dispatched(choice.key), NOW);
    }
    assert!((1..32).contains(&to_holder), "{to_holder} of 64 runs went to one of six endpoints");
}

/// Five consecutive failures eject an endpoint. After the ejection it gets a tenth of its
/// work, and more over time. One more failure during the readmission ejects it again, for
/// longer.
#[test]
fn a_failing_endpoint_is_ejected_and_returns_gradually() {
    let mut fleet = fleet(1, 6);
    let (bad, _) = fleet.endpoints().next().expect("there are six");
    let share = |fleet: &Fleet, now| {
        let to_bad = (0..600u64).filter(|draw| {
            let draw = world::hash::stable(&draw.to_le_bytes());
            choose(fleet, None, &[], draw, now).expect("there are some").key == bad
        });
        to_bad.count()
    };
    let healthy = share(&fleet, NOW);
    fail(&mut fleet, bad, 5, NOW);
    assert_eq!(share(&fleet, NOW.plus(9_999)), 0);

    let back = NOW.plus(11_000);
    assert!(share(&fleet, back) < healthy / 4, "{} of {healthy}", share(&fleet, back));
    assert!(share(&fleet, NOW.plus(50_000)) > healthy / 2);
    fail(&mut fleet, bad, 1, back);
    assert_eq!(share(&fleet, back.plus(19_999)), 0);
}

/// An endpoint answers ten times slower than the others, so that answers miss their
/// deadlines without an error. It must be ejected and tried again later.
#[test]
fn a_very_slow_endpoint_is_ejected() {
    let mut fleet = fleet(1, 6);
    let keys: Vec<_> = fleet.endpoints().map(|(key, _)| key).collect();
    for _ in 0..20 {
        for (index, key) in keys.iter().enumerate() {
            let millis = if index == 0 { 20_000 } else { 2_000 };
            fleet.handle(Event::Dispatched(*key), NOW);
            fleet.handle(Event::Finished { key: *key, target: &target(), millis, tokens: 100 }, NOW);
        }
    }
    let considered = |now| choose(&fleet, None, &[], 1, now).expect("some are left").considered;
    assert_eq!((considered(NOW), considered(NOW.plus(60_000))), (5, 6));
}

/// The configuration changes while an endpoint is ejected and another one has active runs.
/// If either state were lost, the next runs would go to the wrong endpoints.
#[test]
fn a_new_configuration_keeps_endpoint_state() {
    let mut fleet = fleet(1, 6);
    let keys: Vec<_> = fleet.endpoints().map(|(key, _)| key).collect();
    fail(&mut fleet, keys[0], 5, NOW);
    let before = fleet.run_limit([&target()], NOW);
    for _ in 0..200 {
        fleet.handle(Event::Dispatched(keys[1]), NOW);
    }
    fleet.apply(&catalog(1, 7), &[peer(0, 1), peer(1, 1)]);
    let choice = choose(&fleet, None, &[], 1, NOW).expect("some are left");
    assert_eq!(choice.considered, 6, "the five old ones that are not ejected, and a new one");
    assert_eq!(fleet.key(&id(&fleet, keys[1])), Some(keys[1]));
    assert!(choice.mean > 1.0, "the active runs were lost");
    assert!(fleet.run_limit([&target()], NOW) >= before);

    fleet.apply(&catalog(1, 1), &[peer(0, 1)]);
    assert_eq!(fleet.endpoints().count(), 1);
}

/// If every endpoint fails, the cause is elsewhere. Ejecting them all would leave none to
/// run on, so at most a third is ejected.
#[test]
fn not_all_endpoints_are_ejected() {
    let mut fleet = fleet(1, 6);
    let keys: Vec<_> = fleet.endpoints().map(|(key, _)| key).collect();
    for key in &keys {
        fail(&mut fleet, *key, 50, NOW);
    }
    let considered = choose(&fleet, None, &[], 1, NOW).expect("some are left").considered;
    assert_eq!(considered, 4);
}

/// A rejection by an engine that is full or still loading says nothing about its health.
#[test]
fn a_full_endpoint_is_not_ejected() {
    let mut fleet = fleet(1, 6);
    let (key, _) = fleet.endpoints().next().expect("there are six");
    for _ in 0..50 {
        fleet.handle(Event::Dispatched(key), NOW);
        fleet.handle(Event::Failed { key, target: &target(), failure: Failure::Full }, NOW);
    }
    assert_eq!(choose(&fleet, None, &[], 1, NOW).expect("there are some").considered, 6);
}

#[test]
fn an_endpoint_without_the_version_is_skipped_for_a_while() {
    let mut fleet = fleet(1, 2);
    let (key, _) = fleet.endpoints().next().expect("there are two");
    fleet.handle(Event::Dispatched(key), NOW);
    fleet.handle(Event::Failed { key, target: &target(), failure: Failure::NotLoaded }, NOW);
    assert_eq!(choose(&fleet, None, &[], 1, NOW).expect("one is left").considered, 1);
    assert_eq!(choose(&fleet, None, &[], 1, NOW.plus(2_000)).expect("both are back").considered, 2);
}

/// The reports are two seconds old and show one idle endpoint. An instance that relied on
/// them would send all its runs there until the next report.
#[test]
fn an_old_report_does_not_attract_all_runs() {
    let mut fleet = fleet(1, 4);
    let ids: Vec<_> = fleet.endpoints().map(|(_, endpoint)| endpoint.id.clone()).collect();
    for (index, endpoint) in ids.iter().enumerate() {
        let running = if index == 0 { 0 } else { 8 };
        let report = Report { as_of: NOW, running, queued: 0, slots: 16, loaded: None };
        fleet.handle(Event::Load { endpoint, report }, NOW.plus(2_000));
    }
    let now = NOW.plus(2_000);
    let mut sent: BTreeMap<Id, u32> = BTreeMap::new();
    for draw in 0..40u64 {
        let draw = world::hash::stable(&draw.to_le_bytes());
        let key = choose(&fleet, None, &[], draw, now).expect("there are some").key;
        fleet.handle(Event::Dispatched(key), now);
        *sent.entry(id(&fleet, key)).or_default() += 1;
    }
    assert!(sent[&ids[0]] <= 20, "{sent:?}");
}

fn subsets(instances: usize, domains: usize, each: usize) -> Vec<BTreeSet<Id>> {
    let catalog = catalog(domains, each);
    let peers: Vec<_> = (0..instances).map(|index| peer(index, domains)).collect();
    let subset = |me: &Peer| {
        let mut fleet = Fleet::new(me.clone());
        fleet.apply(&catalog, &peers);
        fleet.endpoints().map(|(_, endpoint)| endpoint.id.clone()).collect()
    };
    peers.iter().map(subset).collect()
}

/// Checks that no subset is larger than `size` and that each endpoint is in a number of
/// subsets within `users`.
fn check_subsets(instances: usize, domains: usize, each: usize, size: usize, users: RangeInclusive<usize>) {
    let subsets = subsets(instances, domains, each);
    let mut found: BTreeMap<&Id, usize> = BTreeMap::new();
    subsets.iter().flatten().for_each(|id| *found.entry(id).or_default() += 1);
    assert_eq!(found.len(), domains * each, "an endpoint is in no subset");
    let largest = subsets.iter().map(BTreeSet::len).max().expect("there are instances");
    assert!(largest <= size, "{largest}");
    assert!(found.values().all(|count| users.contains(count)), "{:?}", found.values().collect::<BTreeSet<_>>());
}

macro_rules! subset {
    ($($name:ident: $instances:expr, $domains:expr, $each:expr => $size:expr, $users:expr;)*) => {
        $(#[test] fn $name() { check_subsets($instances, $domains, $each, $size, $users); })*
    };
}

subset! {
    a_small_site_is_used_completely: 7, 4, 5 => 20, 7..=7;
    a_large_site_is_shared_evenly: 96, 8, 400 => 82, 1..=4;
    few_instances_cover_all_endpoints: 4, 2, 200 => 153, 1..=4;
}

/// When an instance leaves, each of the others keeps most of its endpoints, so that
/// connections and caches stay warm.
#[test]
fn losing_an_instance_changes_few_subset_members() {
    let (catalog, peers) = (catalog(1, 400), (0..40).map(|index| peer(index, 1)).collect::<Vec<_>>());
    for me in &peers[1..] {
        let mut fleet = Fleet::new(me.clone());
        fleet.apply(&catalog, &peers);
        let before: BTreeSet<_> = fleet.endpoints().map(|(_, endpoint)| endpoint.id.clone()).collect();
        fleet.apply(&catalog, &peers[1..]);
        let kept = fleet.endpoints().filter(|(_, endpoint)| before.contains(&endpoint.id)).count();
        assert!(kept * 4 >= before.len() * 3, "{} keeps {kept} of {}", me.id, before.len());
    }
}

/// Action on the fleet. Endpoints are identified by their index in the fleet.
#[derive(Debug, Clone)]
enum Action {
    Choose { prefix: u64, draw: u64, excluded: usize },
    Finish(usize, u64),
    Fail(usize, u8),
    Report { endpoint: usize, age_ms: u64, running: u32 },
    Leaving(usize, bool),
    Pass(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (0..8u64, any::<u64>(), 0..8usize).prop_map(|(prefix, draw, excluded)| Action::Choose { prefix, draw, excluded }),
        3 => (0..8usize, 1..60_000u64).prop_map(|(endpoint, millis)| Action::Finish(endpoint, millis)),
        3 => (0..8usize, 0..4u8).prop_map(|(endpoint, kind)| Action::Fail(endpoint, kind)),
        2 => (0..8usize, 0..20_000u64, 0..100u32)
            .prop_map(|(endpoint, age_ms, running)| Action::Report { endpoint, age_ms, running }),
        1 => (0..8usize, any::<bool>()).prop_map(|(endpoint, leaving)| Action::Leaving(endpoint, leaving)),
        1 => (0..20_000u64).prop_map(Action::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No run goes to an endpoint that is leaving or has already failed the request, and
    /// none is refused while another endpoint is available.
    #[test]
    fn runs_go_only_to_available_endpoints(actions in proptest::collection::vec(action(), 1..200)) {
        let (mut fleet, target) = (fleet(2, 4), target());
        let all: Vec<_> = fleet.endpoints().map(|(key, endpoint)| (key, endpoint.id.clone())).collect();
        let failures = [Failure::Full, Failure::Error, Failure::Broken, Failure::Timeout];
        let (mut now, mut leaving) = (NOW, BTreeSet::new());
        for action in actions {
            match action {
                Action::Choose { prefix, draw, excluded } => {
                    let excluded: Vec<_> = all.iter().take(excluded).map(|(key, _)| *key).collect();
                    match choose(&fleet, Some(prefix), &excluded, draw, now) {
                        Ok(choice) => {
                            prop_assert!(!leaving.contains(&choice.key));
                            prop_assert!(!excluded.contains(&choice.key));
                            prop_assert!(choice.load.is_finite() && choice.mean.is_finite());
                            fleet.handle(Event::Dispatched(choice.key), now);
                        }
                        Err(refusal) => {
                            prop_assert_eq!(refusal, Refusal::NoneLeft);
                            // At most two of eight are ejected at a time.
                            let left = all.iter().filter(|(key, _)| !leaving.contains(key) && !excluded.contains(key));
                            prop_assert!(left.count() <= 2);
                        }
                    }
                }
                Action::Finish(index, millis) => {
                    fleet.handle(Event::Finished { key: all[index].0, target: &target, millis, tokens: 10 }, now);
                }
                Action::Fail(index, kind) => {
                    let failure = failures[usize::from(kind)];
                    fleet.handle(Event::Failed { key: all[index].0, target: &target, failure }, now);
                }
                Action::Report { endpoint, age_ms, running } => {
                    let as_of = Timestamp(now.0 - age_ms.min(now.0));
                    let report = Report { as_of, running, queued: 0, slots: 16, loaded: None };
                    fleet.handle(Event::Load { endpoint: &all[endpoint].1, report }, now);
                }
                Action::Leaving(index, is_leaving) => {
                    let (key, endpoint) = &all[index];
                    fleet.handle(Event::Leaving { endpoint, leaving: is_leaving }, now);
                    if is_leaving { leaving.insert(*key) } else { leaving.remove(key) };
                }
                Action::Pass(millis) => now = now.plus(millis),
            }
            prop_assert!(fleet.run_limit([&target], now) >= 1);
        }
    }
}
