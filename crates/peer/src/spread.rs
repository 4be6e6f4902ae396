//! What one link still has to be told: pure.
//!
//! A link is reliable while it lasts, so each change goes over it once. A new
//! link starts with everything.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use world::instance::Id;

use crate::{member::Member, membership::Membership, topic::Topic};

/// Members in one heartbeat; the rest goes with the next.
const MEMBERS: usize = 64;
/// Heartbeats with an unequal view until everything is asked for: changes on
/// their way explain an inequality of one or two.
const UNEQUAL: u32 = 3;
/// Heartbeats between two such questions.
const ASKING: u32 = 10;

/// Own digests by topic.
#[derive(Debug, Default)]
pub struct Digests(BTreeMap<Topic, Bytes>);

impl Digests {
    /// Sets a value; false when it was that already.
    pub fn set(&mut self, topic: Topic, value: Bytes) -> bool {
        self.0.insert(topic, value.clone()) != Some(value)
    }
}

/// A heartbeat before it is put on the wire.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Entries that changed.
    pub members: Vec<Member>,
    /// Digests that changed; unknown topics as they came.
    pub digests: Vec<(u32, Bytes)>,
    /// Hash of the sender's view; absent in one that is about a single doubt.
    pub view: u64,
    /// Asks for everything.
    pub want_all: bool,
}

/// What one link has to be told, and what came over it.
#[derive(Debug, Default)]
pub struct Spread {
    members: BTreeSet<Id>,
    digests: BTreeSet<Topic>,
    unequal: u32,
    rest: u32,
    want_all: bool,
}

impl Spread {
    /// Everything is to be told.
    #[must_use]
    pub fn new(membership: &Membership, digests: &Digests) -> Self {
        let mut spread = Self { digests: digests.0.keys().copied().collect(), ..Self::default() };
        spread.add_all(membership);
        spread
    }

    /// An entry changed.
    pub fn add(&mut self, id: &Id) {
        self.members.insert(id.clone());
    }

    /// The other side asked for everything.
    pub fn add_all(&mut self, membership: &Membership) {
        let ids = membership.others().chain([membership.me()]).map(|m| m.instance.id.clone());
        self.members.extend(ids);
    }

    /// A digest changed.
    pub fn add_digest(&mut self, topic: Topic) {
        self.digests.insert(topic);
    }

    /// Whether there is something that should not wait for the next heartbeat.
    #[must_use]
    pub fn is_due(&self) -> bool {
        !self.members.is_empty() || !self.digests.is_empty()
    }

    /// The next heartbeat; [`sent`](Self::sent) once the link has taken it.
    #[must_use]
    pub fn next(&self, membership: &Membership, digests: &Digests) -> Heartbeat {
        let members = self.members.iter().take(MEMBERS).filter_map(|id| membership.get(id)).cloned().collect();
        let digest = |topic: &Topic| digests.0.get(topic).map(|value| (topic.number(), value.clone()));
        let digests = self.digests.iter().filter_map(digest).collect();
        Heartbeat { members, digests, view: membership.view(), want_all: self.want_all }
    }

    /// The link took the last one that `next` gave.
    pub fn sent(&mut self) {
        let later = self.members.iter().nth(MEMBERS).cloned();
        self.members = later.map(|id| self.members.split_off(&id)).unwrap_or_default();
        self.digests.clear();
        self.want_all = false;
    }

    /// The other side's view came; asks for everything when it stays unequal.
    pub fn compare(&mut self, theirs: u64, mine: u64) {
        self.rest = self.rest.saturating_sub(1);
        self.unequal = if theirs == mine { 0 } else { self.unequal + 1 };
        if self.unequal < UNEQUAL || self.rest > 0 {
            return;
        }
        self.want_all = true;
        self.unequal = 0;
        self.rest = ASKING;
    }
}
