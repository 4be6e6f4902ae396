//! Other instances, as reported by their news messages.
//!
//! Each instance sends news about itself to some of the others at a time, so that all have
//! received it after a round. An instance is alive until it has been silent for too long.

mod fronts;
mod recipients;
mod sightings;
mod sums;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use world::hash;

use self::sums::Sums;
pub use self::{
    fronts::Caller,
    recipients::{NewsRecipients, NoticeRecipients, Recipients},
    sightings::Sighting,
};
use super::{
    Dispatcher, State,
    fleet::{Load, short_hash},
    rollouts::Report,
    watchers::{Rank, Watcher},
};
use crate::{clock, settings::Cores};

/// Number of news messages in a row that must be missing before an instance counts as gone:
/// one may be lost, and the next one late.
const MAX_MISSING_NEWS: u32 = 3;

/// Minimum silence after which an instance counts as gone.
const MIN_SILENCE: Duration = Duration::from_millis(1_100);

/// Maximum silence after which an instance counts as gone, however long a round of news
/// takes. In large fleets other instances report when they last received its news.
const MAX_SILENCE: Duration = Duration::from_secs(4);

/// Time for which no requests are forwarded to an instance that could not serve one.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(1);

/// Interval at which an instance that serves a forwarded request is checked.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Silence after which an instance is forgotten and no longer sent news.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// The known other instances and the sums of their loads.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// Hash of this instance's name.
    pub(super) me: u64,
    /// The failure domain of this instance.
    pub(super) domain: String,
    /// Known instances by name.
    known: BTreeMap<String, Peer>,
    /// Names by their hash in sightings.
    by_hash: HashMap<u32, String>,
    /// News addresses of instances that became alive, for the first time or again, and were
    /// not greeted yet.
    to_greet: Vec<SocketAddr>,
    /// Sums of the loads of the instances that count as alive.
    sums: Sums,
    /// Number of instances that count as alive.
    live_count: usize,
    /// Earliest time at which one of them may count as gone.
    next_expiry: Duration,
    /// Addresses that notices are sent to if the fleet is too large to send them to all.
    relays: Vec<SocketAddr>,
}

/// Another instance.
#[derive(Debug, Clone)]
struct Peer {
    /// Hash of its name.
    hash: u64,
    /// Address at which it receives news.
    news: SocketAddr,
    /// When this instance first learned of it.
    found_at: Duration,
    /// When its news was last received, here or by an instance that reported it.
    last_heard: Option<Duration>,
    /// Whether it counts as alive, as of the last [`Peers::update_live`].
    counts_as_live: bool,
    /// Time until which no requests are forwarded to it, since it could not serve one.
    avoided_until: Duration,
    /// Its latest news.
    status: Status,
    /// When that was received; unlike `last_heard`, other instances' reports do not change it.
    reported_at: Duration,
    /// When its evidence on roll-outs was last received.
    evidence_at: Duration,
}

/// A report of another instance about a roll-out.
#[derive(Debug, Clone, Copy)]
pub(super) struct Told<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    /// Identifies the instance's start.
    pub start: u64,
    /// When the report was received.
    pub received_at: Duration,
    pub report: &'a Report,
}

/// Another instance that may serve a request instead of this one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Substitute {
    /// Hash of its name.
    pub name: u64,
    /// Address at which it receives news.
    pub news: SocketAddr,
    /// Its number of processor cores.
    pub cores: Cores,
}

/// Phase of an instance's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// It cannot serve callers yet.
    #[default]
    Starting,
    /// It serves callers.
    Ready,
    /// It is about to exit.
    Leaving,
}

