//! Which model of a ladder answers a request.
//!
//! Models stand smallest first. A small one reads and writes several times
//! faster and is right for about half of the requests; its answer comes with
//! its own rough opinion of it before any of it has reached the caller. So a
//! request starts small and goes to the largest model when that opinion is
//! low: the answer that is dropped costs the small model's first tokens only.

/// Lowest opinion, from 0 to 100, at which a smaller model's answer is kept.
pub const CUT: u32 = 60;

/// The same when the larger model's answer would come late, as it does while
/// endpoints are overloaded: a late answer is worth about a third to callers,
/// so a small model's answer in time is kept unless it is likely wrong.
pub const LATE_CUT: u32 = 25;

/// When a further run's first event would come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outlook {
    /// Within the route's goal.
    InTime,
    /// After it, within the caller's time.
    Late,
    /// Too late for anybody.
    Never,
}

/// What is left for a further run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Dispatches that the route still allows.
    pub attempts: u32,
    /// Whether the retry allowance has room.
    pub allowance: bool,
    /// When its first event would come.
    pub outlook: Outlook,
}

/// What to do with a model's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Hand it to the caller.
    Keep,
    /// Drop it and ask the model at this index.
    Escalate(usize),
}

/// Times to a first event, each over the time in which it is wanted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// The smallest model's.
    pub small: f64,
    /// The largest model's.
    pub large: f64,
}

/// Part of the wanted time that an expectation may take: beyond it half of the
/// answers would come late.
const IN_TIME: f64 = 0.85;

/// The model to start with.
///
/// The load pattern: a few prompts are so long that the large model alone
/// still begins in time, but not after the small one was asked first. Half of
/// those would be answered late; they go to the large one at once.
#[must_use]
pub fn start(models: usize, room: Room, times: Times) -> usize {
    let last = models.saturating_sub(1);
    let alone = times.large <= IN_TIME;
    let after_the_small_one = times.small + times.large <= IN_TIME;
    if room.attempts < 2 || !room.allowance || (alone && !after_the_small_one) { last } else { 0 }
}

/// What to do with the answer of the model at `index`.
#[must_use]
pub fn step(index: usize, models: usize, confidence: Option<u32>, room: Room) -> Step {
    let last = models.saturating_sub(1);
    let cut = match room.outlook {
        Outlook::InTime => CUT,
        Outlook::Late => LATE_CUT,
        Outlook::Never => return Step::Keep,
    };
    let sure = confidence.is_none_or(|confidence| confidence >= cut);
    if sure || index >= last || room.attempts == 0 || !room.allowance {
        return Step::Keep;
    }
    Step::Escalate(last)
}
