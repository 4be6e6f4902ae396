//! What operators ask for, and what they get.

use world::object::{Key, Object};

/// One object's change.
#[derive(Debug, Clone, PartialEq)]
pub enum Edit {
    /// Creates or replaces.
    Put(Object, Expected),
    /// Deletes.
    Delete(Key, Expected),
}

/// What the operator believes to stand there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// Whatever it is.
    Any,
    /// Nothing.
    Absent,
    /// The object as this generation left it.
    At(u64),
}

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// The generation that holds it.
    pub generation: u64,
    /// False when everything stood there already; no generation was made.
    pub changed: bool,
}

impl Edit {
    /// The object's key.
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

    /// What the edit leaves there.
    pub(crate) fn object(&self) -> Option<&Object> {
        match self {
            Self::Put(object, _) => Some(object),
            Self::Delete(..) => None,
        }
    }
}
