//! Our endpoint choice and the ones it is measured against.

use std::collections::HashMap;

use route::endpoint::{Event, Fleet, Key, Peer, RunRequest, Target};
use world::{Catalog, Timestamp, endpoint};

/// How an instance chooses endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Ours,
    Random,
    RoundRobin,
    LeastReported,
}

impl Policy {
    pub const ALL: [Self; 4] = [Self::Ours, Self::Random, Self::RoundRobin, Self::LeastReported];

    pub fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least reported load",
        }
    }
}

pub struct Router {
    policy: Policy,
    fleet: Fleet,
    /// Keys in the order of the catalog's endpoints.
    keys: Vec<Key>,
    positions: HashMap<endpoint::Id, usize>,
    reported: Vec<u32>,
    turn: usize,
}

impl Router {
    pub fn new(policy: Policy, catalog: &Catalog, instance: usize, instances: usize, domains: usize) -> Self {
        let peer = |index: usize| Peer {
            id: format!("i{index}").parse().expect("a name"),
            domain: format!("d{}", index % domains).parse().expect("a name"),
        };
        let mut fleet = Fleet::new(peer(instance));
        fleet.apply(catalog, &(0..instances).map(peer).collect::<Vec<_>>());
        let ids: Vec<_> =
            catalog.pools().values().flat_map(|pool| pool.endpoints.iter().map(|e| e.name.clone())).collect();
        let keys: Vec<_> = ids.iter().map(|id| fleet.key(id).expect("the subset holds all of a small site")).collect();
        let positions = ids.into_iter().enumerate().map(|(index, id)| (id, index)).collect();
        Self { policy, fleet, reported: vec![0; keys.len()], keys, positions, turn: instance }
    }

    pub fn seen(&mut self, event: Event<'_>, now: Timestamp) {
        if let Event::Load { endpoint, report } = event {
            self.reported[self.positions[endpoint]] = report.running + report.queued;
        }
        self.fleet.handle(event, now);
    }

    /// Runs the instance may have under way, where the policy says.
    pub fn limit(&self, target: &Target, now: Timestamp) -> Option<u32> {
        (self.policy == Policy::Ours).then(|| self.fleet.run_limit([target], now))
    }

    /// The endpoint for a run, with its place in the catalog.
    pub fn choose(&mut self, target: &Target, prefix: u64, draw: u64, now: Timestamp) -> (Key, usize) {
        let count = self.keys.len();
        let place = match self.policy {
            Policy::Ours => {
                let wanted = RunRequest { target, prefix: Some(prefix), excluded: &[], draw };
                let key = self.fleet.choose(&wanted, now).expect("a small site has endpoints").key;
                self.keys.iter().position(|k| *k == key).expect("the key is of this fleet")
            }
            Policy::Random => usize::try_from(draw % count as u64).expect("below the count"),
            Policy::RoundRobin => {
                self.turn += 1;
                self.turn % count
            }
            Policy::LeastReported => (0..count).min_by_key(|place| self.reported[*place]).expect("there are some"),
        };
        (self.keys[place], place)
    }
}
