//! Tracks whether the platform answers.

use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::watch;

/// Number of consecutive calls without an answer after which the platform counts as
/// unreachable. A single lost answer is not an outage.
const SILENT_AFTER: u32 = 3;

/// Counts consecutive calls without an answer.
#[derive(Debug)]
pub(crate) struct Reach {
    unanswered: AtomicU32,
    reachable: watch::Sender<bool>,
}

impl Default for Reach {
    fn default() -> Self {
        Self { unanswered: AtomicU32::new(0), reachable: watch::Sender::new(true) }
    }
}

impl Reach {
    pub(crate) fn note(&self, answered: bool) {
        let unanswered = if answered {
            self.unanswered.store(0, Ordering::Relaxed);
            0
        } else {
            self.unanswered.fetch_add(1, Ordering::Relaxed).saturating_add(1)
        };
        let reachable = unanswered < SILENT_AFTER;
        self.reachable.send_if_modified(|known| {
            let changed = *known != reachable;
            *known = reachable;
            changed
        });
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<bool> {
        self.reachable.subscribe()
    }
}
