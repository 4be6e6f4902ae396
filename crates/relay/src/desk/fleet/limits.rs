//! Limits that endpoints name: heard, told, and shared out.

use std::time::Duration;

use rand::seq::IteratorRandom;
use route::relay::throttle::{self, Share, Word};

use super::{Fleet, Key, Run, Server};
use crate::{
    clock,
    desk::{Desk, State},
};

/// Time for which this instance's part of a limit is believed while others come and go.
const SHARE_LASTS: Duration = Duration::from_millis(250);

/// Age up to which a word goes out with the news, for those that missed it.
const NEW: Duration = Duration::from_secs(5);

/// Words kept until they are sent.
const MOST_UNSENT: usize = 1_024;

/// What an endpoint says of how many requests it takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Said {
    /// Nothing.
    Nothing,
    /// So many a second, from all instances together.
    Limit(f64),
    /// An answer names no limit.
    NoLimit,
}

/// Word of an endpoint's limit for other instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Hash of the endpoint's name and start.
    pub start: u32,
    /// Requests a second that it takes; nothing if it names no limit any more.
    pub per_s: Option<f64>,
    /// Time since it said so.
    pub age: Duration,
}

/// Endpoints that have named a limit.
#[derive(Debug, Default)]
pub(super) struct Limited {
    keys: Vec<Key>,
    /// When this instance's parts were last reckoned.
    shared: Duration,
    /// Words that were not told yet.
    unsent: Vec<Limit>,
}

impl Run {
    /// Notes what the endpoint said of its limit.
    pub fn said(&self, said: Said) {
        let now = clock::now();
        let word = match said {
            Said::Nothing => return,
            Said::Limit(per_s) => Word { per_s: Some(per_s), at: now },
            Said::NoLimit => Word { per_s: None, at: self.started },
        };
        let mut state = self.desk.lock();
        if state.hear_limit(self.key, word, now) {
            let start = state.fleet.servers[self.key].hash;
            let limit = Limit { start, per_s: word.per_s, age: now.saturating_sub(word.at) };
            let unsent = &mut state.fleet.limited.unsent;
            if unsent.len() < MOST_UNSENT {
                unsent.push(limit);
            }
            self.desk.limited.notify_one();
        }
    }
}

impl State {
    /// Takes a word of an endpoint in; whether it changes what holds.
    fn hear_limit(&mut self, key: Key, word: Word, now: Duration) -> bool {
        let Some(server) = self.fleet.servers.get_mut(key) else { return false };
        let before = server.throttle.limit(now);
        if !server.throttle.hear(now, word) {
            return false;
        }
        tracing::info!(endpoint = server.endpoint.id, per_s = word.per_s, before, "endpoint names a limit");
        if !self.fleet.limited.keys.contains(&key) {
            self.fleet.limited.keys.push(key);
        }
        self.fleet.limited.shared = Duration::ZERO;
        self.share_limits(now);
        true
    }

    /// Reckons this instance's parts of all limits anew, if that was a while ago.
    pub(super) fn share_limits(&mut self, now: Duration) {
        let Fleet { servers, limited, .. } = &mut self.fleet;
        if limited.keys.is_empty() || now < limited.shared + SHARE_LASTS {
            return;
        }
        limited.shared = now;
        limited.keys.retain(|key| servers.get(*key).is_some_and(|server| server.is_limited(now)));
        let is_sender = self.draining.is_none();
        for key in &limited.keys {
            let Some(server) = servers.get_mut(*key) else { continue };
            let Some(per_s) = server.throttle.limit(now) else { continue };
            let others = self.peers.serving(now);
            let share =
                if is_sender { throttle::share(per_s, server.hash, self.peers.me, others) } else { Share::default() };
            server.throttle.share(now, share);
        }
    }
}

impl Desk {
    /// Waits until there is word of limits to tell, and takes it.
    pub async fn limits_to_tell(&self) -> Vec<Limit> {
        loop {
            let unsent = std::mem::take(&mut self.lock().fleet.limited.unsent);
            if !unsent.is_empty() {
                return unsent;
            }
            self.limited.notified().await;
        }
    }

    /// Takes another instance's word of limits in.
    pub fn take_limits(&self, limits: impl IntoIterator<Item = Limit>) {
        let now = clock::now();
        let mut state = self.lock();
        for Limit { start, per_s, age } in limits {
            if let Some(key) = state.fleet.key_of(start) {
                state.hear_limit(key, Word { per_s, at: now.saturating_sub(age) }, now);
            }
        }
    }

    /// Some of the limits that endpoints named lately, for instances that have not heard.
    #[must_use]
    pub fn limits(&self, most: usize) -> Vec<Limit> {
        let now = clock::now();
        let state = self.lock();
        let Fleet { servers, limited, .. } = &state.fleet;
        let lately = limited.keys.iter().filter_map(|key| {
            let server = servers.get(*key)?;
            let word = server.throttle.word()?;
            let age = now.saturating_sub(word.at);
            (age < NEW).then_some(Limit { start: server.hash, per_s: word.per_s, age })
        });
        lately.choose_multiple(&mut rand::rng(), most)
    }

    /// Time until an endpoint of a service takes a request, if each of those that are
    /// up takes no more now because of its limit.
    #[must_use]
    pub fn throttled(&self, service: &str) -> Option<Duration> {
        let now = clock::now();
        let state = self.lock();
        let up = |server: &&Server| {
            server.endpoint.service == service && !server.endpoint.draining && server.rests_until <= now
        };
        let mut least = None;
        for server in state.fleet.servers.values().filter(up) {
            if server.throttle.takes(now) {
                return None;
            }
            let wait = server.throttle.wait(now);
            least = Some(least.map_or(wait, |least: Duration| least.min(wait)));
        }
        least
    }
}

impl Server {
    /// Whether it names a limit, or has ended one a moment ago.
    fn is_limited(&self, now: Duration) -> bool {
        self.throttle.limit(now).is_some() || self.throttle.word().is_some_and(|word| now < word.at + NEW)
    }
}
