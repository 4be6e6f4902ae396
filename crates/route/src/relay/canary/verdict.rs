//! Whether the evidence shows that a version is worse than its predecessor, or no worse.
//!
//! Failures and slow answers are compared by route, and each with what the old version does there at the
//! same time: a route may fail often on any version, and a version may be bad on one route only. The
//! surprise of a count is a log-likelihood ratio: about the negative logarithm of the probability that a
//! version which is no worse has as many bad answers.

use super::{
    Evidence,
    evidence::{Lateness, RouteTallies, Tallies},
};

/// Surprise at which failures reject a version. The evidence is evaluated some eighty times over a
/// roll-out, mostly on the same runs.
const FAILURE_SURPRISE: f64 = 7.0;

/// The same for the failures on the worst of several routes.
const ROUTE_FAILURE_SURPRISE: f64 = 8.0;

/// Largest surprise of failures with which a version may leave the trial, or replace the old one, which
/// cannot take over again then. A version that avoids rejection only for lack of evidence must not.
const MAX_ACCEPTED_SURPRISE: f64 = 2.5;

/// Amount by which the surprise may be larger on the worst of several routes.
const ROUTE_ALLOWANCE: f64 = 1.0;

/// Rate of failures from which they are usual on a route.
const USUAL_FAILURE_RATE: f64 = 0.05;

/// Number of failures that come together where they are usual: a request that fails on any version is
/// repeated by its caller, and fails again.
const GROUP_SIZE: f64 = 2.0;

/// Surprise at which slow answers reject a version, if they are also in excess. Answers vary in time more
/// than failures do, and those of one endpoint vary together.
const SLOWNESS_SURPRISE: f64 = 10.0;

/// Share of slow answers above the old version's at which a version is rejected. Slow servers in a small
/// pool account for less.
const MAX_SLOW_EXCESS: f64 = 0.12;

/// The same for the runs after the trial. Caches fill up gradually, so a good version has more slow answers
/// for a while.
const MAX_SLOW_EXCESS_IN_SHIFT: f64 = 0.35;

/// Share of slow answers by which the limit is higher for a single route, whose answers may all be at the
/// same few endpoints.
const ROUTE_SLOW_EXCESS: f64 = 0.08;

/// Largest share of slow answers above the old version's with which a version may leave the trial.
const MAX_ACCEPTED_SLOW_EXCESS: f64 = 0.06;

/// Minimum number of runs of a version, including failed ones, before it can be accepted.
const MIN_RUNS_TO_ACCEPT: u32 = 20;

/// Minimum number of bad answers, or of timed runs of each version, for which a version can be rejected.
/// Fewer may be chance.
const MIN_SAMPLES_TO_REJECT: u32 = 4;

/// Factor between the typical times of the new and the old version above which a version is rejected, if it
/// is also statistically significant. Bad versions are several times slower; slow servers in a small pool
/// account for less than a factor of two.
const MAX_SLOWDOWN: f64 = 2.0;

/// Significance, in standard deviations, at which slowness rejects a version.
const SLOWDOWN_SIGNIFICANCE: f64 = 4.0;

/// Bad answers of one kind, compared with those of the old version.
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    /// Bad answers of the new version.
    observed: f64,
    /// The same if both versions were alike.
    expected: f64,
    /// Runs of the new version.
    runs: f64,
    /// Log-likelihood ratio of two rates to one, in nats; negative if the new version is better.
    surprise: f64,
}

impl Excess {
    /// Compares both versions' bad answers on a route, as counted by `bad`.
    fn of(tallies: Tallies, bad: fn(Tallies) -> (u32, u32)) -> Self {
        let (new_bad, old_bad) = bad(tallies);
        let (observed, old_bad) = (f64::from(new_bad), f64::from(old_bad));
        let (runs, old_runs) = (f64::from(tallies.new.runs), f64::from(tallies.old.runs));
        let pooled = (observed + old_bad) / (runs + old_runs).max(1.0);
        let expected = runs * pooled;
        let ratio = divergence(observed, runs, pooled) + divergence(old_bad, old_runs, pooled);
        Self { observed, expected, runs, surprise: if observed > expected { ratio } else { -ratio } }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            observed: self.observed + other.observed,
            expected: self.expected + other.expected,
            runs: self.runs + other.runs,
            surprise: self.surprise + other.surprise,
        }
    }

    /// Returns the share of runs that are bad beyond expectation.
    fn share(self) -> f64 {
        (self.observed - self.expected) / self.runs.max(1.0)
    }

    /// Whether bad answers are usual on the route.
    fn is_usual(self) -> bool {
        self.expected > USUAL_FAILURE_RATE * self.runs
    }

    /// Whether there are enough bad answers, and so many that they are hardly chance.
    fn exceeds(self, surprise: f64) -> bool {
        self.observed >= f64::from(MIN_SAMPLES_TO_REJECT) && self.surprise > surprise
    }
}

