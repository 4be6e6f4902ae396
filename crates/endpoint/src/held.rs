//! Memory of answers that are being received, over all calls.
//!
//! An endpoint decides how long its answer is. One answer has a limit of its own, but many at a time would
//! take many times that, and the process would be killed with the requests of everybody.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Longest answer that may take the last of the memory, in bytes.
const MAX_SHORT_BYTES: usize = 64 << 10;

/// Part of the memory, as a divisor, that longer answers leave to short ones.
const LEFT_TO_SHORT_DIVISOR: usize = 8;

/// Bytes of memory per received byte of an event: its buffer doubles when it is full.
const BYTES_PER_EVENT_BYTE: usize = 2;

/// The memory that all answers may take together.
#[derive(Debug)]
pub(crate) struct Memory {
    max: usize,
    held: AtomicUsize,
}

impl Memory {
    pub(crate) fn new(max: usize) -> Arc<Self> {
        Arc::new(Self { max, held: AtomicUsize::new(0) })
    }

    /// Returns an empty reservation.
    pub(crate) fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation { memory: Arc::clone(self), bytes: 0 }
    }
}

/// Memory of one answer; dropping it releases the memory.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more and returns true, or returns false if there are not so many.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let is_short = self.bytes + bytes <= MAX_SHORT_BYTES;
        let left = if is_short { 0 } else { self.memory.max / LEFT_TO_SHORT_DIVISOR };
        let fits = |held: usize| Some(held + bytes).filter(|held| held + left <= self.memory.max);
        let has_grown = self.memory.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok();
        if has_grown {
            self.bytes += bytes;
        } else {
            metrics::counter!("endpoint_answers_without_memory_total").increment(1);
        }
        has_grown
    }

    /// Releases `bytes` of it.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.memory.held.fetch_sub(bytes, Ordering::Relaxed);
        self.bytes -= bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// A buffer whose capacity is reserved for as long as its bytes are used.
#[derive(Debug)]
pub(crate) struct Buffer {
    bytes: Vec<u8>,
    memory: Reservation,
}

impl Buffer {
    pub(crate) fn new(memory: Reservation) -> Self {
        Self { bytes: Vec::new(), memory }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Adds data and returns true, or returns false if there is no memory for it.
    pub(crate) fn extend(&mut self, data: &[u8]) -> bool {
        let (wanted, capacity) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if wanted > capacity {
            let larger = wanted.max(capacity * 2);
            // Both are held while the bytes are moved.
            if !self.memory.grow(larger) {
                return false;
            }
            self.bytes.reserve_exact(larger - self.bytes.len());
            self.memory.shrink(capacity);
        }
        self.bytes.extend_from_slice(data);
        true
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Memory of the event that is being received, which its body and its reader share.
#[derive(Debug, Clone)]
pub(crate) struct Event(Arc<Mutex<Reservation>>);

impl Event {
    pub(crate) fn new(memory: Reservation) -> Self {
        Self(Arc::new(Mutex::new(memory)))
    }

    /// Records that the event is whole.
    pub(crate) fn end(&self) {
        let mut memory = self.lock();
        let bytes = memory.bytes;
        memory.shrink(bytes);
    }

    fn lock(&self) -> MutexGuard<'_, Reservation> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The body of a stream, which fails when there is no memory for an event.
#[derive(Debug)]
pub(crate) struct Stream<B> {
    body: B,
    event: Event,
}

impl<B> Stream<B> {
    pub(crate) fn new(body: B, event: Event) -> Self {
        Self { body, event }
    }
}

impl<B> Body for Stream<B>
where
    B: Body<Data = Bytes, Error = io::Error> + Unpin,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let bytes = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref()).map_or(0, Bytes::len);
        if !self.event.lock().grow(bytes * BYTES_PER_EVENT_BYTE) {
            return Poll::Ready(Some(Err(io::Error::other("no memory is left for an event"))));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
