//! Splitting a stream of events where one ends and the next begins.
//!
//! A server may stop in the middle of an event. Only whole events go to the
//! caller, so that another server can go on after the last of them, and an
//! event whose number the caller has already is left out.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};

/// Longest event kept while it is incomplete, in bytes; an endless one would
/// otherwise take all memory.
pub const LONGEST: usize = 1 << 20;

/// Cuts a byte stream into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanned: usize,
    last: Option<u64>,
}

impl Splitter {
    /// A splitter whose caller has the event `last` already.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Number of the last event that was handed out.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether part of an event is left.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the part of an event that is left, before another run goes on.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Takes bytes in and returns the whole events they complete.
    ///
    /// # Errors
    ///
    /// When an event is longer than [`LONGEST`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.end() {
            let event = self.buffer.split_to(end);
            self.scanned = 0;
            let number = number(&event);
            if number.is_some() && number <= self.last {
                continue;
            }
            self.last = number.or(self.last);
            whole.extend_from_slice(&event);
        }
        if self.buffer.len() > LONGEST {
            return Err(TooLong);
        }
        Ok((!whole.is_empty()).then(|| whole.freeze()))
    }

    /// Where the first whole event ends: after an empty line.
    fn end(&mut self) -> Option<usize> {
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

/// An event that is too long to keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// An event's number.
fn number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
