//! Splits a stream of server-sent events into whole events.
//!
//! A server may stop in the middle of an event. Only whole events are passed on to
//! the caller, so that another server can continue after the last of them. Events
//! whose number the caller already has are dropped. Comments and empty lines are passed on, but
//! do not bring the caller further.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered, in bytes, and the maximum number of bytes between two new
/// events. Without a limit, an event that never ends would take all memory, and a stream that only
/// repeats itself or sends comments would never be given up.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a byte stream into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Start of the line that is incomplete.
    line_start: usize,
    /// Number of bytes without the end of a line.
    scanned: usize,
    last: Option<u64>,
    new_events: u64,
    /// Number of bytes received since the last new event.
    idle_bytes: usize,
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
        (self.line_start, self.scanned, self.idle_bytes) = (0, 0, 0);
    }

    /// Returns the number of bytes that are buffered.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the number of new events so far, without those that were dropped and comments.
    #[must_use]
    pub fn new_events(&self) -> u64 {
        self.new_events
    }

    /// Adds received bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns [`TooLong`] if more than [`MAX_EVENT_BYTES`] came since the last new event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        self.idle_bytes += bytes.len();
        let mut whole = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            let event = self.buffer.split_to(end);
            (self.line_start, self.scanned) = (0, 0);
            let number = event_number(&event);
            if number.is_some() && number <= self.last {
                continue;
            }
            self.last = number.or(self.last);
            whole.extend_from_slice(&event);
            if has_fields(&event) {
                self.new_events += 1;
                self.idle_bytes = self.buffer.len();
            }
        }
        if self.idle_bytes > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok((!whole.is_empty()).then(|| whole.freeze()))
    }

    /// Returns the offset after the first whole event; an empty line ends an event.
    fn find_event_end(&mut self) -> Option<usize> {
        // An event may come byte by byte; searching its last line from the start each time would
        // take time in proportion to the square of its length.
        while let Some(length) = self.buffer[self.scanned..].iter().position(|&byte| byte == b'\n') {
            let line = &self.buffer[self.line_start..self.scanned + length];
            let next = self.scanned + length + 1;
            if line.is_empty() || line == b"\r" {
                return Some(next);
            }
            (self.line_start, self.scanned) = (next, next);
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// Error: an event is too long to buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Returns whether an event has any line besides comments and the empty one that ends it.
fn has_fields(event: &[u8]) -> bool {
    let mut lines = event.split(|&byte| byte == b'\n');
    lines.any(|line| !matches!(line.first(), None | Some(b':' | b'\r')))
}

/// Returns the number in the event's `id` field.
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
