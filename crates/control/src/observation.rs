//! Observations of a version by single requests.

use route::rollout::Unit;
use world::{Millis, contract::Customer, model::Version};

/// One observation of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Customer that sent the request.
    pub customer: Customer,
    /// Unit of assignment to an arm: the session, or the request if it has
    /// none. The same for every request of a session.
    pub unit: Unit,
    /// Version that ran the request.
    pub version: Version,
    /// Outcome that was observed.
    pub outcome: Outcome,
}

/// Outcome of a request that counts as evidence on the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request got a complete answer.
    Answered {
        /// Time to the first token, in milliseconds.
        latency_ms: Millis,
    },
    /// The request ran and got no complete answer. A refusal before it ran,
    /// for example for lack of capacity, is not the version's failure and is
    /// not reported.
    Failed,
    /// The answer was rated, now or later.
    Rated {
        /// Whether the answer passed.
        pass: bool,
    },
}
