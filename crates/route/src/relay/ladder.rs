//! Which model of a ladder answers a request.
//!
//! Models stand smallest first. A small one reads and writes several times
//! faster and is right for about half of the requests; its answer comes with
//! its own rough opinion of it before any of it has reached the caller. So a
//! request starts small and goes to the largest model when that opinion is
//! low: the answer that is dropped costs the small model's first tokens only.

/// Lowest opinion, from 0 to 100, at which a smaller model's answer is kept.
pub const CUT: u32 = 60;

/// What is left for a further run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Dispatches that the route still allows.
    pub attempts: u32,
    /// Whether the retry allowance has room.
    pub allowance: bool,
    /// Whether the time left suffices for another first token.
    pub time: bool,
}

/// What to do with a model's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Hand it to the caller.
    Keep,
    /// Drop it and ask the model at this index.
    Escalate(usize),
}

/// The model to start with.
#[must_use]
pub fn start(models: usize, room: Room) -> usize {
    let last = models.saturating_sub(1);
    if room.attempts < 2 || !room.allowance { last } else { 0 }
}

/// What to do with the answer of the model at `index`.
#[must_use]
pub fn step(index: usize, models: usize, confidence: Option<u32>, room: Room) -> Step {
    let last = models.saturating_sub(1);
    let sure = confidence.is_none_or(|confidence| confidence >= CUT);
    if sure || index >= last || room.attempts == 0 || !room.allowance || !room.time {
        return Step::Keep;
    }
    Step::Escalate(last)
}
