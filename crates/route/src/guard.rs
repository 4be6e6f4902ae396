//! Sequential test of a version against its predecessor.
//!
//! Three signals are counted in two arms: errors, failed ratings, and answers
//! slower than a high quantile of the predecessor. Counts are sums, so the
//! observations of several instances can be added.
//!
//! Sessions are assigned to the arms by hash. While the new version is no worse, a
//! session with a bad observation therefore belongs to the new version with a known
//! probability, regardless of the rate of bad observations, its variation with the
//! time of day, and its differences between customers. The test uses only this
//! number: how many of the bad sessions belong to the new version. Each signal has
//! an e-process: the likelihood of the observed assignment, mixed over several
//! factors by which the version may be worse, divided by the likelihood if it is
//! not worse. It is a nonnegative supermartingale that starts at 1, so by Ville's
//! inequality it ever reaches `1 / alpha` with probability at most `alpha`, however
//! often it is evaluated. Steps have different assignment probabilities, so their
//! likelihoods multiply. `alpha` is divided among the signals and three tests:
//!
//! - the roll-out as a whole;
//! - consecutive time windows of a step: otherwise, a version that becomes bad late
//!   would stay undetected for about as long as it was good;
//! - a step that exposes nearly all sessions and leaves no control arm: there the
//!   new version is compared with the previous step, by a test of two rates that
//!   tolerates a margin, since rates change over time.

use std::{fmt, ops::AddAssign};

use serde::{Deserialize, Serialize};
use world::rollout::Rollout;

use crate::rollout;

/// Strictness of the test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Upper bound of the probability that one instance stops a roll-out of a version
    /// that is no worse.
    pub alpha: f64,
    /// Minimum number of answers of the new version before a step may end.
    pub min_answers: u64,
    /// Minimum number of rated answers of the new version before a step may end; 0 if
    /// there is no rating service.
    pub min_rated: u64,
    /// Tolerated factor of each signal's rate.
    pub margin: Margin,
}

impl Default for Policy {
    fn default() -> Self {
        Self { alpha: 9e-4, min_answers: 50, min_rated: 30, margin: Margin::default() }
    }
}

/// Tolerated factor of each signal's rate relative to the predecessor, at least 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Margin {
    /// Factor for errors.
    pub errors: f64,
    /// Factor for failed ratings.
    pub ratings: f64,
    /// Factor for slow answers.
    pub latency: f64,
}

impl Default for Margin {
    fn default() -> Self {
        Self { errors: 1.0, ratings: 1.0, latency: 1.4 }
    }
}

/// Kind of observation compared between the arms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// Requests that failed.
    Errors,
    /// Answers that failed their rating.
    Ratings,
    /// Answers slower than a high quantile of the predecessor.
    Latency,
}

impl Signal {
    /// All signals.
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

/// Number of observations of one signal in one arm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Number of all observations.
    pub n: u64,
    /// Number of bad observations.
    pub bad: u64,
}

impl Count {
    /// Adds one observation.
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

/// Observations of one arm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests; bad ones failed.
    pub errors: Count,
    /// Ratings; bad ones failed.
    pub ratings: Count,
    /// Timed answers; bad ones were slow.
    pub latency: Count,
}

impl Tally {
    /// Returns the counts of one signal.
    #[must_use]
    pub fn count(&self, signal: Signal) -> Count {
        match signal {
            Signal::Errors => self.errors,
            Signal::Ratings => self.ratings,
            Signal::Latency => self.latency,
        }
    }
}

impl Tally {
    /// Returns the counts of one signal for updating.
    pub fn count_mut(&mut self, signal: Signal) -> &mut Count {
        match signal {
            Signal::Errors => &mut self.errors,
            Signal::Ratings => &mut self.ratings,
            Signal::Latency => &mut self.latency,
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

/// Observations of both arms at one step, of one instance or summed over several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Observations of the new version.
    pub new: Tally,
    /// Observations of the predecessor.
    pub control: Tally,
}

impl AddAssign for Evidence {
    fn add_assign(&mut self, other: Self) {
        self.new += other.new;
        self.control += other.control;
    }
}

/// Result of the test.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The step continues.
    Continue,
    /// The step may end.
    Advance,
    /// The version is worse.
    Stop(Reason),
}

/// Reason why a version is considered worse.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reason {
    /// Signal that stopped the version.
    pub signal: Signal,
    /// Counts of the new version.
    pub new: Count,
    /// Counts of the predecessor.
    pub control: Count,
    /// Natural logarithm of the e-value that was reached.
    pub ln_e: f64,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { signal, new, control, ln_e } = self;
        write!(f, "{signal}: {new} on the new version, {control} on its predecessor (ln e {ln_e:.1})")
    }
}

