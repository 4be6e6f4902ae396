//! Notices of long prompts: this instance's, until they are sent, and others'.

use std::time::Duration;

use route::relay::notice::Budget;

use super::{Job, Key};
use crate::{
    clock,
    desk::{Desk, State},
};

/// Notices kept until they are sent; they are sent within a turn of the
/// scheduler, so more only come while the socket does not take them.
const MOST_KEPT: usize = 32;

/// Least tokens of a shared part that others are told of: reading fewer again
/// costs less than the word.
pub(super) const WORTH_KEEPING: u32 = 1_000;

/// Word of a long prompt that was sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// Hash of the endpoint's name.
    pub endpoint: u32,
    /// Time that it takes to read, in milliseconds.
    pub reading_ms: f64,
    /// Its shared part, if it has one worth keeping.
    pub part: Option<u32>,
}

/// Notices that were not sent yet, and what may be spent on them.
#[derive(Debug)]
pub struct Notices {
    budget: Budget,
    unsent: Vec<Notice>,
}

impl Notices {
    /// Nothing to tell yet.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { budget: Budget::new(now), unsent: Vec::new() }
    }
}

impl State {
    /// Has a prompt told to the other instances if it is long enough.
    pub(super) fn tell(&mut self, key: Key, job: &Job<'_>, reading_ms: f64, now: Duration) -> bool {
        self.settle_peers(now);
        let fanout = self.peers.fanout();
        let Some(server) = self.fleet.servers.get_mut(key) else { return false };
        let part = job.part().filter(|_| job.shared_tokens >= WORTH_KEEPING);
        if let Some(part) = part {
            self.fleet.holders.note(part, server.hash, now);
        }
        if self.notices.unsent.len() >= MOST_KEPT || !self.notices.budget.spend(now, reading_ms, part.is_some(), fanout)
        {
            return false;
        }
        server.told_ms += reading_ms;
        self.notices.unsent.push(Notice { endpoint: server.hash, reading_ms, part });
        true
    }
}

impl Desk {
    /// Waits until there are notices to send, and takes them.
    pub async fn notices(&self) -> Vec<Notice> {
        loop {
            let unsent = std::mem::take(&mut self.lock().notices.unsent);
            if !unsent.is_empty() {
                return unsent;
            }
            self.noticed.notified().await;
        }
    }

    /// Takes another instance's notice in.
    pub fn take_notice(&self, notice: Notice) {
        let now = clock::now();
        let mut state = self.lock();
        if let Some(server) = state.fleet.by_hash(notice.endpoint) {
            server.noticed.add(now, notice.reading_ms);
        }
        if let Some(part) = notice.part {
            state.fleet.holders.note(part, notice.endpoint, now);
        }
    }
}
