//! What is under way, counted: requests, and the memory that their bodies take.

use std::sync::Arc;

use super::Desk;

impl Desk {
    /// Requests that have no complete answer yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    /// Counts a request until the returned guard is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Flight {
        self.lock().in_flight += 1;
        Flight { desk: Arc::clone(self) }
    }

    /// A share of the memory for bodies that is empty yet.
    #[must_use]
    pub fn hold_none(self: &Arc<Self>) -> Held {
        Held { desk: Arc::clone(self), bytes: 0 }
    }
}

/// A request under way; dropping it counts it out.
#[derive(Debug)]
pub struct Flight {
    desk: Arc<Desk>,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.desk.lock().in_flight -= 1;
    }
}

/// Memory that a body takes; dropping it gives it back.
#[derive(Debug)]
pub struct Held {
    desk: Arc<Desk>,
    bytes: usize,
}

impl Held {
    /// Takes more, if there is that much left.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let mut state = self.desk.lock();
        if state.held + bytes > self.desk.settings.body_memory {
            return false;
        }
        state.held += bytes;
        self.bytes += bytes;
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.desk.lock().held -= self.bytes;
    }
}
