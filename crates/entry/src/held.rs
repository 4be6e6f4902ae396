//! Answers held here under their callers' keys: running ones, and finished
//! ones for a while, so that a repeat gets the same answer and runs nothing.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use world::request::Id;

use crate::tape::{Reader, Tape};

/// How long a finished answer is held.
const HOLD: Duration = Duration::from_mins(2);
/// Most bytes of finished answers.
const MAX_BYTES: usize = 32 * 1024 * 1024;

/// Answers under their keys; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Held {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    answers: HashMap<Id, Answer>,
    finished: VecDeque<Finished>,
    bytes: usize,
}

#[derive(Debug)]
struct Answer {
    tape: Tape,
    fingerprint: u64,
}

#[derive(Debug)]
struct Finished {
    id: Id,
    tape: Tape,
    bytes: usize,
    until: Instant,
}

/// What is held under a key.
#[derive(Debug)]
pub enum Found {
    /// Nothing was: this tape is the caller's to write, with its reader.
    New(Tape, Reader),
    /// The same request, running or answered.
    Same(Reader),
    /// Another request.
    Other,
}

impl Held {
    /// Finds a request's answer, or opens its tape.
    #[must_use]
    pub fn find_or_open(&self, id: &Id, fingerprint: u64) -> Found {
        let mut shared = self.lock();
        shared.expire(Instant::now());
        match shared.answers.get(id) {
            Some(answer) if answer.fingerprint != fingerprint => Found::Other,
            Some(answer) => Found::Same(answer.tape.reader()),
            None => {
                let tape = Tape::open();
                let reader = tape.reader();
                shared.answers.insert(id.clone(), Answer { tape: tape.clone(), fingerprint });
                Found::New(tape, reader)
            }
        }
    }

    /// Joins a request that runs, or was answered, here.
    #[must_use]
    pub fn join(&self, id: &Id, fingerprint: u64) -> Option<Reader> {
        let shared = self.lock();
        shared.answers.get(id).filter(|answer| answer.fingerprint == fingerprint).map(|answer| answer.tape.reader())
    }

    /// Whether a request runs here.
    #[must_use]
    pub fn running(&self, id: &Id) -> bool {
        self.lock().answers.get(id).is_some_and(|answer| !answer.tape.ended())
    }

    /// Puts another tape of the same answer in a tape's place; a repeat reads that.
    pub fn replace(&self, id: &Id, tape: &Tape, with: &Tape) {
        if let Some(answer) = self.lock().answers.get_mut(id).filter(|answer| answer.tape.is(tape)) {
            answer.tape = with.clone();
        }
    }

    /// Keeps a whole answer for a while.
    pub fn keep(&self, id: &Id, tape: &Tape, bytes: usize) {
        let mut shared = self.lock();
        shared.bytes += bytes;
        let until = Instant::now() + HOLD;
        shared.finished.push_back(Finished { id: id.clone(), tape: tape.clone(), bytes, until });
        shared.expire(Instant::now());
    }

    /// Forgets an answer that did not come about: a repeat may run.
    pub fn forget(&self, id: &Id, tape: &Tape) {
        self.lock().remove(id, tape);
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    fn expire(&mut self, now: Instant) {
        while let Some(oldest) = self.finished.front() {
            if oldest.until > now && self.bytes <= MAX_BYTES {
                return;
            }
            let Some(oldest) = self.finished.pop_front() else { return };
            self.bytes -= oldest.bytes;
            self.remove(&oldest.id, &oldest.tape);
        }
    }

    fn remove(&mut self, id: &Id, tape: &Tape) {
        if self.answers.get(id).is_some_and(|answer| answer.tape.is(tape)) {
            self.answers.remove(id);
        }
    }
}