/// Status of an instance, as it reports it in its news.
#[derive(Debug, Clone, Default)]
pub struct Status {
    /// Address at which it serves callers.
    pub front: Option<SocketAddr>,
    /// Identifies its start; the status of a later start replaces that of an earlier one.
    pub start: u64,
    /// Phase of its life.
    pub phase: Phase,
    /// Whether its access keys are fresh enough to serve requests.
    pub fresh: bool,
    /// Its failure domain.
    pub domain: String,
    /// Whether its own calls to the store succeed.
    pub in_touch: bool,
    /// Whether its link is slow, so that reading the catalog takes long.
    pub is_narrow: bool,
    /// Number of processor cores that it has.
    pub cores: Cores,
    /// Maximum time until its next news message.
    pub time_to_next: Duration,
    /// Its load on endpoints, by the hash of the endpoint's start.
    pub loads: HashMap<u32, Load>,
    /// Sessions that recently ran on an old version there.
    pub sessions: Vec<u64>,
    /// Its state of the roll-outs.
    pub reports: Vec<Report>,
    /// Version of its catalog; 0 before it has one.
    pub catalog: u64,
    /// Short hashes of the services of which it reaches no endpoint.
    pub unreachable: Vec<u32>,
}

impl Status {
    fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Whether it serves callers and, as far as known, reaches a service.
    fn may_send_to(&self, service: u32) -> bool {
        self.is_ready() && !self.unreachable.contains(&service)
    }
}

impl Peers {
    /// Marks instances that have been silent for too long as gone, and removes their loads.
    ///
    /// Examines all instances only at the earliest time at which one may count as gone. Each
    /// news message postpones that time for its sender, so this happens about once in a round.
    fn update_live(&mut self, now: Duration) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = Duration::MAX;
        for peer in self.known.values_mut().filter(|peer| peer.counts_as_live) {
            if peer.is_live(now) {
                self.next_expiry = self.next_expiry.min(peer.expires_at());
                continue;
            }
            peer.counts_as_live = false;
            self.live_count -= 1;
            self.sums.subtract(&peer.status.loads, peer.reported_at);
        }
    }

    /// Applies the status that an instance reports.
    fn update(&mut self, name: &str, status: Status, now: Duration) {
        self.update_live(now);
        let Some(peer) = self.known.get_mut(name) else { return };
        // A start that looks older is accepted once the known one counts as gone: the
        // clock that orders them may have been set back.
        if peer.counts_as_live && status.start < peer.status.start {
            return;
        }
        if peer.counts_as_live {
            self.sums.subtract(&peer.status.loads, peer.reported_at);
        } else {
            tracing::info!(instance = name, "instance alive");
            self.to_greet.push(peer.news);
            peer.counts_as_live = true;
            self.live_count += 1;
        }
        peer.last_heard = Some(now);
        peer.status = status;
        peer.reported_at = now;
        peer.evidence_at = now;
        self.sums.add(&peer.status.loads, now);
        self.next_expiry = self.next_expiry.min(peer.expires_at());
    }

    /// Forgets instances that have been silent for long. They no longer count as alive, so
    /// their loads are not in the sums.
    fn forget_long_silent(&mut self, now: Duration) {
        let before = self.known.len();
        self.known
            .retain(|_, peer| peer.counts_as_live || now < peer.last_heard.unwrap_or(peer.found_at) + FORGET_AFTER);
        if self.known.len() < before {
            self.by_hash.retain(|_, name| self.known.contains_key(name));
        }
    }

    /// Forgets an instance and removes its load.
    fn forget(&mut self, name: &str) {
        let Some(peer) = self.known.remove(name) else { return };
        self.by_hash.remove(&short_hash(name));
        if peer.counts_as_live {
            self.live_count -= 1;
            self.sums.subtract(&peer.status.loads, peer.reported_at);
        }
    }

    /// Returns the load of live instances on an endpoint, as of the last news or
    /// [`Peers::update_live`].
    pub(super) fn load(&self, endpoint: u32) -> Load {
        self.sums.of(endpoint)
    }

    /// Returns the mean time at which that load was reported, or `None` if there is none.
    pub(super) fn reported_at(&self, endpoint: u32) -> Option<Duration> {
        self.sums.reported_at(endpoint)
    }

    /// Returns the other instances to which requests for a service, given by its short hash,
    /// may be forwarded.
    pub(super) fn reaching(&self, service: u32, now: Duration) -> impl Iterator<Item = Substitute> {
        let is_available = move |peer: &&Peer| peer.reaches(service, now) && peer.avoided_until <= now;
        let substitute = |peer: &Peer| Substitute { name: peer.hash, news: peer.news, cores: peer.status.cores };
        self.known.values().filter(is_available).map(substitute)
    }

    /// Whether an instance, given by the hash of its name, is alive and receives news at an
    /// address.
    pub(super) fn is_live_at(&self, name: u32, news: SocketAddr, now: Duration) -> bool {
        let peer = self.by_hash.get(&name).and_then(|name| self.known.get(name));
        peer.is_some_and(|peer| peer.news == news && peer.is_live(now))
    }

    /// Returns the hashes of the names of the other instances that serve callers and reach a
    /// service, given by its short hash.
    pub(super) fn senders(&self, service: u32, now: Duration) -> impl Iterator<Item = u64> {
        self.known.values().filter(move |peer| peer.reaches(service, now)).map(|peer| peer.hash)
    }

    /// Returns the hashes of the names of the other instances that, when last heard from within
    /// the last minute, served callers and reached a service, given by its short hash.
    pub(super) fn remembered_senders(&self, service: u32) -> impl Iterator<Item = u64> {
        let may_send = move |peer: &&Peer| peer.last_heard.is_some() && peer.status.may_send_to(service);
        self.known.values().filter(may_send).map(|peer| peer.hash)
    }

    /// Returns the hashes of the names of the other instances that were heard from within the
    /// last minute and have not left.
    pub(super) fn remembered(&self) -> impl Iterator<Item = u64> {
        let may_serve = |peer: &&Peer| peer.last_heard.is_some() && peer.status.phase != Phase::Leaving;
        self.known.values().filter(may_serve).map(|peer| peer.hash)
    }

    /// Returns the live instances that may watch the store: all that are not leaving, or with
    /// `only_in_touch` only those of them whose own calls to the store succeed.
    pub(super) fn watchers(&self, now: Duration, only_in_touch: bool) -> impl Iterator<Item = Watcher> {
        // Not only ready ones: before an operator has written the first catalog no
        // instance is ready, and each of a whole fleet would watch the store itself.
        let able = move |peer: &&Peer| {
            peer.is_live(now) && peer.status.phase != Phase::Leaving && (peer.status.in_touch || !only_in_touch)
        };
        self.known.values().filter(able).map(|peer| Watcher {
            news: peer.news,
            rank: Rank::new(peer.status.is_narrow, peer.status.cores, peer.hash),
            is_near: peer.status.domain == self.domain,
        })
    }

    /// Whether a session ran on an old version at another instance within `lifetime`.
    pub(super) fn ran_on_old_version(&self, session: u64, now: Duration, lifetime: Duration) -> bool {
        let is_recent = |peer: &Peer| peer.last_heard.is_some_and(|last_heard| now < last_heard + lifetime);
        self.known.values().any(|peer| is_recent(peer) && peer.status.sessions.contains(&session))
    }

    /// Returns the reports of other instances, including gone ones, about a roll-out.
    pub(super) fn reports(&self, order: u32) -> impl Iterator<Item = Told<'_>> {
        self.known.iter().flat_map(move |(instance, peer)| {
            let told = |report| Told { instance, start: peer.status.start, received_at: peer.evidence_at, report };
            peer.status.reports.iter().filter(move |report| report.order == order).map(told)
        })
    }
}

