//! Body of a request or an answer, held in blocks.
//!
//! One growing buffer would hold up to three times its bytes whenever it doubles, and its spare capacity
//! for as long as the body is needed. Blocks are never moved, and what is charged for them is their capacity.

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};

use crate::dispatcher::Reservation;

/// Largest block, in bytes.
pub const MAX_BLOCK_BYTES: usize = 16 << 10;

/// Smallest block of a body whose length is not known, in bytes.
const MIN_BLOCK_BYTES: usize = 512;

/// A whole body; clones share its blocks.
#[derive(Debug, Clone, Default)]
pub struct Payload {
    blocks: VecDeque<Bytes>,
    bytes: usize,
}

impl Payload {
    /// Has the blocks hold memory until the last of them is dropped.
    #[must_use]
    pub fn holding(mut self, memory: Reservation) -> Self {
        let memory = Arc::new(memory);
        for block in &mut self.blocks {
            *block = Bytes::from_owner(HeldBlock { bytes: std::mem::take(block), _memory: Arc::clone(&memory) });
        }
        self
    }

    /// Returns the blocks in order.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(|block| &**block)
    }
}

/// A block of an answer with a share in its memory.
struct HeldBlock {
    bytes: Bytes,
    _memory: Arc<Reservation>,
}

impl AsRef<[u8]> for HeldBlock {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.blocks.pop_front();
        self.bytes -= block.as_ref().map_or(0, Bytes::len);
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.try_into().unwrap_or(u64::MAX))
    }
}

/// A body that is being received.
#[derive(Debug)]
pub struct Builder {
    payload: Payload,
    /// Block that is being filled; it never grows.
    block: BytesMut,
    /// Length of the whole body, if it is known.
    expected: Option<usize>,
}

impl Builder {
    /// Begins a body, which has `expected` bytes if its length is known.
    #[must_use]
    pub fn new(expected: Option<usize>) -> Self {
        Self { payload: Payload::default(), block: BytesMut::new(), expected }
    }

    /// Returns the number of bytes received so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.payload.bytes + self.block.len()
    }

    /// Returns the capacity of the next block, in bytes, or `None` if the present one has room.
    #[must_use]
    pub fn next_block(&self) -> Option<usize> {
        if self.block.len() < self.block.capacity() {
            return None;
        }
        let rest = match self.expected {
            Some(expected) => expected.saturating_sub(self.len()),
            // Doubles what is held, so that short chunks share few blocks.
            None => self.len(),
        };
        Some(rest.clamp(if self.expected.is_some() { 1 } else { MIN_BLOCK_BYTES }, MAX_BLOCK_BYTES))
    }

    /// Adds an empty block.
    pub fn add_block(&mut self, capacity: usize) {
        self.seal_block();
        self.block = BytesMut::with_capacity(capacity);
    }

    /// Moves as much of `data` into the present block as fits.
    pub fn fill(&mut self, data: &mut Bytes) {
        let room = self.block.capacity() - self.block.len();
        let part = data.split_to(room.min(data.len()));
        self.block.extend_from_slice(&part);
    }

    /// Returns the whole body.
    #[must_use]
    pub fn finish(mut self) -> Payload {
        self.seal_block();
        self.payload
    }

    fn seal_block(&mut self) {
        if !self.block.is_empty() {
            self.payload.bytes += self.block.len();
            self.payload.blocks.push_back(std::mem::take(&mut self.block).freeze());
        }
    }
}

#[cfg(test)]
mod tests;
