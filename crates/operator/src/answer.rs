//! What became of a change, and what is stored.

use serde::Serialize;
use world::{
    Timestamp,
    object::{Key, Object},
};

use crate::{
    Malformed,
    edit::{decode, encode},
    wire,
};

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Done.
    Applied(Applied),
    /// Nothing was done: another change was faster.
    Conflict(Conflict),
    /// Nothing was done: the objects would not fit.
    Refused(Vec<Fault>),
    /// It may have been done.
    Unknown {
        /// What is known.
        message: String,
    },
}

/// A change that was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// The generation it made; the one in force when nothing changed.
    pub generation: u64,
    /// The objects it changed.
    pub changed: Vec<Key>,
}

/// The change that was faster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Conflict {
    /// The object both changed.
    pub object: Key,
    /// Generation that was read.
    pub expected: u64,
    /// Generation of the other change; 0 when the object is gone.
    pub found: u64,
    /// Who made the other change.
    pub author: String,
    /// When.
    pub at: Timestamp,
}

/// What is wrong with an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Which object.
    pub object: Key,
    /// What is wrong and what to write.
    pub message: String,
}

/// An object with the generation of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Stored {
    /// The object.
    pub object: Object,
    /// Generation of its last change.
    pub generation: u64,
}

/// One change of an object's history.
#[derive(Debug, Clone, PartialEq)]
pub struct Revision {
    /// The generation it made.
    pub generation: u64,
    /// The change's id.
    pub change: String,
    /// Who changed.
    pub author: String,
    /// When.
    pub at: Timestamp,
    /// The object after it; nothing when it was deleted.
    pub object: Option<Object>,
}

impl From<&Outcome> for wire::ApplyReply {
    fn from(outcome: &Outcome) -> Self {
        use wire::apply_reply::Outcome as Wire;
        let outcome = match outcome {
            Outcome::Applied(applied) => Wire::Applied(wire::Applied {
                generation: applied.generation,
                changed: applied.changed.iter().map(Into::into).collect(),
            }),
            Outcome::Conflict(conflict) => Wire::Conflict(wire::Conflict {
                object: Some((&conflict.object).into()),
                expected: conflict.expected,
                found: conflict.found,
                author: conflict.author.clone(),
                at_ms: conflict.at.0,
            }),
            Outcome::Refused(faults) => {
                Wire::Refused(wire::Refused { faults: faults.iter().map(Into::into).collect() })
            }
            Outcome::Unknown { message } => Wire::Unknown(wire::Unknown { message: message.clone() }),
        };
        Self { outcome: Some(outcome) }
    }
}

impl TryFrom<wire::ApplyReply> for Outcome {
    type Error = Malformed;

    fn try_from(reply: wire::ApplyReply) -> Result<Self, Malformed> {
        use wire::apply_reply::Outcome as Wire;
        Ok(match reply.outcome.ok_or_else(|| Malformed::missing("outcome"))? {
            Wire::Applied(applied) => {
                Self::Applied(Applied { generation: applied.generation, changed: keys(applied.changed)? })
            }
            Wire::Conflict(conflict) => Self::Conflict(Conflict {
                object: conflict.object.ok_or_else(|| Malformed::missing("object"))?.try_into()?,
                expected: conflict.expected,
                found: conflict.found,
                author: conflict.author,
                at: Timestamp(conflict.at_ms),
            }),
            Wire::Refused(refused) => Self::Refused(faults(refused.faults)?),
            Wire::Unknown(unknown) => Self::Unknown { message: unknown.message },
        })
    }
}

impl From<&Fault> for wire::Fault {
    fn from(fault: &Fault) -> Self {
        Self { object: Some((&fault.object).into()), message: fault.message.clone() }
    }
}

impl TryFrom<wire::Fault> for Fault {
    type Error = Malformed;

    fn try_from(fault: wire::Fault) -> Result<Self, Malformed> {
        let object = fault.object.ok_or_else(|| Malformed::missing("object"))?.try_into()?;
        Ok(Self { object, message: fault.message })
    }
}

impl From<&Stored> for wire::Stored {
    fn from(stored: &Stored) -> Self {
        Self { object: encode(&stored.object), generation: stored.generation }
    }
}

impl TryFrom<wire::Stored> for Stored {
    type Error = Malformed;

    fn try_from(stored: wire::Stored) -> Result<Self, Malformed> {
        Ok(Self { object: decode(&stored.object)?, generation: stored.generation })
    }
}

impl From<&Revision> for wire::Revision {
    fn from(revision: &Revision) -> Self {
        Self {
            generation: revision.generation,
            change: revision.change.clone(),
            author: revision.author.clone(),
            at_ms: revision.at.0,
            object: revision.object.as_ref().map(encode),
        }
    }
}

impl TryFrom<wire::Revision> for Revision {
    type Error = Malformed;

    fn try_from(revision: wire::Revision) -> Result<Self, Malformed> {
        Ok(Self {
            generation: revision.generation,
            change: revision.change,
            author: revision.author,
            at: Timestamp(revision.at_ms),
            object: revision.object.as_deref().map(decode).transpose()?,
        })
    }
}

pub(crate) fn keys(keys: Vec<wire::ObjectKey>) -> Result<Vec<Key>, Malformed> {
    keys.into_iter().map(Key::try_from).collect()
}

pub(crate) fn faults(faults: Vec<wire::Fault>) -> Result<Vec<Fault>, Malformed> {
    faults.into_iter().map(Fault::try_from).collect()
}
