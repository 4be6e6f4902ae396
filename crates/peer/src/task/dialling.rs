//! Dialling of peers: planned links, seeds, instances with entries in the
//! platform's object API, and removed members, which may be on the other side of
//! a partition.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::{Rng, seq::IteratorRandom};
use world::{
    Millis,
    instance::{Id, Instance, State},
};

use super::Task;
use crate::{
    event::Event,
    link::{self, Failure, Opened},
    member::Member,
    settings::Settings,
    wire::Greeting,
};

/// Number of seeds dialled at the start; others are tried one by one later.
const INITIAL_SEEDS: usize = 3;
/// Backoff, in heartbeats, for a peer that has no room for a link.
const NO_ROOM_BACKOFF_HEARTBEATS: Millis = 30;
/// Maximum number of doublings of the backoff after failures.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Candidates for dialling and the backoff of each peer.
#[derive(Debug)]
pub(super) struct Dialling {
    heartbeat: Millis,
    seeds: Vec<SocketAddr>,
    undiscovered: BTreeMap<Id, Instance>,
    in_progress: BTreeSet<SocketAddr>,
    /// Addresses known to lead to this instance itself.
    own_addresses: BTreeSet<SocketAddr>,
    backoffs: BTreeMap<Id, Backoff>,
    /// Time since which each link that the peer should dial has been missing.
    missing_since: BTreeMap<Id, Millis>,
}

#[derive(Debug, Default)]
struct Backoff {
    until: Millis,
    failures: u32,
}

impl Dialling {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            heartbeat: settings.timing.heartbeat,
            seeds: settings.seeds.clone(),
            undiscovered: BTreeMap::new(),
            in_progress: BTreeSet::new(),
            own_addresses: BTreeSet::from([settings.me.peers]),
            backoffs: BTreeMap::new(),
            missing_since: BTreeMap::new(),
        }
    }

    /// Replaces the instances that have entries in the object API but are not members.
    pub(super) fn set_undiscovered(&mut self, undiscovered: Vec<Instance>) {
        self.undiscovered = undiscovered.into_iter().map(|i| (i.id.clone(), i)).collect();
    }

    pub(super) fn may_dial(&self, id: &Id, now: Millis) -> bool {
        self.backoffs.get(id).is_none_or(|backoff| backoff.until <= now)
    }

    /// Starts the backoff of a peer that has no room for a link.
    pub(super) fn back_off(&mut self, id: &Id, now: Millis) {
        self.backoffs.entry(id.clone()).or_default().until = now + NO_ROOM_BACKOFF_HEARTBEATS * self.heartbeat;
    }

    pub(super) fn record_linked(&mut self, id: &Id) {
        self.undiscovered.remove(id);
        self.backoffs.remove(id);
        self.missing_since.remove(id);
    }

    fn record_failure(&mut self, id: &Id, now: Millis) {
        let backoff = self.backoffs.entry(id.clone()).or_default();
        let span = self.heartbeat << backoff.failures.min(MAX_BACKOFF_DOUBLINGS);
        // Jitter: otherwise all peers of a lost instance would redial it at the
        // same time.
        backoff.until = now + rand::rng().random_range(span / 2..=span);
        backoff.failures += 1;
    }

    /// Returns how long a link that the peer should dial has been missing.
    pub(super) fn missing_for(&mut self, id: &Id, now: Millis) -> Millis {
        now - *self.missing_since.entry(id.clone()).or_insert(now)
    }

    pub(super) fn retain_missing(&mut self, wanted: impl Fn(&Id) -> bool) {
        self.missing_since.retain(|id, _| wanted(id));
    }

    pub(super) fn is_idle(&self) -> bool {
        self.in_progress.is_empty()
    }
}

impl Task {
    pub(super) fn dial_seeds(&mut self) {
        let seeds = self.dialling.seeds.clone();
        for address in seeds.into_iter().choose_multiple(&mut rand::rng(), INITIAL_SEEDS) {
            self.dial(address, None);
        }
    }

    /// Dials one random address of a removed member, an undiscovered instance or a
    /// seed. Addresses of current members are skipped unless this instance has no
    /// links. One dial per heartbeat finds the other side of a healed partition
    /// within a few seconds and costs almost nothing otherwise.
    pub(super) fn dial_unlinked(&mut self) {
        if self.is_ended() {
            return;
        }
        let present: BTreeSet<_> =
            self.membership.others().filter(|m| m.is_present()).map(|m| m.instance.peers).collect();
        // Skip members that shut down deliberately: their next run will dial.
        let is_lost = |m: &&Member| !m.is_present() && m.instance.state != State::Gone;
        let gone = self.membership.others().filter(is_lost).map(|m| m.instance.peers);
        let undiscovered = self.dialling.undiscovered.values().map(|i| i.peers);
        let seeds = self.dialling.seeds.iter().copied();
        let addresses = gone.chain(undiscovered).chain(seeds);
        let no_links = self.links.is_empty();
        let address = addresses.filter(|a| no_links || !present.contains(a)).choose(&mut rand::rng());
        if let Some(address) = address {
            self.dial(address, None);
        }
    }

    /// Dials an address in a new task, with at most one dial per address at a time.
    pub(super) fn dial(&mut self, address: SocketAddr, wanted: Option<Id>) {
        if self.dialling.own_addresses.contains(&address) || !self.dialling.in_progress.insert(address) {
            return;
        }
        let (pool, settings, events) = (self.pool.clone(), self.settings.clone(), self.events.clone());
        let greeting = Greeting { sender: self.membership.me().clone(), full: false };
        tokio::spawn(async move {
            let outcome = link::dial(address, greeting, &pool, &settings).await;
            // Fails if the task has ended; dropping the event closes the link.
            let _ = events.send(Event::Dialled { address, wanted, outcome }).await;
        });
    }

    pub(super) fn on_dialled(&mut self, address: SocketAddr, wanted: Option<Id>, outcome: Result<Opened, Failure>) {
        self.dialling.in_progress.remove(&address);
        self.planned_revision = None;
        let now = self.clock.now();
        match outcome {
            Ok(opened) => self.on_opened(address, wanted.as_ref(), opened),
            Err(Failure::Superseded) => {
                tracing::error!(%address, "a later run under this instance's name is known; this one ends its links");
                self.membership.supersede();
            }
            Err(failure) => {
                tracing::debug!(%address, ?failure, "failed to link with peer");
                let Some(id) = wanted else { return };
                self.dialling.record_failure(&id, now);
                match failure {
                    Failure::Unreachable => self.membership.record_unreachable(&id),
                    Failure::NobodyThere => self.membership.record_connection_refused(&id),
                    Failure::Duplicate | Failure::Superseded | Failure::Refused => return,
                }
                self.membership.tick(now);
            }
        }
    }

    /// Records that an address leads to this instance itself.
    pub(super) fn record_own_address(&mut self, address: SocketAddr) {
        self.dialling.own_addresses.insert(address);
    }
}
