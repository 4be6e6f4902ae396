//! Leases, roll-outs and orders to engines.
//!
//! [`spawn`] starts this instance's tasks:
//!
//! - the guard gathers what requests tell of versions under roll-out
//!   ([`observation`]), shares sums with its peers and stops a bad version;
//! - the withdrawer makes a stop last by a conditional write;
//! - the [`lease`] decides which instance carries roll-outs on;
//! - the coordinator, on that instance, has engines load versions ([`order`])
//!   and moves roll-outs from step to step.
//!
//! What operators do with a roll-out is worked out in [`operate`].

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
    guard::{Guard, Told, Verdicts},
    ledger::Ledger,
};

/// News that may wait for the links.
const NEWS: usize = 16;

/// What control works with.
#[derive(Debug, Clone)]
pub struct Edges {
    /// The object API, for the lease.
    pub platform: store::Handle,
    /// The configuration, read and written.
    pub config: config::Handle,
    /// Calls to engines; see [`order::spawn`].
    pub engines: mpsc::Sender<order::Call>,
    /// Where events are recorded.
    pub recorder: Recorder,
}

/// Starts control's tasks; they end with the last handle.
///
/// What comes out of the receiver is to be published to every live instance;
/// what peers published goes into [`Handle::heard`].
#[must_use]
pub fn spawn(settings: Settings, edges: Edges) -> (Handle, mpsc::Receiver<Bytes>) {
    let settings = Arc::new(settings);
    let (inbox, messages) = mpsc::channel(handle::INBOX);
    let (news, published) = mpsc::channel(NEWS);
    let (stop, stops) = watch::channel(Arc::new(Stops::default()));
    let (verdict, verdicts) = watch::channel(Arc::new(Verdicts::new()));
    let own_stop = Arc::new(Notify::new());
    let Edges { platform, config, engines, recorder } = edges;
    let guard = Guard {
        settings: settings.clone(),
        catalog: config.subscribe(),
        recorder: recorder.clone(),
        stops: stop,
        verdicts: verdict,
        own_stop: own_stop.clone(),
        news,
        ledger: Ledger::default(),
        told: Told::default(),
    };
    let withdrawing = withdraw::run(config.clone(), settings.author(), stops.clone(), own_stop, settings.seed);
    let terms = lease::spawn(settings.lease.clone(), platform, recorder.clone());
    let coordinator = Coordinator { settings, config, recorder, terms, verdicts, calls: engines };
    let helpers = [tokio::spawn(withdrawing), tokio::spawn(coordinator.run())];
    tokio::spawn(async move {
        guard.run(messages).await;
        // The handles are gone: nobody needs a coordinator here, and its end
        // lets the lease go too.
        helpers.iter().for_each(tokio::task::JoinHandle::abort);
    });
    (Handle { inbox, stops }, published)
}

/// A handle without tasks behind it, for tests of other crates: it takes
/// observations and news, and no version is ever stopped.
#[must_use]
pub fn idle() -> Handle {
    let (inbox, _) = mpsc::channel(1);
    let (_, stops) = watch::channel(Arc::new(Stops::default()));
    Handle { inbox, stops }
}
