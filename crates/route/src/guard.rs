//! Sequential test of a version against its predecessor.
//!
//! Three signals are counted in two arms: errors, failed ratings, and answers
//! slower than a high quantile of the predecessor. Counts are sums, so that
//! what several instances saw adds up. Each signal has an e-process: the
//! likelihood of the counts, mixed over all pairs of rates, against the best
//! likelihood that "the new version is not worse" can reach. For every pair
//! of rates allowed by that null the mixture over the likelihood is a
//! martingale that starts at 1, and the e-process lies below it; Ville's
//! inequality then bounds the chance that it ever reaches `1 / alpha` by
//! `alpha`, however often it is looked at. `alpha` is shared out over signals
//! and steps, each step starting with new counts, because a rate that moves
//! with the time of day would otherwise be taken for the version's.
//!
//! A version may turn bad amid a step. The step's long good record would then
//! hide it for about as long again, so half of `alpha` goes to windows of the
//! step, each with counts of its own; later windows get less of it, so that
//! their number needs no bound.

use std::{fmt, ops::AddAssign};

use serde::{Deserialize, Serialize};

/// How strict the test is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Bound on the chance that a clean roll-out is stopped, per observer.
    pub alpha: f64,
    /// Steps of the roll-out that share `alpha`.
    pub steps: usize,
    /// Fewest answers of the new version before a step may end.
    pub min_answers: u64,
    /// Fewest rated ones of them; 0 where no service rates answers.
    pub min_rated: u64,
    /// Rise of a signal's rate that is put up with, by [`Signal`].
    pub margin: Margin,
}

impl Default for Policy {
    fn default() -> Self {
        Self { alpha: 1e-4, steps: 5, min_answers: 50, min_rated: 30, margin: Margin::default() }
    }
}

/// Rise of each signal's rate that is put up with, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Margin {
    /// Of errors.
    pub errors: f64,
    /// Of failed ratings.
    pub ratings: f64,
    /// Of slow answers.
    pub latency: f64,
}

impl Default for Margin {
    fn default() -> Self {
        Self { errors: 0.0, ratings: 0.0, latency: 0.02 }
    }
}

/// What is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// Requests that failed.
    Errors,
    /// Answers that failed their rating.
    Ratings,
    /// Answers slower than the predecessor's high quantile.
    Latency,
}

impl Signal {
    /// Every signal.
    pub const ALL: [Self; 3] = [Self::Errors, Self::Ratings, Self::Latency];
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Errors => "errors",
            Self::Ratings => "failed ratings",
            Self::Latency => "slow answers",
        })
    }
}

/// Observations of one signal in one arm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All of them.
    pub n: u64,
    /// The bad ones of them.
    pub bad: u64,
}

impl Count {
    /// Counts one observation.
    pub fn add(&mut self, bad: bool) {
        self.n += 1;
        self.bad += u64::from(bad);
    }
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.n += other.n;
        self.bad += other.bad;
    }
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.bad, self.n)
    }
}

/// One arm's observations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests, and those that failed.
    pub errors: Count,
    /// Ratings, and those that failed.
    pub ratings: Count,
    /// Timed answers, and the slow ones.
    pub latency: Count,
}

impl Tally {
    /// The counts of one signal.
    #[must_use]
    pub fn of(&self, signal: Signal) -> Count {
        match signal {
            Signal::Errors => self.errors,
            Signal::Ratings => self.ratings,
            Signal::Latency => self.latency,
        }
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.errors += other.errors;
        self.ratings += other.ratings;
        self.latency += other.latency;
    }
}

/// Both arms' observations at one step; sums over instances are evidence too.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The new version's.
    pub new: Tally,
    /// The predecessor's.
    pub control: Tally,
}

impl AddAssign for Evidence {
    fn add_assign(&mut self, other: Self) {
        self.new += other.new;
        self.control += other.control;
    }
}

/// What the evidence allows.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Stay at the step.
    Continue,
    /// The step may end.
    Advance,
    /// The version is worse.
    Stop(Reason),
}

/// Why a version is held to be worse.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reason {
    /// What told.
    pub signal: Signal,
    /// The new version's counts.
    pub new: Count,
    /// The predecessor's counts.
    pub control: Count,
    /// Natural logarithm of the e-value reached.
    pub ln_e: f64,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { signal, new, control, ln_e } = self;
        write!(f, "{signal}: {new} on the new version, {control} on its predecessor (ln e {ln_e:.1})")
    }
}

/// Natural logarithm of the e-value above which a step does not end.
const SUSPICION: f64 = 3.0;

/// The latest part of a step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Window {
    /// Which part, from 0.
    pub number: u32,
    /// What was seen in it.
    pub evidence: Evidence,
}

