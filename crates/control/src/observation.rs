//! What one request tells about the version that ran it.

use route::rollout::Unit;
use world::{Millis, contract::Customer, model::Version};

/// One thing seen of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Whose request.
    pub customer: Customer,
    /// The session, or the request where it had none; the same at every
    /// request of a session.
    pub unit: Unit,
    /// The version that ran it.
    pub version: Version,
    /// What was seen.
    pub outcome: Outcome,
}

/// What was seen of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered {
        /// Time to its first token, in milliseconds.
        latency_ms: Millis,
    },
    /// It ran and gave no whole answer. A refusal before it ran, for want of
    /// room say, is no failure of the version and is not told.
    Failed,
    /// The answer's rating came, now or later.
    Rated {
        /// Whether it passed.
        pass: bool,
    },
}
