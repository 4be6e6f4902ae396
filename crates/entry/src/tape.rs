//! Tapes: the answer of one request, written once and read by any number.
//!
//! The request's driver writes; its caller, and every caller that joined with
//! the same idempotency key, reads at its own pace. A reader that falls
//! behind gets the text it missed in one piece. The writer waits while the
//! fastest reader is more than a window behind, so that a slow caller slows
//! its engine down and memory is bounded; a joined reader that is slower than
//! the fastest one holds up nobody.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use endpoint::frame::{Reason, Usage};
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use world::{model::Version, request};

use crate::problem::Problem;

/// Bytes of text that may wait for the fastest reader.
const WINDOW: usize = 16 * 1024;

/// What is known before the first text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The request's key.
    pub request: request::Key,
    /// The version that answers; nothing for a plain service.
    pub version: Option<Version>,
    /// The session to go on with: a handle, or the caller's own name.
    pub session: Option<String>,
    /// The versions that the session left, of which its caller may not know yet.
    pub moved: Vec<Version>,
}

/// How an answer ended.
#[derive(Debug, Clone)]
pub enum End {
    /// A whole chat answer.
    Whole {
        /// Why the engine stopped.
        reason: Reason,
        /// Tokens read and made.
        usage: Usage,
    },
    /// A plain service's whole answer.
    Reply(Arc<Reply>),
    /// No whole answer.
    Failed(Arc<Problem>),
}

/// A plain service's answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers worth passing on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What a reader gets.
#[derive(Debug, Clone)]
pub enum Item {
    /// First, unless the request failed before it was known.
    Head(Head),
    /// Text that follows what was read before.
    Text(String),
    /// Last.
    End(End),
}

/// The answer of one request; clones share it.
#[derive(Debug, Clone)]
pub struct Tape {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    written: watch::Sender<()>,
    read: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    text: String,
    end: Option<End>,
    /// Bytes read so far, one per reader; nothing for one that is gone.
    readers: Vec<Option<usize>>,
    /// Readers that there have been.
    opened: usize,
}

impl State {
    fn fastest(&self) -> Option<usize> {
        self.readers.iter().flatten().copied().max()
    }
}

impl Default for Tape {
    fn default() -> Self {
        Self::open()
    }
}

impl Tape {
    /// An empty tape.
    #[must_use]
    pub fn open() -> Self {
        let (written, _) = watch::channel(());
        let (read, _) = watch::channel(());
        Self { shared: Arc::new(Shared { state: Mutex::default(), written, read }) }
    }

    /// A tape of its own with the same head and text, and no end yet.
    #[must_use]
    pub fn reopen(&self) -> Self {
        let tape = Self::open();
        {
            let (from, mut to) = (self.lock(), tape.lock());
            to.head.clone_from(&from.head);
            to.text.clone_from(&from.text);
        }
        tape
    }

    /// A reader from the beginning.
    #[must_use]
    pub fn reader(&self) -> Reader {
        let mut state = self.lock();
        let place = state.readers.iter().position(Option::is_none);
        let place = place.unwrap_or_else(|| {
            state.readers.push(None);
            state.readers.len() - 1
        });
        state.readers[place] = Some(0);
        state.opened += 1;
        drop(state);
        Reader { tape: self.clone(), written: self.shared.written.subscribe(), place, stage: Stage::Head }
    }

    /// Writes the head; a later one replaces it only before any text.
    pub fn head(&self, head: Head) {
        let mut state = self.lock();
        if state.text.is_empty() {
            state.head = Some(head);
        }
        drop(state);
        self.shared.written.send_replace(());
    }

    /// Writes text and waits while the fastest reader is a window behind.
    ///
    /// Returns at once when there is no reader: whether to go on for nobody
    /// is the writer's decision, by [`Tape::deserted`].
    pub async fn text(&self, text: &str) {
        self.lock().text.push_str(text);
        self.shared.written.send_replace(());
        if !self.full() {
            return;
        }
        let mut read = self.shared.read.subscribe();
        while self.full() {
            if read.changed().await.is_err() {
                return;
            }
        }
    }

    /// Writes the end; the first one stays.
    pub fn end(&self, end: End) {
        let mut state = self.lock();
        state.end.get_or_insert(end);
        drop(state);
        self.shared.written.send_replace(());
    }

    /// Whether both are the same tape.
    #[must_use]
    pub fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.shared, &other.shared)
    }

    /// Text written so far.
    #[must_use]
    pub fn written(&self) -> String {
        self.lock().text.clone()
    }

    /// Bytes of text written so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().text.len()
    }

    /// Whether no text is written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the end is written.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Whether more than one has read it: its key is in use more than once.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.lock().opened > 1
    }

    /// Waits until nobody reads.
    pub async fn deserted(&self) {
        let mut read = self.shared.read.subscribe();
        while self.lock().fastest().is_some() {
            if read.changed().await.is_err() {
                return;
            }
        }
    }

    fn full(&self) -> bool {
        let state = self.lock();
        state.fastest().is_some_and(|read| state.text.len() - read > WINDOW)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Every change is a single assignment: whole even if a holder panicked.
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How far a reader is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Head,
    Text,
    Done,
}

/// Reads a tape from the beginning; dropping it says that its caller is gone.
#[derive(Debug)]
pub struct Reader {
    tape: Tape,
    written: watch::Receiver<()>,
    place: usize,
    stage: Stage,
}

impl Reader {
    /// The next item; nothing after the end.
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

    fn take(&mut self) -> Option<Item> {
        let mut state = self.tape.lock();
        if self.stage == Stage::Head
            && let Some(head) = &state.head
        {
            self.stage = Stage::Text;
            return Some(Item::Head(head.clone()));
        }
        let read = state.readers[self.place].unwrap_or_default();
        if self.stage == Stage::Text && read < state.text.len() {
            let text = state.text[read..].to_owned();
            state.readers[self.place] = Some(state.text.len());
            drop(state);
            self.tape.shared.read.send_replace(());
            return Some(Item::Text(text));
        }
        let end = state.end.clone()?;
        self.stage = Stage::Done;
        Some(Item::End(end))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.tape.lock().readers[self.place] = None;
        self.tape.shared.read.send_replace(());
    }
}
