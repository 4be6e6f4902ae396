//! Decides on retries and hedges within one retry budget per customer.
//!
//! A retry repairs a failed attempt, but many retries turn a short fault into a
//! self-sustaining overload. So each customer earns a fraction of a token with
//! every first attempt and spends a whole token on every further dispatch, retry
//! or hedge. Whatever fails, dispatches stay below `1 + share` times the first
//! attempts, plus a small burst for customers that send few requests.

use rand::Rng;
use world::{Millis, Timestamp, request::Repeat};

/// Limits of retries and hedges.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Tokens earned by each first attempt.
    pub share: f64,
    /// Maximum number of tokens; also the initial number of a customer.
    pub burst: f64,
    /// Upper bound of the first delay, in milliseconds; doubles with each attempt.
    pub base_ms: Millis,
    /// Upper bound of every delay, not counting a delay that the endpoint asked for,
    /// in milliseconds.
    pub cap_ms: Millis,
    /// Maximum number of dispatches of one request, hedges included.
    pub max_tries: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self { share: 0.1, burst: 5.0, base_ms: 25, cap_ms: 1_000, max_tries: 4 }
    }
}

/// Tokens that a customer's requests may spend on further dispatches.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Returns the budget of a customer before its first request.
    #[must_use]
    pub fn new(policy: &Policy) -> Self {
        Self { tokens: policy.burst }
    }

    /// Adds the tokens earned by one first attempt.
    pub fn add_first_attempt(&mut self, policy: &Policy) {
        self.tokens = (self.tokens + policy.share).min(policy.burst);
    }

    /// Returns the number of tokens left; each whole token pays for one dispatch.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        self.tokens
    }

    fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Kind of failure of the last attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request certainly did not run.
    NotRun {
        /// Delay that the endpoint asked for, in milliseconds.
        retry_after: Option<Millis>,
    },
    /// The request ran or may have run.
    MayHaveRun,
}

/// Properties of a request that the decisions depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Whether the request may run twice.
    pub repeat: Repeat,
    /// Number of dispatches so far, hedges included.
    pub tries: u32,
    /// Deadline of the answer.
    pub deadline: Timestamp,
    /// Expected duration of a dispatch, in milliseconds.
    pub expected_ms: Millis,
}

/// Whether to dispatch a failed request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch again after a delay.
    Retry {
        /// Delay in milliseconds.
        after_ms: Millis,
    },
    /// Answer the caller without another attempt.
    GiveUp(Reason),
}

/// Reason against another dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The request may have run and must not run twice.
    NotRepeatable,
    /// The retry budget of the customer is exhausted.
    Budget,
    /// The answer would come after the deadline.
    Deadline,
    /// The request has reached the maximum number of dispatches.
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

/// Decides whether a failed request is dispatched again, and spends a token if so.
pub fn decide(
    policy: &Policy,
    budget: &mut Budget,
    request: &Request,
    failure: Failure,
    now: Timestamp,
    random: &mut impl Rng,
) -> Decision {
    // A second run of a non-idempotent request could, for example, book a deposit
    // twice, so such a request is only repeated if it certainly did not run.
    if request.repeat == Repeat::Never && failure == Failure::MayHaveRun {
        return Decision::GiveUp(Reason::NotRepeatable);
    }
    if request.tries >= policy.max_tries {
        return Decision::GiveUp(Reason::Tries);
    }
    let after_ms = backoff_ms(policy, request.tries, failure, random);
    if now.plus(after_ms).plus(request.expected_ms) > request.deadline {
        return Decision::GiveUp(Reason::Deadline);
    }
    if !budget.try_spend() {
        return Decision::GiveUp(Reason::Budget);
    }
    Decision::Retry { after_ms }
}

/// Returns an exponential backoff delay with full jitter, added to the delay that the
/// endpoint asked for.
fn backoff_ms(policy: &Policy, tries: u32, failure: Failure, random: &mut impl Rng) -> Millis {
    let doublings = tries.saturating_sub(1).min(20);
    let bound = policy.base_ms.saturating_mul(1 << doublings).min(policy.cap_ms);
    let jitter = random.random_range(0..=bound);
    match failure {
        Failure::NotRun { retry_after: Some(requested_ms) } => requested_ms.saturating_add(jitter),
        Failure::NotRun { retry_after: None } | Failure::MayHaveRun => jitter,
    }
}

/// Whether a running request is dispatched a second time in parallel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hedge {
    /// Dispatch now; the first answer wins, the other dispatch is cancelled.
    Dispatch,
    /// Decide again at this time.
    DecideAt(Timestamp),
    /// Do not hedge this request.
    Never(Reason),
}

/// Decides whether a request without a first byte is hedged, and spends a token if so.
///
/// A hedge is sent as late as it can still meet the deadline, so that only
/// requests that would likely miss it cost a second run.
pub fn hedge(policy: &Policy, budget: &mut Budget, request: &Request, now: Timestamp) -> Hedge {
    if request.repeat == Repeat::Never {
        return Hedge::Never(Reason::NotRepeatable);
    }
    if request.tries >= policy.max_tries.min(MAX_DISPATCHES_WITH_HEDGE) {
        return Hedge::Never(Reason::Tries);
    }
    let latest = Timestamp(request.deadline.0.saturating_sub(request.expected_ms));
    let at = Timestamp(latest.0.saturating_sub(request.expected_ms / HEDGE_MARGIN_DIVISOR));
    if now < at {
        return Hedge::DecideAt(at);
    }
    if now > latest {
        return Hedge::Never(Reason::Deadline);
    }
    if !budget.try_spend() {
        return Hedge::Never(Reason::Budget);
    }
    Hedge::Dispatch
}

/// Number of dispatches, retries included, at which a request is no longer hedged.
const MAX_DISPATCHES_WITH_HEDGE: u32 = 2;

/// Divisor of the expected duration of a dispatch that gives the time by which a hedge
/// precedes its latest possible time.
const HEDGE_MARGIN_DIVISOR: Millis = 4;
