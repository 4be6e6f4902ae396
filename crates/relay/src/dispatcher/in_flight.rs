//! Counts of requests in flight and of the memory that their bodies and answers occupy.

use std::sync::Arc;

use super::{Dispatcher, State};

/// Part of the memory for bodies, as a divisor, that streams received ahead of their callers may
/// take. The rest is left to requests and whole answers, which are refused or lost without it.
const READ_AHEAD_DIVISOR: usize = 2;

impl Dispatcher {
    /// Returns the number of requests without a complete answer.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn count_in_flight(self: &Arc<Self>) -> InFlight {
        self.lock().in_flight += 1;
        InFlight { dispatcher: Arc::clone(self) }
    }

    /// Returns an empty reservation of the memory for bodies of requests and answers.
    #[must_use]
    pub fn reserve_body_memory(self: &Arc<Self>) -> Reservation {
        Reservation { dispatcher: Arc::clone(self), bytes: 0 }
    }

    /// Returns an empty reservation of the memory for streams received ahead of their callers.
    #[must_use]
    pub fn reserve_read_ahead_memory(self: &Arc<Self>) -> ReadAheadMemory {
        ReadAheadMemory(self.reserve_body_memory())
    }

    /// Returns the memory that bodies of requests and answers occupy, in bytes.
    #[must_use]
    pub fn held_body_bytes(&self) -> usize {
        self.lock().held_body_bytes
    }
}

/// A guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    dispatcher: Arc<Dispatcher>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.dispatcher.lock().in_flight -= 1;
    }
}

/// Memory reserved for the body of a request or an answer; dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation {
    dispatcher: Arc<Dispatcher>,
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more and returns true, or returns false if the limit would be exceeded.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.grow_leaving(bytes, 0)
    }

    /// Reserves `bytes` more and returns true, or returns false if the reservation would be
    /// larger than the memory that it leaves to others.
    ///
    /// Answers that do not end would otherwise use up all memory together, and requests with
    /// short bodies and answers would be refused. However many there are, as much as one of them
    /// takes stays free.
    pub fn grow_within_share(&mut self, bytes: usize) -> bool {
        self.grow_leaving(bytes, self.bytes + bytes)
    }

    /// Changes the reservation to `bytes` and returns true, or returns false if it would grow
    /// larger than the memory that it leaves to others.
    pub fn resize_within_share(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow_within_share(bytes - self.bytes);
        }
        if bytes < self.bytes {
            self.dispatcher.lock().held_body_bytes -= self.bytes - bytes;
            self.bytes = bytes;
        }
        true
    }

    /// Reserves `bytes` more and returns true if at least `free` bytes are left then.
    fn grow_leaving(&mut self, bytes: usize, free: usize) -> bool {
        let mut state = self.dispatcher.lock();
        if state.held_body_bytes + bytes + free > self.dispatcher.settings.body_memory {
            return false;
        }
        state.held_body_bytes += bytes;
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.dispatcher.lock().held_body_bytes -= self.bytes;
    }
}

/// Memory reserved for a stream that is received ahead of its caller; dropping it releases the
/// memory.
#[derive(Debug)]
pub struct ReadAheadMemory(Reservation);

impl ReadAheadMemory {
    /// Reserves `bytes` more and returns true, or returns false if the stream would take more than
    /// it leaves to other streams.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let dispatcher = Arc::clone(&self.0.dispatcher);
        let limit = dispatcher.settings.body_memory / READ_AHEAD_DIVISOR;
        let used = dispatcher.lock().read_ahead_bytes + bytes;
        if used + self.0.bytes + bytes > limit || !self.0.grow_within_share(bytes) {
            return false;
        }
        dispatcher.lock().count_read_ahead(bytes, 0);
        true
    }

    /// Releases `bytes`, which were reserved before.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.0.bytes);
        self.0.resize_within_share(self.0.bytes - bytes);
        self.0.dispatcher.lock().count_read_ahead(0, bytes);
    }
}

impl Drop for ReadAheadMemory {
    fn drop(&mut self) {
        self.0.dispatcher.lock().count_read_ahead(0, self.0.bytes);
    }
}

impl State {
    /// Changes the memory that streams received ahead of their callers occupy.
    fn count_read_ahead(&mut self, more: usize, less: usize) {
        self.read_ahead_bytes = (self.read_ahead_bytes + more).saturating_sub(less);
        #[expect(clippy::cast_precision_loss, reason = "memory is far below 2^53 bytes")]
        metrics::gauge!("relay_read_ahead_bytes").set(self.read_ahead_bytes as f64);
    }
}
