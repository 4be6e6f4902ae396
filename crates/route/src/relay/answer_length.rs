//! Predicts whether a model's output ends before the deadline.
//!
//! A caller may state how many tokens it expects. Such hints are right at the median and often far off.
//! The time per expected token, observed on recent streams of a model, contains their errors: a stream
//! that becomes twice as long as expected shows twice the time per token. A model therefore counts as
//! ending in time if a sufficient share of the recent streams would have ended in the time left, at
//! their time per token and the length expected now.
//!
//! A false "too late" costs the difference between two models' right answers, and a false "in time" the
//! whole request. The larger model is worth asking if it ends in time with a higher probability than
//! that of a right answer by the smaller one.

pub mod models;
pub mod progress;

use std::{collections::VecDeque, time::Duration};

use super::ladder::{Outlook, RelativeTime};

/// Share of recent streams that must have ended in the time left for a model to be asked first. The
/// smaller models answer 0.54 to 0.64 of the requests correctly.
pub const START_SHARE: f64 = 0.6;

/// Share of recent streams that must have ended in the time left for a larger model to be asked after an
/// answer of low confidence. Such an answer is right in one of four cases, and the further run has a
/// price.
pub const ESCALATION_SHARE: f64 = 0.5;

/// Bounds of the time per token, in milliseconds. Without them, wrong hints of one caller could exclude a
/// model, or keep it, for all lengths.
const MIN_TOKEN_MS: f64 = 0.1;
const MAX_TOKEN_MS: f64 = 1_000.0;

/// Time of a stream that was cut off as a multiple of its lower bound. The stream needed more than its bound,
/// and a stream of the same length must count as too late also if the caller closed the connection a little
/// before the deadline, or if this time the first event comes sooner.
const BOUND_MARGIN: f64 = 1.2;

/// Number of observations from which the time per token is known. One stream whose hint is far off then moves
/// the shares by one of six, and cannot decide alone.
const MIN_OBSERVATIONS: usize = 6;

/// Maximum number of observations that are kept: enough for steps of 2% in the shares. They are sorted for
/// each decision with a hint.
const MAX_OBSERVATIONS: usize = 64;

/// Time for which observations count. A stream that is cut off at its deadline is observed some 20 s
/// after its start.
const MAX_AGE: Duration = Duration::from_secs(45);

/// Minimum expected length of an observed stream, in tokens. An event holds some eight tokens, and the time
/// from the first event to the end of a shorter stream lacks much of its output.
const MIN_TOKENS: u32 = 32;

/// Returns the number of tokens that a caller expects, given its hint and its maximum.
#[must_use]
pub fn expected_tokens(hint: Option<u32>, max: u32) -> Option<u32> {
    hint.map(|hint| hint.min(max)).filter(|tokens| *tokens > 0)
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// After its last event.
    Whole,
    /// At its deadline, so that its time is a lower bound.
    CutOff,
}

/// Time per expected token of one model's recent streams.
#[derive(Debug, Clone, Default)]
pub struct TokenTimes {
    /// Oldest first.
    observations: VecDeque<Observation>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    token_ms: f64,
    ending: Ending,
    at: Duration,
}

impl TokenTimes {
    /// Adds a stream of which `tokens` were expected and that took `took_ms` milliseconds after its first
    /// event.
    pub fn observe(&mut self, tokens: u32, took_ms: f64, ending: Ending, now: Duration) {
        if tokens < MIN_TOKENS || !took_ms.is_finite() {
            return;
        }
        if self.observations.len() >= MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        let token_ms = (took_ms / f64::from(tokens)).clamp(MIN_TOKEN_MS, MAX_TOKEN_MS);
        self.observations.push_back(Observation { token_ms, ending, at: now });
    }

