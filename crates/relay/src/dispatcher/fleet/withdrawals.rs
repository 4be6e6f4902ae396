//! Exchange between instances of which endpoints leave or have asked an instance for a pause.
//!
//! A departure concerns all instances. A pause concerns one, and the others need to know of it
//! only where few instances may send to the endpoint: one of them that pauses gives up its share
//! meanwhile, and others take its place.

use std::{collections::HashMap, time::Duration};

use rand::seq::IteratorRandom;

use super::{Fleet, Server, departures::MAX_LEAVING_TIME};
use crate::{
    clock,
    dispatcher::{Dispatcher, State},
};

/// Time before the end of its pause from which an instance counts as a sender again. The others
/// give its share back before it uses it.
pub(super) const RETURN_MARGIN: Duration = Duration::from_millis(500);

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
    /// The endpoint has asked an instance for a pause.
    Paused {
        /// Hash of the endpoint's start.
        start: u32,
        /// Hash of the instance's name.
        instance: u64,
        /// Rest of the pause.
        left: Duration,
    },
}

/// Withdrawals from and for other instances.
#[derive(Debug, Clone, Default)]
pub(super) struct Withdrawals {
    /// Withdrawals that were not sent yet.
    unsent: Vec<Withdrawal>,
    /// Until when other instances pause, by the endpoint's start and the instance.
    paused_senders: HashMap<(u32, u64), Duration>,
}

impl Withdrawals {
    /// Whether another instance has been asked for a pause by an endpoint.
    pub fn is_paused(&self, start: u32, instance: u64, now: Duration) -> bool {
        self.paused_senders.get(&(start, instance)).is_some_and(|until| now < *until)
    }
}

impl State {
    /// Gives another instance's shares of an endpoint to others while that one pauses.
    fn apply_pause(&mut self, start: u32, instance: u64, left: Duration, now: Duration) {
        let paused = &mut self.fleet.withdrawals.paused_senders;
        paused.retain(|_, until| now < *until);
        paused.insert((start, instance), now + left.saturating_sub(RETURN_MARGIN));
        self.fleet.invalidate_shares();
    }
}

impl Dispatcher {
    /// Queues what other instances need to know of an endpoint's withdrawal, if anything.
    pub(super) fn queue_withdrawal(&self, state: &mut State, start: u32, now: Duration) {
        let me = state.peers.me;
        let withdrawal = state.fleet.server_by_hash(start).and_then(|server| server.withdrawal(me, now));
        let unsent = &mut state.fleet.withdrawals.unsent;
        if let Some(withdrawal) = withdrawal.filter(|_| unsent.len() < MAX_UNSENT) {
            unsent.push(withdrawal);
            self.withdrawals_ready.notify_one();
        }
    }

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
                Withdrawal::Paused { start, instance, left } => state.apply_pause(start, instance, left, now),
            }
        }
    }

    /// Returns up to `max` withdrawals in force, drawn at random, for instances that missed them:
    /// endpoints that leave and whose registrations do not say so, and pauses of this instance.
    #[must_use]
    pub fn recent_withdrawals(&self, max: usize) -> Vec<Withdrawal> {
        let now = clock::now();
        let state = self.lock();
        let me = state.peers.me;
        let withdrawals = state.fleet.servers.values().filter_map(|server| server.withdrawal(me, now));
        withdrawals.choose_multiple(&mut rand::rng(), max)
    }
}

impl Server {
    /// Returns what other instances need to know of the endpoint's departure or of its pause for
    /// this instance.
    fn withdrawal(&self, me: u64, now: Duration) -> Option<Withdrawal> {
        let leaving_left = self.stated.leaving_until.saturating_sub(now);
        if !leaving_left.is_zero() && !self.endpoint.draining {
            // Rounded up, so that the word never looks more recent than it is.
            let age = MAX_LEAVING_TIME.saturating_sub(leaving_left) + Duration::from_millis(1);
            return Some(Withdrawal::Leaving { start: self.hash, age });
        }
        let left = self.stated.paused_until.saturating_sub(now);
        let is_shared = self.stated.throttle.limit(now).is_some()
            || self.stated.guard.max_per_s(now).is_some()
            || now < self.warm_at;
        (!left.is_zero() && is_shared).then_some(Withdrawal::Paused { start: self.hash, instance: me, left })
    }
}

impl Fleet {
    /// Has all shares recomputed before the next decision.
    fn invalidate_shares(&mut self) {
        self.limited.invalidate_shares();
        self.warming.invalidate_shares();
        self.invalidate_rejection_shares();
    }
}
