//! Other instances, as their news tells.

mod audience;
mod fronts;
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
    audience::{Audience, Part, Turn},
    fronts::Asking,
    sightings::Sighting,
};
use super::{
    Desk, State,
    fleet::{Load, short_hash},
    trials::Report,
    watchers::{Rank, Watcher},
};
use crate::{clock, settings::Cores};

/// Pieces of news that must be missing before an instance is believed gone:
/// one may be lost, and the next one late.
const MISSING: u32 = 3;

/// Least silence after which an instance is believed gone.
const SILENT: Duration = Duration::from_millis(1_100);

/// Silence after which an instance is believed gone in a fleet where a round of news
/// takes longer: others tell when they last heard it.
const SILENT_TO_ALL: Duration = Duration::from_secs(4);

/// Silence after which nobody looks for an instance any more.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// Other instances.
#[derive(Debug, Default)]
pub struct Peers {
    /// Hash of this instance's name.
    pub(super) me: u64,
    /// The failure domain of this instance.
    pub(super) domain: String,
    known: BTreeMap<String, Peer>,
    /// Names by their hash in sightings.
    by_hash: HashMap<u32, String>,
    /// Where instances hear news that were heard for the first time, or again.
    greeted: Vec<SocketAddr>,
    /// Loads of those that count as live.
    sums: Sums,
    /// How many count as live.
    live: usize,
    /// None of these falls silent before.
    next_silence: Duration,
    /// Where notices go instead of to all, if the fleet is too large for that.
    relays: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Peer {
    /// Hash of its name.
    hash: u64,
    news: SocketAddr,
    found: Duration,
    heard: Option<Duration>,
    /// Whether it counts as live; [`Peers::settle`] keeps this in step.
    counts: bool,
    word: Word,
}

/// Where an instance stands between its start and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// It cannot serve callers yet.
    #[default]
    Starting,
    /// Callers should come to it.
    Ready,
    /// It is about to end.
    Leaving,
}

/// What an instance says of itself.
#[derive(Debug, Clone, Default)]
pub struct Word {
    /// Where callers reach it.
    pub front: Option<SocketAddr>,
    /// Its start; a later one replaces what an earlier one said.
    pub run: u64,
    /// Where it stands between its start and its end.
    pub phase: Phase,
    /// Whether its knowledge of access keys is fresh.
    pub fresh: bool,
    /// Failure domain it stands in.
    pub domain: String,
    /// Whether its own calls to the store succeed.
    pub in_touch: bool,
    /// Whether the catalog takes long to come in there.
    pub is_narrow: bool,
    /// Processor it has.
    pub cores: Cores,
    /// Longest time until its next piece of news.
    pub pause: Duration,
    /// Loads it puts on endpoints, by the hash of their names.
    pub loads: HashMap<u32, Load>,
    /// Sessions that were on an old version there a moment ago.
    pub sessions: Vec<u64>,
    /// Roll-outs as it knows them.
    pub reports: Vec<Report>,
    /// Version of its catalog; 0 before it has one.
    pub catalog: u64,
}

impl Word {
    fn ready(&self) -> bool {
        self.phase == Phase::Ready
    }
}

impl Peers {
    /// Lets instances that have fallen silent count no longer.
    ///
    /// Looks at all of them only when one may have: a word moves its instance's
    /// own silence on, so that comes about once a round of news.
    fn settle(&mut self, now: Duration) {
        if now < self.next_silence {
            return;
        }
        self.next_silence = Duration::MAX;
        for peer in self.known.values_mut().filter(|peer| peer.counts) {
            if peer.live(now) {
                self.next_silence = self.next_silence.min(peer.silent_at());
                continue;
            }
            peer.counts = false;
            self.live -= 1;
            self.sums.take_away(&peer.word.loads);
        }
    }

    /// Takes an instance's word in.
    fn take(&mut self, name: &str, word: Word, now: Duration) {
        self.settle(now);
        let Some(peer) = self.known.get_mut(name) else { return };
        // A start that looks older counts once the one before it is silent: the clock
        // that tells them apart may have been set back.
        if peer.counts && word.run < peer.word.run {
            return;
        }
        if peer.counts {
            self.sums.take_away(&peer.word.loads);
        } else {
            tracing::info!(instance = name, "instance heard again");
            self.greeted.push(peer.news);
            peer.counts = true;
            self.live += 1;
        }
        peer.heard = Some(now);
        peer.word = word;
        self.sums.add(&peer.word.loads);
        self.next_silence = self.next_silence.min(peer.silent_at());
    }

    /// Forgets instances that have been silent for long. They do not count any more,
    /// so nothing has to be taken away.
    fn forget_long_gone(&mut self, now: Duration) {
        let before = self.known.len();
        self.known.retain(|_, peer| peer.counts || now < peer.heard.unwrap_or(peer.found) + FORGOTTEN);
        if self.known.len() < before {
            self.by_hash.retain(|_, name| self.known.contains_key(name));
        }
    }

    /// Forgets an instance.
    fn forget(&mut self, name: &str) {
        let Some(peer) = self.known.remove(name) else { return };
        self.by_hash.remove(&short_hash(name));
        if peer.counts {
            self.live -= 1;
            self.sums.take_away(&peer.word.loads);
        }
    }

