//! The log's entries as the platform keeps them, JSON.
//!
//! Specs stay JSON values here and are read into objects by
//! [`crate::state`], so that an entry which this build cannot read is refused
//! there with its generation.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use world::object::Key;

use crate::state::Revision;

/// One change: the value of `config/change/<generation>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// Which change, when and by whom.
    #[serde(flatten)]
    pub(crate) revision: Revision,
    /// What it changed.
    pub(crate) edits: Vec<Edit>,
}

/// One object's change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Edit {
    /// Generation of the object's change before, 0 for none: the history is
    /// walked along these, one read a step, and needs no index.
    pub(crate) before: u64,
    /// What it did.
    #[serde(flatten)]
    pub(crate) action: Action,
}

/// What an edit did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    /// The object now standing there.
    Put(Value),
    /// Nothing stands there now.
    Delete(Key),
}

/// All objects of one generation: the value of `config/snapshot/<generation>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// The generation.
    pub(crate) generation: u64,
    /// Its objects, and the deleted ones that the history still knows.
    pub(crate) entries: Vec<Entry>,
    /// Keys of the values that hold further entries.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) parts: Vec<String>,
}

/// One object of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// Its last change.
    pub(crate) revision: Revision,
    /// What that left.
    #[serde(flatten)]
    pub(crate) action: Action,
}

impl Change {
    pub(crate) fn new(revision: Revision, edits: Vec<Edit>) -> Self {
        Self { revision, edits }
    }

    pub(crate) fn generation(&self) -> u64 {
        self.revision.generation
    }
}

impl Action {
    /// The object's key; nothing when the value is no object.
    pub(crate) fn key(&self) -> Option<Key> {
        match self {
            Self::Delete(key) => Some(key.clone()),
            Self::Put(value) => {
                let kind = value.get("kind")?.as_str()?.parse().ok()?;
                Some(Key { kind, name: value.get("name")?.as_str()?.into() })
            }
        }
    }
}
