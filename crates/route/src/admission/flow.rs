//! One customer's waiting requests.

use std::collections::BTreeSet;

use world::{Millis, Timestamp};

use super::{Key, Ticket};

/// Time in which past use fades to about a third.
const USE_MS: f64 = 5_000.0;

#[derive(Debug, Default)]
pub(super) struct Flow {
    weight: u32,
    start: f64,
    used_ms: f64,
    used_at: Timestamp,
    by_deadline: BTreeSet<(Timestamp, Key)>,
}

impl Flow {
    pub fn push(&mut self, key: Key, ticket: &Ticket<'_>, virtual_time: f64) {
        self.weight = ticket.weight.max(1);
        // A customer that was idle starts at the present: it neither saves up
        // turns for a later burst nor pays for turns nobody else wanted.
        if self.by_deadline.is_empty() {
            self.start = self.start.max(virtual_time);
        }
        self.by_deadline.insert((ticket.deadline, key));
    }

    /// The request of the earliest deadline that `fits`.
    pub fn first(&self, fits: impl Fn(&Key) -> bool) -> Option<Key> {
        self.by_deadline.iter().map(|(_, key)| *key).find(fits)
    }

    pub fn remove(&mut self, key: Key, deadline: Timestamp) {
        self.by_deadline.remove(&(deadline, key));
    }

    /// Moves the flow's next turn on by the work just taken.
    #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 milliseconds")]
    pub fn charge(&mut self, run_ms: Millis, from: f64, now: Timestamp) {
        let run_ms = run_ms.max(1) as f64;
        self.start = from + run_ms / f64::from(self.weight.max(1));
        self.used_ms = self.used(now) + run_ms;
        self.used_at = now;
    }

    /// Work given to it of late, in milliseconds; fades.
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 milliseconds")]
    pub fn used(&self, now: Timestamp) -> f64 {
        self.used_ms * (-(now.since(self.used_at) as f64) / USE_MS).exp()
    }

    /// Virtual time of its next turn.
    pub fn start(&self) -> f64 {
        self.start
    }

    pub fn weight(&self) -> u32 {
        self.weight
    }

    pub fn is_empty(&self) -> bool {
        self.by_deadline.is_empty()
    }

    /// Requests that go before one with this deadline.
    pub fn ahead(&self, deadline: Timestamp) -> u64 {
        self.by_deadline.iter().take_while(|(due, _)| *due <= deadline).count() as u64
    }
}
