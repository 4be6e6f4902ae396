//! Selects the endpoint that a run is sent to.
//!
//! A [`Fleet`] holds what one instance knows of the endpoints it uses: its own runs
//! exactly, other load from reports that are seconds old. It is plain state owned by one
//! task. It is updated by [`Event`]s and queried with [`Fleet::choose`]. Time and random
//! numbers are arguments.
//!
//! A prompt prefix prefers the endpoints in an order that is the same at every instance, so
//! that the engine's prefix cache is hit. Endpoints that are loaded above the mean are
//! skipped, unless most of their slots are free. A run without a prefix goes to the less
//! loaded of two randomly drawn endpoints rather than to the least loaded of all: every
//! instance sees the same old reports and would send its work to the same endpoint.

mod choice;
mod health;
mod message;
mod server;
mod subset;

use std::collections::HashMap;

use slotmap::SlotMap;
use world::{
    Catalog, Millis, Timestamp,
    endpoint::{self, Endpoint},
    hash,
    model::Version,
};

pub use health::Failure;
pub use message::{Choice, Event, Peer, Refusal, Report, Rule, RunRequest, Target};
use server::{LoadEstimator, Server};
use subset::Subset;

slotmap::new_key_type! {
    /// Key of an endpoint within a [`Fleet`]. The key of a removed endpoint matches
    /// nothing.
    pub struct Key;
}

/// Runs that an endpoint is given, as a multiple of its slots. Without headroom a batch
/// would be partly empty until the instance learns of each completed run.
const HEADROOM: f64 = 1.1;
/// Maximum number of prefixes for which the endpoint that has them in its cache (the
/// holder) is stored. All are dropped when it is exceeded.
const MAX_HOLDERS: usize = 8_192;
/// Maximum fraction of a target's endpoints that may be ejected at a time.
const MAX_EJECTED: f64 = 0.34;

/// Endpoints that one instance uses and what it knows of them.
#[derive(Debug)]
pub struct Fleet {
    me: Peer,
    servers: SlotMap<Key, Server>,
    keys_by_id: HashMap<endpoint::Id, Key>,
    targets: HashMap<Target, Subset>,
    holders: HashMap<u64, Key>,
    instances: usize,
}

