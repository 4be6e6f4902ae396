//! The waiting requests of a queue, and where each stands.

use world::{Millis, Timestamp};

use super::{Key, Queue};

/// Number of turns that are looked at for a position. Each turn may look at all waiting requests, of
/// which there may be 10,000.
const MAX_TURNS: usize = 500;

/// Place in the order in which requests that wait now would run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// Number of its turn, from 1.
    Turn(usize),
    /// Later than this number of turns; how much later is not known.
    After(usize),
}

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
    /// wait now; `None` if it would not be returned. At most 500 turns are looked at.
    #[must_use]
    pub fn position(&self, key: Key, now: Timestamp) -> Option<Position> {
        self.waiting.get(key)?;
        let mut queue = self.clone();
        queue.limit = u32::MAX;
        for turn in 1..=MAX_TURNS {
            if queue.next(now)?.key == key {
                return Some(Position::Turn(turn));
            }
        }
        Some(Position::After(MAX_TURNS))
    }
}
