//! One customer's waiting requests.

use std::collections::BTreeMap;

use world::{Millis, Timestamp};

use super::{Key, Ticket};

#[derive(Debug, Default)]
pub(super) struct Flow {
    weight: u32,
    start: f64,
    by_deadline: BTreeMap<(Timestamp, Key), Millis>,
    queued_ms: Millis,
}

impl Flow {
    pub fn push(&mut self, key: Key, ticket: &Ticket<'_>, virtual_time: f64) {
        self.weight = ticket.weight.max(1);
        // A customer that was idle starts at the present: it neither saves up
        // turns for a later burst nor pays for turns nobody else wanted.
        if self.by_deadline.is_empty() {
            self.start = self.start.max(virtual_time);
        }
        self.by_deadline.insert((ticket.deadline, key), ticket.run_ms);
        self.queued_ms += ticket.run_ms;
    }

    pub fn pop(&mut self) -> Option<Key> {
        let ((_, key), run_ms) = self.by_deadline.pop_first()?;
        self.queued_ms -= run_ms;
        Some(key)
    }

    pub fn remove(&mut self, key: Key, deadline: Timestamp, run_ms: Millis) {
        if self.by_deadline.remove(&(deadline, key)).is_some() {
            self.queued_ms -= run_ms;
        }
    }

    /// Moves the flow's next turn on by the work just taken.
    #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 milliseconds")]
    pub fn charge(&mut self, run_ms: Millis, from: f64) {
        self.start = from + run_ms.max(1) as f64 / f64::from(self.weight.max(1));
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

    pub fn queued_ms(&self) -> Millis {
        self.queued_ms
    }

    /// Work that goes before a request with this deadline.
    pub fn ahead_ms(&self, deadline: Timestamp) -> Millis {
        self.by_deadline.iter().take_while(|((due, _), _)| *due <= deadline).map(|(_, run_ms)| *run_ms).sum()
    }
}
