//! All objects of a generation with their last changes, and the transition to
//! the next generation.
//!
//! Pure functions without I/O.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use timeline::Stamp;
use world::{
    Catalog, Timestamp,
    object::{Key, Object},
};

use crate::{
    edit::{Edit, Expected},
    error::{Conflict, Error},
    record::{self, Action, Change, Snapshot},
};

/// Number of changes kept for peers that missed some; a peer that missed more gets a snapshot.
const MAX_RECENT_CHANGES: usize = 128;

/// Identifies a change: its generation, time and author.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Position of the change in the total order of changes.
    pub generation: u64,
    /// Time of the change, by the clock of the instance that made it.
    pub at: Timestamp,
    /// The operator who submitted the change.
    pub author: String,
    /// The instance that appended the change to the log.
    pub instance: String,
    /// The operator's own id of the change, used to find it again if the answer
    /// was lost; empty if none was given.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub change: String,
    /// Logical clock of that instance; effects of the change have later stamps.
    #[serde(default)]
    pub stamp: Stamp,
}

/// All objects of one generation.
#[derive(Debug, Clone, Default)]
pub(crate) struct State {
    catalog: Arc<Catalog>,
    entries: BTreeMap<Key, Entry>,
    recent: Vec<RecentChange>,
}

/// An object with its last change; a deleted object keeps its entry for the history.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) revision: Revision,
    pub(crate) object: Option<Object>,
}

/// A change in the encoding sent to peers.
#[derive(Debug, Clone)]
pub(crate) struct RecentChange {
    pub(crate) generation: u64,
    pub(crate) json: Bytes,
}

impl State {
    pub(crate) fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    pub(crate) fn generation(&self) -> u64 {
        self.catalog.generation()
    }

    /// Returns the stamp of the change that created this generation.
    pub(crate) fn stamp(&self) -> Option<Stamp> {
        let mut revisions = self.entries.values().map(|entry| &entry.revision);
        revisions.find(|revision| revision.generation == self.generation()).map(|revision| revision.stamp)
    }

    pub(crate) fn entry(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the changes after a generation, or `None` if some are no longer held.
    pub(crate) fn changes_after(&self, generation: u64) -> Option<&[RecentChange]> {
        let first = self.recent.first().map_or(self.generation() + 1, |recent| recent.generation);
        let skip = (generation + 1).checked_sub(first)?;
        let skip = usize::try_from(skip).unwrap_or(usize::MAX).min(self.recent.len());
        Some(&self.recent[skip..])
    }

    /// Builds the state that a snapshot describes.
    pub(crate) fn from_snapshot(snapshot: &Snapshot) -> Result<Self, Error> {
        let generation = snapshot.generation;
        let mut state = Self::default();
        for entry in &snapshot.entries {
            state.insert_entry(generation, &entry.action, &entry.revision)?;
        }
        state.build_catalog(generation)
    }

    /// Returns all entries as one snapshot without parts.
    pub(crate) fn to_snapshot(&self) -> Snapshot {
        Snapshot { generation: self.generation(), entries: self.snapshot_entries().collect(), parts: Vec::new() }
    }

    /// Returns the snapshot's entries after the first `skip`, and whether more follow.
    ///
    /// The entries have at most `bytes` bytes together, except that the first one is
    /// included whatever its size.
    pub(crate) fn snapshot_part(&self, skip: usize, bytes: usize) -> (Snapshot, bool) {
        let mut entries = Vec::new();
        let mut size = 0;
        for entry in self.snapshot_entries().skip(skip) {
            size += serde_json::to_vec(&entry).map_or(0, |json| json.len());
            if size > bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry);
        }
        let more = skip + entries.len() < self.entries.len();
        (Snapshot { generation: self.generation(), entries, parts: Vec::new() }, more)
    }

