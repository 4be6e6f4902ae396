//! The way in to the tasks.

use std::sync::Arc;

use bytes::Bytes;
use route::rollout::Stops;
use tokio::sync::{mpsc, watch};

use crate::observation::Observation;

/// Messages that may wait for the guard.
pub(crate) const INBOX: usize = 4_096;

/// A message to the guard.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request told something.
    Observed(Observation),
    /// A peer told something.
    Heard(Bytes),
}

/// Control at this instance; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(crate) inbox: mpsc::Sender<Message>,
    pub(crate) stops: watch::Receiver<Arc<Stops>>,
}

impl Handle {
    /// Tells what a request showed of a version. Never waits: under a backlog
    /// an observation is dropped and counted, since requests go first.
    pub fn observe(&self, observation: Observation) {
        self.send(Message::Observed(observation));
    }

    /// Takes in what a peer's control published.
    pub fn heard(&self, news: Bytes) {
        self.send(Message::Heard(news));
    }

    /// Versions stopped by evidence, ahead of the configuration; decisions
    /// treat them as withdrawn.
    #[must_use]
    pub fn stops(&self) -> Arc<Stops> {
        self.stops.borrow().clone()
    }

    /// Changes whenever a stop is added or has come into force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Stops>> {
        self.stops.clone()
    }

    fn send(&self, message: Message) {
        if self.inbox.try_send(message).is_err() {
            metrics::counter!("control_messages_dropped_total").increment(1);
        }
    }
}
