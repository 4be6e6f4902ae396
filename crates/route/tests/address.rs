//! Selection of the instances that a customer's callers use.

use std::collections::BTreeSet;

use route::address::{self, Caller, Policy};
use world::{
    contract::Customer,
    domain::Domain,
    instance::{Id, Incarnation, Instance, State},
    session,
};

fn fleet(count: usize, domains: usize) -> Vec<Instance> {
    let socket = |port: usize| std::net::SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap()));
    let one = |number: usize| Instance {
        id: Id::parse(&format!("i{number}")).unwrap(),
        incarnation: Incarnation(1),
        domain: Domain::parse(&format!("d{}", number % domains)).unwrap(),
        callers: socket(10_000 + number),
        peers: socket(20_000 + number),
        operators: socket(30_000 + number),
        state: State::Live,
    };
    (0..count).map(one).collect()
}

fn customer(number: usize) -> Customer {
    Customer::parse(&format!("c{number}")).unwrap()
}

fn caller(customer: &Customer) -> Caller<'_> {
    Caller { customer, session: None, domain: None, load: 0.0 }
}

fn set(instances: &[Instance], number: usize) -> BTreeSet<Id> {
    let list = address::list(&Policy::default(), instances, &caller(&customer(number)));
    list.instances.into_iter().map(|instance| instance.id.clone()).collect()
}

/// When an instance leaves, only the sets that contain it change, each by one member.
#[test]
fn few_customers_change_their_set() {
    for (count, domains) in [(7, 4), (31, 8), (750, 8)] {
        let before = fleet(count, domains);
        let mut after = before.clone();
        let gone = after.remove(count / 2).id;
        let mut moved = 0;
        for number in 0..400 {
            let (old, new) = (set(&before, number), set(&after, number));
            if old.contains(&gone) {
                moved += 1;
                assert!(old.difference(&new).count() <= 2, "{old:?} became {new:?}");
            } else {
                let spread = domains.min(3);
                assert!(old.difference(&new).count() <= usize::from(spread < 3), "{old:?} became {new:?}");
            }
        }
        let by_modulo = (0..400).filter(|number| modulo(*number, count) != modulo(*number, count - 1)).count();
        println!(
            "{count} instances, one leaves: {moved} of 400 customers change their set; by a hash modulo the count: {by_modulo}"
        );
        assert!(moved * count <= 400 * 3 * 2, "{moved} of 400 customers changed their set at {count} instances");
    }
}

/// Baseline: three consecutive instances, starting at the index given by a hash.
fn modulo(number: usize, count: usize) -> Vec<usize> {
    let first = world::hash::stable(customer(number).as_str().as_bytes()) % count as u64;
    (0..3).map(|next| (usize::try_from(first).unwrap() + next) % count).collect()
}

#[test]
fn sets_span_failure_domains() {
    let instances = fleet(7, 4);
    for number in 0..200 {
        let list = address::list(&Policy::default(), &instances, &caller(&customer(number))).instances;
        let domains: BTreeSet<_> = list.iter().map(|instance| &instance.domain).collect();
        assert_eq!((list.len(), domains.len()), (3, 3));
    }
}

#[test]
fn size_follows_load() {
    let instances = fleet(31, 8);
    let size = |load| {
        let customer = customer(1);
        address::list(&Policy::default(), &instances, &Caller { load, ..caller(&customer) }).instances.len()
    };
    assert_eq!([size(0.0), size(100.0), size(640.0), size(1e9)], [3, 3, 11, 31]);
}

/// The set for a larger load contains the set for a smaller one, so a growing customer
/// keeps its instances.
#[test]
fn growth_keeps_the_set() {
    let instances = fleet(31, 8);
    for number in 0..100 {
        let customer = customer(number);
        let set = |load| -> BTreeSet<_> {
            let list = address::list(&Policy::default(), &instances, &Caller { load, ..caller(&customer) });
            list.instances.into_iter().map(|instance| instance.id.clone()).collect()
        };
        assert!(set(640.0).is_superset(&set(0.0)));
    }
}

#[test]
fn own_domain_is_first_and_leaving_is_omitted() {
    let mut instances = fleet(8, 4);
    let customer = customer(3);
    let domain = Domain::parse("d2").unwrap();
    let policy = Policy { min: 4, ..Policy::default() };
    let asked = Caller { domain: Some(&domain), ..caller(&customer) };
    let first = address::list(&policy, &instances, &asked).instances[0].clone();
    assert_eq!(first.domain, domain);

    let position = instances.iter().position(|instance| instance.id == first.id).unwrap();
    instances[position].state = State::Leaving;
    let list = address::list(&policy, &instances, &asked);
    assert!(list.instances.iter().all(|instance| instance.id != first.id));
    assert_eq!(list.instances[0].domain, domain, "the domain's other instance takes its place");

    instances[position].state = State::Suspect;
    let list = address::list(&policy, &instances, &asked);
    assert_eq!(list.instances.last().unwrap().id, first.id, "a suspect instance is last");
    assert_eq!(list.keep_ms, policy.suspect_keep_ms);
}

/// All requests of a session get the same order from any instance. The sessions of a
/// customer spread over its set.
#[test]
fn sessions_spread_over_the_set() {
    let instances = fleet(7, 4);
    let customer = customer(5);
    let mut firsts = BTreeSet::new();
    for number in 0..50 {
        let session = session::Id::parse(&format!("s{number}")).unwrap();
        let asked = Caller { session: Some(&session), ..caller(&customer) };
        firsts.insert(address::list(&Policy::default(), &instances, &asked).instances[0].id.clone());
    }
    assert_eq!(firsts.len(), 3);
}
