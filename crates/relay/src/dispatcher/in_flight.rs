//! Counts of requests in flight and of the memory that their bodies and answers occupy.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use tokio::sync::Notify;

use super::{Dispatcher, State};
use crate::memory::Body;

/// Part of the memory for bodies, as a divisor, that streams received ahead of their callers may
/// take. The rest is left to requests and whole answers, which are refused or lost without it.
const READ_AHEAD_DIVISOR: usize = 2;

/// Memory that a frame takes besides its bytes. Without it, events of a few bytes each would take
/// several times what is counted.
const FRAME_OVERHEAD_BYTES: usize = 96;

/// Longest frame of a stream that needs no memory of the bound if the stream holds no other. An event may
/// have a megabyte, and some hundred slow readers would take several times the bound with one each.
const MAX_FREE_FRAME_BYTES: usize = 16 << 10;

/// Part of the memory for bodies, as a divisor, that longer frames beyond the part for streams leave to
/// requests and whole answers.
const LEFT_BY_LONG_FRAMES_DIVISOR: usize = 4;

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

    /// Returns an empty reservation of the memory for the body of a request.
    #[must_use]
    pub fn reserve_request_memory(self: &Arc<Self>) -> Reservation {
        Reservation { dispatcher: Arc::clone(self), body: Body::Request, bytes: 0 }
    }

    /// Returns an empty reservation of the memory for an answer.
    #[must_use]
    pub fn reserve_answer_memory(self: &Arc<Self>) -> Reservation {
        Reservation { dispatcher: Arc::clone(self), body: Body::Answer, bytes: 0 }
    }

    /// Returns an empty reservation of the memory for streams received ahead of their callers.
    #[must_use]
    pub fn reserve_read_ahead_memory(self: &Arc<Self>) -> ReadAheadMemory {
        let reservation = Mutex::new(self.reserve_answer_memory());
        ReadAheadMemory(Arc::new(StreamMemory { reservation, frames: AtomicUsize::new(0), released: Notify::new() }))
    }

    /// Returns the memory that bodies of requests and answers occupy, in bytes.
    #[must_use]
    pub fn held_body_bytes(&self) -> usize {
        self.account.bodies()
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
    body: Body,
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
            self.dispatcher.account.release_body(self.body, self.bytes - bytes);
            self.bytes = bytes;
        }
        true
    }

    /// Reserves `bytes` more and returns true if at least `free` bytes are left then.
    pub fn grow_leaving(&mut self, bytes: usize, free: usize) -> bool {
        let Dispatcher { account, connections, .. } = &*self.dispatcher;
        if account.bodies() + bytes + free > account.body_bound() {
            return false;
        }
        while account.is_exceeded_by(bytes) && connections.displace() {}
        let is_charged = account.charge_body(self.body, bytes, free);
        self.bytes += if is_charged { bytes } else { 0 };
        is_charged
    }

    /// Returns the number of bytes that are reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.dispatcher.account.release_body(self.body, self.bytes);
    }
}

/// Memory for a stream that is received ahead of its caller.
#[derive(Debug)]
pub struct ReadAheadMemory(Arc<StreamMemory>);

/// What a stream and its frames share.
#[derive(Debug)]
struct StreamMemory {
    /// Reserved of the part that streams may take together.
    reservation: Mutex<Reservation>,
    /// Number of frames that are held.
    frames: AtomicUsize,
    /// Notified when a frame was dropped.
    released: Notify,
}

impl ReadAheadMemory {
    /// Holds a frame until the returned bytes are dropped, which is when they were written to the caller.
    /// Returns `None` if the stream would take more than it leaves to others.
    ///
    /// A stream that holds no frame may have one beyond that, so that its caller gets on while slower ones
    /// have taken the part for streams. A short one needs no memory, and a longer one that of bodies.
    #[must_use]
    pub fn hold(&self, bytes: &Bytes) -> Option<Bytes> {
        let wanted = bytes.len() + FRAME_OVERHEAD_BYTES;
        let claim = if self.0.grow(wanted) {
            Claim::ReadAhead(wanted)
        } else if self.0.frames.load(Ordering::Relaxed) > 0 {
            return None;
        } else if wanted <= MAX_FREE_FRAME_BYTES {
            Claim::Free
        } else {
            let mut reservation = self.0.dispatcher().reserve_answer_memory();
            let left = reservation.dispatcher.account.body_bound() / LEFT_BY_LONG_FRAMES_DIVISOR;
            if !reservation.grow_leaving(wanted, left) {
                return None;
            }
            Claim::Body(reservation)
        };
        self.0.frames.fetch_add(1, Ordering::Relaxed);
        Some(Bytes::from_owner(HeldFrame { bytes: bytes.clone(), claim, stream: Arc::clone(&self.0) }))
    }

    /// Waits until a frame was dropped since the last call.
    pub async fn wait_for_release(&self) {
        self.0.released.notified().await;
    }
}

impl StreamMemory {
    fn dispatcher(&self) -> Arc<Dispatcher> {
        Arc::clone(&self.lock().dispatcher)
    }

    /// Reserves `bytes` more and returns true, or returns false if the stream would take more than it
    /// leaves to other streams.
    fn grow(&self, bytes: usize) -> bool {
        let mut reservation = self.lock();
        let dispatcher = Arc::clone(&reservation.dispatcher);
        let limit = dispatcher.account.body_bound() / READ_AHEAD_DIVISOR;
        let used = dispatcher.lock().read_ahead_bytes + bytes;
        if used + reservation.bytes + bytes > limit || !reservation.grow_within_share(bytes) {
            return false;
        }
        dispatcher.lock().count_read_ahead(bytes, 0);
        true
    }

    /// Releases `bytes`, which were reserved before.
    fn shrink(&self, bytes: usize) {
        let mut reservation = self.lock();
        let left = reservation.bytes.saturating_sub(bytes);
        reservation.resize_within_share(left);
        reservation.dispatcher.lock().count_read_ahead(0, bytes);
    }

    fn lock(&self) -> MutexGuard<'_, Reservation> {
        self.reservation.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A frame of a stream, whose memory is released when it is dropped.
struct HeldFrame {
    bytes: Bytes,
    claim: Claim,
    stream: Arc<StreamMemory>,
}

/// The memory that a frame takes.
enum Claim {
    /// Bytes of the part for streams.
    ReadAhead(usize),
    /// Memory for bodies, which is released with the reservation.
    Body(#[expect(dead_code, reason = "only dropped")] Reservation),
    Free,
}

impl AsRef<[u8]> for HeldFrame {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldFrame {
    fn drop(&mut self) {
        if let Claim::ReadAhead(bytes) = std::mem::replace(&mut self.claim, Claim::Free) {
            self.stream.shrink(bytes);
        }
        self.stream.frames.fetch_sub(1, Ordering::Relaxed);
        self.stream.released.notify_one();
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