/// Judges the evidence of one step, its latest window besides.
#[must_use]
pub fn judge(policy: &Policy, step: &Evidence, window: &Window) -> Verdict {
    if window.number > 0 {
        let late = judge_sums(policy, window_threshold(policy, window.number), &window.evidence);
        if matches!(late, Verdict::Stop(_)) {
            return late;
        }
    }
    judge_sums(policy, threshold(policy), step)
}

fn judge_sums(policy: &Policy, limit: f64, evidence: &Evidence) -> Verdict {
    let mut suspicious = false;
    for signal in Signal::ALL {
        let new = evidence.new.of(signal);
        let control = evidence.control.of(signal);
        let ln_e = ln_e(new, control, policy.margin.of(signal));
        if ln_e >= limit {
            return Verdict::Stop(Reason { signal, new, control, ln_e });
        }
        suspicious |= ln_e >= SUSPICION;
    }
    let enough = evidence.new.errors.n >= policy.min_answers && evidence.new.ratings.n >= policy.min_rated;
    if enough && !suspicious { Verdict::Advance } else { Verdict::Continue }
}

impl Margin {
    fn of(&self, signal: Signal) -> f64 {
        match signal {
            Signal::Errors => self.errors,
            Signal::Ratings => self.ratings,
            Signal::Latency => self.latency,
        }
    }
}

/// Natural logarithm of the e-value that stops a version.
#[must_use]
pub fn threshold(policy: &Policy) -> f64 {
    let tests = Signal::ALL.len() * policy.steps.max(1);
    #[expect(clippy::cast_precision_loss, reason = "a handful of tests")]
    let tests = tests as f64;
    (tests / (policy.alpha * STEP_PART)).ln()
}

/// The same for one window: the parts `6 / (pi^2 n^2)` add up to one.
fn window_threshold(policy: &Policy, number: u32) -> f64 {
    let number = f64::from(number);
    let part = 6.0 / (std::f64::consts::PI * number).powi(2);
    threshold(policy) + (STEP_PART / ((1.0 - STEP_PART) * part)).ln()
}

/// Part of `alpha` for steps as a whole; the rest is the windows'.
const STEP_PART: f64 = 0.5;

/// Natural logarithm of the e-value that the new arm's rate exceeds the
/// control's by more than `margin`.
#[must_use]
pub fn ln_e(new: Count, control: Count, margin: f64) -> f64 {
    if new.n == 0 || control.n == 0 {
        return 0.0;
    }
    ln_mixture(new) + ln_mixture(control) - ln_null(new, control, margin)
}

/// Weight of one pseudo-count of the mixing prior, Jeffreys' choice.
const PRIOR: f64 = 0.5;

/// Likelihood of counts, mixed over all rates.
fn ln_mixture(count: Count) -> f64 {
    let (good, bad) = parts(count);
    ln_beta(PRIOR + bad, PRIOR + good) - ln_beta(PRIOR, PRIOR)
}

/// Best likelihood of both arms' counts when the new rate is at most the
/// control's plus `margin`.
fn ln_null(new: Count, control: Count, margin: f64) -> f64 {
    let free = (rate(new), rate(control));
    if free.0 <= free.1 + margin {
        return ln_likelihood(new, free.0) + ln_likelihood(control, free.1);
    }
    // The likelihood is concave, so its best lies on the border where the new
    // rate is just the margin above.
    let at = |p: f64| ln_likelihood(new, p + margin) + ln_likelihood(control, p);
    let (mut low, mut high) = (free.1, free.0 - margin);
    for _ in 0..SEARCH_ROUNDS {
        let third = (high - low) / 3.0;
        if at(low + third) < at(high - third) { low += third } else { high -= third }
    }
    // The border's best lies between the two found; taking the better of them
    // may miss it by less than rounding does.
    at(low).max(at(high)).max(at(f64::midpoint(low, high)))
}

/// Rounds of ternary search; each keeps two thirds of the interval.
const SEARCH_ROUNDS: usize = 60;

fn ln_likelihood(count: Count, rate: f64) -> f64 {
    let (good, bad) = parts(count);
    times_ln(bad, rate) + times_ln(good, 1.0 - rate)
}

/// `n * ln(p)`, with nothing times anything as nothing.
fn times_ln(n: f64, p: f64) -> f64 {
    if n == 0.0 { 0.0 } else { n * p.ln() }
}

fn rate(count: Count) -> f64 {
    let (good, bad) = parts(count);
    bad / (good + bad)
}

/// Good and bad observations.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn parts(count: Count) -> (f64, f64) {
    let bad = count.bad.min(count.n);
    ((count.n - bad) as f64, bad as f64)
}

fn ln_beta(a: f64, b: f64) -> f64 {
    libm::lgamma(a) + libm::lgamma(b) - libm::lgamma(a + b)
}
