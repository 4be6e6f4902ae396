//! Answers whose rating is still to come.

use std::collections::{HashMap, VecDeque};

use world::{Millis, Timestamp, model::Version};

use super::{Book, Cell, Hasher, Pending, Stage};

/// Answers that may wait at an instance; the oldest lapses.
const MAX_WAITING: usize = 100_000;
/// How much older than a rated answer another may be and still wait.
pub const LAPSE_MS: Millis = 10 * 60 * 1_000;

/// A final answer as its rating will be entered.
#[derive(Debug, Clone, Copy)]
pub struct Answer<'a> {
    /// Whose, in which class.
    pub cell: Cell,
    /// The version that gave it.
    pub version: &'a Version,
    /// Where in its cascade.
    pub stage: Stage,
    /// What [`Book::open`] returned for its request.
    pub pending: Pending,
}

/// Answers whose rating is still to come, bounded.
///
/// Ratings may be minutes late or stop for an hour, and some never come. An
/// answer lapses when the rating of one given `LAPSE_MS` later is in: the
/// rating service has then passed it by. While the service is down nothing
/// lapses, so that the account stays as careful as the outage asks for.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    waiting: HashMap<u64, Waiting, Hasher>,
    order: VecDeque<(Timestamp, u64)>,
}

#[derive(Debug, Clone)]
struct Waiting {
    at: Timestamp,
    cell: Cell,
    version: Version,
    stage: Stage,
    pending: Pending,
}

impl Ledger {
    /// Enters an answer given at `now`; `id` is the hash of its request.
    pub fn answered(&mut self, book: &mut Book, id: u64, answer: &Answer<'_>, now: Timestamp) {
        if self.waiting.len() >= MAX_WAITING {
            self.lapse_oldest(book);
        }
        let Answer { cell, version, stage, pending } = *answer;
        self.waiting.insert(id, Waiting { at: now, cell, version: version.clone(), stage, pending });
        self.order.push_back((now, id));
    }

    /// Enters a rating; false when no answer waits for it.
    pub fn rated(&mut self, book: &mut Book, id: u64, pass: bool) -> bool {
        let Some(waiting) = self.waiting.remove(&id) else { return false };
        book.rate(waiting.cell, &waiting.version, waiting.stage, pass);
        book.close(waiting.cell, waiting.pending, pass);
        while self.order.front().is_some_and(|(at, _)| waiting.at.since(*at) > LAPSE_MS) {
            self.lapse_oldest(book);
        }
        true
    }

    /// Answers that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn lapse_oldest(&mut self, book: &mut Book) {
        let Some((_, id)) = self.order.pop_front() else { return };
        if let Some(waiting) = self.waiting.remove(&id) {
            book.lapse(waiting.cell, waiting.pending);
        }
    }
}
