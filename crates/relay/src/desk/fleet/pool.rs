//! A service's endpoints, for decisions that do not look at all of them.
//!
//! The load pattern: thousands of endpoints, and several decisions for each request.
//! Looking at all of them took a millisecond a decision at ten thousand. Decisions
//! compare a few drawn at random anyway, and whoever is known to keep what a request
//! needs; what they take of all endpoints, means, may be a moment old.

use std::time::Duration;

use route::relay::placement;
use world::hash;

use super::{Fleet, Job, Key, Server};
use crate::desk::trials::Deal;

/// Endpoints up to which a decision looks at all of them.
const SMALL: usize = 64;

/// Endpoints drawn of those nearby and of all: a few times as many as are compared.
const DRAWN: usize = 20;

/// Age up to which a pool is believed while no endpoint comes or goes.
const LASTS: Duration = Duration::from_millis(100);

/// Endpoints of a service that take requests, as of a moment.
#[derive(Debug, Default)]
pub(super) struct Pool {
    taken: Duration,
    /// The registry's state that it was made of.
    revision: u64,
    all: Vec<Key>,
    near: Vec<Key>,
    /// Mean slowness.
    pub slow: f64,
    /// Mean share of failures.
    pub failing: f64,
}

impl Fleet {
    /// Brings a service's pool up to date for the decisions of a moment.
    pub(super) fn refresh(&mut self, service: &str, domain: &str, now: Duration) {
        let is_current = |pool: &Pool| pool.revision == self.revision && now.saturating_sub(pool.taken) < LASTS;
        if self.pools.get(service).is_some_and(is_current) {
            return;
        }
        let awake = self.awake(service, now);
        let mean = |value: &dyn Fn(&Server) -> f64| super::weigh::mean(&awake, value);
        let pool = Pool {
            taken: now,
            revision: self.revision,
            slow: mean(&|server| server.slowness.now(1.0, now)),
            failing: mean(&|server| server.failing.now(0.0, now)),
            near: awake.iter().filter(|(_, server)| server.endpoint.domain == domain).map(|(key, _)| *key).collect(),
            all: awake.iter().map(|(key, _)| *key).collect(),
        };
        self.pools.insert(service.to_owned(), pool);
    }

    /// Some endpoints that may take a job, with the pool they are of: drawn at random,
    /// and those that are known to keep its prompt or that its hash names. Nothing if
    /// all have to be looked at, since they are few or none of the drawn may take it.
    pub(super) fn sample(&self, job: &Job<'_>, deal: &Deal, now: Duration) -> Option<(&Pool, Vec<(Key, &Server)>)> {
        let pool = self.pools.get(job.service).filter(|pool| pool.all.len() > SMALL)?;
        let takes = |key: Key| {
            let server = self.servers.get(key)?;
            let version = server.endpoint.version.as_str();
            let is_dealt = match job.version {
                Some(stays) => stays == version && deal.tolerates(version),
                None => deal.allows(version),
            };
            let is_up = !server.endpoint.draining && server.rests_until <= now && server.throttle.takes(now);
            (is_dealt && is_up && !job.tried.contains(&key)).then_some((key, server))
        };
        let mut keys = Vec::with_capacity(3 * DRAWN);
        let tie = job.session ^ u64::try_from(now.as_nanos()).unwrap_or(0);
        let draw = hash::stable(&tie.to_be_bytes());
        for (of, draw) in [(&pool.near, draw), (&pool.all, draw.rotate_left(32))] {
            let drawn = placement::sample(of.len(), DRAWN, draw, |place| takes(of[place]).is_some());
            keys.extend(drawn.into_iter().map(|place| of[place]));
        }
        if keys.is_empty() {
            return None;
        }
        let mut holders = self.keys_of(&self.holders_of(job.affinity, now));
        if let Some(affinity) = job.affinity.filter(|_| holders.is_empty()) {
            let names = pool.all.iter().map(|key| self.servers.get(*key).map_or("", |server| &server.endpoint.id));
            holders.extend(placement::named_by_hash(affinity, names).into_iter().map(|index| pool.all[index]));
        }
        holders.extend(self.keys_of(&self.holders_of(job.whole, now)));
        let is_of_service = |key: &Key| self.servers.get(*key).is_some_and(|s| s.endpoint.service == job.service);
        keys.extend(holders.into_iter().filter(is_of_service));
        keys.sort_unstable();
        keys.dedup();
        Some((pool, keys.into_iter().filter_map(takes).collect()))
    }

    fn keys_of(&self, hashes: &[u32]) -> Vec<Key> {
        hashes.iter().filter_map(|hash| self.by_hash.get(hash)).copied().collect()
    }
}
