//! Pools of a service's endpoints, for placement decisions that examine only some of them.
//!
//! With ten thousand endpoints, examining all of them took a millisecond for each decision,
//! and a request needs several decisions. A decision compares only a few endpoints drawn
//! at random and those that cache the request's prompt. Only the means over a service's
//! endpoints need all of them, and those may be slightly out of date.

use std::time::Duration;

use route::relay::placement;
use world::hash;

use super::{Fleet, Job, Key, Server};
use crate::dispatcher::rollouts::Assignment;

/// Number of endpoints up to which a decision examines all of them.
const MAX_FULL_SCAN: usize = 64;

/// Number of endpoints drawn from the same failure domain and again from all: a few times as
/// many as placement compares.
const SAMPLE_SIZE: usize = 20;

/// Maximum age of a pool while no registration changes.
const MAX_POOL_AGE: Duration = Duration::from_millis(100);

/// Available endpoints of a service at some moment.
#[derive(Debug, Clone, Default)]
pub(super) struct Pool {
    /// When the pool was built.
    built_at: Duration,
    /// Revision of the registered endpoints from which the pool was built.
    revision: u64,
    all: Vec<Key>,
    /// Endpoints in this instance's failure domain.
    near: Vec<Key>,
    /// Mean slowness.
    pub mean_slowness: f64,
    /// Mean share of runs that failed.
    pub mean_failure_rate: f64,
}

impl Fleet {
    /// Rebuilds a service's pool if it is out of date.
    pub(super) fn refresh_pool(&mut self, service: &str, domain: &str, now: Duration) {
        let is_current =
            |pool: &Pool| pool.revision == self.revision && now.saturating_sub(pool.built_at) < MAX_POOL_AGE;
        if self.pools.get(service).is_some_and(is_current) {
            return;
        }
        let available = self.available(service, now);
        let mean = |value: &dyn Fn(&Server) -> f64| super::selection::mean(&available, value);
        let pool = Pool {
            built_at: now,
            revision: self.revision,
            mean_slowness: mean(&|server| server.slowness.value_at(1.0, now)),
            mean_failure_rate: mean(&|server| server.failure_rate.value_at(0.0, now)),
            near: available
                .iter()
                .filter(|(_, server)| server.endpoint.domain == domain)
                .map(|(key, _)| *key)
                .collect(),
            all: available.iter().map(|(key, _)| *key).collect(),
        };
        self.pools.insert(service.to_owned(), pool);
    }

    /// Returns some endpoints that may run a job, and their pool: a random sample, the
    /// endpoints that cache the shared part of its prompt or, if none does, those that the
    /// part's hash selects, and the endpoints that cache the whole prompt. Returns `None` if
    /// all endpoints must be examined, because they are few or no sampled one may run the job.
    pub(super) fn sample_endpoints(
        &self,
        job: &Job<'_>,
        assignment: &Assignment,
        now: Duration,
    ) -> Option<(&Pool, Vec<(Key, &Server)>)> {
        let pool = self.pools.get(job.service).filter(|pool| pool.all.len() > MAX_FULL_SCAN)?;
        let usable = |key: Key| {
            let server = self.servers.get(key)?;
            let version = server.endpoint.version.as_str();
            let is_assigned = match job.version {
                Some(wanted) => wanted == version && assignment.tolerates(version),
                None => assignment.allows(version),
            };
            let is_up = server.backoff_until <= now && self.takes_requests(server, now);
            (is_assigned && is_up && !job.tried.contains(&key)).then_some((key, server))
        };
        let mut keys = Vec::with_capacity(3 * SAMPLE_SIZE);
        let tie = job.session ^ u64::try_from(now.as_nanos()).unwrap_or(0);
        let draw = hash::stable(&tie.to_be_bytes());
        for (of, draw) in [(&pool.near, draw), (&pool.all, draw.rotate_left(32))] {
            let drawn = placement::sample(of.len(), SAMPLE_SIZE, draw, |place| usable(of[place]).is_some());
            keys.extend(drawn.into_iter().map(|place| of[place]));
        }
        if keys.is_empty() {
            return None;
        }
        let mut holders = self.keys_of(&self.holders_of(job.affinity, now));
        if let Some(affinity) = job.affinity.filter(|_| holders.is_empty()) {
            let names = pool.all.iter().map(|key| self.servers.get(*key).map_or("", |server| &server.endpoint.id));
            holders.extend(placement::preferred_by_hash(affinity, names).into_iter().map(|index| pool.all[index]));
        }
        holders.extend(self.keys_of(&self.holders_of(job.whole, now)));
        let is_of_service = |key: &Key| self.servers.get(*key).is_some_and(|s| s.endpoint.service == job.service);
        keys.extend(holders.into_iter().filter(is_of_service));
        keys.sort_unstable();
        keys.dedup();
        Some((pool, keys.into_iter().filter_map(usable).collect()))
    }

    /// Returns the keys of the known endpoints among `hashes`.
    fn keys_of(&self, hashes: &[u32]) -> Vec<Key> {
        hashes.iter().filter_map(|hash| self.by_hash.get(hash)).copied().collect()
    }
}
