//! What engines keep in their prompt caches, as they list it themselves.
//!
//! The load pattern: all instances are lost at once, and with them who keeps
//! which part of a prompt. When they are back, some hundred callers resume their
//! streams within milliseconds, and each prompt was read again, by whichever
//! engine, behind all others.

use std::time::Duration;

use world::hash;

use super::{Fleet, start_hash};
use crate::{catalog::Catalog, clock, desk::Desk, dialect::Cached, source::Endpoint};

/// Hash of a part of a prompt in a model's cache: a model's parts are of no use
/// to another one.
#[must_use]
pub fn affinity(part: u64, model: Option<usize>) -> u64 {
    let salt = model.map_or(0, |index| u64::try_from(index).unwrap_or(0) + 1);
    hash::rendezvous(part, &salt.to_le_bytes())
}

/// How a part is named in notices and among holders.
pub(super) fn part_of(affinity: u64) -> u32 {
    u32::try_from(affinity >> 32).unwrap_or_default()
}

impl Desk {
    /// Engines of the catalog's services, for asking what they keep.
    #[must_use]
    pub fn engines(&self) -> Vec<Endpoint> {
        let Some(catalog) = self.catalog() else { return Vec::new() };
        let is_engine = |endpoint: &Endpoint| {
            catalog.services.get(&endpoint.service).is_some_and(|service| service.memory_tokens.is_some())
        };
        self.known_endpoints().iter().filter(|endpoint| is_engine(endpoint)).map(|e| Endpoint::clone(e)).collect()
    }

    /// Takes in what an engine lists of its cache.
    pub fn note_cache(&self, engine: &Endpoint, cached: &[Cached]) {
        let Some(catalog) = self.catalog() else { return };
        let now = clock::now();
        let holder = start_hash(engine);
        let mut state = self.lock();
        for Cached { part, model } in cached {
            let Some(index) = model_index(&catalog, model) else { continue };
            let key = part_of(affinity(hash::stable(part.as_bytes()), Some(index)));
            state.fleet.holders.note(key, holder, now);
        }
    }

    /// The largest of so many models that some engine has read a whole prompt
    /// with, by the prompt's hash for each.
    #[must_use]
    pub fn model_that_read(&self, whole: impl Fn(usize) -> Option<u64>, models: usize) -> Option<usize> {
        let now = clock::now();
        let state = self.lock();
        (0..models).rev().find(|model| !state.fleet.holders_of(whole(*model), now).is_empty())
    }
}

impl Fleet {
    /// Hashes of the endpoints that are believed to keep a part.
    pub(super) fn holders_of(&self, affinity: Option<u64>, now: Duration) -> Vec<u32> {
        affinity.map(|affinity| self.holders.of(part_of(affinity), now).collect()).unwrap_or_default()
    }
}

/// A model's place in the ladder of the first route that has it.
fn model_index(catalog: &Catalog, name: &str) -> Option<usize> {
    let mut routes = catalog.hosts.values().flatten();
    routes.find_map(|route| route.models.iter().position(|model| model.name == name))
}
