//! One instance as the protocol sees it, and the view of them all.

use std::collections::BTreeMap;

use world::{
    hash,
    instance::{Id, Incarnation, Instance, State},
};

/// What others hold against a member's own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Doubt {
    /// Nothing.
    None,
    /// Silent; still counted.
    Suspect,
    /// Silent for too long.
    Gone,
}

/// An instance's own word, and what is held against it.
///
/// The word (`instance`, `refutation`) has one author, the instance itself, so
/// the higher (incarnation, refutation) is always the newer. A doubt is about
/// one word and falls with the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its own word; `state` is live, leaving, or gone when it ended on purpose.
    pub instance: Instance,
    /// Raised by the instance with each new word.
    pub refutation: u32,
    /// What is held against this word.
    pub doubt: Doubt,
}

impl Member {
    /// The first word of a run.
    #[must_use]
    pub fn new(instance: Instance) -> Self {
        Self { instance, refutation: 0, doubt: Doubt::None }
    }

    /// Place of the word among all words of this name.
    #[must_use]
    pub fn age(&self) -> (Incarnation, u32) {
        (self.instance.incarnation, self.refutation)
    }

    /// The state that word and doubt make together.
    #[must_use]
    pub fn state(&self) -> State {
        match (self.instance.state, self.doubt) {
            (State::Gone, _) | (_, Doubt::Gone) => State::Gone,
            (State::Leaving, _) => State::Leaving,
            (_, Doubt::Suspect) => State::Suspect,
            (state, Doubt::None) => state,
        }
    }

    /// The instance with that state.
    #[must_use]
    pub fn shown(&self) -> Instance {
        Instance { state: self.state(), ..self.instance.clone() }
    }

    /// Whether it is counted: live, suspect or leaving.
    #[must_use]
    pub fn is_counted(&self) -> bool {
        self.state() != State::Gone
    }

    /// Part of the view's hash; a doubt short of `Gone` is left out, so that a
    /// suspicion alone makes no one ask for the whole view.
    pub(crate) fn print(&self) -> u64 {
        let name = hash::stable(self.instance.id.as_str().as_bytes());
        let word = [self.instance.incarnation.0, u64::from(self.refutation)];
        hash::rendezvous(name, &word.map(u64::to_le_bytes).concat())
    }
}

/// All instances as this one knows them; a new one with each change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Members {
    /// This instance.
    pub me: Instance,
    /// The others, those lately gone included.
    pub others: BTreeMap<Id, Instance>,
    /// Names in the platform's list that no peer has spoken of.
    pub unmet: Vec<Id>,
}

impl Members {
    /// Only this one.
    #[must_use]
    pub fn alone(me: Instance) -> Self {
        Self { me, others: BTreeMap::new(), unmet: Vec::new() }
    }

    /// This one and the others, those lately gone included, this one first.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        std::iter::once(&self.me).chain(self.others.values())
    }

    /// Those that take new work; a suspected one still does.
    pub fn live(&self) -> impl Iterator<Item = &Instance> {
        self.all().filter(|i| matches!(i.state, State::Live | State::Suspect))
    }

    /// One by name.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Instance> {
        if self.me.id == *id { Some(&self.me) } else { self.others.get(id) }
    }
}
