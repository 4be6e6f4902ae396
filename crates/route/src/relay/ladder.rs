//! Which model of a ladder answers a request.
//!
//! Models stand smallest first. A small one reads and writes several times
//! faster and is right for about half of the requests; its answer comes with
//! its own rough opinion of it before any of it has reached the caller. So a
//! request starts small and goes to the largest model when that opinion is
//! low: the answer that is dropped costs the small model's first tokens only.

use std::ops::RangeInclusive;

/// Lowest opinion, from 0 to 100, at which a smaller model's answer is kept.
pub const CUT: u32 = 60;

/// The same when the larger model's answer would come late for the prompt's own
/// length: a late answer is worth about a third to callers, so a small model's
/// answer in time is kept unless it is likely wrong.
pub const LATE_CUT: u32 = 25;

/// Taken off an opinion on a route that goes first: its requests have few
/// tokens and much is owed for them, so a doubtful answer is asked for again.
const FIRST: u32 = 10;

/// Added to an opinion on a route that goes last.
///
/// The load pattern: the most frequent requests are checks with a long prompt and
/// a few tokens of output. On a heavy day every second of them went on to the
/// largest model, which read 2,400 tokens for each, and urgent requests waited
/// behind them. With this and the lean to the first routes, callers of
/// a heavy day with 74 instances were given 0.862 of what they were owed in place
/// of 0.856, with 61 instances 0.925 in place of 0.922, and models cost 2 to 5 in
/// 100 less (one simulated day each).
const LAST: u32 = 20;

/// How urgent a route is among those that have a ladder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Urgency {
    /// Before all others.
    First,
    /// Neither, or all are alike.
    #[default]
    Usual,
    /// After all others.
    Last,
}

impl Urgency {
    /// The urgency of a rank, 0 first, among the ranks of all routes that have
    /// a ladder.
    #[must_use]
    pub fn of(rank: u8, ranks: RangeInclusive<u8>) -> Self {
        if ranks.start() == ranks.end() {
            Self::Usual
        } else if rank == *ranks.start() {
            Self::First
        } else if rank == *ranks.end() {
            Self::Last
        } else {
            Self::Usual
        }
    }

    /// An opinion as it counts on such a route.
    fn weigh(self, confidence: u32) -> u32 {
        match self {
            Self::First => confidence.saturating_sub(FIRST),
            Self::Usual => confidence,
            Self::Last => confidence.saturating_add(LAST),
        }
    }
}

/// When a further run's first event would come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outlook {
    /// Within the route's goal.
    InTime,
    /// After it, within the caller's time, for the prompt's own length.
    Late,
    /// The same, for the waits of this moment.
    Crowded,
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

/// What to do with the answer of the model at `index`, by when each model's
/// first event would come, smallest first.
///
/// The load pattern: where the largest model would come late, a long prompt or
/// a busy moment, an answer that is neither sure nor surely wrong was kept. A
/// middle one reads four times faster than the largest and is right for most
/// requests that the small one nearly answers, so it is asked if it is in time.
///
/// And where only the waits of this moment would make a short prompt late, half
/// of the small answers are likely wrong; each that went on to the largest model
/// took its place for seconds and made others late as well, so the crowd lasted.
/// Such an answer is kept. Late requests of heavy days with 61 and 74 instances
/// fell from 1,692 to 1,063 and from 1,059 to 863, what callers were given of
/// what they were owed rose from 0.909 to 0.910 and from 0.879 to 0.885 (one
/// simulated day each).
#[must_use]
pub fn step(index: usize, confidence: Option<u32>, urgency: Urgency, room: Room, outlooks: &[Outlook]) -> Step {
    let last = outlooks.len().saturating_sub(1);
    let Some(confidence) = confidence.map(|confidence| urgency.weigh(confidence)) else { return Step::Keep };
    if index >= last || room.attempts == 0 || !room.allowance || confidence >= CUT {
        return Step::Keep;
    }
    let is_replaced = match outlooks[last] {
        Outlook::InTime => true,
        Outlook::Late => confidence < LATE_CUT,
        Outlook::Crowded | Outlook::Never => false,
    };
    if is_replaced {
        return Step::Escalate(last);
    }
    let in_time = |model: &usize| outlooks[*model] == Outlook::InTime;
    (index + 1..last).rfind(in_time).map_or(Step::Keep, Step::Escalate)
}
