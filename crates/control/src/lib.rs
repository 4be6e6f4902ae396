//! Leases, roll-outs and orders to engines.
//!
//! [`spawn`] starts this instance's tasks: the guard gathers what requests
//! tell of versions under roll-out ([`observation`]) and stops a bad one. What
//! operators do with a roll-out is worked out in [`operate`].

mod handle;
pub mod lease;
pub mod observation;
pub mod operate;
pub mod order;

use std::sync::Arc;

pub use handle::Handle;
pub use observation::Observation;
use route::rollout::Stops;
use tokio::sync::{mpsc, watch};

/// Name of the topic that control's news travel under.
pub const TOPIC: &str = "control";

/// Starts control's tasks.
#[must_use]
pub fn spawn() -> Handle {
    let (inbox, mut messages) = mpsc::channel(handle::INBOX);
    let (stop, stops) = watch::channel(Arc::new(Stops::default()));
    tokio::spawn(async move {
        while let Some(message) = messages.recv().await {
            match message {
                handle::Message::Observed(observation) => tracing::trace!(?observation),
                handle::Message::Heard(news) => tracing::trace!(bytes = news.len()),
            }
        }
        drop(stop);
    });
    Handle { inbox, stops }
}
