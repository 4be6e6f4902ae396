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

/// A model's time to a first event, over the time in which one is wanted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Time {
    /// At an idle endpoint.
    pub idle: f64,
    /// With the waits of this moment.
    pub now: f64,
}

/// Part of the wanted time that an expectation may take: beyond it half of the
/// answers would come late.
const IN_TIME: f64 = 0.85;

/// The model to start with, `times` standing smallest model first.
///
/// Two load patterns meet here. A few prompts are so long that the large model
/// alone still begins in time, but not after the small one was asked first:
/// those go to the large one at once, and longer ones still to the largest
/// that begins in time. And when endpoints are lost or callers come in a
/// crowd, waits grow for everybody; then all requests look like that, and the
/// large model, which reads ten times longer, would make the crowd last. So
/// length is judged by an idle endpoint's time, waits only ever speak against
/// the large model.
#[must_use]
pub fn start(room: Room, times: &[Time]) -> usize {
    let last = times.len().saturating_sub(1);
    let (Some(small), Some(large)) = (times.first(), times.last()) else { return last };
    if room.attempts < 2 {
        return last;
    }
    let in_time = |time: &Time| time.now <= IN_TIME;
    if large.idle > IN_TIME {
        return times.iter().rposition(in_time).unwrap_or(0);
    }
    let after_the_small_one = small.idle + large.idle <= IN_TIME;
    if in_time(large) && !(room.allowance && after_the_small_one) { last } else { 0 }
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
