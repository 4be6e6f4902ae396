//! Dealing requests to a version under roll-out, and judging it.
//!
//! A small, fixed share of callers' sessions meets the new version while it is
//! on trial; the share is by hash, so every instance deals alike, and it stays
//! far below what a bad version may get. Once it has stood the trial everybody
//! moves to it, runs on the old version end, and the roll-out is done. A
//! version that fails is left at once by whichever instance has the evidence.

use std::time::Duration;

use world::hash;

/// Share of sessions that meet a version on trial, over the exposure allowed:
/// retries and small services may push the share of dispatches above it.
const TRIAL_OF_EXPOSURE: f64 = 0.4;

/// Time from an order until a trial begins: by then each instance has heard
/// which sessions are on the old version at the others.
const HEARSAY: Duration = Duration::from_millis(1_500);

/// Part of the time for a roll-out that its trial takes. The rest must
/// suffice to move everybody and to end the longest runs on the old version.
const TRIAL: f64 = 0.62;

/// Part of the time for a roll-out after which it is declared done.
const DONE: f64 = 0.88;

/// Fewest answers a version must have given before it can be judged good.
const MIN_ANSWERS: u32 = 20;

/// Least variance of the logarithms that is believed: a handful of runs may
/// agree by chance.
const LEAST_VARIANCE: f64 = 0.1;

/// Fewest bad answers that can condemn a version: below it, chance.
const MIN_BAD: u32 = 5;

/// Share of bad answers over its predecessor's that condemns, if it is beyond
/// chance: servers that fail or slow down by themselves strike a small pool
/// harder.
const EXCESS: f64 = 0.10;

/// Standard deviations beyond chance that condemn. The evidence is looked at
/// some hundred times over a roll-out; at three and a half, about one good
/// roll-out in a hundred is given up.
const BEYOND_CHANCE: f64 = 3.5;

/// Share of bad answers over its predecessor's with which a version may go on
/// to everybody: one that is not condemned only for want of evidence must not.
const ACCEPTED: f64 = 0.06;

/// Factor between the versions' typical times to the first byte that condemns,
/// if it is beyond chance. Bad versions are several times slower; slow servers
/// among a small pool make up less than twice.
const SLOWER: f64 = 2.0;

/// Standard deviations beyond chance that condemn a slow version.
const SLOWER_BEYOND_CHANCE: f64 = 4.0;

/// Where a roll-out stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A few sessions meet the new version.
    Trial,
    /// Everybody moves to the new version.
    Shift,
    /// The new version is the only one.
    Done,
    /// Nobody meets the new version.
    Reverted,
}

/// What a version's runs came to.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Answers and failures.
    pub runs: u32,
    /// Failures.
    pub bad: u32,
    /// How late first bytes were.
    pub lateness: Lateness,
}

/// Logarithms of times to the first byte over the expected ones, summed.
///
/// Logarithms, since times spread by factors; and over the expected ones, so
/// that long prompts and short ones count alike.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Lateness {
    /// Their number.
    pub runs: u32,
    /// Their sum.
    pub sum: f64,
    /// The sum of their squares.
    pub squares: f64,
}

impl Lateness {
    /// One run's, by its time over the expected one.
    #[must_use]
    pub fn of(ratio: f64) -> Self {
        let log = ratio.max(f64::MIN_POSITIVE).ln();
        Self { runs: 1, sum: log, squares: log * log }
    }

    fn mean(self) -> f64 {
        self.sum / f64::from(self.runs.max(1))
    }

    /// Variance of the mean.
    fn spread(self) -> f64 {
        let runs = f64::from(self.runs.max(2));
        let variance = (self.squares - runs * self.mean().powi(2)) / (runs - 1.0);
        variance.max(LEAST_VARIANCE) / runs
    }
}

