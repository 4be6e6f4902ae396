//! Assigns requests to a version under roll-out and evaluates it.
//!
//! While the version is on trial, a small share of the callers' sessions is sent to it. Sessions are
//! selected by hash, so every instance selects the same ones. All sessions move to the new version only
//! when so little of the roll-out's time is left that it cannot get more requests than a bad version may
//! ([`Bound`]), whatever the evidence says. Evidence counts by route. Any instance that has enough of it
//! against a version reverts it at once, and a version that is in doubt at the end of the time is reverted
//! too, since the old endpoints stop when the roll-out is done.

mod evidence;
mod exposure;
mod verdict;

use std::time::Duration;

use world::hash;

use self::exposure::Sent;
pub use self::{
    evidence::{Baseline, Lateness, RouteTallies, Tallies, Tally, is_slow},
    exposure::Bound,
    verdict::is_regression,
};

/// Delay between the order to roll out and the start of the trial. By then each instance
/// has received the list of sessions that use the old version at the other instances.
const TRIAL_DELAY: Duration = Duration::from_millis(1_500);

/// Part of the time planned for the shift that is left when the roll-out is declared done. The store's status
/// must show it in time, also if the store is slow.
const DONE_PART: f64 = 0.55;

/// Time before the end of a roll-out's time at which a version that is still in doubt is reverted.
const LAST_DECISION: Duration = Duration::from_millis(150);

/// Minimum time of the shift. A version that is bad only under full load shows so during the shift, and
/// can still be reverted as long as the old endpoints run.
const MIN_SHIFT: Duration = Duration::from_millis(350);

/// Growth of the load above its mean from which no shift begins, and standard deviations of the requests in a
/// second beyond that. The old endpoints stop after the shift, and their streams begin again on endpoints whose
/// caches are empty: in a burst that overloads the new endpoints, and a version may be bad only then.
const BURST_GROWTH: f64 = 1.3;
const BURST_DEVIATIONS: f64 = 2.0;

/// Minimum time of a shift that begins when the roll-out's time is over. Most streams on the old version end in
/// it, and do not begin again on the new one when the old endpoints stop.
const MIN_LATE_SHIFT: Duration = Duration::from_secs(6);

/// Time after the end of the shift in which a version may still be confirmed.
const CONFIRMATION_TIME: Duration = Duration::from_millis(500);

/// Stage of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A small share of the sessions uses the new version.
    Trial,
    /// All sessions move to the new version.
    Shift,
    /// The new version is the only one.
    Done,
    /// No session uses the new version.
    Reverted,
}

/// Progress of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Progress {
    /// Stage so far.
    pub stage: Stage,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the shift began, if it has.
    pub shifting: Duration,
    /// Total time for the roll-out.
    pub total: Duration,
    /// Requests sent to either version in a second, lately.
    pub recent_rate: f64,
    /// The same over about the last second.
    pub latest_rate: f64,
}

/// Evidence about the versions of a roll-out.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Evidence {
    /// All runs of both versions.
    pub all: RouteTallies,
    /// Runs of the new version until the shift began, and all of the old version.
    pub trial: RouteTallies,
    /// Runs of the new version since the shift began, and all of the old version. Good runs of the trial
    /// must not hide that the version is bad under full load, or has turned bad.
    pub in_shift: RouteTallies,
}

impl Evidence {
    fn rejects(&self) -> bool {
        verdict::fails_more(&self.all)
            || verdict::fails_more(&self.in_shift)
            || verdict::is_regression(&self.trial)
            || verdict::is_slow_in_shift(&self.in_shift)
    }

    /// Returns the number of requests sent to both versions.
    #[must_use]
    pub fn sent(&self) -> u32 {
        let sum = self.all.sum();
        sum.new.sent.saturating_add(sum.old.sent)
    }
}

/// Returns the stage that follows from the progress and the evidence.
#[must_use]
pub fn next_stage(progress: Progress, evidence: &Evidence, bound: Bound) -> Stage {
    let mean_rate = f64::from(evidence.sent()) / progress.elapsed.as_secs_f64().max(1.0);
    let sent = Sent {
        new: f64::from(evidence.all.sum().new.sent),
        all: f64::from(evidence.sent()),
        rate: progress.recent_rate.max(mean_rate),
    };
    let left = progress.total.saturating_sub(progress.elapsed);
    let reserve = bound.shift_time(progress.total).mul_f64(DONE_PART);
    match progress.stage {
        Stage::Trial | Stage::Shift if evidence.rejects() => Stage::Reverted,
        Stage::Trial
            if (left >= reserve + MIN_SHIFT || left.is_zero())
                && !is_burst(progress.latest_rate, mean_rate)
                && bound.allows_shift(sent, left)
                && verdict::is_acceptable(&evidence.trial) =>
        {
            Stage::Shift
        }
        Stage::Shift if progress.is_shift_over(reserve) && verdict::is_confirmed(evidence) => Stage::Done,
        Stage::Shift if progress.is_decision_overdue() || !bound.allows(sent, reserve, left) => Stage::Reverted,
        stage => stage,
    }
}

impl Progress {
    /// Whether the shift began when the roll-out's time was over.
    fn is_late(&self) -> bool {
        self.elapsed.saturating_sub(self.shifting) >= self.total
    }

    fn is_shift_over(&self, reserve: Duration) -> bool {
        if self.is_late() {
            return self.shifting >= MIN_LATE_SHIFT;
        }
        self.shifting >= MIN_SHIFT && self.elapsed + reserve >= self.total
    }

    /// Whether the version should have been confirmed by now.
    fn is_decision_overdue(&self) -> bool {
        if self.is_late() {
            return self.shifting >= MIN_LATE_SHIFT + CONFIRMATION_TIME;
        }
        self.elapsed + LAST_DECISION >= self.total
    }
}

/// Returns whether the load has grown beyond its usual fluctuations, given the requests in the last second
/// and in the mean one of the roll-out.
fn is_burst(latest: f64, mean: f64) -> bool {
    latest > BURST_GROWTH * mean + BURST_DEVIATIONS * mean.sqrt()
}

/// Returns whether a session is one of the few that try versions on trial, if `share` of all do.
#[must_use]
pub fn is_in_trial_group(session: u64, share: f64) -> bool {
    fraction(session) < share
}

/// Returns whether a session uses the new version at a stage.
///
/// `elapsed` counts from the order, and `trial_share` of the sessions try the version. A session that used
/// the old version a moment ago (`settled`) stays there during the trial, since callers notice when
/// versions change within a session.
#[must_use]
pub fn uses_new_version(stage: Stage, elapsed: Duration, session: u64, settled: bool, trial_share: f64) -> bool {
    match stage {
        Stage::Reverted => false,
        Stage::Shift | Stage::Done => true,
        Stage::Trial => elapsed >= TRIAL_DELAY && !settled && is_in_trial_group(session, trial_share),
    }
}

/// Maps a session to a uniformly distributed number from 0 to 1.
fn fraction(session: u64) -> f64 {
    let mixed = hash::rendezvous(session, b"canary");
    #[expect(clippy::cast_precision_loss, reason = "53 bits fill an f64's mantissa exactly")]
    let fraction = (mixed >> 11) as f64 / (1u64 << 53) as f64;
    fraction
}
