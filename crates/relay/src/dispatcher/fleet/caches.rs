//! Contents of the engines' prompt caches, as the engines list them. An engine is an endpoint
//! of a service with prompt caches.
//!
//! If all instances restart at once, they lose the record of which engine caches which
//! part of a prompt. Some hundred callers then resume their streams within milliseconds,
//! and without the engines' own listings each prompt would be read again by an arbitrary
//! engine, queued behind all others.

use std::time::Duration;

use world::hash;

use super::{Fleet, start_hash};
use crate::{catalog::Catalog, clock, dialect::CachedPart, dispatcher::Dispatcher, source::Endpoint};

/// Returns the hash of a prompt part combined with its model. A part cached for one
/// model is of no use to another.
#[must_use]
pub fn affinity(part: u64, model: Option<usize>) -> u64 {
    let salt = model.map_or(0, |index| u64::try_from(index).unwrap_or(0) + 1);
    hash::rendezvous(part, &salt.to_le_bytes())
}

/// Returns the short hash that identifies a part in notices and among holders.
pub(super) fn part_hash(affinity: u64) -> u32 {
    u32::try_from(affinity >> 32).unwrap_or_default()
}

impl Dispatcher {
    /// Returns the known endpoints of services with prompt caches, to ask for their contents.
    /// Leaves out those in evacuated failure domains, which get no requests.
    #[must_use]
    pub fn engines(&self) -> Vec<Endpoint> {
        let Some(catalog) = self.catalog() else { return Vec::new() };
        let is_engine = |endpoint: &Endpoint| catalog.has_engines(&endpoint.service);
        let state = self.lock();
        let is_evacuated = |endpoint: &Endpoint| state.fleet.evacuations.contains(&endpoint.domain);
        let known = state.fleet.servers.values().map(|server| &*server.endpoint);
        known.filter(|endpoint| is_engine(endpoint) && !is_evacuated(endpoint)).cloned().collect()
    }

    /// Whether the endpoints of a service are engines, as the catalog says.
    #[must_use]
    pub fn has_engines(&self, service: &str) -> bool {
        self.catalog().is_some_and(|catalog| catalog.has_engines(service))
    }

    /// Records the cache contents that an engine listed.
    pub fn record_cache(&self, engine: &Endpoint, cached: &[CachedPart]) {
        let Some(catalog) = self.catalog() else { return };
        let now = clock::now();
        let holder = start_hash(engine);
        let mut state = self.lock();
        for CachedPart { part, model } in cached {
            let Some(index) = model_index(&catalog, model) else { continue };
            let key = part_hash(affinity(hash::stable(part.as_bytes()), Some(index)));
            state.fleet.holders.record(key, holder, now);
        }
    }

    /// Returns the largest of the first `models` models for which an engine caches a whole
    /// prompt. `whole` returns the prompt's hash for a model.
    #[must_use]
    pub fn largest_caching_model(&self, whole: impl Fn(usize) -> Option<u64>, models: usize) -> Option<usize> {
        let now = clock::now();
        let state = self.lock();
        (0..models).rev().find(|model| !state.fleet.holders_of(whole(*model), now).is_empty())
    }
}

impl Fleet {
    /// Returns the hashes of the endpoints that probably cache a part.
    pub(super) fn holders_of(&self, affinity: Option<u64>, now: Duration) -> Vec<u32> {
        affinity.map(|affinity| self.holders.holders_of(part_hash(affinity), now).collect()).unwrap_or_default()
    }
}

/// Returns a model's index in the ladder of the first route that contains it.
fn model_index(catalog: &Catalog, name: &str) -> Option<usize> {
    let mut routes = catalog.hosts.values().flatten();
    routes.find_map(|route| route.models.iter().position(|model| model.name == name))
}