/// Returns the log-likelihood ratio of the observed rate of bad runs to another rate.
fn divergence(bad: f64, runs: f64, rate: f64) -> f64 {
    let term = |count: f64, expected: f64| if count > 0.0 { count * (count / expected).ln() } else { 0.0 };
    term(bad, runs * rate) + term(runs - bad, runs * (1.0 - rate))
}

fn failed(tallies: Tallies) -> (u32, u32) {
    (tallies.new.failed, tallies.old.failed)
}

fn slow(tallies: Tallies) -> (u32, u32) {
    (tallies.new.slow, tallies.old.slow)
}

/// Returns the excess on each route.
fn by_route(evidence: &RouteTallies, bad: fn(Tallies) -> (u32, u32)) -> impl Iterator<Item = Excess> {
    evidence.iter().map(move |(_, tallies)| Excess::of(tallies, bad))
}

fn total(evidence: &RouteTallies, bad: fn(Tallies) -> (u32, u32)) -> Excess {
    by_route(evidence, bad).fold(Excess::default(), Excess::plus)
}

/// Returns whether the evidence shows that a version is worse than its predecessor.
#[must_use]
pub fn is_regression(evidence: &RouteTallies) -> bool {
    let sum = evidence.sum();
    fails_more(evidence)
        || is_slow_more_often(evidence, MAX_SLOW_EXCESS)
        || is_slower(sum.new.lateness, sum.old.lateness)
}

/// Returns whether a version fails more often than its predecessor.
pub(super) fn fails_more(evidence: &RouteTallies) -> bool {
    total(evidence, failed).exceeds(FAILURE_SURPRISE)
        || by_route(evidence, failed).any(|excess| excess.exceeds(ROUTE_FAILURE_SURPRISE))
}

/// Returns whether a version is too slow once it is under full load.
pub(super) fn is_slow_in_shift(evidence: &RouteTallies) -> bool {
    is_slow_more_often(evidence, MAX_SLOW_EXCESS_IN_SHIFT)
}

fn is_slow_more_often(evidence: &RouteTallies, max_excess: f64) -> bool {
    let is_worse = |excess: Excess, max_excess| excess.exceeds(SLOWNESS_SURPRISE) && excess.share() > max_excess;
    is_worse(total(evidence, slow), max_excess)
        || by_route(evidence, slow).any(|excess| is_worse(excess, max_excess + ROUTE_SLOW_EXCESS))
}

/// Returns whether a version is significantly slower than its predecessor, by Welch's test
/// on the mean logarithms. Delays that affect both versions, as under overload, cancel out.
fn is_slower(new: Lateness, old: Lateness) -> bool {
    let log_slowdown = new.mean() - old.mean();
    let standard_error = (new.variance_of_mean() + old.variance_of_mean()).sqrt();
    new.runs > MIN_SAMPLES_TO_REJECT
        && old.runs > MIN_SAMPLES_TO_REJECT
        && log_slowdown > MAX_SLOWDOWN.ln()
        && log_slowdown > SLOWDOWN_SIGNIFICANCE * standard_error
}

/// Returns whether the evidence of the trial suffices to accept a version.
pub(super) fn is_acceptable(trial: &RouteTallies) -> bool {
    trial.sum().new.runs >= MIN_RUNS_TO_ACCEPT
        && has_few_failures(trial)
        && total(trial, slow).share() <= MAX_ACCEPTED_SLOW_EXCESS
        && has_usual_times(trial)
}

/// Returns whether a version may replace its predecessor, by all its runs and by those in the shift. Their
/// times say little while caches fill up.
pub(super) fn is_confirmed(evidence: &Evidence) -> bool {
    has_few_failures(&evidence.all) && has_few_failures(&evidence.in_shift)
}

/// Returns whether the evidence does not even hint at more failures.
fn has_few_failures(evidence: &RouteTallies) -> bool {
    let surprise = |excess: Excess| excess.surprise / if excess.is_usual() { GROUP_SIZE } else { 1.0 };
    let surprises = || by_route(evidence, failed).map(surprise);
    surprises().sum::<f64>() <= MAX_ACCEPTED_SURPRISE
        && surprises().all(|surprise| surprise <= MAX_ACCEPTED_SURPRISE + ROUTE_ALLOWANCE)
}

fn has_usual_times(evidence: &RouteTallies) -> bool {
    let sum = evidence.sum();
    sum.new.lateness.mean() - sum.old.lateness.mean() < MAX_SLOWDOWN.ln()
}
