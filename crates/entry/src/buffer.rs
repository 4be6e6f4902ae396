//! Answer buffers, which hold the answer of one request, with one writer and any
//! number of readers.
//!
//! The request's driver writes; its caller, and every caller that joined with
//! the same idempotency key, reads at its own pace. A reader that falls
//! behind gets the text it missed in one piece. The writer waits while the
//! fastest reader is more than a window behind, so that a slow caller applies
//! back-pressure to its engine and memory is bounded. A joined reader that is
//! slower than the fastest one delays nobody.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use endpoint::frame::{Reason, Usage};
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use world::{model::Version, request};

use crate::problem::Problem;

/// Maximum number of bytes that the fastest reader may be behind the writer.
const WINDOW_BYTES: usize = 16 * 1024;

/// Data about an answer that is known before its first text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The request's key.
    pub request: request::Key,
    /// The version that answers; `None` for a plain service.
    pub version: Option<Version>,
    /// The session to continue with: a handle, or the name given by the caller.
    pub session: Option<String>,
    /// The versions that the session left and that may not have been reported to
    /// its caller yet.
    pub moved: Vec<Version>,
}

/// How an answer ended.
#[derive(Debug, Clone)]
pub enum End {
    /// A complete chat answer.
    Whole {
        /// Why the engine stopped.
        reason: Reason,
        /// Number of prompt and completion tokens.
        usage: Usage,
    },
    /// A plain service's complete answer.
    Reply(Arc<Reply>),
    /// A failure without a complete answer.
    Failed(Arc<Problem>),
}

/// A plain service's answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers forwarded to the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// One item read from an answer buffer.
#[derive(Debug, Clone)]
pub enum Item {
    /// The head: the first item, unless the request failed before it was known.
    Head(Head),
    /// Text that follows the text read before.
    Text(String),
    /// The end: the last item.
    End(End),
}

/// The answer of one request; clones share the same answer buffer.
#[derive(Debug, Clone)]
pub struct Buffer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notifies readers of anything written.
    written: watch::Sender<()>,
    /// Notifies the writer when a reader has read or is dropped.
    read: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    text: String,
    end: Option<End>,
    /// Bytes read so far by each reader; `None` for a dropped one.
    readers: Vec<Option<usize>>,
    /// Number of readers ever created.
    readers_created: usize,
}

impl State {
    /// Returns the bytes read by the fastest reader; `None` without readers.
    fn fastest_position(&self) -> Option<usize> {
        self.readers.iter().flatten().copied().max()
    }
}

impl Default for Buffer {
    fn default() -> Self {
        Self::new()
    }
}

impl Buffer {
    /// Creates an empty answer buffer.
    #[must_use]
    pub fn new() -> Self {
        let (written, _) = watch::channel(());
        let (read, _) = watch::channel(());
        Self { shared: Arc::new(Shared { state: Mutex::default(), written, read }) }
    }

    /// Creates an independent answer buffer with the same head and text and without an end.
    #[must_use]
    pub fn copy_without_end(&self) -> Self {
        let buffer = Self::new();
        {
            let (from, mut to) = (self.lock(), buffer.lock());
            to.head.clone_from(&from.head);
            to.text.clone_from(&from.text);
        }
        buffer
    }

    /// Creates a reader that starts at the beginning.
    #[must_use]
    pub fn reader(&self) -> Reader {
        let mut state = self.lock();
        let slot = state.readers.iter().position(Option::is_none);
        let slot = slot.unwrap_or_else(|| {
            state.readers.push(None);
            state.readers.len() - 1
        });
        state.readers[slot] = Some(0);
        state.readers_created += 1;
        drop(state);
        Reader { buffer: self.clone(), written: self.shared.written.subscribe(), slot, stage: Stage::Head }
    }

    /// Writes the head; a later one replaces it only before any text.
    pub fn write_head(&self, head: Head) {
        let mut state = self.lock();
        if state.text.is_empty() {
            state.head = Some(head);
        }
        drop(state);
        self.shared.written.send_replace(());
    }

    /// Writes text and waits while the fastest reader is more than a window behind.
    ///
    /// Returns at once if there is no reader: whether to continue without readers is
    /// up to the writer, which can wait on [`Buffer::wait_until_no_reader`].
    pub async fn write_text(&self, text: &str) {
        self.lock().text.push_str(text);
        self.shared.written.send_replace(());
        if !self.is_full() {
            return;
        }
        let mut read = self.shared.read.subscribe();
        while self.is_full() {
            if read.changed().await.is_err() {
                return;
            }
        }
    }

    /// Writes the end; only the first end written is kept.
    pub fn write_end(&self, end: End) {
        let mut state = self.lock();
        state.end.get_or_insert(end);
        drop(state);
        self.shared.written.send_replace(());
    }

    /// Returns whether both share the same answer buffer.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.shared, &other.shared)
    }

    /// Returns the text written so far.
    #[must_use]
    pub fn written_text(&self) -> String {
        self.lock().text.clone()
    }

    /// Returns the number of bytes of text written so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().text.len()
    }

    /// Returns whether no text is written yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the end is written.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Returns whether the answer buffer has had more than one reader, which means that
    /// several callers used the same key.
    #[must_use]
    pub fn had_several_readers(&self) -> bool {
        self.lock().readers_created > 1
    }

    /// Waits until there is no reader.
    pub async fn wait_until_no_reader(&self) {
        let mut read = self.shared.read.subscribe();
        while self.lock().fastest_position().is_some() {
            if read.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns whether the fastest reader is more than a window behind.
    fn is_full(&self) -> bool {
        let state = self.lock();
        state.fastest_position().is_some_and(|read| state.text.len() - read > WINDOW_BYTES)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is consistent after each single assignment, so it stays usable if a
        // holder of the lock panicked.
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The part of the answer buffer that a reader reads next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Head,
    Text,
    Done,
}

/// Reads an answer buffer from the beginning; dropping it signals that its caller is gone.
#[derive(Debug)]
pub struct Reader {
    buffer: Buffer,
    written: watch::Receiver<()>,
    /// Index of this reader in the answer buffer's list of readers.
    slot: usize,
    stage: Stage,
}

impl Reader {
    /// Waits for the next item; returns `None` after the end.
    pub async fn next(&mut self) -> Option<Item> {
        loop {
            if self.stage == Stage::Done {
                return None;
            }
            self.written.mark_unchanged();
            if let Some(item) = self.take() {
                return Some(item);
            }
            self.written.changed().await.ok()?;
        }
    }

    /// Takes the next item if it is already written.
    fn take(&mut self) -> Option<Item> {
        let mut state = self.buffer.lock();
        if self.stage == Stage::Head
            && let Some(head) = &state.head
        {
            self.stage = Stage::Text;
            return Some(Item::Head(head.clone()));
        }
        let read = state.readers[self.slot].unwrap_or_default();
        if self.stage == Stage::Text && read < state.text.len() {
            let text = state.text[read..].to_owned();
            state.readers[self.slot] = Some(state.text.len());
            drop(state);
            self.buffer.shared.read.send_replace(());
            return Some(Item::Text(text));
        }
        let end = state.end.clone()?;
        self.stage = Stage::Done;
        Some(Item::End(end))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.buffer.lock().readers[self.slot] = None;
        self.buffer.shared.read.send_replace(());
    }
}
