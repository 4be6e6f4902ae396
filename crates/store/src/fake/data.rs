//! Objects of the fake store and their history.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::{
    Member,
    api::{Answer, Call, Object},
};

/// Objects, and all changes since the last compaction.
#[derive(Debug, Default)]
pub(super) struct Data {
    version: u64,
    objects: BTreeMap<String, (u64, Bytes)>,
    history: Vec<Object>,
    /// Version up to which changes were discarded.
    compacted: u64,
}

impl Data {
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn history(&self) -> &[Object] {
        &self.history
    }

    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.version;
    }

    pub(super) fn apply(&mut self, call: &Call, instances: &[Member]) -> Answer {
        match call {
            Call::Get { key } => self.get(key),
            Call::Create { key, value } => match self.objects.get(key) {
                Some((version, _)) => Answer::Conflict(*version),
                None => self.put(key, Some(value.clone())),
            },
            Call::Update { key, version, value } => match self.objects.get(key) {
                Some((present, _)) if present == version => self.put(key, Some(value.clone())),
                present => Answer::Conflict(present.map_or(0, |(present, _)| *present)),
            },
            Call::Delete { key, version } => match self.objects.get(key) {
                Some((present, _)) if present == version => self.put(key, None),
                Some((present, _)) => Answer::Conflict(*present),
                None => Answer::Absent,
            },
            Call::List { prefix, after, limit, keys_only } => {
                let (mut objects, more) = self.list(prefix, after, *limit);
                if *keys_only {
                    for object in &mut objects {
                        object.value = None;
                    }
                }
                Answer::Listed { version: self.version, objects, more }
            }
            Call::Watch { prefix, from, .. } => self.changes(prefix, *from, 0),
            Call::Instances => Answer::Instances(instances.to_vec()),
        }
    }

    pub(super) fn list(&self, prefix: &str, after: &str, limit: usize) -> (Vec<Object>, bool) {
        let above = |key: &str| key > after && key.starts_with(prefix);
        let mut found = self.objects.iter().filter(|(key, _)| above(key));
        let objects: Vec<_> = found
            .by_ref()
            .take(limit)
            .map(|(key, (version, value))| object(key, *version, Some(value.clone())))
            .collect();
        (objects, found.next().is_some())
    }

    /// Returns the changes after `from` as a replica shows them that is `stale_by` versions
    /// behind.
    pub(super) fn changes(&self, prefix: &str, from: u64, stale_by: u64) -> Answer {
        if from < self.compacted {
            return Answer::Compacted { oldest: self.compacted };
        }
        let known = self.version.saturating_sub(stale_by);
        let wanted = |o: &&Object| o.version > from && o.version <= known && o.key.starts_with(prefix);
        Answer::Changed { version: known, changes: self.history.iter().filter(wanted).cloned().collect() }
    }

    fn get(&self, key: &str) -> Answer {
        match self.objects.get(key) {
            Some((version, value)) => Answer::Found(object(key, *version, Some(value.clone()))),
            None => Answer::Absent,
        }
    }

    fn put(&mut self, key: &str, value: Option<Bytes>) -> Answer {
        self.version += 1;
        self.history.push(object(key, self.version, value.clone()));
        match value {
            Some(value) => drop(self.objects.insert(key.into(), (self.version, value))),
            None => drop(self.objects.remove(key)),
        }
        Answer::Written(self.version)
    }
}

fn object(key: &str, version: u64, value: Option<Bytes>) -> Object {
    Object { key: key.into(), version, value }
}
