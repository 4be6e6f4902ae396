//! The platform's list of instances, which may be outdated or wrong and so is
//! never authoritative.
//!
//! It is used for three things: to find names of instances that are not yet
//! members, to detect that this instance has to leave, and to shorten the wait
//! before a silent member is removed. For a member that responds, only its own
//! entry counts.

use std::collections::BTreeMap;

use world::{
    Millis,
    instance::{Id, Instance, State},
};

use super::{Membership, Reachability};
use crate::member::Member;

/// Divisor of the suspicion timeout when another signal confirms the failure.
const CONFIRMED_DIVISOR: Millis = 2;

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The instance's name.
    pub name: Id,
    /// State of the instance according to the platform.
    pub state: ListedState,
}

/// State of an instance according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// The instance is meant to run.
    Live,
    /// The instance will be shut down.
    Leaving,
}

#[derive(Debug, Default)]
pub(super) struct List {
    /// `None` until the first list arrives.
    entries: Option<BTreeMap<Id, ListedState>>,
}

impl Membership {
    /// Sets the platform's current list.
    pub fn set_listed(&mut self, listed: Vec<Listed>) {
        let entries: BTreeMap<_, _> = listed.into_iter().map(|l| (l.name, l.state)).collect();
        let own_id = &self.me.instance.id;
        let own_state = |entries: &BTreeMap<Id, ListedState>| entries.get(own_id).copied();
        let before = self.list.entries.as_ref().and_then(own_state);
        let after = own_state(&entries);
        self.list.entries = Some(entries);
        self.bump_revision();
        // Only a transition observed in this run counts: an outdated list may
        // still show the end of the previous run, and a newly started instance
        // would leave immediately.
        if before == Some(ListedState::Live) && after == Some(ListedState::Leaving) {
            self.leave();
        }
    }

    /// Returns those of `named`, the instances that have entries in the platform's
    /// object API, that are unknown here or known only in an earlier run. The
    /// task dials them; they become members once they or a peer send their entry.
    #[must_use]
    pub fn undiscovered(&self, named: &[Instance]) -> Vec<Instance> {
        let is_unknown = |i: &&Instance| match self.get(&i.id) {
            None => true,
            Some(member) => i.incarnation > member.instance.incarnation,
        };
        named.iter().filter(|i| i.state != State::Gone).filter(is_unknown).cloned().collect()
    }

    /// Returns the names listed as live that are not known as members.
    pub(super) fn unknown_listed(&self) -> Vec<Id> {
        let entries = self.list.entries.iter().flatten();
        let live = entries.filter(|(_, state)| **state == ListedState::Live);
        live.map(|(id, _)| id).filter(|id| self.get(id).is_none()).cloned().collect()
    }

    /// Returns how long a suspected member has before it is removed: half the
    /// suspicion timeout if another signal than its silence confirms the failure.
    pub(super) fn removal_delay(&self, id: &Id) -> Millis {
        let unlisted = self.list.entries.as_ref().is_some_and(|entries| entries.get(id) != Some(&ListedState::Live));
        let refused = self.others.get(id).is_some_and(|entry| entry.reachability == Reachability::ConnectionRefused);
        if unlisted || refused { self.timing.suspicion / CONFIRMED_DIVISOR } else { self.timing.suspicion }
    }

    /// Returns whether a greeting may be accepted. One from an earlier run than
    /// the known one is not.
    #[must_use]
    pub fn accepts(&self, member: &Member) -> bool {
        let known = self.get(&member.instance.id);
        known.is_none_or(|k| member.instance.incarnation >= k.instance.incarnation)
    }
}