    /// Load that live instances put on an endpoint, as of the last word or look.
    pub(super) fn load(&self, endpoint: u32) -> Load {
        self.sums.of(endpoint)
    }

    /// Hashes of the names of the other instances that serve callers.
    pub(super) fn serving(&self, now: Duration) -> impl Iterator<Item = u64> {
        self.known.values().filter(move |peer| peer.live(now) && peer.word.ready()).map(|peer| peer.hash)
    }

    /// Live instances that may watch the store: those whose own calls to it
    /// succeed, or any.
    pub(super) fn watchers(&self, now: Duration, in_touch: bool) -> impl Iterator<Item = Watcher> {
        // Not only ready ones: before an operator has written the first catalog
        // none is, and each of a whole fleet would watch the store by itself.
        let able = move |peer: &&Peer| {
            peer.live(now) && peer.word.phase != Phase::Leaving && (peer.word.in_touch || !in_touch)
        };
        self.known.values().filter(able).map(|peer| Watcher {
            news: peer.news,
            rank: Rank::new(peer.word.is_narrow, peer.word.cores, peer.hash),
            near: peer.word.domain == self.domain,
        })
    }

    /// Whether a session was on an old version at another instance a moment ago.
    pub(super) fn settled(&self, session: u64, now: Duration, lasts: Duration) -> bool {
        let told = |peer: &Peer| peer.heard.is_some_and(|heard| now < heard + lasts);
        self.known.values().any(|peer| told(peer) && peer.word.sessions.contains(&session))
    }

    /// What instances, gone ones too, say of a roll-out.
    pub(super) fn reports(&self, order: u32) -> impl Iterator<Item = &Report> {
        self.known.values().flat_map(|peer| &peer.word.reports).filter(move |report| report.order == order)
    }
}

impl Peer {
    fn live(&self, now: Duration) -> bool {
        now < self.silent_at()
    }

    /// When it counts as gone unless it is heard before.
    fn silent_at(&self) -> Duration {
        let silent = SILENT.max((self.word.pause * MISSING).min(SILENT_TO_ALL));
        self.heard.map_or(Duration::ZERO, |heard| heard + silent)
    }
}

impl State {
    /// Brings loads of other instances in step with what was heard and who has
    /// fallen silent; the number of those that live.
    pub(super) fn settle_peers(&mut self, now: Duration) -> usize {
        self.peers.settle(now);
        for endpoint in self.peers.sums.take_changed() {
            self.fleet.bear(endpoint, self.peers.sums.of(endpoint));
        }
        self.peers.live
    }
}

impl Desk {
    /// Notes who this instance is among its peers, and its failure domain.
    pub fn settle_in(&self) {
        let peers = &mut self.lock().peers;
        peers.me = hash::stable(self.settings.instance.as_bytes());
        peers.domain.clone_from(&self.settings.domain);
    }

    /// Notes where an instance hears news.
    pub fn meet(&self, name: &str, news: SocketAddr) {
        if name == self.settings.instance || news == self.settings.listeners.news {
            return;
        }
        let now = clock::now();
        let mut state = self.lock();
        let Peers { known, by_hash, .. } = &mut state.peers;
        let peer = known.entry(name.to_owned()).or_insert_with(|| {
            by_hash.insert(short_hash(name), name.to_owned());
            tracing::info!(instance = name, %news, "instance found");
            let hash = hash::stable(name.as_bytes());
            Peer { hash, news, found: now, heard: None, counts: false, word: Word::default() }
        });
        peer.news = news;
    }

    /// Takes an instance's word in.
    pub fn hear(&self, name: &str, news: SocketAddr, word: Word) {
        self.meet(name, news);
        let now = clock::now();
        let catalog = word.catalog;
        let mut state = self.lock();
        state.peers.take(name, word, now);
        state.settle_peers(now);
        if !state.peers.greeted.is_empty() {
            self.greeting.notify_one();
        }
        drop(state);
        self.note_teller(news, catalog);
        // The instance that keeps this one in step may itself be cut off from
        // the store and not know it yet: it goes on to prove an old catalog,
        // for seconds. Any other that has a newer one shows that by its news.
        self.note_newer(catalog);
    }

    /// Forgets an instance that has left.
    pub fn part(&self, name: &str) {
        self.lock().peers.forget(name);
    }

    /// Whether another instance's knowledge of access keys is fresh.
    #[must_use]
    pub fn fresh_elsewhere(&self) -> bool {
        let now = clock::now();
        self.lock().peers.known.values().any(|peer| peer.live(now) && peer.word.fresh && peer.word.ready())
    }

    /// Whether this instance's name comes first among the live and ready ones
    /// that are in touch with the store.
    #[must_use]
    pub fn leads(&self) -> bool {
        let now = clock::now();
        let state = self.lock();
        let mut others =
            state.peers.known.iter().filter(|(_, peer)| peer.live(now) && peer.word.ready() && peer.word.fresh);
        others.all(|(name, _)| *name > self.settings.instance)
    }

    /// Takes an instance's evidence on roll-outs in, ahead of its news.
    pub fn take_reports(&self, name: u32, reports: Vec<Report>) {
        let Peers { known, by_hash, .. } = &mut self.lock().peers;
        if let Some(peer) = by_hash.get(&name).and_then(|name| known.get_mut(name)) {
            peer.word.reports = reports;
        }
    }
}
