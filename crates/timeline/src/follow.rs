//! Records of many instances in one causal order while they arrive.
//!
//! A record may be shown once no instance can still send an earlier one. Each
//! source tells its clock with every answer, and every later record of it has
//! a later stamp; so the least of the sources' clocks bounds what is safe.

use std::collections::BTreeMap;

use world::instance;

use crate::{Record, Source, Stamp};

/// Merges streams of records.
#[derive(Debug, Default)]
pub struct Follow {
    clocks: BTreeMap<instance::Id, Stamp>,
    held: BTreeMap<Place, Record>,
    shown: Stamp,
}

type Place = (Stamp, Source, u64);

impl Follow {
    /// Follows an instance from now on; nothing is shown until it has told
    /// its clock.
    pub fn add(&mut self, instance: instance::Id) {
        self.clocks.entry(instance).or_default();
    }

    /// Waits for an instance no longer.
    pub fn remove(&mut self, instance: &instance::Id) {
        self.clocks.remove(instance);
    }

    /// Whether an instance is followed.
    #[must_use]
    pub fn follows(&self, instance: &instance::Id) -> bool {
        self.clocks.contains_key(instance)
    }

    /// Takes in an instance's records and its clock.
    pub fn push(&mut self, instance: &instance::Id, records: Vec<Record>, now: Stamp) {
        for record in records {
            self.held.insert((record.at, record.source.clone(), record.number), record);
        }
        if let Some(clock) = self.clocks.get_mut(instance) {
            *clock = now.max(*clock);
        }
    }

    /// Records that nothing earlier can follow any more, in order. A record
    /// of an instance that was added late may be earlier than one already
    /// shown; it is marked so.
    pub fn ready(&mut self) -> Vec<Shown> {
        let safe = self.clocks.values().min().copied().unwrap_or(Stamp(u64::MAX));
        let mut ready = Vec::new();
        while let Some(entry) = self.held.first_entry()
            && entry.key().0 <= safe
        {
            let record = entry.remove();
            let late = record.at < self.shown;
            self.shown = self.shown.max(record.at);
            ready.push(Shown { record, late });
        }
        ready
    }
}

/// A record to show.
#[derive(Debug, Clone, PartialEq)]
pub struct Shown {
    /// The record.
    pub record: Record,
    /// Its place was before a record already shown.
    pub late: bool,
}
