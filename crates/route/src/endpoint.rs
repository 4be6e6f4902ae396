//! Which endpoint a run goes to.
//!
//! A [`Fleet`] is what one instance knows of the endpoints it works with: its
//! own runs exactly, the rest from reports that are seconds old. It is plain
//! state, owned by one task, that changes by [`Event`]s and is asked with
//! [`Fleet::choose`]. Time and draws are arguments.
//!
//! A prompt prefix has a preferred endpoint, the same at every instance, so
//! that the engine's prefix cache is hit. The preferred one is passed over
//! while it holds more than its bounded share of the load; then the less
//! loaded of two drawn ones is taken, not the least loaded of all: every
//! instance sees the same old reports, and would send its work to the same
//! endpoint.

mod health;
mod server;
mod subset;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use world::{
    Catalog, Millis, Timestamp,
    domain::Domain,
    endpoint::{self, Endpoint},
    hash, instance,
    model::Version,
    service,
};

pub use health::Failure;
use server::{Field, Seen, Server};
use subset::Subset;

slotmap::new_key_type! {
    /// An endpoint within a [`Fleet`]; a key of one that is gone finds nothing.
    pub struct Key;
}

/// Load bound of a preferred endpoint, as a multiple of the mean.
const LOAD_BOUND: f64 = 1.0;
/// Load added to an endpoint of another failure domain, in its slots.
const REMOTE: f64 = 0.05;
/// Runs an endpoint is given, as a multiple of its slots: a batch that has to
/// wait for news of each ended run would stand half empty.
const HEADROOM: f64 = 1.1;
/// Known holders of prefixes; all are forgotten when there are more.
const MAX_HOLDERS: usize = 8_192;
/// Most of a target's endpoints that may be ejected at a time.
const MAX_EJECTED: f64 = 0.34;

/// What endpoints are asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A model's version.
    Version(Version),
    /// A plain service.
    Service(service::Id),
}

/// A run that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// What it runs on.
    pub target: &'a Target,
    /// Hash of the prompt's prefix; nothing where no cache helps.
    pub prefix: Option<u64>,
    /// Endpoints that have failed it already.
    pub avoid: &'a [Key],
    /// A number drawn for this attempt; its hash will do.
    pub draw: u64,
}

/// An endpoint chosen, and why.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The endpoint.
    #[serde(skip)]
    pub key: Key,
    /// What settled it.
    pub rule: Rule,
    /// Its estimated load, as a share of its slots.
    pub load: f64,
    /// Mean of the same over the endpoints weighed.
    pub mean: f64,
    /// Endpoints weighed.
    pub considered: u32,
}

/// What settled a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Holds the prompt's prefix, by its cache events.
    Holder,
    /// The prefix's preferred one.
    Preferred,
    /// The less loaded of two drawn.
    LessLoaded,
    /// The only one left.
    Only,
}

/// No endpoint takes the run; nothing has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No pool serves it, or none of its endpoints is in this instance's subset.
    NoPool,
    /// All its endpoints are leaving, do not have it loaded, or have failed this request.
    NoneLeft,
}

/// A load report of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report<'a> {
    /// When it held.
    pub as_of: Timestamp,
    /// Runs in the batch.
    pub running: u32,
    /// Runs waiting.
    pub queued: u32,
    /// Runs it can batch.
    pub slots: u32,
    /// Versions it has loaded; nothing when it does not say.
    pub loaded: Option<&'a [Version]>,
}

/// What has happened to an endpoint.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// A run was sent to it.
    Dispatched(Key),
    /// A run ended well.
    Finished {
        /// Where.
        key: Key,
        /// What was run.
        target: &'a Target,
        /// How long it took.
        millis: Millis,
        /// Output tokens; 1 for a plain service.
        tokens: u32,
    },
    /// A run ended otherwise.
    Failed {
        /// Where.
        key: Key,
        /// What was run.
        target: &'a Target,
        /// How.
        failure: Failure,
    },
    /// A run was cancelled by us; says nothing about the endpoint.
    Cancelled(Key),
    /// A report came in.
    Load {
        /// Whose.
        endpoint: &'a endpoint::Id,
        /// What it says.
        report: Report<'a>,
    },
    /// A prefix entered its cache.
    Stored {
        /// Whose.
        endpoint: &'a endpoint::Id,
        /// The prefix's hash.
        prefix: u64,
    },
    /// A prefix left its cache.
    Evicted {
        /// Whose.
        endpoint: &'a endpoint::Id,
        /// The prefix's hash.
        prefix: u64,
    },
    /// It is leaving, or back.
    Leaving {
        /// Which.
        endpoint: &'a endpoint::Id,
        /// Whether it takes no new work.
        leaving: bool,
    },
}

