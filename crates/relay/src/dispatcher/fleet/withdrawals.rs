//! Exchange between instances of which endpoints leave.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{Server, departures::MAX_LEAVING_TIME};
use crate::{
    clock,
    dispatcher::{Dispatcher, State},
};

/// Maximum number of withdrawals kept for sending.
const MAX_UNSENT: usize = 1_024;

/// An endpoint that wants no requests, for other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// The endpoint leaves.
    Leaving {
        /// Hash of the endpoint's start.
        start: u32,
        /// Time since the endpoint last said so.
        age: Duration,
    },
}

/// Withdrawals for other instances.
#[derive(Debug, Default)]
pub(super) struct Withdrawals {
    /// Withdrawals that were not sent yet.
    unsent: Vec<Withdrawal>,
}

impl State {
    /// Queues a withdrawal for the other instances.
    pub(super) fn queue_withdrawal(&mut self, withdrawal: Withdrawal) {
        let unsent = &mut self.fleet.withdrawals.unsent;
        if unsent.len() < MAX_UNSENT {
            unsent.push(withdrawal);
        }
    }
}

impl Dispatcher {
    /// Waits until there are withdrawals to send, and takes them.
    pub async fn next_withdrawals(&self) -> Vec<Withdrawal> {
        loop {
            let unsent = std::mem::take(&mut self.lock().fleet.withdrawals.unsent);
            if !unsent.is_empty() {
                return unsent;
            }
            self.withdrawals_ready.notified().await;
        }
    }

    /// Applies withdrawals from another instance.
    pub fn apply_withdrawals(&self, withdrawals: impl IntoIterator<Item = Withdrawal>) {
        let now = clock::now();
        let mut state = self.lock();
        for withdrawal in withdrawals {
            match withdrawal {
                Withdrawal::Leaving { start, age } => {
                    state.apply_departure(start, MAX_LEAVING_TIME.saturating_sub(age), now);
                }
            }
        }
    }

    /// Returns up to `max` withdrawals in force, drawn at random, for instances that missed them:
    /// endpoints that leave and whose registrations do not say so.
    #[must_use]
    pub fn recent_withdrawals(&self, max: usize) -> Vec<Withdrawal> {
        let now = clock::now();
        let state = self.lock();
        let withdrawals = state.fleet.servers.values().filter_map(|server| server.withdrawal(now));
        withdrawals.choose_multiple(&mut rand::rng(), max)
    }
}

impl Server {
    /// Returns what other instances need to know of the endpoint's departure.
    pub(super) fn withdrawal(&self, now: Duration) -> Option<Withdrawal> {
        let leaving_left = self.stated.leaving_until.saturating_sub(now);
        if leaving_left.is_zero() || self.endpoint.draining {
            return None;
        }
        // Rounded up, so that the word never looks more recent than it is.
        let age = MAX_LEAVING_TIME.saturating_sub(leaving_left) + Duration::from_millis(1);
        Some(Withdrawal::Leaving { start: self.hash, age })
    }
}
