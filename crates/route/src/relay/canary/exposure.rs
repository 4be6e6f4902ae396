//! Bound on the requests that a version gets while it may be bad.
//!
//! Evidence about a version can be wrong or come late. So the bound holds by the number of requests
//! alone: a share of the sessions tries the version for most of the roll-out's time, and all sessions move
//! to it only when what is left of the time cannot exceed the bound any more, also if nothing but the
//! version is used until its end.

use std::time::Duration;

/// Part of the bound that is planned for. The rest is for requests that other instances have not reported
/// yet.
const PLANNED_PART: f64 = 0.95;

/// Factor by which the load may grow while all sessions use the version.
const LOAD_GROWTH: f64 = 1.12;

/// Standard deviations of the number of requests for which there is room beyond that.
const DEVIATIONS: f64 = 2.0;

/// Part of the bound that a trial is planned for, together with the shift.
const TRIAL_PLANNED_PART: f64 = 0.75;

/// Part of the planned requests that is kept for the time in which all sessions use the version.
const SHIFT_PART: f64 = 0.6;

/// Least and longest time that the trial leaves for the shift, in seconds.
const SHIFT_TIME: (f64, f64) = (1.05, 2.4);

/// Least share of sessions that tries a version.
const MIN_TRIAL_SHARE: f64 = 0.01;

/// Largest share of sessions that tries a version, relative to the exposure allowed.
const TRIAL_SHARE_OF_EXPOSURE: f64 = 0.4;

/// Requests that a version may get until it is known whether it is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Share of the service's requests from the order to the end of the roll-out's time.
    pub share: f64,
    /// Number of requests on top of that share.
    pub slack: f64,
}

/// Requests sent to a service since a roll-out was ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sent {
    /// Requests to the new version.
    pub new: f64,
    /// Requests to either version.
    pub all: f64,
    /// Requests to either version in a second, lately.
    pub rate: f64,
}

impl Bound {
    fn allowed(self, all: f64) -> f64 {
        self.share * all + self.slack
    }

    /// Returns the largest share of sessions that tries any version.
    #[must_use]
    pub fn max_trial_share(self) -> f64 {
        self.share * TRIAL_SHARE_OF_EXPOSURE
    }

    /// Returns the share of sessions that tries a version in a roll-out of a given length.
    #[must_use]
    pub fn trial_share(self, total: Duration) -> f64 {
        let shift = self.shift_time(total).as_secs_f64();
        let total = total.as_secs_f64();
        let share = (TRIAL_PLANNED_PART * self.share * total - shift) / (total - shift).max(1.0);
        share.max(MIN_TRIAL_SHARE).min(self.max_trial_share())
    }

    /// Returns the time before the end of a roll-out's time at which the shift is planned to begin.
    pub(super) fn shift_time(self, total: Duration) -> Duration {
        let planned = TRIAL_PLANNED_PART * self.share * total.as_secs_f64();
        Duration::from_secs_f64((SHIFT_PART * planned).clamp(SHIFT_TIME.0, SHIFT_TIME.1))
    }

    /// Returns whether all sessions may use the version from now until the end of the time.
    pub(super) fn allows_shift(self, sent: Sent, left: Duration) -> bool {
        let rest = sent.rate * left.as_secs_f64();
        let reserved = LOAD_GROWTH * rest + DEVIATIONS * rest.sqrt();
        left.is_zero() || sent.new + reserved <= PLANNED_PART * self.allowed(sent.all + rest)
    }

    /// Returns whether the version may go on getting all requests for a while, of the time that is left.
    pub(super) fn allows(self, sent: Sent, span: Duration, left: Duration) -> bool {
        let expected = |time: Duration| sent.rate * time.as_secs_f64();
        left.is_zero() || sent.new + expected(span.min(left)) <= self.allowed(sent.all + expected(left))
    }
}
