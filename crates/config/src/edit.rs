//! Edits that operators submit, and the result of an accepted change.

use world::object::{Key, Object};

/// An operator's edit of one object.
#[derive(Debug, Clone, PartialEq)]
pub enum Edit {
    /// Creates or replaces the object.
    Put(Object, Expected),
    /// Deletes the object.
    Delete(Key, Expected),
}

/// Condition on the object's current state, checked before the edit is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// No condition.
    Any,
    /// The object does not exist.
    Absent,
    /// The object exists and was last changed in this generation.
    At(u64),
}

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// The generation that contains the change.
    pub generation: u64,
    /// False when the edits matched the current state, so that no generation was created.
    pub changed: bool,
}

impl Edit {
    /// Returns the key of the edited object.
    #[must_use]
    pub fn key(&self) -> Key {
        match self {
            Self::Put(object, _) => object.key(),
            Self::Delete(key, _) => key.clone(),
        }
    }

    pub(crate) fn expected(&self) -> Expected {
        match self {
            Self::Put(_, expected) | Self::Delete(_, expected) => *expected,
        }
    }

    /// Returns the object after the edit, or `None` for a deletion.
    pub(crate) fn object(&self) -> Option<&Object> {
        match self {
            Self::Put(object, _) => Some(object),
            Self::Delete(..) => None,
        }
    }
}
