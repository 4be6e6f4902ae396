//! A bound on dispatches beyond the first of each request.
//!
//! The load pattern: many servers of a service fail at once, each failed
//! request is sent again, and the repeats overload the servers that are left.
//! Every instance counts its own first dispatches and its own extra ones in a
//! sliding window and allows an extra one only within a share of the first
//! ones plus its part of a fleet-wide reserve. Sums of such windows keep the
//! same bound over the fleet, so instances need not agree on anything but how
//! many they are.

use std::{collections::VecDeque, time::Duration};

/// Slices a window is counted in; more would only refine what a slice rounds.
const SLICES: u32 = 20;

/// What extra dispatches may cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Extra dispatches per first one, over the fleet.
    pub ratio: f64,
    /// Extra dispatches in a window on top, over the fleet.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Purpose of an extra dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Repairs a failed one.
    Repair,
    /// Asks a larger model; leaves part of the allowance for repairs.
    Escalation,
}

/// Part of the bound in use: the rest covers windows that slide across two
/// slices and members that are counted wrongly while membership changes.
const USED: f64 = 0.85;

/// Part of what is in use that escalations leave for repairs.
const FOR_REPAIRS: f64 = 0.12;

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    firsts: f64,
    extras: f64,
}

/// One service's counts at this instance.
#[derive(Debug, Clone)]
pub struct Allowance {
    policy: Policy,
    slices: VecDeque<Slice>,
}

impl Allowance {
    /// An allowance that nothing has been earned or spent of.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self { policy, slices: VecDeque::new() }
    }

    /// Counts a request's first dispatch.
    pub fn earn(&mut self, now: Duration) {
        self.slice(now).firsts += 1.0;
    }

    /// Counts an extra dispatch if the bound has room for it.
    ///
    /// `members` is the number of instances believed to send now.
    pub fn spend(&mut self, now: Duration, members: usize, purpose: Purpose) -> bool {
        if self.left(now, members, purpose) < 1.0 {
            return false;
        }
        self.slice(now).extras += 1.0;
        true
    }

    /// Extra dispatches the bound has room for.
    #[must_use]
    pub fn left(&mut self, now: Duration, members: usize, purpose: Purpose) -> f64 {
        self.slice(now);
        let firsts: f64 = self.slices.iter().map(|slice| slice.firsts).sum();
        let extras: f64 = self.slices.iter().map(|slice| slice.extras).sum();
        #[expect(clippy::cast_precision_loss, reason = "instances are far fewer than 2^53")]
        let members = members.max(1) as f64;
        let bound = USED * (self.policy.ratio * firsts + self.policy.reserve / members);
        match purpose {
            Purpose::Repair => bound - extras,
            Purpose::Escalation => bound * (1.0 - FOR_REPAIRS) - extras,
        }
    }

    fn slice(&mut self, now: Duration) -> &mut Slice {
        let number = self.number(now);
        let oldest = number.saturating_sub(u64::from(SLICES));
        while self.slices.front().is_some_and(|slice| slice.number < oldest) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        self.slices.back_mut().expect("a slice was pushed if there was none")
    }

    fn number(&self, now: Duration) -> u64 {
        let slice = (self.policy.window / SLICES).max(Duration::from_millis(1));
        u64::try_from(now.as_nanos() / slice.as_nanos()).unwrap_or(u64::MAX)
    }
}
