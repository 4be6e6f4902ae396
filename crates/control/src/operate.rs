//! Operators' actions on a roll-out, computed as the resulting object.
//!
//! Each action reads a catalog and returns the object, which is to be applied
//! on the condition that the old one is unchanged; on a conflict the caller
//! reads again. No action takes a decision that the coordinator could not undo
//! or continue from.

use std::fmt;

use world::{
    Catalog,
    model::{Number, Version},
    object::Object,
    rollout::{self, Rollout, State},
};

/// An operator's action on a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Starts a roll-out.
    Start {
        /// The new version.
        version: Version,
        /// The version it replaces.
        predecessor: Number,
    },
    /// Keeps the version's sessions and gives it no new ones.
    Pause,
    /// Continues a paused roll-out.
    Resume,
    /// Replaces the predecessor at once.
    Promote,
    /// Withdraws the version permanently.
    Withdraw {
        /// Reason, shown to operators.
        reason: String,
    },
}

impl Action {
    /// Returns the action's name on the command line.
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

/// Reason for refusing an action; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The roll-out does not exist.
    Missing(rollout::Id),
    /// A roll-out of this name exists already.
    Exists(rollout::Id),
    /// Another roll-out of the same version or its predecessor is in progress.
    Busy(rollout::Id),
    /// The roll-out is in a state that does not allow the action.
    State {
        /// The roll-out.
        rollout: rollout::Id,
        /// The action.
        action: &'static str,
        /// The roll-out's state.
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

/// Returns the object that results from an action.
///
/// # Errors
///
/// [`Error`] if the roll-out's state does not allow the action.
pub fn resulting_object(catalog: &Catalog, id: &rollout::Id, action: &Action) -> Result<Object, Error> {
    let next = match action {
        Action::Start { version, predecessor } => start(catalog, id, version, predecessor)?,
        Action::Pause | Action::Resume | Action::Promote | Action::Withdraw { .. } => change(catalog, id, action)?,
    };
    Ok(Object::Rollout(id.clone(), next))
}

/// Returns the new roll-out, if its name and tier are free.
fn start(catalog: &Catalog, id: &rollout::Id, version: &Version, predecessor: &Number) -> Result<Rollout, Error> {
    if catalog.rollouts().contains_key(id) {
        return Err(Error::Exists(id.clone()));
    }
    // Two roll-outs with the same predecessor would split its control group,
    // and a bad one would distort the other's comparison.
    let conflicting = catalog.rollouts().iter().find(|(_, other)| {
        let running = matches!(other.state, State::Loading | State::Exposing | State::Paused);
        let related = other.predecessor == *predecessor
            || other.version.number == *predecessor
            || other.version.number == version.number;
        running && other.version.model == version.model && related
    });
    if let Some((other, _)) = conflicting {
        return Err(Error::Busy(other.clone()));
    }
    Ok(Rollout::new(version.clone(), predecessor.clone()))
}

/// Returns the existing roll-out in its new state.
fn change(catalog: &Catalog, id: &rollout::Id, action: &Action) -> Result<Rollout, Error> {
    let old = catalog.rollouts().get(id).ok_or_else(|| Error::Missing(id.clone()))?;
    let refused = || Error::State { rollout: id.clone(), action: action.as_str(), state: old.state };
    let (state, reason) = match (action, old.state) {
        (Action::Pause, State::Loading | State::Exposing) => (State::Paused, "paused by an operator".into()),
        // Resumes with `Loading`, since endpoints may have been replaced meanwhile.
        (Action::Resume, State::Paused) => (State::Loading, "resumed by an operator".into()),
        (Action::Promote, State::Exposing | State::Paused) => (State::Promoted, "promoted by an operator".into()),
        (Action::Withdraw { reason }, State::Loading | State::Exposing | State::Paused | State::Promoted) => {
            (State::Withdrawn, reason.clone())
        }
        _ => return Err(refused()),
    };
    Ok(Rollout { state, reason: Some(reason), ..old.clone() })
}