impl Peer {
    fn is_live(&self, now: Duration) -> bool {
        now < self.expires_at()
    }

    /// Whether it serves callers and, as far as known, reaches a service.
    fn reaches(&self, service: u32, now: Duration) -> bool {
        self.is_live(now) && self.status.may_send_to(service)
    }

    /// Returns the time at which it counts as gone unless it is heard from before.
    fn expires_at(&self) -> Duration {
        let silent = MIN_SILENCE.max((self.status.time_to_next * MAX_MISSING_NEWS).min(MAX_SILENCE));
        self.last_heard.map_or(Duration::ZERO, |last_heard| last_heard + silent)
    }
}

impl State {
    /// Updates the endpoints' loads from other instances by their news and their silence.
    /// Returns the number of other instances that are alive.
    pub(super) fn update_peer_loads(&mut self, now: Duration) -> usize {
        self.peers.update_live(now);
        for endpoint in self.peers.sums.take_changed() {
            self.fleet.set_peer_load(endpoint, self.peers.load(endpoint), self.peers.reported_at(endpoint));
        }
        self.peers.live_count
    }
}

impl Dispatcher {
    /// Sets this instance's own identity and failure domain among its peers.
    pub fn set_identity(&self) {
        let peers = &mut self.lock().peers;
        peers.me = hash::stable(self.settings.instance.as_bytes());
        peers.domain.clone_from(&self.settings.domain);
    }

