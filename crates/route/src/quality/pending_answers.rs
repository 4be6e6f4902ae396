//! Answers whose rating is pending.

use std::collections::{HashMap, VecDeque};

use world::{Millis, Timestamp, model::Version};

use super::{Cell, Estimates, Hasher, Pending, Stage};

/// Maximum number of answers with a pending rating at an instance; beyond it the
/// oldest lapses.
const MAX_PENDING_ANSWERS: usize = 100_000;
/// Time after which an unrated answer lapses, in milliseconds: as soon as an answer
/// given more than this time later has been rated.
pub const LAPSE_MS: Millis = 10 * 60 * 1_000;

/// A final answer, with the data needed to record its rating.
#[derive(Debug, Clone, Copy)]
pub struct Answer<'a> {
    /// Customer and class of the request.
    pub cell: Cell,
    /// Version that gave the answer.
    pub version: &'a Version,
    /// Position in the ladder.
    pub stage: Stage,
    /// Value that [`Estimates::add_pending`] returned for the request.
    pub pending: Pending,
}

/// A bounded set of answers whose rating is pending.
///
/// Ratings may be minutes late or stop for an hour, and some never arrive. An
/// answer lapses when an answer given more than [`LAPSE_MS`] later has been rated:
/// the rating service has then skipped it. While the service is down nothing
/// lapses, so that the account stays cautious during the outage.
#[derive(Debug, Clone, Default)]
pub struct PendingAnswers {
    waiting: HashMap<u64, PendingAnswer, Hasher>,
    order: VecDeque<(Timestamp, u64)>,
}

#[derive(Debug, Clone)]
struct PendingAnswer {
    at: Timestamp,
    cell: Cell,
    version: Version,
    stage: Stage,
    pending: Pending,
}

impl PendingAnswers {
    /// Adds an answer given at `now`; `id` is the hash of its request.
    pub fn add(&mut self, quality: &mut Estimates, id: u64, answer: &Answer<'_>, now: Timestamp) {
        if self.waiting.len() >= MAX_PENDING_ANSWERS {
            self.lapse_oldest(quality);
        }
        let Answer { cell, version, stage, pending } = *answer;
        self.waiting.insert(id, PendingAnswer { at: now, cell, version: version.clone(), stage, pending });
        self.order.push_back((now, id));
    }

    /// Records a rating. Returns false if no answer is waiting for it.
    pub fn record_rating(&mut self, quality: &mut Estimates, id: u64, pass: bool) -> bool {
        let Some(waiting) = self.waiting.remove(&id) else { return false };
        quality.record_rating(waiting.cell, &waiting.version, waiting.stage, pass);
        quality.record_final_rating(waiting.cell, waiting.pending, pass);
        while self.order.front().is_some_and(|(at, _)| waiting.at.since(*at) > LAPSE_MS) {
            self.lapse_oldest(quality);
        }
        true
    }

    /// Returns the number of answers whose rating is pending.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn lapse_oldest(&mut self, quality: &mut Estimates) {
        let Some((_, id)) = self.order.pop_front() else { return };
        if let Some(waiting) = self.waiting.remove(&id) {
            quality.lapse(waiting.cell, waiting.pending);
        }
    }
}