/// An instance as the subsets need to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub id: instance::Id,
    /// Where it stands.
    pub domain: Domain,
}

/// What one instance knows of its endpoints.
#[derive(Debug)]
pub struct Fleet {
    me: Peer,
    servers: SlotMap<Key, Server>,
    names: HashMap<endpoint::Id, Key>,
    targets: HashMap<Target, Subset>,
    holders: HashMap<u64, Key>,
    instances: usize,
}

impl Fleet {
    /// An empty fleet of the instance `me`.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            servers: SlotMap::with_key(),
            names: HashMap::new(),
            targets: HashMap::new(),
            holders: HashMap::new(),
            instances: 1,
        }
    }

    /// Takes in a catalog and the live instances, this one included or not.
    ///
    /// What is known of endpoints that stay is kept. Linear in endpoints and
    /// instances, not in their product.
    pub fn apply(&mut self, catalog: &Catalog, instances: &[Peer]) {
        let ranks = subset::Ranks::new(&self.me, instances);
        self.instances = instances.len().max(1);
        let mut targets = HashMap::new();
        let mut kept = HashMap::new();
        for (target, endpoints) in served(catalog) {
            let chosen = ranks.subset(&self.me.domain, endpoints);
            let members = chosen.into_iter().map(|endpoint| {
                let key = *kept.entry(endpoint.id.clone()).or_insert_with(|| self.keep(endpoint));
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
        self.names = kept;
        self.targets = targets;
        let servers = &self.servers;
        self.holders.retain(|_, key| servers.contains_key(*key));
    }

    /// Takes in what has happened.
    pub fn on(&mut self, event: Event<'_>, now: Timestamp) {
        match event {
            Event::Dispatched(key) => self.with(key, |server| server.dispatched(now)),
            Event::Cancelled(key) => self.with(key, |server| server.ended(now)),
            Event::Finished { key, target, millis, tokens } => self.finished(key, target, millis, tokens, now),
            Event::Failed { key, target, failure } => self.failed(key, target, failure, now),
            Event::Load { endpoint, report } => self.load(endpoint, &report),
            Event::Stored { endpoint, prefix } => self.stored(endpoint, prefix),
            Event::Evicted { endpoint, prefix } => {
                let key = self.names.get(endpoint).copied();
                if self.holders.get(&prefix).copied() == key {
                    self.holders.remove(&prefix);
                }
            }
            Event::Leaving { endpoint, leaving } => {
                if let Some(key) = self.key(endpoint) {
                    self.with(key, |server| server.leaving = leaving);
                }
            }
        }
    }

    /// Chooses an endpoint for a run.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] when none takes it.
    pub fn choose(&self, wanted: &Wanted<'_>, now: Timestamp) -> Result<Choice, Refusal> {
        let subset = self.targets.get(wanted.target).ok_or(Refusal::NoPool)?;
        if subset.members.is_empty() {
            return Err(Refusal::NoPool);
        }
        let weighed = self.weighed(subset, wanted, now);
        let rule_of = |weighed: &Weighed, rule| Choice {
            key: weighed.best.key,
            rule,
            load: weighed.best.load,
            mean: weighed.mean,
            considered: weighed.considered,
        };
        match weighed {
            None => Err(Refusal::NoneLeft),
            Some(weighed) => {
                let rule = weighed.rule;
                Ok(rule_of(&weighed, rule))
            }
        }
    }

    /// The key of an endpoint in this instance's subset.
    #[must_use]
    pub fn key(&self, endpoint: &endpoint::Id) -> Option<Key> {
        self.names.get(endpoint).copied()
    }

    /// An endpoint by its key.
    #[must_use]
    pub fn endpoint(&self, key: Key) -> Option<&Endpoint> {
        self.servers.get(key).map(|server| &server.endpoint)
    }

    /// Endpoints this instance works with.
    pub fn endpoints(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.servers.iter().map(|(key, server)| (key, &server.endpoint))
    }

    /// Runs that this instance may have under way for any of `targets`: those
    /// it has and its part of the free slots, and never less than an even part
    /// of all slots.
    ///
    /// What lies waiting in an engine cannot be ranked any more, so work in
    /// excess of this waits in the instance's own queue. An endpoint that
    /// serves several of the targets counts once.
    #[must_use]
    pub fn limit<'a>(&self, targets: impl IntoIterator<Item = &'a Target>, now: Timestamp) -> u32 {
        let subsets: Vec<_> = targets.into_iter().filter_map(|target| self.targets.get(target)).collect();
        let mut keys: Vec<_> =
            subsets.iter().flat_map(|subset| subset.members.iter().map(|member| member.key)).collect();
        keys.sort_unstable();
        keys.dedup();
        let run_ms = subsets.iter().map(|subset| subset.run_ms()).fold(1.0, f64::max);
        let fit = |key: &Key| self.servers.get(*key).filter(|s| !s.leaving && !s.health.ejected(now));
        let seen: Vec<_> = keys.iter().filter_map(fit).map(Server::seen).collect();

        let field = Field::of(seen.iter(), run_ms, self.instances);
        let (mut own, mut others, mut slots) = (0.0, 0.0, 0.0);
        for server in &seen {
            own += server.own;
            others += server.others_now(&field, now);
            slots += server.slots * HEADROOM;
        }
        let even = slots / f64::from(u32::try_from(self.instances).unwrap_or(u32::MAX));
        let part = if own + others > 0.0 { own / (own + others) } else { 1.0 };
        // Below zero when the endpoints are over-full: who has most gives most
        // back, so that an instance with a new customer gets its even part.
        let free = slots - own - others;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "slots are few and positive")]
        let limit = part.mul_add(free, own).max(even).max(1.0).round() as u32;
        limit
    }

    fn with(&mut self, key: Key, change: impl FnOnce(&mut Server)) {
        if let Some(server) = self.servers.get_mut(key) {
            change(server);
        }
    }

    fn keep(&mut self, endpoint: &Endpoint) -> Key {
        match self.names.get(&endpoint.id) {
            Some(key) if self.servers.contains_key(*key) => {
                self.servers[*key].endpoint = endpoint.clone();
                *key
            }
            _ => self.servers.insert(Server::new(endpoint.clone())),
        }
    }

    fn finished(&mut self, key: Key, target: &Target, millis: Millis, tokens: u32, now: Timestamp) {
        let Some(subset) = self.targets.get_mut(target) else {
            self.with(key, |server| server.ended(now));
            return;
        };
        let pace = subset.observe(millis, tokens);
        let may_eject = self.may_eject(target, now);
        self.with(key, |server| {
            server.ended(now);
            server.health.finished(pace, may_eject, now);
        });
    }

    fn failed(&mut self, key: Key, target: &Target, failure: Failure, now: Timestamp) {
        if failure == Failure::NotLoaded
            && let Some(subset) = self.targets.get_mut(target)
        {
            subset.absent(key, now);
        }
        let may_eject = self.may_eject(target, now);
        self.with(key, |server| {
            server.ended(now);
            server.health.failed(failure, may_eject, now);
        });
    }

    /// Whether one more endpoint of a target may be ejected.
    ///
    /// When most endpoints look bad at a time the cause is elsewhere (a bad
    /// version, a broken network); ejecting them would send the whole load to
    /// the few left and take those down too.
    fn may_eject(&self, target: &Target, now: Timestamp) -> bool {
        let Some(subset) = self.targets.get(target) else { return false };
        let ejected = subset.members.iter().filter(|m| self.servers.get(m.key).is_some_and(|s| s.health.ejected(now)));
        let after = u32::try_from(ejected.count()).unwrap_or(u32::MAX).saturating_add(1);
        f64::from(after) <= MAX_EJECTED * f64::from(u32::try_from(subset.members.len()).unwrap_or(u32::MAX))
    }

    fn load(&mut self, endpoint: &endpoint::Id, report: &Report<'_>) {
        let Some(key) = self.key(endpoint) else { return };
        self.with(key, |server| server.report(report));
        let Some(loaded) = report.loaded else { return };
        for (target, subset) in &mut self.targets {
            if let Target::Version(version) = target {
                subset.loaded(key, loaded.contains(version));
            }
        }
    }

    fn stored(&mut self, endpoint: &endpoint::Id, prefix: u64) {
        let Some(key) = self.key(endpoint) else { return };
        // Events come late and with gaps. Losing all holders costs hits for a
        // while, never a wrong answer, so the bound needs no order of use.
        if self.holders.len() >= MAX_HOLDERS {
            self.holders.clear();
        }
        self.holders.insert(prefix, key);
    }
}