/// Natural logarithm of the e-value above which a step doesn't end. The evidence
/// must favor "no worse" before a version is exposed to more sessions.
const MAX_LN_E_TO_ADVANCE: f64 = 0.0;

/// Latest of the consecutive time windows that a step is divided into.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Window {
    /// Index of the window within the step, from 0.
    pub number: u32,
    /// Observations in the window.
    pub evidence: Evidence,
}

/// Tests a roll-out by the evidence of each step up to the current one, and of the
/// latest window of the current step.
#[must_use]
pub fn evaluate(policy: &Policy, rollout: &Rollout, steps: &[Evidence], window: &Window) -> Verdict {
    let mut suspicious = false;
    let lacks_control = rollout::lacks_control(rollout.steps.get(rollout.step).copied().unwrap_or(1.0));
    for signal in Signal::ALL {
        for (test, ln_e) in run_tests(policy, rollout, steps, window, signal) {
            if ln_e >= threshold(policy, test, signal) {
                return Verdict::Stop(reason(steps, signal, ln_e));
            }
            // At a step without control sessions the evidence of `Test::Rollout` no
            // longer changes and could block the step forever.
            suspicious |= test == Test::Rollout && ln_e > MAX_LN_E_TO_ADVANCE && !lacks_control;
        }
    }
    let new = steps.get(rollout.step).map(|evidence| evidence.new).unwrap_or_default();
    let enough = new.errors.n >= policy.min_answers && new.ratings.n >= policy.min_rated;
    if enough && !suspicious { Verdict::Advance } else { Verdict::Continue }
}

/// Tests of a signal; each has its own part of `alpha`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Test {
    /// Assignment of bad sessions to the arms over all steps.
    Rollout,
    /// Assignment of bad sessions to the arms in the window with this index.
    Window(u32),
    /// Rate at a step without control sessions, compared with the previous step.
    Rates,
}

fn run_tests(
    policy: &Policy,
    rollout: &Rollout,
    steps: &[Evidence],
    window: &Window,
    signal: Signal,
) -> impl Iterator<Item = (Test, f64)> {
    let margin = policy.margin.count(signal);
    let share = |step: usize| rollout.steps.get(step).copied().unwrap_or(1.0);
    let assigned = steps.iter().enumerate().filter(|(step, _)| !rollout::lacks_control(share(*step)));
    let assigned = assigned.map(|(step, evidence)| (rollout::control_ratio(share(step)), evidence));
    let whole_rollout = Some((Test::Rollout, ln_e_assignment(assigned, signal, margin)));
    let lacks_control = rollout::lacks_control(share(rollout.step));
    let window = (window.number > 0 && !lacks_control).then(|| {
        let assigned = std::iter::once((rollout::control_ratio(share(rollout.step)), &window.evidence));
        (Test::Window(window.number), ln_e_assignment(assigned, signal, margin))
    });
    let rates = (lacks_control && rollout.step > 0).then(|| {
        let new = steps.get(rollout.step).map(|evidence| evidence.new.count(signal)).unwrap_or_default();
        let control = steps.get(rollout.step - 1).map(|evidence| evidence.control.count(signal)).unwrap_or_default();
        (Test::Rates, ln_e_rates(new, control, RATE_MARGIN))
    });
    whole_rollout.into_iter().chain(window).chain(rates)
}

fn reason(steps: &[Evidence], signal: Signal, ln_e: f64) -> Reason {
    let mut total = Evidence::default();
    for evidence in steps {
        total += *evidence;
    }
    Reason { signal, new: total.new.count(signal), control: total.control.count(signal), ln_e }
}

impl Margin {
    fn count(&self, signal: Signal) -> f64 {
        match signal {
            Signal::Errors => self.errors,
            Signal::Ratings => self.ratings,
            Signal::Latency => self.latency,
        }
    }
}

/// Returns the natural logarithm of the e-value that stops a version. The parts of
/// `alpha` add up to one over signals and over tests.
fn threshold(policy: &Policy, test: Test, signal: Signal) -> f64 {
    let of_signal = match signal {
        Signal::Errors | Signal::Ratings => 0.45,
        Signal::Latency => 0.1,
    };
    let of_test = match test {
        Test::Rollout => 0.8,
        // The parts `6 / (pi^2 n^2)` of all windows add up to one.
        Test::Window(number) => 0.15 * 6.0 / (std::f64::consts::PI * f64::from(number)).powi(2),
        Test::Rates => 0.05,
    };
    -(policy.alpha * of_signal * of_test).ln()
}

#[expect(clippy::cast_precision_loss, reason = "handfuls of signals, steps and factors")]
fn to_f64(count: usize) -> f64 {
    count as f64
}

/// Factors by which a worse version may exceed the margin; all equally likely.
const ALTERNATIVE_FACTORS: [f64; 3] = [1.5, 4.0, 15.0];