    /// Returns the time per token within which a share of the recent streams ended, in milliseconds; `None`
    /// if there are too few of them.
    ///
    /// The time of a stream that was cut off is at least that of the streams that ended: it would otherwise
    /// make a model look faster that is too slow for it. If few streams ended, it is at least the largest
    /// bound: the bounds of long expected lengths are low, and say nothing of the shorter ones.
    #[must_use]
    pub fn token_ms(&self, share: f64, now: Duration) -> Option<f64> {
        let recent: Vec<&Observation> = self.observations.iter().filter(|one| one.at + MAX_AGE > now).collect();
        if recent.len() < MIN_OBSERVATIONS {
            return None;
        }
        let of = |ending: Ending| recent.iter().filter(move |one| one.ending == ending);
        let mut times: Vec<f64> = of(Ending::Whole).map(|one| one.token_ms).collect();
        let bounds: Vec<f64> = of(Ending::CutOff).map(|one| (one.token_ms * BOUND_MARGIN).min(MAX_TOKEN_MS)).collect();
        let usual = quantile(&mut times, share).unwrap_or_default();
        let largest = bounds.iter().copied().fold(usual, f64::max);
        let at_least = if times.len() < MIN_OBSERVATIONS { largest } else { usual };
        times.extend(bounds.iter().map(|bound| bound.max(at_least)));
        quantile(&mut times, share)
    }
}

/// Sorts values, and returns the smallest one that is not below a share of them; `None` if there are none.
fn quantile(values: &mut [f64], share: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    #[expect(clippy::cast_precision_loss, reason = "few observations are kept")]
    let rank = share.clamp(0.0, 1.0) * values.len() as f64;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "between 0 and the number of values")]
    let index = (rank.ceil() as usize).max(1) - 1;
    values.get(index).copied()
}

/// Returns the expected times of the models' outputs, smallest model first, given those that are known. A
/// larger model generates tokens no faster than a smaller one, so the time of one that is not known is at
/// least that of the next smaller one.
#[must_use]
pub fn output_times(known: &[Option<f64>]) -> Vec<Option<f64>> {
    let or_smaller = |smaller: &mut Option<f64>, known: &Option<f64>| {
        *smaller = known.or(*smaller);
        Some(*smaller)
    };
    known.iter().scan(None, or_smaller).collect()
}

/// Returns whether a model's output ends within the time left. `first_event` is the expected time to its
/// first event and `output` that of its output, `None` if the length is not considered; all on the same
/// scale.
#[must_use]
pub fn ends_in_time(first_event: f64, output: Option<f64>, left: f64) -> bool {
    output.is_none_or(|output| first_event + output <= left)
}

/// Models that a request may start with, by its length.
#[derive(Debug, Clone, PartialEq)]
pub enum Limit {
    /// All of them; the length changes nothing.
    None,
    /// Those of finite times.
    Times(Vec<RelativeTime>),
    /// None ends in time, and the one at this index ends first.
    FirstToEnd(usize),
}

/// Limits the models that a request may start with to those that end before the deadline.
///
/// `times` are the times to the first event and `outputs` those of the output, smallest model first;
/// `deadline` is the time left. All are on the same scale. A model that ends in time only if it is not asked
/// after the smallest one gets an infinite time at an idle endpoint, as if its prompt were too long for that.
#[must_use]
pub fn limit(times: &[RelativeTime], outputs: &[Option<f64>], deadline: f64) -> Limit {
    // A service that takes no request at the moment may take one within the time that it is waited for.
    let first_event = |time: &RelativeTime| if time.now.is_finite() { time.now } else { time.idle };
    let smallest = times.first().map_or(0.0, |time| time.idle);
    let limited = |(index, (time, output)): (usize, (&RelativeTime, &Option<f64>))| {
        if !ends_in_time(first_event(time), *output, deadline) {
            RelativeTime::NEVER
        } else if index > 0 && !ends_in_time(smallest + time.idle, *output, deadline) {
            RelativeTime { idle: f64::INFINITY, ..*time }
        } else {
            *time
        }
    };
    let limited: Vec<RelativeTime> = times.iter().zip(outputs).enumerate().map(limited).collect();
    if limited.iter().all(|time| *time == RelativeTime::NEVER) {
        let ends = times.iter().zip(outputs).map(|(time, output)| first_event(time) + output.unwrap_or_default());
        let first = ends.enumerate().min_by(|(_, one), (_, other)| one.total_cmp(other));
        return first.map_or(Limit::None, |(index, _)| Limit::FirstToEnd(index));
    }
    if limited == times { Limit::None } else { Limit::Times(limited) }
}

/// Limits the models that may follow an answer: one that does not end in time is too late. `ends` tells by
/// index whether a model ends in time.
#[must_use]
pub fn limit_outlooks(outlooks: &[Outlook], ends: impl Fn(usize) -> bool) -> Vec<Outlook> {
    let limited = |(index, outlook): (usize, &Outlook)| if ends(index) { *outlook } else { Outlook::TooLate };
    outlooks.iter().enumerate().map(limited).collect()
}
