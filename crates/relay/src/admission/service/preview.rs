//! Copies of a service's queue, and the places of requests in it.

use std::time::Duration;

use route::admission::{Key, Position};
use tokio::sync::oneshot;

use super::{Service, Waiter, waiting::timestamp};

impl Clone for Waiter {
    /// Returns a copy whose reply reaches nobody.
    fn clone(&self) -> Self {
        Self { reply: oneshot::channel().0, pass: self.pass }
    }
}

impl Service {
    /// Returns the priority for engines that a waiting request would have now; `None` if it is its rank.
    pub fn priority_of(&self, key: Key) -> Option<u8> {
        self.waiters.get(&key).and_then(|waiter| waiter.pass.priority)
    }

    /// Returns the place of a waiting request and its expected wait.
    pub fn place(&self, key: Key, now: Duration) -> (Option<Position>, Duration) {
        let wait_ms = self.queue.expected_wait(key).unwrap_or_default();
        (self.queue.position(key, timestamp(now)), Duration::from_millis(wait_ms))
    }
}