/// Returns the natural logarithm of the e-value for the hypothesis that a session of
/// the new arm is more than `margin` times as likely to be bad as one of the control
/// arm. Each item is a ratio of control sessions to new ones with its evidence.
fn ln_e_assignment<'a>(steps: impl Iterator<Item = (f64, &'a Evidence)>, signal: Signal, margin: f64) -> f64 {
    let mut log_ratios = [0.0; ALTERNATIVE_FACTORS.len()];
    for (ratio, evidence) in steps {
        let (_, bad_new) = good_and_bad(evidence.new.count(signal));
        let (_, bad_control) = good_and_bad(evidence.control.count(signal));
        let null_share = margin / (margin + ratio);
        for (log_ratio, factor) in log_ratios.iter_mut().zip(ALTERNATIVE_FACTORS) {
            // Share of the new arm among bad sessions if it is worse by `factor`.
            let alternative_share = factor * margin / (factor * margin + ratio);
            *log_ratio += bad_new * (alternative_share / null_share).ln()
                + bad_control * ((1.0 - alternative_share) / (1.0 - null_share)).ln();
        }
    }
    let max = log_ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    max + (log_ratios.iter().map(|log_ratio| (log_ratio - max).exp()).sum::<f64>() / to_f64(ALTERNATIVE_FACTORS.len()))
        .ln()
}

/// Tolerated increase of a rate over that of the previous step.
const RATE_MARGIN: f64 = 0.05;

/// Returns the natural logarithm of the e-value for the hypothesis that the rate of
/// the new arm exceeds that of the control by more than `margin`: the likelihood of
/// both counts, mixed over all rates, divided by the maximum likelihood of rates
/// within the margin.
fn ln_e_rates(new: Count, control: Count, margin: f64) -> f64 {
    if new.n == 0 || control.n == 0 {
        return 0.0;
    }
    ln_mixture(new) + ln_mixture(control) - ln_null(new, control, margin)
}

/// Pseudo-count of good and of bad observations in the Jeffreys prior.
const JEFFREYS_PSEUDO_COUNT: f64 = 0.5;

/// Returns the log-likelihood of counts, mixed over all rates.
fn ln_mixture(count: Count) -> f64 {
    let (good, bad) = good_and_bad(count);
    ln_beta(JEFFREYS_PSEUDO_COUNT + bad, JEFFREYS_PSEUDO_COUNT + good)
        - ln_beta(JEFFREYS_PSEUDO_COUNT, JEFFREYS_PSEUDO_COUNT)
}

/// Returns the maximum log-likelihood of the counts of both arms under the null
/// hypothesis that the new rate is at most the control rate plus `margin`.
fn ln_null(new: Count, control: Count, margin: f64) -> f64 {
    let rates = (rate(new), rate(control));
    if rates.0 <= rates.1 + margin {
        return ln_likelihood(new, rates.0) + ln_likelihood(control, rates.1);
    }
    // The log-likelihood is concave, so its maximum lies on the boundary where
    // the new rate equals the control rate plus the margin.
    let ln_likelihood_at = |p: f64| ln_likelihood(new, p + margin) + ln_likelihood(control, p);
    let (mut low, mut high) = (rates.1, rates.0 - margin);
    for _ in 0..SEARCH_ROUNDS {
        let third = (high - low) / 3.0;
        if ln_likelihood_at(low + third) < ln_likelihood_at(high - third) { low += third } else { high -= third }
    }
    // The maximum on the boundary lies between `low` and `high`, which are so
    // close that the error is below rounding.
    ln_likelihood_at(low).max(ln_likelihood_at(high)).max(ln_likelihood_at(f64::midpoint(low, high)))
}

/// Rounds of ternary search; each round keeps two thirds of the interval.
const SEARCH_ROUNDS: usize = 60;

fn ln_likelihood(count: Count, rate: f64) -> f64 {
    let (good, bad) = good_and_bad(count);
    mul_ln(bad, rate) + mul_ln(good, 1.0 - rate)
}

/// Returns `n * ln(p)`, or 0 if `n` is 0.
fn mul_ln(n: f64, p: f64) -> f64 {
    if n == 0.0 { 0.0 } else { n * p.ln() }
}

fn rate(count: Count) -> f64 {
    let (good, bad) = good_and_bad(count);
    bad / (good + bad)
}

/// Returns the numbers of good and bad observations.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn good_and_bad(count: Count) -> (f64, f64) {
    let bad = count.bad.min(count.n);
    ((count.n - bad) as f64, bad as f64)
}

fn ln_beta(a: f64, b: f64) -> f64 {
    libm::lgamma(a) + libm::lgamma(b) - libm::lgamma(a + b)
}
