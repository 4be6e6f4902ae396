//! Configuration: one totally ordered log of changes, observed by every instance.
//!
//! A change is one immutable entry `config/change/<generation>` in the
//! platform, made by create-if-absent. That one write decides every race:
//! whoever creates the entry has made the generation, whoever finds it taken
//! reads it and tries the next (docs/design/configuration.md).
//!
//! Two tasks share the work. The observer owns the state in force: it
//! takes entries from the platform and from peers, in order, and never goes
//! back. The applier makes new entries. One instance per failure domain
//! is the domain's reader and watches the platform; the others hear of changes
//! over peer links and ask a peer once a second whether they missed one.
//!
//! The daemon pumps [`Outbound`] messages to the peer links, hands what comes
//! in to [`Handle::offer`] and answers peers' calls with [`Handle::serve`].

mod applier;
mod contact;
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
pub use handle::{Handle, Past, Status};
pub use settings::{Keep, Settings};
pub use state::Revision;

use applier::Applier;
use contact::Contact;
use log::Log;
use observer::Observer;
use state::State;

/// Messages that may wait for a busy observer or daemon.
const QUEUE: usize = 256;

/// A message for peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outbound {
    /// Publish to every live instance.
    News(bytes::Bytes),
    /// Call a peer and hand its answer to [`Handle::offer`].
    Want {
        /// Whom to ask.
        scope: Scope,
        /// What to send; the peer answers by [`Handle::serve`].
        bytes: bytes::Bytes,
    },
}

/// Whom to ask for news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One peer: the reader of the own failure domain, or any other.
    One,
    /// One peer in each failure domain, the own included.
    EachDomain,
}

/// Starts observing; ends with the last handle.
///
/// The first catalog is the empty generation 0, and [`Handle::fresh`] is
/// false until platform or peers have confirmed a state.
#[must_use]
pub fn spawn(settings: Settings, platform: store::Handle, recorder: Recorder) -> (Handle, mpsc::Receiver<Outbound>) {
    let settings = Arc::new(settings);
    let (out, outbound) = mpsc::channel(QUEUE);
    let (inbox, messages) = mpsc::channel(QUEUE);
    let (applies, requests) = mpsc::channel(QUEUE);
    let (state, watched) = watch::channel(Arc::new(State::default()));
    let catalog = watch::Sender::new(watched.borrow().catalog().clone());
    let contact = Arc::new(Contact::new(&settings));
    let log = Log::new(platform, settings.keep);
    let handle = Handle::new(
        catalog.subscribe(),
        watched.clone(),
        contact.clone(),
        inbox.clone(),
        applies,
        log.clone(),
        settings.clone(),
    );
    let maker = Applier::new(settings.clone(), log.clone(), watched, inbox.downgrade(), recorder.clone());
    tokio::spawn(maker.run(requests));
    let observer = Observer::new(settings, log, contact, recorder, (state, catalog), inbox.downgrade(), out);
    tokio::spawn(observer.run(messages));
    (handle, outbound)
}
