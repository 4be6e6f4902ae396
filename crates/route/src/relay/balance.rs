//! Selects endpoints in turns, for instances whose knowledge of loads is out of date.
//!
//! What an instance knows of other instances' runs is up to 1.25 s old, longer than most runs
//! take. An instance that sends to the endpoint with the least known load does what all others
//! do at that moment, so endpoints are overloaded in turn. Each instance therefore sends to all
//! endpoints in a rotation of its own, in proportion to the rate at which an endpoint completes
//! requests: its slots over its response time. Both are properties of the endpoint that hold for
//! seconds. Response times come from the instance's own runs, are never late and include the wait
//! in the endpoint's queue, so that an endpoint that others overload gets fewer requests. A
//! rotation spreads the sends of one instance evenly over time, which independent random draws
//! do not.
//!
//! The rotation is start-time fair queueing: a virtual clock advances with each request by the
//! inverse of the sum of all rates, and an endpoint is due again one inverse of its own rate after
//! its last turn. An endpoint that is new, or was away for a while, enters the rotation at a random
//! place. Otherwise all instances would send to it at the moment at which it returns.
//!
//! Information that is up to date decides before the turn does: an endpoint takes part in the
//! rotation only if its prompt backlog, which notices announce, is about as short as the
//! shortest, and if it answers. An endpoint at which runs fail gets fewer requests, but keeps its
//! turns: the others may be full, and a single failure says little. Holders of a shared prefix keep
//! the preference that [`placement`] gives them.

use std::time::Duration;

use world::hash;

use super::placement::{self, Candidate, Choice, Request};

/// Scale on which a longer wait by up-to-date information makes an endpoint less eligible, in
/// milliseconds. Shorter waits make no difference to callers, and are within the error of the
/// estimated reading times.
const WAIT_SCALE_MS: f64 = 20.0;

/// Share of the best endpoint's eligibility below which an endpoint has no turn.
const MIN_ELIGIBILITY: f64 = 0.3;

/// Rate of sends to endpoints in other failure domains, as a fraction of that to local ones.
/// Lower values leave endpoints of a domain overloaded if its instances have more traffic than
/// those of other domains.
const REMOTE_RATE: f64 = 0.8;

/// Effect of a larger number of runs for each slot on the rate of sends, as the decrease of its
/// logarithm. Where reports are older than runs last, the estimated runs are close to the mean and
/// have little effect.
const OCCUPANCY_WEIGHT: f64 = 3.0;

/// Maximum increase of the rate of sends to an endpoint with fewer runs than others. All instances
/// see the same empty endpoint, and do so until their next reports.
const MAX_VACANCY: f64 = 2.0;

/// Effect of failed runs on the rate of sends, as the decrease of its logarithm for an endpoint that
/// is certain to fail: it gets less than a hundredth of the requests of others, and one with a single
/// recent failure about half.
const FAILURE_WEIGHT: f64 = 5.0;

/// Time without a response after which an endpoint has no turn, in usual times of a run. The longest
/// runs and those that wait in a queue take a few times the usual time.
const SILENT_RUNS: f64 = 4.0;

/// Shortest time without a response after which an endpoint has no turn. Short runs are late by more
/// where the processor of an instance is busy.
const MIN_SILENCE: Duration = Duration::from_millis(100);

/// Maximum number of turns by which an endpoint may be ahead of the rotation. Sends to the holder
/// of a hot prefix count as turns; with this bound the endpoint returns to the rotation soon after
/// the prefix has cooled down.
const MAX_TURNS_AHEAD: f64 = 4.0;

/// Fraction of a turn by which an endpoint may be overdue. Those that were away for longer enter the
/// rotation again, so that they do not get the requests that they missed.
const MAX_OVERDUE: f64 = 0.5;

/// Smallest and largest response time of an endpoint relative to those of the service. Larger
/// differences are due to single requests rather than to the endpoint.
const PACE_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Maximum number of observations in the mean response time of an endpoint.
const MAX_OBSERVATIONS: f64 = 10.0;

/// Number of observations that count against an endpoint's first ones, so that a single slow
/// request does not make an endpoint look slow.
const PRIOR_OBSERVATIONS: f64 = 1.0;

/// Time in which half of the observations of an endpoint are forgotten.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(10);

