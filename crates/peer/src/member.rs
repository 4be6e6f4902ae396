//! The membership entry of one instance, and the public view of all members.

use std::collections::BTreeMap;

use world::{
    hash,
    instance::{Id, Incarnation, Instance, State},
};

/// Suspicion that other instances raise against a member's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Doubt {
    /// No suspicion.
    None,
    /// Suspected to be unreachable, but still a member.
    Suspect,
    /// Removed because the suspicion was not refuted in time.
    Gone,
}

/// Entry that an instance publishes about itself, and the doubt raised against it.
///
/// Only the instance itself writes `instance` and `refutation`, so the entry
/// with the higher (incarnation, refutation) is always the newer one. A doubt
/// applies to one version of the entry and is cleared by the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The instance as it describes itself; `state` is live, leaving, or gone
    /// after a deliberate shutdown.
    pub instance: Instance,
    /// Incremented by the instance with each new version of its entry.
    pub refutation: u32,
    /// Doubt raised against this version of the entry.
    pub doubt: Doubt,
}

impl Member {
    /// Creates the first entry of a run.
    #[must_use]
    pub fn new(instance: Instance) -> Self {
        Self { instance, refutation: 0, doubt: Doubt::None }
    }

    /// Returns the version of the entry, which orders all entries of this name.
    #[must_use]
    pub fn version(&self) -> (Incarnation, u32) {
        (self.instance.incarnation, self.refutation)
    }

    /// Returns the state that results from the instance's own state and the doubt.
    #[must_use]
    pub fn state(&self) -> State {
        match (self.instance.state, self.doubt) {
            (State::Gone, _) | (_, Doubt::Gone) => State::Gone,
            (State::Leaving, _) => State::Leaving,
            (_, Doubt::Suspect) => State::Suspect,
            (state, Doubt::None) => state,
        }
    }

    /// Returns the instance with its `state` set to [`state`](Self::state).
    #[must_use]
    pub fn to_instance(&self) -> Instance {
        Instance { state: self.state(), ..self.instance.clone() }
    }

    /// Returns whether this is a current member: live, suspect or leaving.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.state() != State::Gone
    }

    /// Returns this entry's contribution to the hash of the view. A mere
    /// suspicion does not change it, so that no peer requests a full view
    /// because of one.
    pub(crate) fn view_hash(&self) -> u64 {
        let name = hash::stable(self.instance.id.as_str().as_bytes());
        let version = [self.instance.incarnation.0, u64::from(self.refutation)];
        hash::rendezvous(name, &version.map(u64::to_le_bytes).concat())
    }
}

/// Snapshot of all instances known to this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Members {
    /// This instance.
    pub me: Instance,
    /// The other instances, including those recently gone.
    pub others: BTreeMap<Id, Instance>,
    /// Names listed as live by the platform that are not yet known as members.
    pub unknown_listed: Vec<Id>,
}

impl Members {
    /// Creates a view that holds only this instance.
    #[must_use]
    pub fn alone(me: Instance) -> Self {
        Self { me, others: BTreeMap::new(), unknown_listed: Vec::new() }
    }

    /// Iterates over this instance, then the others including those recently gone.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        std::iter::once(&self.me).chain(self.others.values())
    }

    /// Iterates over the instances that take new work, including suspected ones.
    pub fn live(&self) -> impl Iterator<Item = &Instance> {
        self.all().filter(|i| matches!(i.state, State::Live | State::Suspect))
    }

    /// Returns the instance with this name.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Instance> {
        if self.me.id == *id { Some(&self.me) } else { self.others.get(id) }
    }
}
