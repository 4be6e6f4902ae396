//! An operator's order to move a service to another version.

use std::time::Duration;

use route::relay::canary::Stage;

/// An order and how far it has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The service's name.
    pub service: String,
    /// Version to move to.
    pub target: String,
    /// Time it may take.
    pub over: Duration,
    /// How far the status says it has come; nothing before the first write.
    pub stage: Option<Stage>,
    /// Revision of the object, for conditional writes.
    pub revision: u64,
}
