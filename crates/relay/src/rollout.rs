//! An operator's order to move a service to another version.

use std::time::Duration;

use route::relay::canary::Stage;

use crate::source::Revision;

/// A rollout order and its progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// Name of the service.
    pub service: String,
    /// Version to roll out.
    pub target: String,
    /// Time that the rollout may take.
    pub max_duration: Duration,
    /// Stage in the stored status; `None` before the first report.
    pub stage: Option<Stage>,
    /// Revision of the stored object, for conditional writes.
    pub revision: Revision,
}
