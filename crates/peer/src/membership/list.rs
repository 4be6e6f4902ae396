//! The platform's list of instances: late, maybe wrong, and so never the truth.
//!
//! What is taken from it: names that nobody has met; that this instance itself
//! is to leave; and a second opinion about a member that is silent anyway. A
//! member that answers is judged by its own word alone.

use std::collections::BTreeMap;

use world::{
    Millis,
    instance::{Id, Instance, State},
};

use super::{Membership, Reach};
use crate::member::Member;

/// Part of the suspicion that is waited for when something else agrees with it.
const AGREED: Millis = 2;

/// One line of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The instance's name.
    pub name: Id,
    /// What the platform says of it.
    pub state: Standing,
}

/// What the platform says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

#[derive(Debug, Default)]
pub(super) struct List {
    /// Absent until the first list came.
    lines: Option<BTreeMap<Id, Standing>>,
}

impl Membership {
    /// Takes the platform's latest list.
    pub fn set_listed(&mut self, listed: Vec<Listed>) {
        let lines: BTreeMap<_, _> = listed.into_iter().map(|l| (l.name, l.state)).collect();
        let mine = &self.me.instance.id;
        let standing = |lines: &BTreeMap<Id, Standing>| lines.get(mine).copied();
        let before = self.list.lines.as_ref().and_then(standing);
        let after = standing(&lines);
        self.list.lines = Some(lines);
        self.changed();
        // Only a turn seen in this run counts: a late list may still show the
        // end of the run before, and a fresh instance would leave at once.
        if before == Some(Standing::Live) && after == Some(Standing::Leaving) {
            self.leave();
        }
    }

    /// Takes instances that the object API names. Unknown ones are not counted
    /// until a peer speaks of them; the task dials them.
    #[must_use]
    pub fn strangers(&self, known: &[Instance]) -> Vec<Instance> {
        let strange = |i: &&Instance| match self.get(&i.id) {
            None => true,
            Some(member) => i.incarnation > member.instance.incarnation,
        };
        known.iter().filter(|i| i.state != State::Gone).filter(strange).cloned().collect()
    }

    /// Names in the list that no peer has spoken of.
    pub(super) fn unmet(&self) -> Vec<Id> {
        let lines = self.list.lines.iter().flatten();
        let live = lines.filter(|(_, standing)| **standing == Standing::Live);
        live.map(|(id, _)| id).filter(|id| self.get(id).is_none()).cloned().collect()
    }

    /// How long the doubt about a member is waited with before it is removed:
    /// half when something else than silence says the same.
    pub(super) fn patience(&self, id: &Id) -> Millis {
        let unlisted = self.list.lines.as_ref().is_some_and(|lines| lines.get(id) != Some(&Standing::Live));
        let ended = self.others.get(id).is_some_and(|entry| entry.reach == Reach::NobodyThere);
        if unlisted || ended { self.timing.suspicion / AGREED } else { self.timing.suspicion }
    }

    /// Whether a greeting may be taken: an earlier run than the known one may not.
    #[must_use]
    pub fn admits(&self, member: &Member) -> bool {
        let known = self.get(&member.instance.id);
        known.is_none_or(|k| member.instance.incarnation >= k.instance.incarnation)
    }
}
