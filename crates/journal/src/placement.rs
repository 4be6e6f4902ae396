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

impl Member {
    fn origin(&self) -> Origin {
        Origin { instance: self.id.clone(), incarnation: self.incarnation }
    }
}

/// Homes of all shards among some members.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Placement {
    members: Vec<Member>,
    homes: Vec<Option<instance::Id>>,
    /// Runs that were members once and are not now.
    vanished: Vec<Origin>,
    /// Runs that vanished and came back.
    returned: Vec<Origin>,
}

impl Placement {
    /// Deals `shards` shards over the live ones of `members`.
    #[must_use]
    pub fn new(mut members: Vec<Member>, shards: u16) -> Self {
        members.sort_by(|a, b| a.id.cmp(&b.id));
        let homes = deal(&members, shards);
        Self { members, homes, vanished: Vec::new(), returned: Vec::new() }
    }

    /// The placement that follows this one.
    #[must_use]
    pub fn follow(&self, members: Vec<Member>, shards: u16) -> Self {
        let mut next = Self::new(members, shards);
        let left = self.members.iter().map(Member::origin).filter(|origin| !next.knows(origin));
        // Of each instance only its last run can still come back.
        let mut vanished: Vec<Origin> = left.collect();
        vanished.extend(self.vanished.iter().filter(|old| !next.has_later(old)).cloned());
        let back = vanished.iter().filter(|origin| next.knows(origin)).cloned();
        next.returned = back.chain(self.returned.iter().filter(|old| !next.has_later(old)).cloned()).collect();
        vanished.retain(|origin| !next.knows(origin));
        next.vanished = vanished;
        next
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
    /// An instance that is no member, or was none for a time, may have had its
    /// grant settled without knowing. Its caller would get a last frame for a
    /// bill that the settlement has left out of the budget. Such an instance
    /// needs the home's answer, which tells.
    #[must_use]
    pub fn may_hold(&self, bill: &Bill) -> bool {
        let Some(grant) = &bill.grant else {
            return true;
        };
        let Holder { instance, incarnation, .. } = &grant.holder;
        let origin = Origin { instance: instance.clone(), incarnation: *incarnation };
        self.knows(&origin) && !self.returned.contains(&origin)
    }

    fn has_later(&self, origin: &Origin) -> bool {
        self.members.iter().any(|m| m.id == origin.instance && m.incarnation > origin.incarnation)
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
