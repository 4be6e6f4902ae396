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

/// Part of the time for a roll-out that its trial takes. The rest must
/// suffice to move everybody and to end the longest runs on the old version.
const TRIAL: f64 = 0.62;

/// Part of the time for a roll-out after which it is declared done.
const DONE: f64 = 0.88;

/// Fewest answers a version must have given before it can be judged good.
const MIN_ANSWERS: u32 = 20;

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

/// Times the usual from which a run counts as slow. Bad versions are several
/// times slower; at two and a half, one run in ten of a good one is.
const SLOW: f64 = 2.5;

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
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers and failures.
    pub runs: u32,
    /// Failures and slow answers.
    pub bad: u32,
}

impl Tally {
    /// Sums two tallies.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { runs: self.runs.saturating_add(other.runs), bad: self.bad.saturating_add(other.bad) }
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
    new.bad >= MIN_BAD && new.rate() > old.rate() + EXCESS && beyond_chance(new, old) > BEYOND_CHANCE
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
    new.runs >= MIN_ANSWERS && new.rate() <= old.rate() + ACCEPTED
}

/// Whether a run counts as slow: its time to the first byte over the expected
/// one, against what is usual for that over the service.
///
/// Against the usual, since expectations are rough and all runs are late while
/// a service is overloaded; a version that is slow stands out all the same, as
/// few runs are on it.
#[must_use]
pub fn slow(lateness: f64, usual: f64) -> bool {
    lateness > SLOW * usual.max(f64::MIN_POSITIVE)
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

/// Whether a session meets the new version at a stage.
///
/// `exposure` is the share of a service's requests that a bad version may get.
#[must_use]
pub fn meets(stage: Stage, session: u64, version: &str, exposure: f64) -> bool {
    match stage {
        Stage::Reverted => false,
        Stage::Shift | Stage::Done => true,
        Stage::Trial => fraction(session, version) < exposure * TRIAL_OF_EXPOSURE,
    }
}

/// Where a session lies from 0 to 1 for a version.
fn fraction(session: u64, version: &str) -> f64 {
    let mixed = hash::rendezvous(session, version.as_bytes());
    #[expect(clippy::cast_precision_loss, reason = "53 bits fill an f64's mantissa exactly")]
    let fraction = (mixed >> 11) as f64 / (1u64 << 53) as f64;
    fraction
}
