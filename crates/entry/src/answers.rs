//! Answers stored at this instance under their callers' keys.
//!
//! Running answers are stored, and finished ones for a limited time, so that a
//! repeat of a request gets the same answer instead of running again.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use world::request::Id;

use crate::buffer::{Buffer, Reader};

/// How long a finished answer is kept.
const KEEP_FINISHED: Duration = Duration::from_mins(2);
/// Maximum size of all finished answers, in bytes.
const MAX_FINISHED_BYTES: usize = 32 * 1024 * 1024;

/// Stored answers by request key; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Answers {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    answers: HashMap<Id, Answer>,
    /// Finished answers, oldest first.
    finished: VecDeque<Finished>,
    /// Size of all finished answers.
    bytes: usize,
}

#[derive(Debug)]
struct Answer {
    buffer: Buffer,
    /// Hash of the request, to recognize another request under the same key.
    fingerprint: u64,
}

#[derive(Debug)]
struct Finished {
    id: Id,
    buffer: Buffer,
    bytes: usize,
    until: Instant,
}

/// The result of looking up a request's key.
#[derive(Debug)]
pub enum Lookup {
    /// No answer was stored. Contains the new buffer for the answer, and its reader.
    New(Buffer, Reader),
    /// The same request is running or was answered. Contains a reader of its answer.
    Same(Reader),
    /// The key belongs to another request.
    OtherRequest,
}

impl Answers {
    /// Returns a reader of a request's answer, or creates an answer buffer for it.
    #[must_use]
    pub fn find_or_create(&self, id: &Id, fingerprint: u64) -> Lookup {
        let mut shared = self.lock();
        shared.expire(Instant::now());
        match shared.answers.get(id) {
            Some(answer) if answer.fingerprint != fingerprint => Lookup::OtherRequest,
            Some(answer) => Lookup::Same(answer.buffer.reader()),
            None => {
                let buffer = Buffer::new();
                let reader = buffer.reader();
                shared.answers.insert(id.clone(), Answer { buffer: buffer.clone(), fingerprint });
                Lookup::New(buffer, reader)
            }
        }
    }

    /// Returns a reader of the answer of a request that runs, or was answered, here.
    #[must_use]
    pub fn reader(&self, id: &Id, fingerprint: u64) -> Option<Reader> {
        let shared = self.lock();
        shared.answers.get(id).filter(|answer| answer.fingerprint == fingerprint).map(|answer| answer.buffer.reader())
    }

    /// Returns whether a request is running here.
    #[must_use]
    pub fn is_running(&self, id: &Id) -> bool {
        self.lock().answers.get(id).is_some_and(|answer| !answer.buffer.has_ended())
    }

    /// Replaces an answer buffer by another one of the same answer, which repeats read
    /// from now on.
    pub fn replace(&self, id: &Id, buffer: &Buffer, replacement: &Buffer) {
        if let Some(answer) = self.lock().answers.get_mut(id).filter(|answer| answer.buffer.is_same(buffer)) {
            answer.buffer = replacement.clone();
        }
    }

    /// Keeps a complete answer for a limited time.
    pub fn keep_finished(&self, id: &Id, buffer: &Buffer, bytes: usize) {
        let mut shared = self.lock();
        shared.bytes += bytes;
        let until = Instant::now() + KEEP_FINISHED;
        shared.finished.push_back(Finished { id: id.clone(), buffer: buffer.clone(), bytes, until });
        shared.expire(Instant::now());
    }

    /// Removes an answer that failed, so that a repeat may run.
    pub fn remove(&self, id: &Id, buffer: &Buffer) {
        self.lock().remove(id, buffer);
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Removes finished answers that are too old, and the oldest ones beyond the size
    /// limit.
    fn expire(&mut self, now: Instant) {
        while let Some(oldest) = self.finished.front() {
            if oldest.until > now && self.bytes <= MAX_FINISHED_BYTES {
                return;
            }
            let Some(oldest) = self.finished.pop_front() else { return };
            self.bytes -= oldest.bytes;
            self.remove(&oldest.id, &oldest.buffer);
        }
    }

    /// Removes the answer under a key if it is still in this answer buffer.
    fn remove(&mut self, id: &Id, buffer: &Buffer) {
        if self.answers.get(id).is_some_and(|answer| answer.buffer.is_same(buffer)) {
            self.answers.remove(id);
        }
    }
}
