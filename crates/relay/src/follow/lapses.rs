//! Endpoints that may only have lapsed while the store was away.
//!
//! The store forgets an endpoint that it has not heard from, also when it was
//! the store that could not be reached. One that lives registers again within
//! seconds of the store's return; one that does not is gone, and since no
//! revision of the store stands for that moment, the instances that are kept in
//! step have to be told of it with the next change.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::desk::track::Change;

/// Time that endpoints which lapsed during an outage take to register again.
pub(super) const RETURN: Duration = Duration::from_millis(2_300);

/// An endpoint that a listing lacked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Lapse {
    /// The endpoint.
    pub id: String,
    /// When the listing was read.
    pub since: Duration,
}

/// Endpoints waited for, and those given up that others do not know of yet.
#[derive(Debug, Default)]
pub(super) struct Lapses {
    waiting: Vec<Lapse>,
    untold: Vec<Change>,
}

impl Lapses {
    /// Whether any endpoint is waited for.
    pub fn waits(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Waits for an endpoint to register again.
    pub fn lapse(&mut self, id: String, now: Duration) {
        if !self.waiting.iter().any(|lapse| lapse.id == id) {
            self.waiting.push(Lapse { id, since: now });
        }
    }

    /// Notes that an endpoint has registered.
    ///
    /// It may have been given up before: told of as gone now, a living endpoint
    /// would get no more work from the instances that hear of it from here.
    pub fn back(&mut self, id: &str) {
        self.waiting.retain(|lapse| lapse.id != id);
        self.untold.retain(|change| !matches!(change, Change::Gone(other) if other == id));
    }

    /// Those that were waited for long enough; they are waited for no more.
    pub fn expire(&mut self, now: Duration) -> Vec<Lapse> {
        self.waiting.extract_if(.., |lapse| lapse.since + RETURN <= now).collect()
    }

    /// Notes that an endpoint was given up.
    pub fn gone(&mut self, id: String) {
        self.untold.push(Change::Gone(id));
    }

    /// What others have to be told.
    pub fn tell(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.untold)
    }

    /// Leaves the telling to another instance, which keeps this one in step and
    /// knows of later registrations than this one does.
    pub fn leave(&mut self) {
        self.untold.clear();
    }
}
