//! Selects which model of a ladder answers a request.
//!
//! A ladder orders models from the smallest to the largest. A small model processes prompts
//! and generates tokens several times faster and answers about half of the requests
//! correctly. Its answer comes with its own rough confidence before any of it has reached
//! the caller. A request therefore starts at a small model and escalates to the largest one
//! if the confidence is low. The dropped answer costs only the small model's first tokens.
//!
//! The functions here compare confidences with fixed thresholds; those of [`value`] compare what a
//! larger model is expected to gain with its price.

pub mod calibration;
pub mod value;

use std::ops::RangeInclusive;

/// Minimum confidence, from 0 to 100, for keeping a smaller model's answer.
pub const MIN_CONFIDENCE: u32 = 60;

/// Minimum confidence for keeping a smaller model's answer when the larger model would be
/// late because of the prompt's length. A late answer is worth about a third to callers, so
/// a small model's answer in time is kept unless it is likely wrong.
pub const MIN_CONFIDENCE_IF_LATE: u32 = 25;

/// Deducted from the confidence on the most urgent routes. Their requests have few tokens
/// and a high value, so a doubtful answer is escalated.
const MOST_URGENT_DEDUCTION: u32 = 10;

/// Added to the confidence on the least urgent routes.
///
/// The most frequent requests are checks with a long prompt and a few tokens of output.
/// Without the bonus, every second one escalated under heavy load to the largest model,
/// which processed 2,400 prompt tokens for each, and urgent requests waited behind them.
const LEAST_URGENT_BONUS: u32 = 20;

/// Urgency of a route among those that have a ladder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Urgency {
    /// More urgent than all others.
    First,
    /// In between, or all routes are equally urgent.
    #[default]
    Usual,
    /// Less urgent than all others.
    Last,
}

impl Urgency {
    /// Returns the urgency of a rank among the ranks of all routes that have a ladder. Rank
    /// 0 is the most urgent.
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

    /// Adjusts a confidence by the route's urgency.
    fn adjust(self, confidence: u32) -> u32 {
        match self {
            Self::First => confidence.saturating_sub(MOST_URGENT_DEDUCTION),
            Self::Usual => confidence,
            Self::Last => confidence.saturating_add(LEAST_URGENT_BONUS),
        }
    }
}

/// Expected time of the first event of a further run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outlook {
    /// Within the route's goal.
    InTime,
    /// After the goal but within the caller's timeout, because of the prompt's length.
    LateByLength,
    /// After the goal but within the caller's timeout, only because of the current queues.
    LateByQueues,
    /// Too late for the caller.
    TooLate,
}

/// Resources left for a further run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Remaining {
    /// Number of dispatches that the route still allows.
    pub attempts: u32,
    /// Whether the retry allowance permits another dispatch.
    pub allowance: bool,
}

/// What to do with a model's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Pass it on to the caller.
    Keep,
    /// Drop it and ask the model at this index.
    Escalate(usize),
}

/// A model's time to the first event, relative to the time in which one is wanted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeTime {
    /// Relative time at an idle endpoint.
    pub idle: f64,
    /// Relative time with the current queues.
    pub now: f64,
}

impl RelativeTime {
    /// Time of a model whose answer would end too late.
    pub const NEVER: Self = Self { idle: f64::INFINITY, now: f64::INFINITY };
}

/// Largest relative time that counts as in time. Above it half of the answers would be
/// late.
const MAX_IN_TIME: f64 = 0.85;

/// Selects the index of the model to start with; `times` is ordered from the smallest
/// model.
///
/// Two load patterns are handled. Some prompts are so long that the large model is still in
/// time if it is asked at once, but not after the small one. Those go to the large model
/// directly, and even longer ones to the largest model that is in time. When endpoints are
/// lost or many callers arrive at once, queues grow for everybody and all requests look
/// like long prompts. The large model, which takes ten times longer to process a prompt,
/// would then prolong the overload. So a prompt's length is judged by the time at an idle
/// endpoint, and queues can only prevent a start at the large model, never cause one.
///
/// Models whose answers would end too late are not selected unless all of them are.
#[must_use]
pub fn first_model(remaining: Remaining, times: &[RelativeTime]) -> usize {
    let count = times.iter().rposition(|time| *time != RelativeTime::NEVER).map_or(times.len(), |last| last + 1);
    let times = &times[..count];
    let last = times.len().saturating_sub(1);
    let (Some(small), Some(large)) = (times.first(), times.last()) else { return last };
    let smallest = smallest_in_time(times);
    if remaining.attempts < 2 {
        return last;
    }
    let in_time = |time: &RelativeTime| time.now <= MAX_IN_TIME;
    if large.idle > MAX_IN_TIME {
        return times.iter().rposition(in_time).unwrap_or(smallest);
    }
    let fits_after_small = small.idle + large.idle <= MAX_IN_TIME;
    if in_time(large) && !(remaining.allowance && fits_after_small) { last } else { smallest }
}

/// Returns the index of the smallest model whose answer would not end too late; 0 if there is none.
fn smallest_in_time(times: &[RelativeTime]) -> usize {
    times.iter().position(|time| *time != RelativeTime::NEVER).unwrap_or(0)
}

/// Decides what to do with the answer of the model at `index`. `outlooks` holds the
/// expected time of each model, smallest first.
///
/// If the largest model would be late because of a long prompt or full queues, an answer of
/// low confidence can still escalate to a model in between. Such a model processes prompts
/// four times faster than the largest and answers most requests correctly that the small
/// one nearly answers, so it is used if it is in time.
///
/// If a prompt would be late only because of the current queues, its answer is not
/// escalated to the largest model. Half of the small models' answers are likely wrong.
/// Escalating each of them would occupy the largest model for seconds, make other requests
/// late and prolong the overload.
#[must_use]
pub fn next_step(
    index: usize,
    confidence: Option<u32>,
    urgency: Urgency,
    remaining: Remaining,
    outlooks: &[Outlook],
) -> Step {
    let last = outlooks.len().saturating_sub(1);
    let Some(confidence) = confidence.map(|confidence| urgency.adjust(confidence)) else { return Step::Keep };
    if index >= last || remaining.attempts == 0 || !remaining.allowance || confidence >= MIN_CONFIDENCE {
        return Step::Keep;
    }
    let is_replaced = match outlooks[last] {
        Outlook::InTime => true,
        Outlook::LateByLength => confidence < MIN_CONFIDENCE_IF_LATE,
        Outlook::LateByQueues | Outlook::TooLate => false,
    };
    if is_replaced {
        return Step::Escalate(last);
    }
    let in_time = |model: &usize| outlooks[*model] == Outlook::InTime;
    (index + 1..last).rfind(in_time).map_or(Step::Keep, Step::Escalate)
}
