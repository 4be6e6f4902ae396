//! Notices of long prompts: this instance's, until they are sent, and others'.

use std::time::Duration;

use route::relay::notice::Budget;

use super::Key;
use crate::{
    clock,
    desk::{Desk, State},
};

/// Notices kept until they are sent; they are sent within a turn of the
/// scheduler, so more only come while the socket does not take them.
const MOST_KEPT: usize = 32;

/// Word of a long prompt that was sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// Hash of the endpoint's name.
    pub endpoint: u32,
    /// Time that it takes to read, in milliseconds.
    pub reading_ms: f64,
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
    pub(super) fn tell(&mut self, key: Key, reading_ms: f64, now: Duration) -> bool {
        let others = self.peers.live(now);
        let Some(server) = self.fleet.servers.get_mut(key) else { return false };
        if self.notices.unsent.len() >= MOST_KEPT || !self.notices.budget.spend(now, reading_ms, others) {
            return false;
        }
        server.told_ms += reading_ms;
        self.notices.unsent.push(Notice { endpoint: server.hash, reading_ms });
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
        let named = |server: &&mut super::Server| server.hash == notice.endpoint;
        if let Some(server) = state.fleet.servers.values_mut().find(named) {
            server.noticed.add(now, notice.reading_ms);
        }
    }
}
