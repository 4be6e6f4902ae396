//! The platform's list of instances, which may be outdated or wrong and so is
//! never authoritative.
//!
//! It is used for three things: to find names of instances that are not yet
//! members, to notice that this instance has to leave, and to confirm that a
//! silent member is gone. For a member that responds, only its own entry counts.

use std::collections::BTreeMap;

use world::{
    Millis,
    instance::{Id, Instance, State},
};

use super::{Membership, Reach};
use crate::member::Member;

/// Divisor of the suspicion timeout when another signal confirms the failure.
const AGREED: Millis = 2;

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The instance's name.
    pub name: Id,
    /// State of the instance according to the platform.
    pub state: Standing,
}

/// State of an instance according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The instance is meant to run.
    Live,
    /// The instance will be shut down.
    Leaving,
}

#[derive(Debug, Default)]
pub(super) struct List {
    /// `None` until the first list arrives.
    lines: Option<BTreeMap<Id, Standing>>,
}

impl Membership {
    /// Updates the platform's list.
    pub fn set_listed(&mut self, listed: Vec<Listed>) {
        let lines: BTreeMap<_, _> = listed.into_iter().map(|l| (l.name, l.state)).collect();
        let mine = &self.me.instance.id;
        let standing = |lines: &BTreeMap<Id, Standing>| lines.get(mine).copied();
        let before = self.list.lines.as_ref().and_then(standing);
        let after = standing(&lines);
        self.list.lines = Some(lines);
        self.changed();
        // Only a transition observed in this run counts: an outdated list may
        // still show the end of the previous run, and a newly started instance
        // would leave immediately.
        if before == Some(Standing::Live) && after == Some(Standing::Leaving) {
            self.leave();
        }
    }

    /// Returns those of the instances named by the object API that are not
    /// known, or only in an earlier run. The task dials them; they become
    /// members once they or a peer send their entry.
    #[must_use]
    pub fn strangers(&self, known: &[Instance]) -> Vec<Instance> {
        let strange = |i: &&Instance| match self.get(&i.id) {
            None => true,
            Some(member) => i.incarnation > member.instance.incarnation,
        };
        known.iter().filter(|i| i.state != State::Gone).filter(strange).cloned().collect()
    }

    /// Returns the names in the list that are not known as members.
    pub(super) fn unmet(&self) -> Vec<Id> {
        let lines = self.list.lines.iter().flatten();
        let live = lines.filter(|(_, standing)| **standing == Standing::Live);
        live.map(|(id, _)| id).filter(|id| self.get(id).is_none()).cloned().collect()
    }

    /// Returns how long a suspected member has before it is removed: half the
    /// suspicion timeout if another signal than its silence confirms the failure.
    pub(super) fn patience(&self, id: &Id) -> Millis {
        let unlisted = self.list.lines.as_ref().is_some_and(|lines| lines.get(id) != Some(&Standing::Live));
        let ended = self.others.get(id).is_some_and(|entry| entry.reach == Reach::NobodyThere);
        if unlisted || ended { self.timing.suspicion / AGREED } else { self.timing.suspicion }
    }

    /// Returns whether a greeting may be accepted: not if it is from an earlier
    /// run than the known one.
    #[must_use]
    pub fn admits(&self, member: &Member) -> bool {
        let known = self.get(&member.instance.id);
        known.is_none_or(|k| member.instance.incarnation >= k.instance.incarnation)
    }
}
