//! Leases, roll-outs and orders to engines.
//!
//! [`spawn`] starts this instance's tasks:
//!
//! - the guard collects observations of versions under roll-out
//!   ([`observation`]), shares sums with its peers and stops a bad version;
//! - the withdrawer makes a stop permanent by a conditional write;
//! - the [`lease`] decides which instance coordinates roll-outs;
//! - the coordinator, on that instance, has engines load versions ([`order`])
//!   and moves roll-outs from step to step.
//!
//! Actions of operators on a roll-out are computed in [`operate`].

mod coordinator;
mod guard;
mod handle;
pub mod lease;
mod ledger;
mod loads;
pub mod observation;
pub mod operate;
pub mod order;
mod settings;
mod wire;
mod withdraw;

use std::sync::Arc;

use bytes::Bytes;
pub use handle::Handle;
pub use observation::Observation;
use route::rollout::Stops;
pub use settings::Settings;
use timeline::Recorder;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    coordinator::Coordinator,
    guard::{Guard, Publication, Verdicts},
    ledger::Ledger,
};

/// Capacity of the queue of updates to peers, in messages.
const UPDATE_QUEUE_CAPACITY: usize = 16;

/// Handles to the other parts of the instance that the control tasks use.
#[derive(Debug, Clone)]
pub struct Dependencies {
    /// Object API of the platform, which stores the lease.
    pub platform: store::Handle,
    /// Configuration, which is read and changed.
    pub config: config::Handle,
    /// Channel for calls to engines; see [`order::spawn`].
    pub engines: mpsc::Sender<order::Call>,
    /// Recorder for timeline events.
    pub recorder: Recorder,
}

/// Starts this instance's control tasks; they end when the last handle is
/// dropped.
///
/// Each message from the receiver is to be published to every live instance;
/// messages published by peers are passed to [`Handle::receive`].
#[must_use]
pub fn spawn(settings: Settings, dependencies: Dependencies) -> (Handle, mpsc::Receiver<Bytes>) {
    let settings = Arc::new(settings);
    let (inbox, messages) = mpsc::channel(handle::INBOX_CAPACITY);
    let (updates, published) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
    let (stop, stops) = watch::channel(Arc::new(Stops::default()));
    let (verdict, verdicts) = watch::channel(Arc::new(Verdicts::new()));
    let own_stop = Arc::new(Notify::new());
    let Dependencies { platform, config, engines, recorder } = dependencies;
    let guard = Guard {
        settings: settings.clone(),
        catalog: config.subscribe(),
        recorder: recorder.clone(),
        stops: stop,
        verdicts: verdict,
        own_stop: own_stop.clone(),
        updates,
        ledger: Ledger::default(),
        publication: Publication::default(),
    };
    let withdrawing = withdraw::run(config.clone(), settings.author(), stops.clone(), own_stop, settings.seed);
    let terms = lease::spawn(settings.lease.clone(), platform, recorder.clone());
    let coordinator = Coordinator { settings, config, recorder, terms, verdicts, calls: engines };
    let background = [tokio::spawn(withdrawing), tokio::spawn(coordinator.run())];
    tokio::spawn(async move {
        guard.run(messages).await;
        // The handles are gone, so this instance needs no coordinator. Aborting it also drops
        // the receiver of the lease, which ends the lease task.
        background.iter().for_each(tokio::task::JoinHandle::abort);
    });
    (Handle { inbox, stops }, published)
}

/// Returns a handle without tasks, for tests of other crates. It accepts and
/// ignores observations and updates, and no version is ever stopped.
#[must_use]
pub fn inert() -> Handle {
    let (inbox, _) = mpsc::channel(1);
    let (_, stops) = watch::channel(Arc::new(Stops::default()));
    Handle { inbox, stops }
}