    /// Records an instance and the address at which it receives news.
    pub fn discover_peer(&self, name: &str, news: SocketAddr) {
        if name == self.settings.instance || news == self.settings.listeners.news {
            return;
        }
        let now = clock::now();
        let mut state = self.lock();
        let Peers { known, by_hash, .. } = &mut state.peers;
        let peer = known.entry(name.to_owned()).or_insert_with(|| {
            by_hash.insert(short_hash(name), name.to_owned());
            tracing::info!(instance = name, %news, "instance discovered");
            let hash = hash::stable(name.as_bytes());
            Peer {
                hash,
                news,
                found_at: now,
                last_heard: None,
                counts_as_live: false,
                avoided_until: Duration::ZERO,
                status: Status::default(),
                reported_at: Duration::ZERO,
                evidence_at: Duration::ZERO,
            }
        });
        peer.news = news;
    }

    /// Applies the status that an instance reports in its news.
    pub fn update_peer(&self, name: &str, news: SocketAddr, status: Status) {
        self.discover_peer(name, news);
        let now = clock::now();
        let catalog = status.catalog;
        let mut state = self.lock();
        state.peers.update(name, status, now);
        state.update_peer_loads(now);
        if !state.peers.to_greet.is_empty() {
            self.peers_to_greet.notify_one();
        }
        drop(state);
        self.record_newer_catalog_peer(news, catalog);
        // The instance that this one synchronizes with may be cut off from the store without
        // noticing yet, and report an old catalog as the one in force for seconds. The news
        // of any other instance with a newer catalog reveals that.
        self.record_catalog_version(catalog);
    }

    /// Returns the news addresses of all live instances.
    #[must_use]
    pub fn live_peers(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        self.lock().peers.known.values().filter(|peer| peer.is_live(now)).map(|peer| peer.news).collect()
    }

    /// Forgets an instance that has left.
    pub fn forget_peer(&self, name: &str) {
        self.lock().peers.forget(name);
    }

    /// Records that another instance, given by its news address, could not serve a forwarded
    /// request. News of the reason may take a while in a large fleet.
    pub fn avoid_instance(&self, news: SocketAddr) {
        let avoided_until = clock::now() + AVOIDANCE_PERIOD;
        let mut state = self.lock();
        for peer in state.peers.known.values_mut().filter(|peer| peer.news == news) {
            peer.avoided_until = avoided_until;
        }
    }

    /// Waits until another instance, given by its news address, counts as gone.
    pub async fn wait_until_gone(&self, news: SocketAddr) {
        let is_live = || {
            let now = clock::now();
            self.lock().peers.known.values().any(|peer| peer.news == news && peer.is_live(now))
        };
        while is_live() {
            tokio::time::sleep(LIVENESS_CHECK_INTERVAL).await;
        }
    }

    /// Whether another live and ready instance has fresh access keys.
    #[must_use]
    pub fn is_fresh_elsewhere(&self) -> bool {
        let now = clock::now();
        self.lock().peers.known.values().any(|peer| peer.is_live(now) && peer.status.fresh && peer.status.is_ready())
    }

    /// Whether this instance's name sorts before those of all other live and ready
    /// instances with fresh access keys.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        let now = clock::now();
        let state = self.lock();
        let mut others = state
            .peers
            .known
            .iter()
            .filter(|(_, peer)| peer.is_live(now) && peer.status.is_ready() && peer.status.fresh);
        others.all(|(name, _)| *name > self.settings.instance)
    }

    /// Applies an instance's roll-out reports, which are sent ahead of its news.
    pub fn apply_reports(&self, name: u32, reports: Vec<Report>) {
        let now = clock::now();
        let Peers { known, by_hash, .. } = &mut self.lock().peers;
        if let Some(peer) = by_hash.get(&name).and_then(|name| known.get_mut(name)) {
            peer.status.reports = reports;
            peer.evidence_at = now;
        }
    }
}