    fn snapshot_entries(&self) -> impl Iterator<Item = record::Entry> + '_ {
        self.entries.iter().map(|(key, entry)| {
            let action = action_of(key, entry.object.as_ref());
            record::Entry { revision: entry.revision.clone(), action }
        })
    }

    /// Returns the state after all changes that follow without a gap, or `None` if
    /// none does. The catalog is built once for all of them.
    pub(crate) fn with_changes(&self, changes: &[Change]) -> Result<Option<Self>, Error> {
        let mut next: Option<Self> = None;
        let mut generation = self.generation();
        for change in changes.iter().filter(|change| change.generation() > self.generation()) {
            if change.generation() != generation + 1 {
                break;
            }
            generation += 1;
            next.get_or_insert_with(|| self.clone()).append(change)?;
        }
        next.map(|state| state.build_catalog(generation)).transpose()
    }

    /// Removes the entries of objects deleted up to a generation.
    pub(crate) fn remove_deleted(&mut self, up_to: u64) {
        self.entries.retain(|_, entry| entry.object.is_some() || entry.revision.generation > up_to);
    }

    /// Checks an operator's edits against this state and returns the next change,
    /// or `None` if the state already matches all of them.
    pub(crate) fn propose(&self, edits: &[Edit], revision: Revision) -> Result<Option<Change>, Error> {
        let mut keys = std::collections::BTreeSet::new();
        let mut changed = Vec::new();
        for edit in edits {
            let key = edit.key();
            self.check_expected(&key, edit.expected())?;
            if self.object(&key) != edit.object() {
                let before = self.entry(&key).map_or(0, |entry| entry.revision.generation);
                changed.push(record::Edit { before, action: action_of(&key, edit.object()) });
            }
            if !keys.insert(key.clone()) {
                return Err(Error::DuplicateObject(key));
            }
        }
        if changed.is_empty() {
            return Ok(None);
        }
        let change = Change::new(revision, changed);
        // Builds the resulting state, as every observer will: a change that does
        // not build must not enter the log.
        self.with_changes(std::slice::from_ref(&change))?;
        Ok(Some(change))
    }

    fn object(&self, key: &Key) -> Option<&Object> {
        self.entry(key)?.object.as_ref()
    }

    fn check_expected(&self, key: &Key, expected: Expected) -> Result<(), Error> {
        let entry = self.entry(key);
        let exists = entry.is_some_and(|entry| entry.object.is_some());
        let satisfied = match expected {
            Expected::Any => true,
            Expected::Absent => !exists,
            Expected::At(generation) => exists && entry.is_some_and(|entry| entry.revision.generation == generation),
        };
        if satisfied {
            return Ok(());
        }
        let found = entry.map(|entry| entry.revision.clone());
        Err(Error::Conflict(Box::new(Conflict { object: key.clone(), expected, found, exists })))
    }

    fn append(&mut self, change: &Change) -> Result<(), Error> {
        for edit in &change.edits {
            self.insert_entry(change.generation(), &edit.action, &change.revision)?;
        }
        let json = serde_json::to_vec(change).map_err(|error| unreadable_error(change.generation(), &error))?;
        self.recent.push(RecentChange { generation: change.generation(), json: json.into() });
        let excess = self.recent.len().saturating_sub(MAX_RECENT_CHANGES);
        self.recent.drain(..excess);
        Ok(())
    }

    fn insert_entry(&mut self, generation: u64, action: &Action, revision: &Revision) -> Result<(), Error> {
        let (key, object) = match action {
            Action::Delete(key) => (key.clone(), None),
            Action::Put(value) => {
                let object = Object::from_json(value).map_err(|error| unreadable_error(generation, &error))?;
                (object.key(), Some(object))
            }
        };
        self.entries.insert(key, Entry { revision: revision.clone(), object });
        Ok(())
    }

    fn build_catalog(mut self, generation: u64) -> Result<Self, Error> {
        let objects = self.entries.values().filter_map(|entry| entry.object.clone());
        self.catalog = Arc::new(Catalog::build(generation, objects).map_err(Error::Invalid)?);
        Ok(self)
    }
}

fn action_of(key: &Key, object: Option<&Object>) -> Action {
    object.map_or_else(|| Action::Delete(key.clone()), |object| Action::Put(object.to_json()))
}

fn unreadable_error(generation: u64, error: &impl ToString) -> Error {
    Error::Unreadable { generation, message: error.to_string() }
}