/// One endpoint's load as estimated for a choice.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: Key,
    affinity: u64,
    seen: Seen,
    load: f64,
    weight: f64,
    remote: f64,
    score: f64,
}

impl Candidate {
    fn settle(&mut self, field: &Field, now: Timestamp) {
        self.load = (self.seen.own + self.seen.others_now(field, now) + 1.0) / self.seen.slots;
        self.score = self.load / self.weight + self.remote;
    }
}

/// The outcome of weighing a subset.
#[derive(Debug)]
struct Weighed {
    best: Candidate,
    rule: Rule,
    mean: f64,
    considered: u32,
}

impl Fleet {
    fn weighed(&self, subset: &Subset, wanted: &Wanted<'_>, now: Timestamp) -> Option<Weighed> {
        let usable = subset.members.iter().filter(|member| self.usable(subset, member, wanted, now));
        let mut candidates: Vec<Candidate> = usable.map(|member| self.candidate(member, wanted, now)).collect();
        let considered = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let count = f64::from(considered.max(1));
        let field = Field::of(candidates.iter().map(|c| &c.seen), subset.run_ms(), self.instances);
        for candidate in &mut candidates {
            candidate.settle(&field, now);
        }
        let mean = candidates.iter().map(|c| c.load).sum::<f64>() / count;
        let weighed = |best: &Candidate, rule| Some(Weighed { best: *best, rule, mean, considered });
        if candidates.len() < 2 {
            return candidates.first().and_then(|only| weighed(only, Rule::Only));
        }
        if let Some(prefix) = wanted.prefix {
            let bound = LOAD_BOUND * candidates.iter().map(|c| c.score).sum::<f64>() / count;
            let within = || candidates.iter().filter(|c| c.score <= bound);
            let holder = self.holders.get(&prefix);
            if let Some(held) = within().find(|c| Some(&c.key) == holder) {
                return weighed(held, Rule::Holder);
            }
            if let Some(preferred) = within().max_by_key(|c| c.affinity) {
                return weighed(preferred, Rule::Preferred);
            }
        }
        let (first, second) = two(wanted.draw, candidates.len());
        let (first, second) = (&candidates[first], &candidates[second]);
        weighed(if second.score < first.score { second } else { first }, Rule::LessLoaded)
    }

