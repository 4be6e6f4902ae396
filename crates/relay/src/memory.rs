//! Account of the memory that connections hold.
//!
//! Everything that a peer can make the process keep is charged to one account, whose bound is a part of
//! the machine's memory: connections with their buffers, unfinished heads, requests in progress, and
//! bodies of requests and answers. Bodies have a bound of their own within it, so that connections and
//! requests without a body always find room beside them. Answers have one within that of bodies: endpoints
//! decide how long they are, and requests with short bodies find room beside them.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Part of the memory for bodies that answers leave to bodies of requests, as a divisor. Short bodies of
/// requests leave half as much to answers.
const LEFT_BY_ANSWERS_DIVISOR: usize = 8;

/// Bounds of an [`Account`], in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// All that connections hold.
    pub total: usize,
    /// Part of it that bodies of requests and answers may take.
    pub bodies: usize,
}

/// Memory that connections hold now, and its bounds, which may change at any time.
#[derive(Debug)]
pub struct Account {
    total_bound: AtomicUsize,
    body_bound: AtomicUsize,
    connections: AtomicUsize,
    bodies: AtomicUsize,
    /// Part of the bodies that are answers.
    answers: AtomicUsize,
}

/// Whose body memory is charged for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// A request's.
    Request,
    /// An answer's, or events of a stream.
    Answer,
}

impl Account {
    /// Opens an account that holds nothing.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            total_bound: AtomicUsize::new(bounds.total),
            body_bound: AtomicUsize::new(bounds.bodies),
            connections: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
        }
    }

    /// Changes the bounds. What is held beyond lower ones stays charged until it is released.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.total_bound.store(bounds.total, Ordering::Relaxed);
        self.body_bound.store(bounds.bodies, Ordering::Relaxed);
    }

    /// Returns the bound of bodies, in bytes.
    #[must_use]
    pub fn body_bound(&self) -> usize {
        self.body_bound.load(Ordering::Relaxed)
    }

    /// Returns the memory that bodies take, in bytes.
    #[must_use]
    pub fn bodies(&self) -> usize {
        self.bodies.load(Ordering::Relaxed)
    }

    /// Returns the memory that connections and requests take besides bodies, in bytes.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Whether `bytes` more exceed the bound of the whole account.
    #[must_use]
    pub fn is_exceeded_by(&self, bytes: usize) -> bool {
        self.bodies() + self.connections() + bytes > self.total_bound.load(Ordering::Relaxed)
    }

    /// Charges `bytes` of a body and returns true, or returns false if fewer than `free` bytes would be
    /// left to other bodies, or answers would exceed their part.
    pub fn charge_body(&self, body: Body, bytes: usize, free: usize) -> bool {
        let bound = self.body_bound();
        if self.bodies() + bytes + free > bound || self.is_exceeded_by(bytes) {
            return false;
        }
        if body == Body::Answer {
            if self.answers.load(Ordering::Relaxed) + bytes > bound - bound / LEFT_BY_ANSWERS_DIVISOR {
                return false;
            }
            self.answers.fetch_add(bytes, Ordering::Relaxed);
        }
        self.bodies.fetch_add(bytes, Ordering::Relaxed);
        true
    }

    /// Releases `bytes` of a body.
    pub fn release_body(&self, body: Body, bytes: usize) {
        self.bodies.fetch_sub(bytes, Ordering::Relaxed);
        if body == Body::Answer {
            self.answers.fetch_sub(bytes, Ordering::Relaxed);
        }
    }

    /// Charges `bytes` of a connection, beyond the bound as well: they are held already.
    pub fn charge_connection(&self, bytes: usize) {
        self.connections.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Releases `bytes` of a connection.
    pub fn release_connection(&self, bytes: usize) {
        self.connections.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Reports what is held as a metric.
    #[expect(clippy::cast_precision_loss, reason = "memory is far below 2^53 bytes")]
    pub fn report(&self) {
        metrics::gauge!("relay_held_bytes", "by" => "connections").set(self.connections() as f64);
        metrics::gauge!("relay_held_bytes", "by" => "bodies").set(self.bodies() as f64);
    }
}

#[cfg(test)]
mod tests;
