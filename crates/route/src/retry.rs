//! Retries and hedges inside one budget per customer.
//!
//! A retry repairs a lost try; many retries turn a short fault into an
//! overload that feeds itself. So each customer earns a share of a token with
//! every first try and pays a whole one for every further dispatch, retry or
//! hedge alike: whatever fails, dispatches stay under `1 + share` times the
//! first tries, plus a small burst for customers that send little.

use rand::Rng;
use world::{Millis, Timestamp, request::Repeat};

/// What retries may cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Tokens earned by one first try.
    pub share: f64,
    /// Most tokens kept; also what a customer starts with.
    pub burst: f64,
    /// Upper bound of the first wait, in milliseconds; doubles with each try.
    pub base_ms: Millis,
    /// Upper bound of any wait, in milliseconds.
    pub cap_ms: Millis,
    /// Most dispatches of one request, hedges included.
    pub max_tries: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self { share: 0.1, burst: 5.0, base_ms: 25, cap_ms: 1_000, max_tries: 4 }
    }
}

/// What a customer's requests may still spend on further dispatches.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// A customer's budget before its first request.
    #[must_use]
    pub fn new(policy: &Policy) -> Self {
        Self { tokens: policy.burst }
    }

    /// Earns for one first try.
    pub fn earn(&mut self, policy: &Policy) {
        self.tokens = (self.tokens + policy.share).min(policy.burst);
    }

    /// Whole dispatches it would pay for now.
    #[must_use]
    pub fn left(&self) -> f64 {
        self.tokens
    }

    fn pay(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// How the last try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Certainly nothing was run.
    NotRun {
        /// Wait the endpoint asked for, in milliseconds.
        retry_after: Option<Millis>,
    },
    /// It ran, or may have.
    MayHaveRun,
}

/// One request as the decision sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Whether it may run twice.
    pub repeat: Repeat,
    /// Dispatches so far, hedges included.
    pub tries: u32,
    /// When its answer is due.
    pub deadline: Timestamp,
    /// Time a dispatch is expected to take, in milliseconds.
    pub expected_ms: Millis,
}

/// Whether to try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch again after this many milliseconds.
    Retry {
        /// The wait.
        after_ms: Millis,
    },
    /// Answer the caller at once.
    GiveUp(Reason),
}

/// Why there is no further dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It may have run and must not run twice.
    NotRepeatable,
    /// The customer's retry budget is used up.
    Budget,
    /// The answer would come after the deadline.
    Deadline,
    /// It has had its most tries.
    Tries,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotRepeatable => "it may have run and must not run twice; ask for its outcome",
            Self::Budget => "the customer's retry budget is used up; come back later",
            Self::Deadline => "another try would end after the deadline",
            Self::Tries => "it has had its most tries; come back later",
        })
    }
}

/// Decides whether a failed request is dispatched again, and pays for it.
pub fn decide(
    policy: &Policy,
    budget: &mut Budget,
    request: &Request,
    failure: Failure,
    now: Timestamp,
    random: &mut impl Rng,
) -> Decision {
    // A second dispatch of a request that may have run would double a
    // deposit: only a certain "not run" lets it go again.
    if request.repeat == Repeat::Never && failure == Failure::MayHaveRun {
        return Decision::GiveUp(Reason::NotRepeatable);
    }
    if request.tries >= policy.max_tries {
        return Decision::GiveUp(Reason::Tries);
    }
    let after_ms = wait(policy, request.tries, failure, random);
    if now.plus(after_ms).plus(request.expected_ms) > request.deadline {
        return Decision::GiveUp(Reason::Deadline);
    }
    if !budget.pay() {
        return Decision::GiveUp(Reason::Budget);
    }
    Decision::Retry { after_ms }
}

/// Full jitter over a doubling bound, on top of what the endpoint asked for.
fn wait(policy: &Policy, tries: u32, failure: Failure, random: &mut impl Rng) -> Millis {
    let doublings = tries.saturating_sub(1).min(20);
    let bound = policy.base_ms.saturating_mul(1 << doublings).min(policy.cap_ms);
    let jitter = random.random_range(0..=bound);
    match failure {
        Failure::NotRun { retry_after: Some(asked) } => asked.saturating_add(jitter),
        Failure::NotRun { retry_after: None } | Failure::MayHaveRun => jitter,
    }
}

/// Whether a running request gets a second dispatch beside the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hedge {
    /// Dispatch now; the first to answer wins, the other is cancelled.
    Dispatch,
    /// Ask again at this time.
    At(Timestamp),
    /// Never for this request.
    Never(Reason),
}

/// Decides whether a request without a first byte is hedged, and pays for it.
///
/// A hedge goes out as late as it can still meet the deadline, so that only
/// requests that would likely miss it cost a second run.
pub fn hedge(policy: &Policy, budget: &mut Budget, request: &Request, now: Timestamp) -> Hedge {
    if request.repeat == Repeat::Never {
        return Hedge::Never(Reason::NotRepeatable);
    }
    if request.tries >= policy.max_tries.min(MAX_PARALLEL) {
        return Hedge::Never(Reason::Tries);
    }
    let latest = Timestamp(request.deadline.0.saturating_sub(request.expected_ms));
    let at = Timestamp(latest.0.saturating_sub(request.expected_ms / HEDGE_MARGIN));
    if now < at {
        return Hedge::At(at);
    }
    if now > latest {
        return Hedge::Never(Reason::Deadline);
    }
    if !budget.pay() {
        return Hedge::Never(Reason::Budget);
    }
    Hedge::Dispatch
}

/// Most dispatches of one request at a time.
const MAX_PARALLEL: u32 = 2;

/// Part of a dispatch's expected time that a hedge leaves as margin.
const HEDGE_MARGIN: Millis = 4;
