//! Configuration: one totally ordered log of changes, observed by every instance.
//!
//! A change is one immutable entry `config/change/<generation>` in the
//! platform, written by create-if-absent. That one write decides every race:
//! the instance that creates the entry owns the generation; an instance that
//! finds it taken reads it and tries the next one (docs/design/configuration.md).
//!
//! Two tasks share the work. The observer owns the state in force, the one that
//! this instance uses now: it applies entries from the platform and from peers
//! in order and never moves to an older generation. The applier creates new
//! entries. One instance per failure domain is the domain's reader and watches
//! the platform; the others receive changes over peer links and poll a peer
//! once a second for missed ones.
//!
//! The daemon forwards [`Outbound`] messages to the peer links, passes incoming
//! messages to [`Handle::offer`] and answers peers' calls with [`Handle::serve`].

mod applier;
mod confirmations;
mod edit;
mod error;
mod handle;
mod log;
mod observer;
mod reader;
mod record;
mod settings;
mod state;
pub mod wire;

use std::sync::Arc;

use timeline::Recorder;
use tokio::sync::{mpsc, watch};

pub use edit::{Applied, Edit, Expected};
pub use error::{Conflict, Error};
pub use handle::{Handle, HistoryEntry, Status};
pub use settings::{Keep, Settings};
pub use state::Revision;

use applier::Applier;
use confirmations::Confirmations;
use log::Log;
use observer::Observer;
use state::State;

/// Capacity, in messages, of each queue to the observer, the applier and the daemon.
const QUEUE_CAPACITY: usize = 256;

/// A message that the daemon sends to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outbound {
    /// An update message to publish to every live instance.
    News(bytes::Bytes),
    /// A request to call peers with; each answer goes to [`Handle::offer`].
    Request {
        /// Which peers to call.
        scope: Scope,
        /// The encoded request, which the peer answers with [`Handle::serve`].
        bytes: bytes::Bytes,
    },
}

/// Which peers to ask for updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One peer: the reader of this instance's failure domain, or any other peer.
    One,
    /// One peer in each failure domain, including this instance's own.
    EachDomain,
}

/// Starts the observer and the applier, which end when the last handle is dropped.
///
/// The first catalog is the empty generation 0, and [`Handle::fresh`] is
/// false until the platform or peers have confirmed a state.
#[must_use]
pub fn spawn(settings: Settings, platform: store::Handle, recorder: Recorder) -> (Handle, mpsc::Receiver<Outbound>) {
    let settings = Arc::new(settings);
    let (out, outbound) = mpsc::channel(QUEUE_CAPACITY);
    let (inbox, messages) = mpsc::channel(QUEUE_CAPACITY);
    let (applier_inbox, requests) = mpsc::channel(QUEUE_CAPACITY);
    let (state, watched) = watch::channel(Arc::new(State::default()));
    let catalog = watch::Sender::new(watched.borrow().catalog().clone());
    let confirmations = Arc::new(Confirmations::new(&settings));
    let log = Log::new(platform, settings.keep);
    let handle = Handle::new(
        catalog.subscribe(),
        watched.clone(),
        confirmations.clone(),
        inbox.clone(),
        applier_inbox,
        log.clone(),
        settings.clone(),
    );
    let applier = Applier::new(settings.clone(), log.clone(), watched, inbox.downgrade(), recorder.clone());
    tokio::spawn(applier.run(requests));
    let observer = Observer::new(settings, log, confirmations, recorder, (state, catalog), inbox.downgrade(), out);
    tokio::spawn(observer.run(messages));
    (handle, outbound)
}
