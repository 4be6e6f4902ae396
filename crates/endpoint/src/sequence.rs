//! Order of an attempt's events.
//!
//! Event ids are `ATTEMPT:INDEX`. After a resume or a mix-up in an engine the
//! same event may come twice, or an event of another attempt may come; both
//! would corrupt the answer, so they are dropped. A missing event cannot be
//! mended here: the stream counts as broken and is resumed from [`Sequence::next`].

use crate::run::Attempt;

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The next one: use it.
    Take(u64),
    /// Seen before: drop it.
    Repeated,
    /// Of another attempt, or without a readable id: drop it.
    Foreign,
    /// Events are missing: the stream is broken.
    Gap,
}

/// Which event of an attempt comes next.
#[derive(Debug, Clone)]
pub struct Sequence {
    attempt: Attempt,
    next: u64,
}

impl Sequence {
    /// Starts at the event `from`.
    #[must_use]
    pub fn new(attempt: Attempt, from: u64) -> Self {
        Self { attempt, next: from }
    }

    /// Index of the next event.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Judges an event by its id and moves on when it is the next one.
    pub fn accept(&mut self, id: &str) -> Verdict {
        let Some((attempt, index)) = id.rsplit_once(':') else {
            return Verdict::Foreign;
        };
        let Ok(index) = index.parse::<u64>() else {
            return Verdict::Foreign;
        };
        if attempt != self.attempt.as_str() {
            return Verdict::Foreign;
        }
        if index < self.next {
            return Verdict::Repeated;
        }
        if index > self.next {
            return Verdict::Gap;
        }
        self.next += 1;
        Verdict::Take(index)
    }
}
