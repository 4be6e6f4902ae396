//! What operators do with a roll-out, as the object it leaves behind.
//!
//! Each action reads a catalog and gives the object to apply on the condition
//! that the old one is still in place; whoever lost a race reads again. The
//! action decides nothing that the coordinator could not undo or carry on.

use std::fmt;

use world::{
    Catalog,
    model::{Number, Version},
    object::Object,
    rollout::{self, Rollout, State},
};

/// What an operator does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Begins a roll-out.
    Start {
        /// The new version.
        version: Version,
        /// The version it replaces.
        predecessor: Number,
    },
    /// Keeps its sessions and takes no new ones.
    Pause,
    /// Goes on where it was paused.
    Resume,
    /// Replaces the predecessor at once.
    Promote,
    /// Stops it for good.
    Withdraw {
        /// Why, for people.
        reason: String,
    },
}

impl Action {
    /// The action as the command line spells it.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Pause => "pause",
            Self::Resume => "resume",
            Self::Promote => "promote",
            Self::Withdraw { .. } => "withdraw",
        }
    }
}

/// Why an action is refused; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// There is no such roll-out.
    Missing(rollout::Id),
    /// There is one of this name already.
    Exists(rollout::Id),
    /// Another roll-out of the same version or its predecessor is under way.
    Busy(rollout::Id),
    /// It does not stand where the action needs it.
    State {
        /// The roll-out.
        rollout: rollout::Id,
        /// The action.
        action: &'static str,
        /// Where it stands.
        state: State,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(id) => write!(f, "no roll-out `{id}`; `get rollout` lists them, `rollout start` begins one"),
            Self::Exists(id) => write!(f, "roll-out `{id}` exists; choose another name, or delete it if it has ended"),
            Self::Busy(id) => write!(f, "roll-out `{id}` of the same tier is under way; end it first"),
            Self::State { rollout, action, state } => {
                let remedy = match state {
                    State::Withdrawn => "a withdrawn version never comes back; roll out a new one",
                    State::Promoted => "it has ended; withdraw it or roll out the next version",
                    State::Paused => "resume or withdraw it",
                    State::Loading | State::Exposing => "pause it first, or leave it running",
                };
                write!(f, "cannot {action} roll-out `{rollout}`, it is {state:?}; {remedy}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// The object that an action leaves behind.
///
/// # Errors
///
/// [`Error`] when the roll-out does not stand where the action needs it.
pub fn act(catalog: &Catalog, id: &rollout::Id, action: &Action) -> Result<Object, Error> {
    let next = match action {
        Action::Start { version, predecessor } => start(catalog, id, version, predecessor)?,
        Action::Pause | Action::Resume | Action::Promote | Action::Withdraw { .. } => change(catalog, id, action)?,
    };
    Ok(Object::Rollout(id.clone(), next))
}

fn start(catalog: &Catalog, id: &rollout::Id, version: &Version, predecessor: &Number) -> Result<Rollout, Error> {
    if catalog.rollouts().contains_key(id) {
        return Err(Error::Exists(id.clone()));
    }
    // Two roll-outs that expose against one predecessor would split its
    // control group, and a bad one would spoil the other's comparison.
    let rival = catalog.rollouts().iter().find(|(_, other)| {
        let running = matches!(other.state, State::Loading | State::Exposing | State::Paused);
        let related = other.predecessor == *predecessor
            || other.version.number == *predecessor
            || other.version.number == version.number;
        running && other.version.model == version.model && related
    });
    if let Some((other, _)) = rival {
        return Err(Error::Busy(other.clone()));
    }
    Ok(Rollout::new(version.clone(), predecessor.clone()))
}

fn change(catalog: &Catalog, id: &rollout::Id, action: &Action) -> Result<Rollout, Error> {
    let old = catalog.rollouts().get(id).ok_or_else(|| Error::Missing(id.clone()))?;
    let refused = || Error::State { rollout: id.clone(), action: action.as_str(), state: old.state };
    let (state, reason) = match (action, old.state) {
        (Action::Pause, State::Loading | State::Exposing) => (State::Paused, "paused by an operator".into()),
        // Back through Loading: endpoints may have been replaced meanwhile.
        (Action::Resume, State::Paused) => (State::Loading, "resumed by an operator".into()),
        (Action::Promote, State::Exposing | State::Paused) => (State::Promoted, "promoted by an operator".into()),
        (Action::Withdraw { reason }, State::Loading | State::Exposing | State::Paused | State::Promoted) => {
            (State::Withdrawn, reason.clone())
        }
        _ => return Err(refused()),
    };
    Ok(Rollout { state, reason: Some(reason), ..old.clone() })
}
