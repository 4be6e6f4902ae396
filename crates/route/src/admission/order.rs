//! Order of one customer's requests in a paced queue.

use world::{Millis, Timestamp};

/// A request's place among the waiting ones of its customer.
#[derive(Debug, Clone, Copy, Default)]
pub struct Order {
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Time until which the response has its full value.
    pub target: Option<Timestamp>,
    /// Time by which the request has to be expected to end, or it is refused on arrival; its
    /// deadline if not given.
    pub latest_end: Option<Timestamp>,
    /// Size, by which requests of the same rank and deadline are ordered; the smallest goes first.
    pub size: u64,
    /// Cost of its run, in milliseconds of the whole service.
    pub cost: f64,
    /// Rate at which requests of this rank may start, in cost per millisecond, if they have only
    /// a part of their customer's share.
    pub rank_per_ms: Option<f64>,
}

/// Rate at which cost may start in a paced queue.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// Cost per millisecond.
    pub per_ms: f64,
    /// Cost that has started ahead of the rate.
    pub debt: f64,
}

/// What a request can still meet if it runs now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fit {
    /// Its target time.
    Target,
    /// Only its deadline.
    Deadline,
    /// Not even its deadline.
    Never,
}

impl Order {
    /// Returns what a request can meet if it runs now.
    pub(super) fn fit(self, deadline: Timestamp, run_ms: Millis, now: Timestamp) -> Fit {
        if deadline.since(now) < run_ms {
            Fit::Never
        } else if self.target.is_none_or(|target| target.since(now) >= run_ms) {
            Fit::Target
        } else {
            Fit::Deadline
        }
    }
}