impl Tally {
    /// Sums two tallies.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            runs: self.runs.saturating_add(other.runs),
            bad: self.bad.saturating_add(other.bad),
            lateness: Lateness {
                runs: self.lateness.runs.saturating_add(other.lateness.runs),
                sum: self.lateness.sum + other.lateness.sum,
                squares: self.lateness.squares + other.lateness.squares,
            },
        }
    }

    /// Share of bad runs.
    #[must_use]
    pub fn rate(self) -> f64 {
        if self.runs == 0 { 0.0 } else { f64::from(self.bad) / f64::from(self.runs) }
    }
}

/// Whether the evidence condemns a version against its predecessor.
#[must_use]
pub fn bad(new: Tally, old: Tally) -> bool {
    let fails = new.bad >= MIN_BAD && new.rate() > old.rate() + EXCESS && beyond_chance(new, old) > BEYOND_CHANCE;
    fails || slow(new.lateness, old.lateness)
}

/// Whether a version is slower than its predecessor (Welch's test of the mean
/// logarithms): late runs of both, while the service is busy, cancel out.
fn slow(new: Lateness, old: Lateness) -> bool {
    let slower = new.mean() - old.mean();
    let chance = (new.spread() + old.spread()).sqrt();
    new.runs >= MIN_BAD && old.runs >= MIN_BAD && slower > SLOWER.ln() && slower > SLOWER_BEYOND_CHANCE * chance
}

/// Standard deviations between two shares of bad answers if both versions were
/// alike (a pooled two-proportion z-test).
fn beyond_chance(new: Tally, old: Tally) -> f64 {
    let both = new.plus(old).rate();
    let spread = both * (1.0 - both) * (1.0 / f64::from(new.runs.max(1)) + 1.0 / f64::from(old.runs.max(1)));
    if spread <= 0.0 { 0.0 } else { (new.rate() - old.rate()) / spread.sqrt() }
}

/// Whether the evidence speaks for a version.
fn good(new: Tally, old: Tally) -> bool {
    let slower = new.lateness.mean() - old.lateness.mean();
    new.runs >= MIN_ANSWERS && new.rate() <= old.rate() + ACCEPTED && slower < SLOWER.ln()
}

/// The stage that follows from time and evidence.
#[must_use]
pub fn advance(stage: Stage, elapsed: Duration, over: Duration, new: Tally, old: Tally) -> Stage {
    match stage {
        Stage::Trial | Stage::Shift if bad(new, old) => Stage::Reverted,
        Stage::Trial if elapsed >= over.mul_f64(TRIAL) && good(new, old) => Stage::Shift,
        Stage::Shift if elapsed >= over.mul_f64(DONE) => Stage::Done,
        Stage::Trial | Stage::Shift | Stage::Done | Stage::Reverted => stage,
    }
}

/// Whether a session is one of the few that meet versions on trial.
///
/// The same few for every version, so that an instance can remember on which
/// version each of them was before any order comes. `exposure` is the share of
/// a service's requests that a bad version may get.
#[must_use]
pub fn tries_versions(session: u64, exposure: f64) -> bool {
    fraction(session) < exposure * TRIAL_OF_EXPOSURE
}

/// Whether a session meets the new version at a stage.
///
/// `elapsed` counts from the order. A session that was on the old version a
/// moment ago stays there while the version is on trial (`settled`): callers
/// notice when versions change within a session.
#[must_use]
pub fn meets(stage: Stage, elapsed: Duration, session: u64, settled: bool, exposure: f64) -> bool {
    match stage {
        Stage::Reverted => false,
        Stage::Shift | Stage::Done => true,
        Stage::Trial => elapsed >= HEARSAY && !settled && tries_versions(session, exposure),
    }
}

/// Where a session lies from 0 to 1.
fn fraction(session: u64) -> f64 {
    let mixed = hash::rendezvous(session, b"canary");
    #[expect(clippy::cast_precision_loss, reason = "53 bits fill an f64's mantissa exactly")]
    let fraction = (mixed >> 11) as f64 / (1u64 << 53) as f64;
    fraction
}
