//! Dialling of peers: planned links, seeds, instances named by the object API,
//! and removed members, which may be on the other side of a partition.

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
const FIRST_SEEDS: usize = 3;
/// Backoff, in heartbeats, for a peer that has no room for a link.
const REST: Millis = 30;
/// Maximum number of doublings of the backoff after failures.
const DOUBLINGS: u32 = 4;

/// Candidates for dialling and the backoff of each peer.
#[derive(Debug)]
pub(super) struct Dialling {
    heartbeat: Millis,
    seeds: Vec<SocketAddr>,
    strangers: BTreeMap<Id, Instance>,
    under_way: BTreeSet<SocketAddr>,
    /// Addresses known to lead to this instance itself.
    own: BTreeSet<SocketAddr>,
    waits: BTreeMap<Id, Wait>,
    missing: BTreeMap<Id, Millis>,
}

#[derive(Debug, Default)]
struct Wait {
    until: Millis,
    failures: u32,
}

impl Dialling {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            heartbeat: settings.timing.heartbeat,
            seeds: settings.seeds.clone(),
            strangers: BTreeMap::new(),
            under_way: BTreeSet::new(),
            own: BTreeSet::from([settings.me.peers]),
            waits: BTreeMap::new(),
            missing: BTreeMap::new(),
        }
    }

    /// Replaces the instances that are named by the object API but not members.
    pub(super) fn know(&mut self, strangers: Vec<Instance>) {
        self.strangers = strangers.into_iter().map(|i| (i.id.clone(), i)).collect();
    }

    pub(super) fn may_dial(&self, id: &Id, now: Millis) -> bool {
        self.waits.get(id).is_none_or(|wait| wait.until <= now)
    }

    /// Starts the backoff of a peer that has no room for a link.
    pub(super) fn rest(&mut self, id: &Id, now: Millis) {
        self.waits.entry(id.clone()).or_default().until = now + REST * self.heartbeat;
    }

    pub(super) fn met(&mut self, id: &Id) {
        self.strangers.remove(id);
        self.waits.remove(id);
        self.missing.remove(id);
    }

    fn failed(&mut self, id: &Id, now: Millis) {
        let wait = self.waits.entry(id.clone()).or_default();
        let span = self.heartbeat << wait.failures.min(DOUBLINGS);
        // Jitter: otherwise all peers of a lost instance would redial it at the
        // same time.
        wait.until = now + rand::rng().random_range(span / 2..=span);
        wait.failures += 1;
    }

    /// Returns how long a planned link has been missing.
    pub(super) fn missing_for(&mut self, id: &Id, now: Millis) -> Millis {
        now - *self.missing.entry(id.clone()).or_insert(now)
    }

    pub(super) fn forget_missing(&mut self, wanted: impl Fn(&Id) -> bool) {
        self.missing.retain(|id, _| wanted(id));
    }

    pub(super) fn is_idle(&self) -> bool {
        self.under_way.is_empty()
    }
}

impl Task {
    pub(super) fn dial_seeds(&mut self) {
        let seeds = self.dialling.seeds.clone();
        for address in seeds.into_iter().choose_multiple(&mut rand::rng(), FIRST_SEEDS) {
            self.dial(address, None);
        }
    }

    /// Dials one random address that belongs to no current member. One dial per
    /// heartbeat finds the other side of a healed partition within a few seconds
    /// and costs almost nothing otherwise.
    pub(super) fn dial_stray(&mut self) {
        if self.is_ended() {
            return;
        }
        let counted: BTreeSet<_> =
            self.membership.others().filter(|m| m.is_counted()).map(|m| m.instance.peers).collect();
        // Skip members that shut down deliberately: their next run will dial.
        let lost = |m: &&Member| !m.is_counted() && m.instance.state != State::Gone;
        let gone = self.membership.others().filter(lost).map(|m| m.instance.peers);
        let strangers = self.dialling.strangers.values().map(|i| i.peers);
        let seeds = self.dialling.seeds.iter().copied();
        let strays = gone.chain(strangers).chain(seeds);
        let alone = self.links.is_empty();
        let stray = strays.filter(|a| alone || !counted.contains(a)).choose(&mut rand::rng());
        if let Some(address) = stray {
            self.dial(address, None);
        }
    }

    /// Dials an address in a new task, with at most one dial per address at a time.
    pub(super) fn dial(&mut self, address: SocketAddr, wanted: Option<Id>) {
        if self.dialling.own.contains(&address) || !self.dialling.under_way.insert(address) {
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

    pub(super) fn dialled(&mut self, address: SocketAddr, wanted: Option<Id>, outcome: Result<Opened, Failure>) {
        self.dialling.under_way.remove(&address);
        self.planned = None;
        let now = self.clock.now();
        match outcome {
            Ok(opened) => self.opened(address, wanted.as_ref(), opened),
            Err(Failure::Superseded) => {
                tracing::error!(%address, "a later run under this instance's name is known; this one ends its links");
                self.membership.supersede();
            }
            Err(failure) => {
                tracing::debug!(%address, ?failure, "failed to link with peer");
                let Some(id) = wanted else { return };
                self.dialling.failed(&id, now);
                match failure {
                    Failure::Unreachable => self.membership.unreachable(&id),
                    Failure::NobodyThere => self.membership.nobody_there(&id),
                    Failure::Duplicate | Failure::Superseded | Failure::Refused => return,
                }
                self.membership.tick(now);
            }
        }
    }

    /// Records that an address leads to this instance itself.
    pub(super) fn is_own(&mut self, address: SocketAddr) {
        self.dialling.own.insert(address);
    }
}
