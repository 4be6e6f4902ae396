//! The operators' listener: the service behind `arbutuslug`, health, metrics.
//!
//! Health and metrics are plain HTTP, the service is gRPC; both are served on
//! one port (`listener`). The service asks the daemon's handles and, for
//! what concerns the whole fleet, the other instances over peer links
//! (`fleet`).

mod access;
mod edits;
mod fleet;
mod follow;
mod health;
mod listener;
mod service;

use metrics_exporter_prometheus::PrometheusHandle;
use settings::Secret;
use timeline::Recorder;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

pub use fleet::answer;
pub use listener::{Listener, bind};

/// What the listener asks and triggers.
#[derive(Clone)]
pub struct Handles {
    /// Objects and their changes.
    pub config: config::Handle,
    /// Outcomes and bills.
    pub journal: journal::Handle,
    /// The other instances.
    pub peer: peer::Handle,
    /// This instance's events.
    pub recorder: Recorder,
    /// Where this instance stands between start and end.
    pub duty: watch::Receiver<Duty>,
    /// Cancelled by an operator: the daemon finishes its work and leaves.
    pub leave: CancellationToken,
    /// Renders metrics.
    pub metrics: PrometheusHandle,
    /// Opens the service and metrics.
    pub key: Secret,
}

impl std::fmt::Debug for Handles {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handles").field("duty", &*self.duty.borrow()).finish_non_exhaustive()
    }
}

/// Where this instance stands between start and end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Duty {
    /// Start, service or leave.
    pub phase: Phase,
    /// Requests in flight.
    pub in_flight: u64,
}

/// A phase of a daemon's life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Not yet ready for callers.
    #[default]
    Starting,
    /// Takes callers.
    Serving,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Nothing is in flight or unrecorded any more.
    Finished,
}
