//! Answers in progress, by the parts of their prompts.
//!
//! A part that crashes endpoints does so soon after an answer on it begins. An answer on the
//! same part that has gone on for longer elsewhere shows that the part is not the cause.

use std::time::Duration;

use route::relay::content::{Content, Work};
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Identifies an answer in progress.
    pub(in crate::dispatcher) struct AnswerKey;
}

/// Multiple of the time that a crashed answer had gone on, for which another one must have gone
/// on to show that a shared part is sound.
const OUTLIVING_FACTOR: u32 = 3;

/// Minimum time that it must have gone on.
const MIN_OUTLIVING_TIME: Duration = Duration::from_millis(300);

/// Answers that endpoints are sending to this instance.
#[derive(Debug, Clone, Default)]
pub(in crate::dispatcher) struct Answers(SlotMap<AnswerKey, Answer>);

#[derive(Debug, Clone)]
struct Answer {
    work: Work,
    began_at: Duration,
}

impl Answers {
    /// Adds an answer whose first byte has been received.
    pub fn add(&mut self, work: Work, began_at: Duration) -> AnswerKey {
        self.0.insert(Answer { work, began_at })
    }

    /// Removes an answer that has ended.
    pub fn remove(&mut self, key: AnswerKey) {
        self.0.remove(key);
    }

    /// Returns whether an answer on a part has gone on for much longer than one that a crash
    /// ended after `answer_time`.
    pub fn outlived(&self, part: Content, answer_time: Duration, now: Duration) -> bool {
        let enough = MIN_OUTLIVING_TIME.max(answer_time * OUTLIVING_FACTOR);
        let outlives = |answer: &Answer| now >= answer.began_at + enough && answer.work.parts.contains(&part);
        self.0.values().any(outlives)
    }
}
