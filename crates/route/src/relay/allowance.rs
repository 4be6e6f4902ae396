//! A limit on dispatches beyond the first of each request.
//!
//! Guards against retry storms: many servers of a service fail at once, each failed request
//! is sent again, and the retries overload the remaining servers. Every instance counts its
//! own first dispatches and its own extra ones in a sliding window. It allows an extra one
//! only within a ratio of its first ones plus its part of a fleet-wide reserve. The sums
//! over all instances keep the same bound, so instances need to agree only on how many they
//! are.

use std::{collections::VecDeque, time::Duration};

/// Number of slices a window is counted in. More would only reduce the rounding error.
const SLICES_PER_WINDOW: u32 = 20;

/// Limit on extra dispatches.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Extra dispatches per first dispatch, over the fleet.
    pub ratio: f64,
    /// Extra dispatches per window that are allowed without any first dispatch, over the
    /// fleet.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Reason for an extra dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Retries a failed dispatch.
    Retry,
    /// Asks a larger model. Leaves part of the allowance for retries.
    Escalation,
}

/// Part of the bound that is used. The rest covers windows that cut through two slices and
/// instances that are miscounted while the membership changes.
const USABLE_FRACTION: f64 = 0.85;

/// Part of the usable bound that is reserved for retries and not available to escalations.
const RETRY_RESERVE: f64 = 0.12;

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    firsts: f64,
    extras: f64,
}

/// Counts of one service at this instance.
#[derive(Debug, Clone)]
pub struct Allowance {
    policy: Policy,
    slices: VecDeque<Slice>,
}

impl Allowance {
    /// Creates an allowance without any counted dispatch.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self { policy, slices: VecDeque::new() }
    }

    /// Counts the first dispatch of a request.
    pub fn record_first_dispatch(&mut self, now: Duration) {
        self.current_slice(now).firsts += 1.0;
    }

    /// Counts an extra dispatch if the bound allows it, and returns whether it does.
    ///
    /// `members` is the number of instances that are believed to be dispatching.
    pub fn try_extra_dispatch(&mut self, now: Duration, members: usize, purpose: Purpose) -> bool {
        if self.remaining(now, members, purpose) < 1.0 {
            return false;
        }
        self.current_slice(now).extras += 1.0;
        true
    }

    /// Returns the number of extra dispatches that the bound still allows.
    #[must_use]
    pub fn remaining(&mut self, now: Duration, members: usize, purpose: Purpose) -> f64 {
        self.current_slice(now);
        let firsts: f64 = self.slices.iter().map(|slice| slice.firsts).sum();
        let extras: f64 = self.slices.iter().map(|slice| slice.extras).sum();
        #[expect(clippy::cast_precision_loss, reason = "instances are far fewer than 2^53")]
        let members = members.max(1) as f64;
        let bound = USABLE_FRACTION * (self.policy.ratio * firsts + self.policy.reserve / members);
        match purpose {
            Purpose::Retry => bound - extras,
            Purpose::Escalation => bound * (1.0 - RETRY_RESERVE) - extras,
        }
    }

    fn current_slice(&mut self, now: Duration) -> &mut Slice {
        let number = self.slice_number(now);
        let oldest = number.saturating_sub(u64::from(SLICES_PER_WINDOW));
        while self.slices.front().is_some_and(|slice| slice.number < oldest) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        self.slices.back_mut().expect("a slice was pushed if there was none")
    }

    fn slice_number(&self, now: Duration) -> u64 {
        let slice = (self.policy.window / SLICES_PER_WINDOW).max(Duration::from_millis(1));
        u64::try_from(now.as_nanos() / slice.as_nanos()).unwrap_or(u64::MAX)
    }
}
