//! Notices that announce long prompts to other instances: queued for sending, and received.

use std::time::Duration;

use route::relay::notice::Budget;

use super::{Job, Key};
use crate::{
    clock,
    dispatcher::{Dispatcher, State},
};

/// Maximum number of notices kept for sending. They are sent within a turn of the
/// scheduler, so they pile up only while the socket does not accept them.
const MAX_UNSENT_NOTICES: usize = 32;

/// Minimum length of a shared part that notices announce, in tokens. Reading a shorter
/// part again costs less than the notice.
pub(super) const MIN_ANNOUNCED_PART_TOKENS: u32 = 1_000;

/// Announces to other instances that a long prompt was sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// Hash of the endpoint's name and start.
    pub endpoint: u32,
    /// Time that the prompt takes to read, in milliseconds.
    pub reading_ms: f64,
    /// Hash of the prompt's shared part, if that is long enough.
    pub part: Option<u32>,
}

/// Notices that were not sent yet, and the budget for sending them.
#[derive(Debug, Clone)]
pub struct Notices {
    budget: Budget,
    unsent: Vec<Notice>,
}

impl Notices {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { budget: Budget::new(now), unsent: Vec::new() }
    }
}

impl State {
    /// Records that an endpoint will cache a prompt's shared part if that is long enough, and
    /// queues a notice of the prompt if the budget allows. Returns whether a notice was queued.
    pub(super) fn queue_notice(&mut self, key: Key, job: &Job<'_>, reading_ms: f64, now: Duration) -> bool {
        self.update_peer_loads(now);
        let fanout = self.peers.fanout();
        let Some(server) = self.fleet.servers.get_mut(key) else { return false };
        let part = job.part().filter(|_| job.shared_tokens >= MIN_ANNOUNCED_PART_TOKENS);
        if let Some(part) = part {
            self.fleet.holders.record(part, server.hash, now);
        }
        if self.notices.unsent.len() >= MAX_UNSENT_NOTICES
            || !self.notices.budget.try_notify(now, reading_ms, part.is_some(), fanout)
        {
            return false;
        }
        server.announced_ms += reading_ms;
        self.notices.unsent.push(Notice { endpoint: server.hash, reading_ms, part });
        true
    }
}

impl Dispatcher {
    /// Waits until there are notices to send, and takes them.
    pub async fn next_notices(&self) -> Vec<Notice> {
        loop {
            let unsent = std::mem::take(&mut self.lock().notices.unsent);
            if !unsent.is_empty() {
                return unsent;
            }
            self.notices_ready.notified().await;
        }
    }

    /// Applies a notice of another instance.
    pub fn apply_notice(&self, notice: Notice) {
        let now = clock::now();
        let mut state = self.lock();
        if let Some(server) = state.fleet.server_by_hash(notice.endpoint) {
            server.announced_backlog.add(now, notice.reading_ms);
        }
        if let Some(part) = notice.part {
            state.fleet.holders.record(part, notice.endpoint, now);
        }
    }
}