/// What an instance knows of an endpoint besides its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turn {
    /// Virtual time at which the endpoint is due; `None` before the first send.
    pub due: Option<f64>,
    /// Number of runs of other instances, by [`dependable_runs`]. Own runs do not count: the
    /// rotation spreads them already.
    pub others: f64,
    /// Response time relative to the mean of the service, as a factor.
    pub pace: f64,
    /// Whether the endpoint rejected a request as full a moment ago.
    pub is_full: bool,
    /// Whether the instance's own runs there get no answer, by [`is_silent`].
    pub is_silent: bool,
}

/// The chosen endpoint and the rotation after a send there.
#[derive(Debug, Clone, PartialEq)]
pub struct Balanced {
    /// The choice.
    pub choice: Choice,
    /// Virtual time after the send.
    pub clock: f64,
    /// Virtual time at which the chosen endpoint is due again.
    pub due: f64,
    /// Other endpoints that entered the rotation, by index, and when each is due.
    pub entered: Vec<(usize, f64)>,
}

/// Chooses an endpoint, or returns `None` if there is no candidate.
///
/// `turns` belongs to the candidates, in the same order, and `clock` is the virtual time of the
/// rotation. `seed` stands for the instance and decides where endpoints enter its rotation.
#[must_use]
pub fn choose(
    candidates: &[Candidate<'_>],
    turns: &[Turn],
    request: Request,
    clock: f64,
    seed: u64,
) -> Option<Balanced> {
    let eligibility = eligibilities(candidates, turns);
    let best = eligibility.iter().copied().fold(0.0, f64::max);
    let has_turn = |index: &usize| eligibility[*index] >= MIN_ELIGIBILITY * best;
    let mean_occupancy = mean_occupancy(candidates, turns);
    let rate = |index: usize| rate(&candidates[index], &turns[index], mean_occupancy);
    let length = |index: usize| 1.0 / rate(index);
    let mut entered = Vec::new();
    let mut starts = Vec::with_capacity(candidates.len());
    for (index, turn) in turns.iter().enumerate() {
        let length = length(index);
        let is_overdue = |due: &f64| due + length < clock - MAX_OVERDUE * length;
        let start = turn.due.filter(|due| !is_overdue(due)).unwrap_or_else(|| {
            let due = clock - length * phase(seed ^ clock.to_bits(), candidates[index].id);
            entered.push((index, due));
            due
        });
        starts.push(start);
    }
    let finish = |index: &usize| starts[*index] + length(*index) * best / eligibility[*index];
    let next = (0..candidates.len()).filter(has_turn).min_by(|a, b| finish(a).total_cmp(&finish(b)))?;
    let answers = |index: usize| eligibility[index] > 0.0 || !turns[index].is_silent;
    let mut choice = placement::choose_beside(candidates, request, next);
    if !answers(choice.index) {
        choice = placement::choice_of(candidates, request, next);
    }
    choice.source = choice.source.filter(|source| answers(*source));
    let total: f64 = (0..candidates.len()).filter(has_turn).map(rate).sum();
    let due = starts[choice.index].min(clock + MAX_TURNS_AHEAD * length(choice.index)) + length(choice.index);
    entered.retain(|(index, _)| *index != choice.index);
    Some(Balanced { choice, clock: clock + 1.0 / total, due, entered })
}

/// Returns how eligible each candidate is for a request by information that is up to date, from 0
/// to 1.
fn eligibilities(candidates: &[Candidate<'_>], turns: &[Turn]) -> Vec<f64> {
    let least = candidates.iter().map(|candidate| candidate.backlog_ms).fold(f64::MAX, f64::min);
    // Of endpoints that are all silent, as in an overload, and of those that are all full, each has
    // its turn.
    let hindrance = |turn: &Turn| u8::from(turn.is_silent) + 2 * u8::from(turn.is_full);
    let least_hindrance = turns.iter().map(hindrance).min().unwrap_or_default();
    let eligibility = |(turn, candidate): (&Turn, &Candidate<'_>)| {
        if hindrance(turn) > least_hindrance { 0.0 } else { (-(candidate.backlog_ms - least) / WAIT_SCALE_MS).exp() }
    };
    turns.iter().zip(candidates).map(eligibility).collect()
}

/// Returns the rate at which an endpoint should get requests, relative to others. `mean_occupancy`
/// is the number of runs for each slot of all candidates.
fn rate(candidate: &Candidate<'_>, turn: &Turn, mean_occupancy: f64) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let occupancy = turn.others / slots;
    let distance = if candidate.local { 1.0 } else { REMOTE_RATE };
    let vacancy = (-OCCUPANCY_WEIGHT * (occupancy - mean_occupancy).min(1.0)).exp().min(MAX_VACANCY);
    let soundness = (-FAILURE_WEIGHT * candidate.excess_failure_rate).exp();
    distance * slots * vacancy * soundness / turn.pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
}

/// Returns the number of other instances' runs for each slot of all candidates.
fn mean_occupancy(candidates: &[Candidate<'_>], turns: &[Turn]) -> f64 {
    let slots: f64 = candidates.iter().map(|candidate| f64::from(candidate.slots.max(1))).sum();
    turns.iter().map(|turn| turn.others).sum::<f64>() / slots.max(1.0)
}

/// Returns a random fraction of a turn, by which an endpoint enters the rotation.
fn phase(seed: u64, id: &str) -> f64 {
    let draw = u32::try_from(hash::rendezvous(seed, id.as_bytes()) >> 32).unwrap_or_default();
    f64::from(draw) / f64::from(u32::MAX)
}

/// Returns the expected number of runs of other instances on an endpoint.
///
/// `reported` runs are `age` old and take `run_time` on average; those that have ended are
/// replaced by the `mean` over the service's endpoints.
#[must_use]
pub fn runs_now(reported: f64, mean: f64, age: Duration, run_time: Duration) -> f64 {
    mean + kept_share(age, run_time) * (reported - mean)
}

/// Returns the number of runs of other instances as far as reports of them can be relied on: the
/// longer ago they were, the closer it is to the mean.
///
/// A difference to the mean counts only while most of the reported runs are expected to be left.
/// When half of them have been replaced, their places tell little about the others, and instances
/// that follow them send to the same endpoints.
#[must_use]
pub fn dependable_runs(reported: f64, mean: f64, age: Duration, run_time: Duration) -> f64 {
    mean + kept_share(age, run_time).powi(3) * (reported - mean)
}

/// Whether an endpoint has not responded to any of the instance's runs there for so long that it
/// may hang. Response times do not show that: a run that hangs has none before its deadline.
///
/// `silence` is the time since the latest bytes, or since the oldest run was sent if that is later,
/// `run_time` the usual time of a run, and `backlog_ms` the prompt processing that the runs wait for.
#[must_use]
pub fn is_silent(silence: Duration, run_time: Duration, backlog_ms: f64) -> bool {
    let expected = run_time.mul_f64(SILENT_RUNS) + Duration::from_secs_f64(backlog_ms.max(0.0) / 1_000.0);
    silence > expected.max(MIN_SILENCE)
}

/// Returns the part of reported prompt processing that is left after a while, in milliseconds. An
/// endpoint processes one prompt after another, a millisecond in each millisecond.
#[must_use]
pub fn backlog_now(reported_ms: f64, age: Duration) -> f64 {
    (reported_ms - age.as_secs_f64() * 1_000.0).max(0.0)
}

/// Returns the share of runs that have not ended after a while.
fn kept_share(age: Duration, run_time: Duration) -> f64 {
    if run_time.is_zero() {
        return if age.is_zero() { 1.0 } else { 0.0 };
    }
    (-age.as_secs_f64() / run_time.as_secs_f64()).exp()
}

/// Mean response time of an endpoint relative to that of its service, observed by one instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Pace {
    /// Number of observations, of which old ones count less.
    count: f64,
    /// Mean logarithm of the observed ratios.
    mean_log: f64,
    /// Time of the latest observation.
    observed_at: Duration,
}

impl Pace {
    /// Adds the ratio of an observed response time to the service's usual one.
    pub fn observe(&mut self, ratio: f64, now: Duration) {
        let observed = ratio.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1).ln();
        let count = self.count_at(now).min(MAX_OBSERVATIONS - 1.0) + 1.0;
        *self = Self { count, mean_log: self.mean_log + (observed - self.mean_log) / count, observed_at: now };
    }

    /// Returns the mean, as a factor. `prior` is the factor that is assumed without observations;
    /// few observations move it only slightly.
    #[must_use]
    pub fn factor(&self, prior: f64, now: Duration) -> f64 {
        let count = self.count_at(now);
        let prior_log = prior.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1).ln();
        ((self.mean_log * count + prior_log * PRIOR_OBSERVATIONS) / (count + PRIOR_OBSERVATIONS)).exp()
    }

    fn count_at(&self, now: Duration) -> f64 {
        let half_lives = now.saturating_sub(self.observed_at).as_secs_f64() / OBSERVATION_HALF_LIFE.as_secs_f64();
        self.count * 0.5_f64.powf(half_lives)
    }
}
