//! The JSON records of the log as the platform stores them.
//!
//! Object specs stay JSON values here. [`crate::state`] decodes them into objects,
//! so that an entry which this build cannot decode is reported with its generation.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use world::object::Key;

use crate::state::Revision;

/// One change: the value of `config/change/<generation>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// Generation, time and author of the change.
    #[serde(flatten)]
    pub(crate) revision: Revision,
    /// The edits that the change consists of.
    pub(crate) edits: Vec<Edit>,
}

/// The change of one object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Edit {
    /// Generation of the object's previous change, 0 for none. The history follows
    /// these links with one read per step and needs no index.
    pub(crate) before: u64,
    /// The new state of the object.
    #[serde(flatten)]
    pub(crate) action: Action,
}

/// The state of an object after an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    /// The object exists with this value.
    Put(Value),
    /// The object is deleted.
    Delete(Key),
}

/// All objects of one generation: the value of `config/snapshot/<generation>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// The generation that the snapshot describes.
    pub(crate) generation: u64,
    /// Its objects, including deleted ones whose history is still kept.
    pub(crate) entries: Vec<Entry>,
    /// Keys of the values that hold further entries.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) parts: Vec<String>,
}

/// One object of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// The object's last change.
    pub(crate) revision: Revision,
    /// State of the object after that change.
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
    /// Returns the object's key, or `None` if the value is not an object.
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
