//! Which instance is the home of which shard.
//!
//! Rendezvous hashing with a bound: shards are dealt in order, each to the
//! instance of highest weight that has fewer than its even share. Few shards
//! over few instances would otherwise lie very unevenly, and the busiest
//! home sets the latency. Instances that see other members may name other
//! homes; that is harmless (each proves by its writes that it is the home), only slower.

use world::{
    domain::Domain,
    hash,
    instance::{self, Incarnation},
};

use crate::{
    bill::{Bill, Holder},
    record::{Origin, Shard},
};

/// One instance as the journal needs to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub id: instance::Id,
    /// Which run.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub domain: Domain,
    /// Whether it may be a home: neither leaving nor gone.
    pub live: bool,
}

/// Homes of all shards among some members.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Placement {
    members: Vec<Member>,
    homes: Vec<Option<instance::Id>>,
}

impl Placement {
    /// Deals `shards` shards over the live ones of `members`.
    #[must_use]
    pub fn new(mut members: Vec<Member>, shards: u16) -> Self {
        members.sort_by(|a, b| a.id.cmp(&b.id));
        let homes = deal(&members, shards);
        Self { members, homes }
    }

    /// Home of a shard; nothing when no instance is live.
    #[must_use]
    pub fn home(&self, shard: Shard) -> Option<&instance::Id> {
        self.homes.get(usize::from(shard.0))?.as_ref()
    }

    /// Whether this run of an instance is still a member, live or leaving.
    #[must_use]
    pub fn knows(&self, origin: &Origin) -> bool {
        self.members.iter().any(|m| m.id == origin.instance && m.incarnation == origin.incarnation)
    }

    /// Whether a bill may be held here for its origin.
    ///
    /// An instance that is no member may have had its grant settled just
    /// before the platform went down. Its caller would get a last frame for a
    /// bill that the settlement has left out of the budget.
    #[must_use]
    pub fn may_hold(&self, bill: &Bill) -> bool {
        let Some(grant) = &bill.grant else {
            return true;
        };
        let Holder { instance, incarnation, .. } = &grant.holder;
        self.members.iter().any(|m| m.id == *instance && m.incarnation == *incarnation)
    }

    /// Failure domain of an instance.
    #[must_use]
    pub fn domain(&self, id: &instance::Id) -> Option<&Domain> {
        self.members.iter().find(|m| m.id == *id).map(|m| &m.domain)
    }

    /// Live instances outside `domain`, in an order that differs by `key`.
    #[must_use]
    pub fn outside(&self, domain: &Domain, key: u64) -> Vec<&instance::Id> {
        let mut ids: Vec<_> = self.members.iter().filter(|m| m.live && m.domain != *domain).map(|m| &m.id).collect();
        ids.sort_by_key(|id| std::cmp::Reverse(hash::rendezvous(key, id.as_str().as_bytes())));
        ids
    }
}

fn deal(members: &[Member], shards: u16) -> Vec<Option<instance::Id>> {
    let live: Vec<&Member> = members.iter().filter(|m| m.live).collect();
    if live.is_empty() {
        return vec![None; usize::from(shards)];
    }
    let share = usize::from(shards).div_ceil(live.len());
    let mut dealt = vec![0_usize; live.len()];
    (0..shards)
        .map(|shard| {
            let weight = |i: &usize| hash::rendezvous(u64::from(shard), live[*i].id.as_str().as_bytes());
            let best = (0..live.len()).filter(|i| dealt[*i] < share).max_by_key(weight)?;
            dealt[best] += 1;
            Some(live[best].id.clone())
        })
        .collect()
}
