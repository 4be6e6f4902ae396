//! Rate limits that endpoints announce: recorded, exchanged between instances, and divided
//! among them.

use std::time::Duration;

use rand::seq::IteratorRandom;
use route::relay::throttle::{self, Share};

use super::{Fleet, Key, Server, short_hash};
use crate::{
    clock,
    dispatcher::{Dispatcher, State},
    statements::Announcement,
};

/// Time between updates of this instance's share of each limit, which changes as other
/// instances join and leave.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Age up to which an update of a limit is repeated in the news, for instances that missed it.
const MAX_REPEATED_AGE: Duration = Duration::from_secs(5);

/// Maximum number of updates kept for sending.
const MAX_UNSENT_UPDATES: usize = 1_024;

/// Update of an endpoint's limit for other instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Hash of the endpoint's name and start.
    pub start: u32,
    /// Requests a second that it accepts; `None` if it no longer announces a limit.
    pub per_s: Option<f64>,
    /// Time since the endpoint announced it.
    pub age: Duration,
}

/// Endpoints that announce a limit.
#[derive(Debug, Clone, Default)]
pub(super) struct LimitedEndpoints {
    keys: Vec<Key>,
    /// When this instance's shares were last computed.
    shares_updated_at: Duration,
    /// Updates that were not sent yet.
    unsent: Vec<Limit>,
}

impl State {
    /// Applies an endpoint's announcement, and returns whether it changed the limit. `start` is
    /// the hash of the endpoint's start.
    fn apply_limit(&mut self, start: u32, announcement: throttle::Announcement, now: Duration) -> bool {
        let throttle = &mut self.fleet.stated(start, now).throttle;
        let before = throttle.limit(now);
        if !throttle.record(now, announcement) {
            return false;
        }
        if let Some(key) = self.fleet.key_of(start) {
            tracing::info!(
                endpoint = self.fleet.servers[key].endpoint.id,
                per_s = announcement.per_s,
                before,
                "rate limit of endpoint changed"
            );
            self.fleet.add_limited(key);
            self.update_limit_shares(now);
        }
        true
    }

    /// Recomputes this instance's shares of all limits if they are out of date.
    pub(super) fn update_limit_shares(&mut self, now: Duration) {
        let Fleet { servers, limited, withdrawals, .. } = &mut self.fleet;
        if limited.keys.is_empty() || now < limited.shares_updated_at + SHARE_UPDATE_INTERVAL {
            return;
        }
        limited.shares_updated_at = now;
        limited.keys.retain(|key| servers.get(*key).is_some_and(|server| server.is_limited(now)));
        let takes_share = self.draining_since.is_none();
        for key in &limited.keys {
            let Some(server) = servers.get_mut(*key) else { continue };
            let (start, is_paused) = (server.hash, server.is_paused(now));
            let service = short_hash(&server.endpoint.service);
            let share = |per_s| {
                let others = self.peers.senders(service, now);
                let others = others.filter(|instance| !withdrawals.is_paused(start, *instance, now));
                if takes_share && !is_paused {
                    throttle::share(per_s, start, self.peers.me, others)
                } else {
                    Share::default()
                }
            };
            if let Some(per_s) = server.stated.throttle.limit(now) {
                server.stated.throttle.set_share(now, share(per_s));
            }
            if server.is_returning(now) {
                let per_s = server.return_rate(now);
                let throttle = &mut server.stated.return_throttle;
                throttle.record(now, throttle::Announcement { per_s: Some(per_s), at: now });
                throttle.set_share(now, share(per_s));
            }
        }
    }
}

impl Fleet {
    /// Has an endpoint's limit shared among the instances before the next decision.
    pub(super) fn add_limited(&mut self, key: Key) {
        self.limited.add(key);
        self.limited.invalidate_shares();
    }
}

impl LimitedEndpoints {
    /// Has an endpoint's limit shared from the next update on.
    pub(super) fn add(&mut self, key: Key) {
        if !self.keys.contains(&key) {
            self.keys.push(key);
        }
    }

    /// Has the shares recomputed before the next decision.
    pub(super) fn invalidate_shares(&mut self) {
        self.shares_updated_at = Duration::ZERO;
    }
}

impl Dispatcher {
    /// Records what an endpoint announced about its limit in its response to a request that was
    /// sent at `sent_at`, and queues a change for the other instances.
    pub(super) fn record_limit(&self, start: u32, announced: Announcement<f64>, sent_at: Duration, now: Duration) {
        let announcement = match announced {
            Announcement::Nothing => return,
            Announcement::Limit(per_s) => throttle::Announcement { per_s: Some(per_s), at: now },
            Announcement::NoLimit => throttle::Announcement { per_s: None, at: sent_at },
        };
        let mut state = self.lock();
        if state.apply_limit(start, announcement, now) {
            let limit = Limit { start, per_s: announcement.per_s, age: now.saturating_sub(announcement.at) };
            let unsent = &mut state.fleet.limited.unsent;
            if unsent.len() < MAX_UNSENT_UPDATES {
                unsent.push(limit);
            }
            self.limits_ready.notify_one();
        }
    }

    /// Waits until there are updates of limits to send, and takes them.
    pub async fn next_limits(&self) -> Vec<Limit> {
        loop {
            let unsent = std::mem::take(&mut self.lock().fleet.limited.unsent);
            if !unsent.is_empty() {
                return unsent;
            }
            self.limits_ready.notified().await;
        }
    }

    /// Applies updates of limits from another instance.
    pub fn apply_limits(&self, limits: impl IntoIterator<Item = Limit>) {
        let now = clock::now();
        let mut state = self.lock();
        for Limit { start, per_s, age } in limits {
            state.apply_limit(start, throttle::Announcement { per_s, at: now.saturating_sub(age) }, now);
        }
    }

    /// Returns up to `max` recent updates of limits, drawn at random, for instances that missed them.
    #[must_use]
    pub fn recent_limits(&self, max: usize) -> Vec<Limit> {
        let now = clock::now();
        let state = self.lock();
        let Fleet { servers, limited, .. } = &state.fleet;
        let recent = limited.keys.iter().filter_map(|key| {
            let server = servers.get(*key)?;
            let announcement = server.stated.throttle.last_announcement()?;
            let age = now.saturating_sub(announcement.at);
            (age < MAX_REPEATED_AGE).then_some(Limit { start: server.hash, per_s: announcement.per_s, age })
        });
        recent.choose_multiple(&mut rand::rng(), max)
    }
}

impl Server {
    /// Whether the endpoint has a limit or a pause, or had one recently.
    pub(super) fn is_limited(&self, now: Duration) -> bool {
        self.is_paused(now)
            || self.is_returning(now)
            || self.stated.throttle.limit(now).is_some()
            || self
                .stated
                .throttle
                .last_announcement()
                .is_some_and(|announcement| now < announcement.at + MAX_REPEATED_AGE)
    }
}
