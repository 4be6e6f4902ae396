//! The graph that results when all instances plan their links.

use std::collections::{BTreeMap, BTreeSet};

use world::instance::{Id, Incarnation, Instance, State};

use super::{has_room, plan};

/// Maximum number of planning rounds until no link changes.
const ROUNDS: usize = 24;

struct Fleet {
    instances: Vec<Instance>,
    /// Oldest first.
    links: BTreeMap<Id, Vec<Id>>,
    limit: usize,
}

impl Fleet {
    fn new(size: usize, domains: usize, limit: usize) -> Self {
        let instances = (0..size).map(|index| instance(index, domains)).collect();
        let mut fleet = Self { instances, links: BTreeMap::new(), limit };
        fleet.settle();
        fleet
    }

    fn settle(&mut self) {
        for _ in 0..ROUNDS {
            let before = self.links.clone();
            for index in 0..self.instances.len() {
                self.plan(index);
            }
            if self.links == before {
                return;
            }
        }
    }

    fn plan(&mut self, index: usize) {
        let me = self.instances[index].clone();
        let others: Vec<_> = self.instances.iter().filter(|i| i.id != me.id).collect();
        let linked = self.links.get(&me.id).cloned().unwrap_or_default();
        let plan = plan(&me, &others, &linked, self.limit);
        for other in &plan.close {
            self.unlink(&me.id, other);
        }
        for other in plan.dial.iter().chain(&plan.dial_later) {
            self.link(&me.id, other);
        }
        // One chord at a time, as the task does: each changes which domain is preferred.
        if let Some(other) = plan.chords.iter().find(|id| self.has_room(id, &me)).cloned() {
            self.link(&me.id, &other);
        }
    }

    fn has_room(&self, id: &Id, other: &Instance) -> bool {
        let here = self.instances.iter().find(|i| i.id == *id).unwrap();
        let others: Vec<_> = self.instances.iter().filter(|i| i.id != *id).collect();
        has_room(here, &others, self.links.get(id).map_or(&[], Vec::as_slice), other, self.limit)
    }

    fn link(&mut self, one: &Id, other: &Id) {
        for (here, there) in [(one, other), (other, one)] {
            let links = self.links.entry(here.clone()).or_default();
            if !links.contains(there) {
                links.push(there.clone());
            }
        }
    }

    fn unlink(&mut self, one: &Id, other: &Id) {
        for (here, there) in [(one, other), (other, one)] {
            self.links.entry(here.clone()).or_default().retain(|id| id != there);
        }
    }

    fn remove(&mut self, domain: usize) {
        let lost = instance(domain, self.domains()).domain;
        self.instances.retain(|i| i.domain != lost);
        let left: BTreeSet<_> = self.instances.iter().map(|i| i.id.clone()).collect();
        self.links.retain(|id, _| left.contains(id));
        self.links.values_mut().for_each(|links| links.retain(|id| left.contains(id)));
    }

    fn domains(&self) -> usize {
        self.instances.iter().map(|i| &i.domain).collect::<BTreeSet<_>>().len()
    }

    /// Returns the largest distance between two instances in links, or `None`
    /// if the graph is disconnected.
    fn diameter(&self) -> Option<usize> {
        self.instances.iter().map(|i| self.reach(&i.id)).max()?
    }

    fn reach(&self, from: &Id) -> Option<usize> {
        let mut seen = BTreeSet::from([from]);
        let mut edge = vec![from];
        let mut hops = 0;
        while seen.len() < self.instances.len() {
            let next: Vec<_> = edge.iter().flat_map(|id| &self.links[*id]).filter(|id| seen.insert(*id)).collect();
            if next.is_empty() {
                return None;
            }
            edge = next;
            hops += 1;
        }
        Some(hops)
    }

    fn most_links(&self) -> usize {
        self.links.values().map(Vec::len).max().unwrap_or(0)
    }
}

fn instance(index: usize, domains: usize) -> Instance {
    let address = "127.0.0.1:1".parse().unwrap();
    Instance {
        id: Id::parse(&format!("i{index}")).unwrap(),
        incarnation: Incarnation(1),
        domain: format!("d{}", index % domains).parse().unwrap(),
        callers: address,
        peers: address,
        operators: address,
        state: State::Live,
    }
}

/// Asserts that all instances reach each other in at most `hops` hops over at
/// most `limit` links each, and that the graph stays connected when a failure
/// domain is lost, even before any link is replaced.
fn check(size: usize, domains: usize, limit: usize, hops: usize) {
    let mut fleet = Fleet::new(size, domains, limit);
    let diameter = fleet.diameter().expect("the graph is connected");
    assert!(diameter <= hops, "{diameter} hops");
    assert!(fleet.most_links() <= limit, "{} links", fleet.most_links());

    fleet.remove(0);
    if limit > 3 {
        assert!(fleet.diameter().is_some(), "disconnected until the links are replaced");
    }
    fleet.settle();
    assert!(fleet.diameter().is_some(), "disconnected permanently");
    assert!(fleet.most_links() <= limit, "{} links after the loss", fleet.most_links());
}

macro_rules! fleets {
    ($($name:ident: $size:expr, $domains:expr, $limit:expr, $hops:expr;)*) => {
        $(#[test] fn $name() { check($size, $domains, $limit, $hops); })*
    };
}

fleets! {
    seven_form_a_full_mesh: 7, 3, 12, 1;
    thirteen_form_a_full_mesh: 13, 4, 12, 1;
    fourteen_exceed_a_full_mesh: 14, 4, 12, 2;
    ten_with_three_links: 10, 3, 3, 4;
    thirty_one: 31, 8, 12, 3;
    two_hundred: 200, 8, 12, 4;
}

#[test]
fn links_are_spread_over_domains() {
    // If one domain held most of an instance's links, its loss would cost them
    // all at once. An even share is one eighth, and twice that is allowed. The
    // limit must not leave many links unused.
    let fleet = Fleet::new(200, 8, 12);
    let domain = |id: &Id| &fleet.instances.iter().find(|i| i.id == *id).unwrap().domain;
    for links in fleet.links.values() {
        let mut used = BTreeMap::new();
        for id in links {
            *used.entry(domain(id)).or_insert(0) += 1;
        }
        assert!(used.values().all(|count| *count <= fleet.limit / 3), "{used:?}");
        assert!(links.len() >= fleet.limit / 2, "{} links", links.len());
    }
}
