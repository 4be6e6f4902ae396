//! Sequential test of a version against its predecessor.
//!
//! Three signals are counted in two arms: errors, failed ratings, and answers
//! slower than a high quantile of the predecessor. Counts are sums, so that
//! what several instances saw adds up.
//!
//! Sessions are dealt to the arms by hash, so while the new version is no
//! worse, a session that shows something bad is one of the new version's with
//! a known probability, whatever the rate of bad things is, how it moves with
//! the time of day, or how it differs between customers. The test looks only
//! at that: of the bad sessions, how many are the new version's. Each signal
//! has an e-process, the likelihood of the deal mixed over several factors by
//! which the version may be worse, against the likelihood when it is not. It
//! is a nonnegative supermartingale that starts at 1, so by Ville's inequality
//! it ever reaches `1 / alpha` with probability `alpha` at most, however often
//! it is looked at. Steps deal at other odds, so their likelihoods multiply.
//! `alpha` is shared out over signals and over three tests:
//!
//! - the roll-out as a whole;
//! - windows of a step: a version that turns bad late would else be hidden by
//!   its good record for about as long again;
//! - a step that exposes nearly everybody, where nobody is left to deal to the
//!   other arm: there the new version is compared with the step before, by a
//!   test of two rates that puts up with a margin, since rates move with time.

use std::{fmt, ops::AddAssign};

use serde::{Deserialize, Serialize};
use world::rollout::Rollout;

use crate::rollout;

/// How strict the test is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Bound on the chance that one instance stops a clean roll-out.
    pub alpha: f64,
    /// Fewest answers of the new version before a step may end.
    pub min_answers: u64,
    /// Fewest rated ones of them; 0 where no service rates answers.
    pub min_rated: u64,
    /// Factor of a signal's rate that is put up with.
    pub margin: Margin,
}

impl Default for Policy {
    fn default() -> Self {
        Self { alpha: 9e-4, min_answers: 50, min_rated: 30, margin: Margin::default() }
    }
}

/// Factor of each signal's rate that is put up with, from 1 on.
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
        Self { errors: 1.0, ratings: 1.0, latency: 1.4 }
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

impl Tally {
    /// The counts of one signal, to be added to.
    pub fn of_mut(&mut self, signal: Signal) -> &mut Count {
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

/// Natural logarithm of the e-value above which a step does not end: the
/// evidence has to lean towards "no worse" before more people meet a version.
const SUSPICION: f64 = 0.0;

/// The latest part of a step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Window {
    /// Which part, from 0.
    pub number: u32,
    /// What was seen in it.
    pub evidence: Evidence,
}

/// Judges a roll-out by the evidence of each of its steps up to the present
/// one, the latest window of which comes besides.
#[must_use]
pub fn judge(policy: &Policy, rollout: &Rollout, steps: &[Evidence], window: &Window) -> Verdict {
    let mut suspicious = false;
    let thin = rollout::thin(rollout.steps.get(rollout.step).copied().unwrap_or(1.0));
    for signal in Signal::ALL {
        for (test, ln_e) in tests(policy, rollout, steps, window, signal) {
            if ln_e >= threshold(policy, test, signal) {
                return Verdict::Stop(reason(steps, signal, ln_e));
            }
            // Where nobody is dealt any more the whole's evidence stands still
            // and could hold a step for ever.
            suspicious |= test == Test::Whole && ln_e > SUSPICION && !thin;
        }
    }
    let new = steps.get(rollout.step).map(|evidence| evidence.new).unwrap_or_default();
    let enough = new.errors.n >= policy.min_answers && new.ratings.n >= policy.min_rated;
    if enough && !suspicious { Verdict::Advance } else { Verdict::Continue }
}

/// What a signal is tested by, each with its own part of `alpha`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Test {
    /// The deal over all steps.
    Whole,
    /// The deal in one window.
    Window(u32),
    /// Rates at a step without a control, against the step before.
    Rates,
}

fn tests(
    policy: &Policy,
    rollout: &Rollout,
    steps: &[Evidence],
    window: &Window,
    signal: Signal,
) -> impl Iterator<Item = (Test, f64)> {
    let margin = policy.margin.of(signal);
    let share = |step: usize| rollout.steps.get(step).copied().unwrap_or(1.0);
    let dealt = steps.iter().enumerate().filter(|(step, _)| !rollout::thin(share(*step)));
    let dealt = dealt.map(|(step, evidence)| (rollout::control_ratio(share(step)), evidence));
    let whole = Some((Test::Whole, ln_e_deal(dealt, signal, margin)));
    let thin = rollout::thin(share(rollout.step));
    let window = (window.number > 0 && !thin).then(|| {
        let dealt = std::iter::once((rollout::control_ratio(share(rollout.step)), &window.evidence));
        (Test::Window(window.number), ln_e_deal(dealt, signal, margin))
    });
    let rates = (thin && rollout.step > 0).then(|| {
        let new = steps.get(rollout.step).map(|evidence| evidence.new.of(signal)).unwrap_or_default();
        let control = steps.get(rollout.step - 1).map(|evidence| evidence.control.of(signal)).unwrap_or_default();
        (Test::Rates, ln_e_rates(new, control, RATE_MARGIN))
    });
    whole.into_iter().chain(window).chain(rates)
}

fn reason(steps: &[Evidence], signal: Signal, ln_e: f64) -> Reason {
    let mut total = Evidence::default();
    for evidence in steps {
        total += *evidence;
    }
    Reason { signal, new: total.new.of(signal), control: total.control.of(signal), ln_e }
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

/// Natural logarithm of the e-value that stops a version; the parts of
/// `alpha` add up to one over signals and over tests.
fn threshold(policy: &Policy, test: Test, signal: Signal) -> f64 {
    let of_signal = match signal {
        Signal::Errors | Signal::Ratings => 0.45,
        Signal::Latency => 0.1,
    };
    let of_test = match test {
        Test::Whole => 0.8,
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

/// Factors by which a worse version may exceed the margin, each as likely.
const FACTORS: [f64; 3] = [1.5, 4.0, 15.0];

/// Natural logarithm of the e-value that a session of the new arm is more than
/// `margin` times as likely to be bad as one of the control arm, over deals
/// each with its ratio of control sessions to new ones.
fn ln_e_deal<'a>(deals: impl Iterator<Item = (f64, &'a Evidence)>, signal: Signal, margin: f64) -> f64 {
    let mut logs = [0.0; FACTORS.len()];
    for (ratio, evidence) in deals {
        let (_, bad_new) = parts(evidence.new.of(signal));
        let (_, bad_control) = parts(evidence.control.of(signal));
        let same = margin / (margin + ratio);
        for (log, factor) in logs.iter_mut().zip(FACTORS) {
            // Of bad sessions, the new arm's part when it is this much worse.
            let worse = factor * margin / (factor * margin + ratio);
            *log += bad_new * (worse / same).ln() + bad_control * ((1.0 - worse) / (1.0 - same)).ln();
        }
    }
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    most + (logs.iter().map(|log| (log - most).exp()).sum::<f64>() / to_f64(FACTORS.len())).ln()
}

/// Rise of a rate against the step before that is put up with.
const RATE_MARGIN: f64 = 0.05;

/// Natural logarithm of the e-value that the new arm's rate exceeds the
/// control's by more than `margin`: the likelihood of both counts, mixed over
/// all rates, against the best that rates within the margin can reach.
fn ln_e_rates(new: Count, control: Count, margin: f64) -> f64 {
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
