//! Endpoints whose registrations may have expired only because the store was unreachable.
//!
//! The store deletes a registration that its endpoint has not renewed, even if the
//! endpoint could not reach the store. An endpoint that is alive registers again
//! within seconds of the store's return; one that does not is gone. This instance then
//! removes it, which is no change in the store and has no revision there. So the removal
//! is sent with the next change to the instances that this one keeps synchronized.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::dispatcher::{era::REWRITE_TIME, synchronization::Change};

/// An endpoint that was missing in a listing after an outage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Lapse {
    /// Name of the endpoint.
    pub id: String,
    /// When the listing was read.
    pub since: Duration,
}

/// Lapsed endpoints that may still register again, and removals to announce.
#[derive(Debug, Default)]
pub(super) struct Lapses {
    waiting: Vec<Lapse>,
    removals: Vec<Change>,
}

impl Lapses {
    /// Returns whether any lapsed endpoint may still register again.
    pub fn has_lapses(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds a lapsed endpoint that may register again.
    pub fn add(&mut self, id: String, now: Duration) {
        if !self.waiting.iter().any(|lapse| lapse.id == id) {
            self.waiting.push(Lapse { id, since: now });
        }
    }

    /// Records that an endpoint has registered.
    ///
    /// Drops a pending removal of it as well: the instances that are synchronized from
    /// here would stop sending requests to an endpoint that is alive.
    pub fn record_registered(&mut self, id: &str) {
        self.waiting.retain(|lapse| lapse.id != id);
        self.removals.retain(|change| !matches!(change, Change::Gone(other) if other == id));
    }

    /// Takes out and returns the endpoints that did not register again in time.
    pub fn expire(&mut self, now: Duration) -> Vec<Lapse> {
        self.waiting.extract_if(.., |lapse| lapse.since + REWRITE_TIME <= now).collect()
    }

    /// Records that an endpoint was removed, for other instances.
    pub fn record_removed(&mut self, id: String) {
        self.removals.push(Change::Gone(id));
    }

    /// Takes the removals that other instances have to be notified of.
    pub fn take_removals(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.removals)
    }

    /// Drops the pending removals, because another instance now keeps this one synchronized
    /// and knows of later registrations.
    pub fn clear_removals(&mut self) {
        self.removals.clear();
    }
}
