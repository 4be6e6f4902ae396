//! Splits a stream of server-sent events into whole events.
//!
//! A server may stop in the middle of an event. Only whole events are passed on to
//! the caller, so that another server can continue after the last of them. Events
//! whose number the caller already has are dropped.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};

/// Longest incomplete event that is buffered, in bytes. Without a limit, an event that
/// never ends would take all memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a byte stream into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanned: usize,
    last: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for a caller that already has the events up to number `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Returns the number of the last event that the caller has.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the buffer holds an incomplete event.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the incomplete event, before another run continues the stream.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Adds received bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns [`TooLong`] if an incomplete event is longer than [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            let event = self.buffer.split_to(end);
            self.scanned = 0;
            let number = event_number(&event);
            if number.is_some() && number <= self.last {
                continue;
            }
            self.last = number.or(self.last);
            whole.extend_from_slice(&event);
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok((!whole.is_empty()).then(|| whole.freeze()))
    }

    /// Returns the offset after the first whole event; an empty line ends an event.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut line_start = self.scanned;
        while let Some(length) = self.buffer[line_start..].iter().position(|&byte| byte == b'\n') {
            let line = &self.buffer[line_start..line_start + length];
            let next = line_start + length + 1;
            if line.is_empty() || line == b"\r" {
                return Some(next);
            }
            line_start = next;
        }
        self.scanned = line_start;
        None
    }
}

/// Error: an event is too long to buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Returns the number in the event's `id` field.
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
