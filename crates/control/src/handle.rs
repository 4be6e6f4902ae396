//! Handle through which the other parts of an instance reach the control
//! tasks.

use std::sync::Arc;

use bytes::Bytes;
use route::rollout::Stops;
use tokio::sync::{mpsc, watch};

use crate::observation::Observation;

/// Capacity of the guard's inbox, in messages.
pub(crate) const INBOX_CAPACITY: usize = 4_096;

/// A message to the guard.
#[derive(Debug)]
pub(crate) enum Message {
    /// An observation of a request.
    Observed(Observation),
    /// An encoded update from a peer.
    PeerUpdate(Bytes),
}

/// Handle to this instance's control tasks; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(crate) inbox: mpsc::Sender<Message>,
    pub(crate) stops: watch::Receiver<Arc<Stops>>,
}

impl Handle {
    /// Reports what a request showed of a version. Never waits: when the inbox
    /// is full the observation is dropped and counted, so that requests are
    /// not delayed.
    pub fn observe(&self, observation: Observation) {
        self.send(Message::Observed(observation));
    }

    /// Passes on an update that a peer's control tasks published. Never waits:
    /// when the inbox is full the update is dropped and counted.
    pub fn receive(&self, update: Bytes) {
        self.send(Message::PeerUpdate(update));
    }

    /// Returns the versions stopped by evidence that the configuration does
    /// not show as withdrawn yet. Routing decisions treat them as withdrawn.
    #[must_use]
    pub fn stops(&self) -> Arc<Stops> {
        self.stops.borrow().clone()
    }

    /// Returns a receiver that changes whenever a stop is added or taken over
    /// by the configuration.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Stops>> {
        self.stops.clone()
    }

    /// Queues a message for the guard, or counts it as dropped if the inbox is full.
    fn send(&self, message: Message) {
        if self.inbox.try_send(message).is_err() {
            metrics::counter!("control_messages_dropped_total").increment(1);
        }
    }
}