    fn candidate(&self, member: &subset::Member, wanted: &Wanted<'_>, now: Timestamp) -> Candidate {
        let server = &self.servers[member.key];
        Candidate {
            key: member.key,
            affinity: wanted.prefix.map_or(0, |prefix| subset::weight(prefix, member.hash)),
            seen: server.seen(),
            load: 0.0,
            weight: server.health.weight(now),
            remote: if member.local { 0.0 } else { REMOTE },
            score: 0.0,
        }
    }

    fn usable(&self, subset: &Subset, member: &subset::Member, wanted: &Wanted<'_>, now: Timestamp) -> bool {
        let Some(server) = self.servers.get(member.key) else { return false };
        !server.leaving
            && !server.health.ejected(now)
            && !subset.is_absent(member.key, now)
            && !wanted.avoid.contains(&member.key)
    }
}

/// Two different positions below `len`, at least 2, from one draw.
fn two(draw: u64, len: usize) -> (usize, usize) {
    let len = len as u64;
    let first = (draw >> 32) % len;
    let second = (first + 1 + (draw & 0xffff_ffff) % (len - 1)) % len;
    #[expect(clippy::cast_possible_truncation, reason = "both are below a usize")]
    (first as usize, second as usize)
}

fn served(catalog: &Catalog) -> impl Iterator<Item = (Target, &[Endpoint])> {
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
