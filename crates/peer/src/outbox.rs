//! Pending membership changes and digests of one link. Does no I/O.
//!
//! A link is reliable while it is open, so each change is sent on it once. A
//! new link starts with all entries and digests pending.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use world::instance::Id;

use crate::{member::Member, membership::Membership, topic::Topic};

/// Maximum number of members in one heartbeat; the rest is sent with the next.
const MAX_MEMBERS: usize = 64;
/// Consecutive heartbeats with a different view hash before the full view is
/// requested. Changes in transit explain one or two mismatches.
const MISMATCHES_BEFORE_REQUEST: u32 = 3;
/// Minimum number of heartbeats between two requests for the full view.
const REQUEST_INTERVAL_HEARTBEATS: u32 = 10;

/// Digests of this instance by topic.
#[derive(Debug, Default)]
pub struct Digests(BTreeMap<Topic, Bytes>);

impl Digests {
    /// Sets a digest and returns whether it changed.
    pub fn set(&mut self, topic: Topic, value: Bytes) -> bool {
        self.0.insert(topic, value.clone()) != Some(value)
    }
}

/// A heartbeat message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Membership entries that changed.
    pub members: Vec<Member>,
    /// Digests that changed, by topic number, including topics unknown to this build.
    pub digests: Vec<(u32, Bytes)>,
    /// Hash of the sender's view.
    pub view: u64,
    /// Requests all of the receiver's entries.
    pub want_all: bool,
}

/// Changes that are still to be sent on one link, and the comparison with the
/// peer's view.
#[derive(Debug, Default)]
pub struct Outbox {
    members: BTreeSet<Id>,
    digests: BTreeSet<Topic>,
    /// Consecutive heartbeats of the peer with a different view hash.
    mismatches: u32,
    /// Heartbeats until the full view may be requested again.
    cooldown: u32,
    want_all: bool,
}

impl Outbox {
    /// Creates the state of a new link, with everything pending.
    #[must_use]
    pub fn new(membership: &Membership, digests: &Digests) -> Self {
        let mut outbox = Self { digests: digests.0.keys().copied().collect(), ..Self::default() };
        outbox.add_all(membership);
        outbox
    }

    /// Adds a changed entry.
    pub fn add(&mut self, id: &Id) {
        self.members.insert(id.clone());
    }

    /// Adds all entries.
    pub fn add_all(&mut self, membership: &Membership) {
        let ids = membership.others().chain([membership.me()]).map(|m| m.instance.id.clone());
        self.members.extend(ids);
    }

    /// Adds a changed digest.
    pub fn add_digest(&mut self, topic: Topic) {
        self.digests.insert(topic);
    }

    /// Returns whether changes are pending, which are sent before the next
    /// regular heartbeat.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.members.is_empty() || !self.digests.is_empty()
    }

    /// Returns the next heartbeat. Call [`mark_sent`](Self::mark_sent) once it
    /// is in the link's queue.
    #[must_use]
    pub fn next_heartbeat(&self, membership: &Membership, digests: &Digests) -> Heartbeat {
        let members = self.members.iter().take(MAX_MEMBERS).filter_map(|id| membership.get(id)).cloned().collect();
        let digest = |topic: &Topic| digests.0.get(topic).map(|value| (topic.number(), value.clone()));
        let digests = self.digests.iter().filter_map(digest).collect();
        Heartbeat { members, digests, view: membership.view(), want_all: self.want_all }
    }

    /// Clears the changes contained in the heartbeat that `next_heartbeat`
    /// returned last.
    pub fn mark_sent(&mut self) {
        let later = self.members.iter().nth(MAX_MEMBERS).cloned();
        self.members = later.map(|id| self.members.split_off(&id)).unwrap_or_default();
        self.digests.clear();
        self.want_all = false;
    }

    /// Compares the peer's view hash with this instance's and requests all entries
    /// if they keep differing.
    pub fn compare_view(&mut self, theirs: u64, mine: u64) {
        self.cooldown = self.cooldown.saturating_sub(1);
        self.mismatches = if theirs == mine { 0 } else { self.mismatches + 1 };
        if self.mismatches < MISMATCHES_BEFORE_REQUEST || self.cooldown > 0 {
            return;
        }
        self.want_all = true;
        self.mismatches = 0;
        self.cooldown = REQUEST_INTERVAL_HEARTBEATS;
    }
}
