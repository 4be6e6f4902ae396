//! Waiting requests and recent usage of one customer.

use std::collections::BTreeSet;

use world::{Millis, Timestamp};

use super::{Key, Ticket};

/// Time in which past usage decays to 1/e, about a third, in milliseconds.
const USAGE_DECAY_MS: f64 = 5_000.0;

#[derive(Debug, Default)]
pub(super) struct Flow {
    weight: u32,
    start: f64,
    usage_ms: f64,
    usage_updated_at: Timestamp,
    by_deadline: BTreeSet<(Timestamp, Key)>,
}

impl Flow {
    pub fn push(&mut self, key: Key, ticket: &Ticket<'_>, virtual_time: f64) {
        self.weight = ticket.weight.max(1);
        // A customer that was idle starts at the current virtual time: it neither
        // accumulates turns for a later burst nor pays for turns that no other
        // customer wanted.
        if self.by_deadline.is_empty() {
            self.start = self.start.max(virtual_time);
        }
        self.by_deadline.insert((ticket.deadline, key));
    }

    /// Returns the request with the earliest deadline for which `predicate` returns true.
    pub fn earliest(&self, predicate: impl Fn(&Key) -> bool) -> Option<Key> {
        self.by_deadline.iter().map(|(_, key)| *key).find(predicate)
    }

    pub fn remove(&mut self, key: Key, deadline: Timestamp) {
        self.by_deadline.remove(&(deadline, key));
    }

    /// Records a run that starts now: advances the virtual time of the next turn by its
    /// duration divided by the weight, and adds its duration to the usage.
    #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 milliseconds")]
    pub fn charge(&mut self, run_ms: Millis, from: f64, now: Timestamp) {
        let run_ms = run_ms.max(1) as f64;
        self.start = from + run_ms / f64::from(self.weight.max(1));
        self.usage_ms = self.recent_usage_ms(now) + run_ms;
        self.usage_updated_at = now;
    }

    /// Returns the recent usage in milliseconds of run time, decayed to `now`.
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 milliseconds")]
    pub fn recent_usage_ms(&self, now: Timestamp) -> f64 {
        self.usage_ms * (-(now.since(self.usage_updated_at) as f64) / USAGE_DECAY_MS).exp()
    }

    /// Returns the virtual time of the next turn.
    pub fn start(&self) -> f64 {
        self.start
    }

    pub fn weight(&self) -> u32 {
        self.weight
    }

    pub fn is_empty(&self) -> bool {
        self.by_deadline.is_empty()
    }

    /// Returns the number of requests that run before a new one with this deadline.
    pub fn count_ahead(&self, deadline: Timestamp) -> u64 {
        self.by_deadline.iter().take_while(|(due, _)| *due <= deadline).count() as u64
    }
}
