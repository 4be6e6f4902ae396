//! The waiting requests of a queue, and where each stands.

use world::{Millis, Timestamp};

use super::{Key, Queue};

impl Queue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the expected time in the queue, in milliseconds, on which the request was let wait;
    /// `None` if it does not wait.
    #[must_use]
    pub fn expected_wait(&self, key: Key) -> Option<Millis> {
        self.waiting.get(key).map(|waiting| waiting.wait_ms)
    }

    /// Returns the place of a request in the order in which [`Queue::next`] would return those that
    /// wait now, from 1; `None` if it would not be returned.
    #[must_use]
    pub fn position(&self, key: Key, now: Timestamp) -> Option<usize> {
        let mut queue = self.clone();
        queue.limit = u32::MAX;
        let mut next = std::iter::from_fn(|| queue.next(now));
        next.position(|admitted| admitted.key == key).map(|ahead| ahead + 1)
    }
}
