//! Times until which something holds for starts of endpoints.
//!
//! Kept apart from the registrations: one that expires while the store is away, and comes back
//! with it, is no new start.

use std::{collections::HashMap, time::Duration};

/// Deadlines by the hashes of endpoints' starts.
#[derive(Debug, Default)]
pub(super) struct Deadlines(HashMap<u32, Duration>);

impl Deadlines {
    /// Returns the deadline of a start; zero if it has none.
    pub fn get(&self, start: u32) -> Duration {
        self.0.get(&start).copied().unwrap_or_default()
    }

    /// Extends the deadline of a start, unless a later one is known. Returns the deadline in
    /// force, and whether none was before.
    pub fn extend(&mut self, start: u32, until: Duration, now: Duration) -> (Duration, bool) {
        self.0.retain(|_, deadline| now < *deadline);
        let known = self.0.insert(start, until.max(self.get(start)));
        (self.get(start), known.is_none())
    }
}