impl Fleet {
    /// Creates an empty fleet for the instance `me`.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            servers: SlotMap::with_key(),
            keys_by_id: HashMap::new(),
            targets: HashMap::new(),
            holders: HashMap::new(),
            instances: 1,
        }
    }

    /// Applies a catalog and the list of live instances, which may or may not include this
    /// one.
    ///
    /// The state of endpoints that remain is kept. The cost is linear in the sum of
    /// endpoints and instances, not in their product.
    pub fn apply(&mut self, catalog: &Catalog, instances: &[Peer]) {
        let ranks = subset::Ranks::new(&self.me, instances);
        self.instances = instances.len().max(1);
        let mut targets = HashMap::new();
        let mut kept = HashMap::new();
        for (target, endpoints) in served_targets(catalog) {
            let chosen = ranks.subset(&self.me.domain, endpoints);
            let members = chosen.into_iter().map(|endpoint| {
                let key = *kept.entry(endpoint.id.clone()).or_insert_with(|| self.get_or_insert(endpoint));
                subset::Member {
                    key,
                    hash: hash::stable(endpoint.id.as_str().as_bytes()),
                    local: endpoint.domain == self.me.domain,
                }
            });
            let subset = Subset::new(members.collect(), self.targets.get(&target));
            targets.insert(target, subset);
        }
        self.servers.retain(|_, server| kept.contains_key(&server.endpoint.id));
        self.keys_by_id = kept;
        self.targets = targets;
        let servers = &self.servers;
        self.holders.retain(|_, key| servers.contains_key(*key));
    }

    /// Updates the state with an event.
    pub fn handle(&mut self, event: Event<'_>, now: Timestamp) {
        match event {
            Event::Dispatched(key) => self.update(key, |server| server.record_dispatch(now)),
            Event::Cancelled(key) => self.update(key, |server| server.record_end(now)),
            Event::Finished { key, target, millis, tokens } => self.on_finished(key, target, millis, tokens, now),
            Event::Failed { key, target, failure } => self.on_failed(key, target, failure, now),
            Event::Load { endpoint, report } => self.on_load(endpoint, &report),
            Event::Stored { endpoint, prefix } => self.on_stored(endpoint, prefix),
            Event::Evicted { endpoint, prefix } => {
                let key = self.keys_by_id.get(endpoint).copied();
                if self.holders.get(&prefix).copied() == key {
                    self.holders.remove(&prefix);
                }
            }
            Event::Leaving { endpoint, leaving } => {
                if let Some(key) = self.key(endpoint) {
                    self.update(key, |server| server.leaving = leaving);
                }
            }
        }
    }

    /// Chooses an endpoint for a run.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no endpoint accepts the run.
    pub fn choose(&self, request: &RunRequest<'_>, now: Timestamp) -> Result<Choice, Refusal> {
        let subset = self.targets.get(request.target).ok_or(Refusal::NoPool)?;
        if subset.members.is_empty() {
            return Err(Refusal::NoPool);
        }
        self.choose_from(subset, request, now).ok_or(Refusal::NoneLeft)
    }

    /// Returns the key of an endpoint in this instance's subset.
    #[must_use]
    pub fn key(&self, endpoint: &endpoint::Id) -> Option<Key> {
        self.keys_by_id.get(endpoint).copied()
    }

    /// Returns an endpoint by its key.
    #[must_use]
    pub fn endpoint(&self, key: Key) -> Option<&Endpoint> {
        self.servers.get(key).map(|server| &server.endpoint)
    }

    /// Returns the endpoints that this instance uses.
    pub fn endpoints(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.servers.iter().map(|(key, server)| (key, &server.endpoint))
    }

    /// Returns the number of runs that this instance may have active for all of `targets`
    /// together. It is the number of its active runs plus its part of the free slots, and
    /// at least an equal part of all slots.
    ///
    /// Runs that wait in an engine's queue can no longer be prioritized, so work beyond
    /// this limit waits in the instance's own queue. An endpoint that serves several of the
    /// targets counts once.
    #[must_use]
    pub fn run_limit<'a>(&self, targets: impl IntoIterator<Item = &'a Target>, now: Timestamp) -> u32 {
        let subsets: Vec<_> = targets.into_iter().filter_map(|target| self.targets.get(target)).collect();
        let mut keys: Vec<_> =
            subsets.iter().flat_map(|subset| subset.members.iter().map(|member| member.key)).collect();
        keys.sort_unstable();
        keys.dedup();
        let run_ms = subsets.iter().map(|subset| subset.run_ms()).fold(1.0, f64::max);
        let usable = |key: &Key| self.servers.get(*key).filter(|s| !s.leaving && !s.health.is_ejected(now));
        let snapshots: Vec<_> = keys.iter().filter_map(usable).map(Server::load_snapshot).collect();

        let estimator = LoadEstimator::new(snapshots.iter(), run_ms, self.instances);
        let (mut own, mut others, mut slots) = (0.0, 0.0, 0.0);
        for server in &snapshots {
            own += server.own;
            others += server.estimate_others(&estimator, now);
            slots += server.slots * HEADROOM;
        }
        let equal_share = slots / f64::from(u32::try_from(self.instances).unwrap_or(u32::MAX));
        let own_share = if own + others > 0.0 { own / (own + others) } else { 1.0 };
        // Negative if the endpoints are overfull. The instances with the most runs then
        // give back the most, so that an instance with a new customer gets its equal part.
        let free = slots - own - others;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "slots are few and positive")]
        let limit = own_share.mul_add(free, own).max(equal_share).max(1.0).round() as u32;
        limit
    }

    fn update(&mut self, key: Key, change: impl FnOnce(&mut Server)) {
        if let Some(server) = self.servers.get_mut(key) {
            change(server);
        }
    }

    fn get_or_insert(&mut self, endpoint: &Endpoint) -> Key {
        match self.keys_by_id.get(&endpoint.id) {
            Some(key) if self.servers.contains_key(*key) => {
                self.servers[*key].endpoint = endpoint.clone();
                *key
            }
            _ => self.servers.insert(Server::new(endpoint.clone())),
        }
    }

    fn on_finished(&mut self, key: Key, target: &Target, millis: Millis, tokens: u32, now: Timestamp) {
        let Some(subset) = self.targets.get_mut(target) else {
            self.update(key, |server| server.record_end(now));
            return;
        };
        let slowness = subset.observe_run(millis, tokens);
        let may_eject = self.may_eject(target, now);
        self.update(key, |server| {
            server.record_end(now);
            server.health.record_success(slowness, may_eject, now);
        });
    }

    fn on_failed(&mut self, key: Key, target: &Target, failure: Failure, now: Timestamp) {
        if failure == Failure::NotLoaded
            && let Some(subset) = self.targets.get_mut(target)
        {
            subset.mark_absent(key, now);
        }
        let may_eject = self.may_eject(target, now);
        self.update(key, |server| {
            server.record_end(now);
            server.health.record_failure(failure, may_eject, now);
        });
    }

    /// Returns whether one more endpoint of a target may be ejected.
    ///
    /// If most endpoints look bad at a time, the cause is elsewhere, such as a bad version
    /// or a broken network. Ejecting them would send the whole load to the few that are
    /// left and overload those too.
    fn may_eject(&self, target: &Target, now: Timestamp) -> bool {
        let Some(subset) = self.targets.get(target) else { return false };
        let ejected =
            subset.members.iter().filter(|m| self.servers.get(m.key).is_some_and(|s| s.health.is_ejected(now)));
        let after = u32::try_from(ejected.count()).unwrap_or(u32::MAX).saturating_add(1);
        f64::from(after) <= MAX_EJECTED * f64::from(u32::try_from(subset.members.len()).unwrap_or(u32::MAX))
    }

    fn on_load(&mut self, endpoint: &endpoint::Id, report: &Report<'_>) {
        let Some(key) = self.key(endpoint) else { return };
        self.update(key, |server| server.apply_report(report));
        let Some(loaded) = report.loaded else { return };
        for (target, subset) in &mut self.targets {
            if let Target::Version(version) = target {
                subset.set_loaded(key, loaded.contains(version));
            }
        }
    }

    fn on_stored(&mut self, endpoint: &endpoint::Id, prefix: u64) {
        let Some(key) = self.key(endpoint) else { return };
        // Events may be late or missing. Dropping all holders only reduces cache hits for a
        // while and never affects correctness, so the limit does not need an eviction
        // order.
        if self.holders.len() >= MAX_HOLDERS {
            self.holders.clear();
        }
        self.holders.insert(prefix, key);
    }
}

/// Returns the targets of a catalog that have endpoints, with their endpoints.
fn served_targets(catalog: &Catalog) -> impl Iterator<Item = (Target, &[Endpoint])> {
    let versions = catalog.models().iter().flat_map(|(id, model)| {
        model.versions.iter().map(|release| Version { model: id.clone(), number: release.version.clone() })
    });
    let versions = versions.map(|version| {
        let endpoints = catalog.endpoints(&version);
        (Target::Version(version), endpoints)
    });
    let services = catalog.services().keys().map(|id| (Target::Service(id.clone()), catalog.service_endpoints(id)));
    versions.chain(services).filter(|(_, endpoints)| !endpoints.is_empty())
}
