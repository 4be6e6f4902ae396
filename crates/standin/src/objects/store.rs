//! Objects with versions, and the log of their changes. No I/O.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Changes kept for watches unless compacted earlier.
const MAX_CHANGES: usize = 20_000;

/// An object, or one change of it: the value is null when it was deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// What it is found under.
    pub key: String,
    /// Store revision of its last change.
    pub version: u64,
    /// What it holds.
    pub value: Value,
}

/// Why a write did nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refused {
    /// Its version is another; 0: there is none.
    Version(u64),
    /// Nothing to delete.
    Missing,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: u64,
    objects: BTreeMap<String, (u64, Value)>,
    changes: VecDeque<Object>,
    /// Changes up to this revision are forgotten.
    compacted: u64,
}

impl Store {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn get(&self, key: &str) -> Option<Object> {
        let (version, value) = self.objects.get(key)?;
        Some(Object { key: key.into(), version: *version, value: value.clone() })
    }

    /// Up to `limit` objects under a prefix after a key, and whether there are more.
    pub(crate) fn list(&self, prefix: &str, after: &str, limit: usize) -> (Vec<Object>, bool) {
        let start = if after >= prefix && !after.is_empty() { Bound::Excluded(after) } else { Bound::Included(prefix) };
        let mut found = self
            .objects
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| Object { key: key.clone(), version: *version, value: value.clone() });
        let items = found.by_ref().take(limit).collect();
        (items, found.next().is_some())
    }

    pub(crate) fn create(&mut self, key: &str, value: Value) -> Result<u64, Refused> {
        match self.objects.get(key) {
            Some((version, _)) => Err(Refused::Version(*version)),
            None => Ok(self.put(key, value)),
        }
    }

    pub(crate) fn update(&mut self, key: &str, expected: u64, value: Value) -> Result<u64, Refused> {
        let version = self.version(key);
        if version == 0 || version != expected {
            return Err(Refused::Version(version));
        }
        Ok(self.put(key, value))
    }

    pub(crate) fn delete(&mut self, key: &str, expected: u64) -> Result<u64, Refused> {
        match self.version(key) {
            0 => Err(Refused::Missing),
            version if version != expected => Err(Refused::Version(version)),
            _ => {
                self.objects.remove(key);
                Ok(self.log(key, Value::Null))
            }
        }
    }

    pub(crate) fn put(&mut self, key: &str, value: Value) -> u64 {
        let version = self.log(key, value.clone());
        self.objects.insert(key.into(), (version, value));
        version
    }

    /// Changes under a prefix after a revision, or the oldest revision to ask from.
    pub(crate) fn changes(&self, prefix: &str, from: u64) -> Result<Vec<&Object>, u64> {
        if from < self.compacted {
            return Err(self.compacted);
        }
        let first = self.changes.partition_point(|change| change.version <= from);
        Ok(self.changes.range(first..).filter(|change| change.key.starts_with(prefix)).collect())
    }

    pub(crate) fn compact(&mut self, keep: usize) {
        while self.changes.len() > keep {
            self.compacted = self.changes.pop_front().map_or(self.compacted, |change| change.version);
        }
    }

    fn version(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |(version, _)| *version)
    }

    fn log(&mut self, key: &str, value: Value) -> u64 {
        self.revision += 1;
        self.changes.push_back(Object { key: key.into(), version: self.revision, value });
        self.compact(MAX_CHANGES);
        self.revision
    }
}
