//! Other instances, as their news tells.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::{
    Desk,
    fleet::Load,
    track::{Rank, Watcher},
    trials::Report,
};
use crate::clock;

/// Pieces of news that must be missing before an instance is believed gone:
/// one may be lost, and the next one late.
const MISSING: u32 = 3;

/// Least silence after which an instance is believed gone.
const SILENT: Duration = Duration::from_millis(1_100);

/// Silence after which nobody looks for an instance any more.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// Time in which an instance that was found and is not heard yet is told with
/// each piece of news. Instances that live answer within two pieces; what the
/// store still lists of others is not worth more.
const GREETED: Duration = Duration::from_secs(2);

/// Other instances.
#[derive(Debug, Default)]
pub struct Peers {
    /// The failure domain of this instance.
    pub(super) domain: String,
    known: HashMap<String, Peer>,
    /// Where instances hear news that were heard for the first time, or again.
    greeted: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Peer {
    news: SocketAddr,
    found: Duration,
    heard: Option<Duration>,
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
    /// Number of instances heard from of late.
    #[must_use]
    pub fn live(&self, now: Duration) -> usize {
        self.known.values().filter(|peer| peer.live(now)).count()
    }

    /// Load that live instances put on an endpoint.
    pub(super) fn load(&self, endpoint: u32, now: Duration) -> Load {
        let loads = self.known.values().filter(|peer| peer.live(now)).filter_map(|p| p.word.loads.get(&endpoint));
        loads.fold(Load::default(), |sum, load| Load {
            runs: sum.runs + load.runs,
            backlog_ms: sum.backlog_ms + load.backlog_ms,
        })
    }

    /// Live instances that may watch the store, by rank: those whose own calls
    /// to it succeed, or any.
    pub(super) fn watchers(&self, now: Duration, in_touch: bool) -> Vec<Watcher> {
        // Not only ready ones: before an operator has written the first catalog
        // none is, and each of a whole fleet would watch the store by itself.
        let able =
            |peer: &Peer| peer.live(now) && peer.word.phase != Phase::Leaving && (peer.word.in_touch || !in_touch);
        let mut watchers: Vec<Watcher> = self
            .known
            .iter()
            .filter(|(_, peer)| able(peer))
            .map(|(name, peer)| Watcher {
                news: peer.news,
                rank: Rank::new(name, peer.word.is_narrow),
                near: peer.word.domain == self.domain,
            })
            .collect();
        watchers.sort_by_key(|watcher| watcher.rank);
        watchers
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
        let silent = SILENT.max(self.word.pause * MISSING);
        self.heard.is_some_and(|heard| now < heard + silent)
    }
}

impl Desk {
    /// Notes this instance's failure domain among its peers.
    pub fn settle_in(&self) {
        self.lock().peers.domain.clone_from(&self.settings.domain);
    }

    /// Notes where an instance hears news.
    pub fn meet(&self, name: &str, news: SocketAddr) {
        if name == self.settings.instance || news == self.settings.listeners.news {
            return;
        }
        let now = clock::now();
        let mut state = self.lock();
        let peer = state.peers.known.entry(name.to_owned()).or_insert_with(|| {
            tracing::info!(instance = name, %news, "instance found");
            Peer { news, found: now, heard: None, word: Word::default() }
        });
        peer.news = news;
    }

    /// Takes an instance's word in.
    pub fn hear(&self, name: &str, news: SocketAddr, word: Word) {
        self.meet(name, news);
        let now = clock::now();
        let mut state = self.lock();
        let Some(peer) = state.peers.known.get_mut(name) else { return };
        if word.run < peer.word.run {
            return;
        }
        if !peer.live(now) {
            tracing::info!(instance = name, "instance heard again");
            state.peers.greeted.push(news);
        }
        let Some(peer) = state.peers.known.get_mut(name) else { return };
        peer.heard = Some(now);
        let catalog = word.catalog;
        peer.word = word;
        state.settle_loads(now);
        drop(state);
        // The instance that keeps this one in step may itself be cut off from
        // the store and not know it yet: it goes on to prove an old catalog,
        // for seconds. Any other that has a newer one shows that by its news.
        self.note_newer(catalog);
    }

    /// Forgets an instance that has left.
    pub fn part(&self, name: &str) {
        self.lock().peers.known.remove(name);
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

    /// Where instances heard from of late hear news.
    #[must_use]
    pub fn live_audience(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        self.lock().peers.known.values().filter(|peer| peer.live(now)).map(|peer| peer.news).collect()
    }

    /// Where news has to go besides its round: to instances that were heard for
    /// the first time or again, and to those that were found and never heard.
    ///
    /// When a fleet of 74 starts, each hears of the others in part only, and a
    /// round takes 1.25 s: after two seconds most had not met those that should
    /// keep them in step, and watched the store by themselves.
    #[must_use]
    pub fn strangers(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let peers = &mut self.lock().peers;
        let mut strangers = std::mem::take(&mut peers.greeted);
        let unheard = peers.known.values().filter(|peer| peer.heard.is_none() && now < peer.found + GREETED);
        strangers.extend(unheard.map(|peer| peer.news));
        strangers
    }

    /// Where to send news, with each instance's name.
    #[must_use]
    pub fn audience(&self) -> Vec<(String, SocketAddr)> {
        let now = clock::now();
        let mut state = self.lock();
        state.peers.known.retain(|_, peer| now < peer.heard.unwrap_or(peer.found) + FORGOTTEN);
        state.peers.known.iter().map(|(name, peer)| (name.clone(), peer.news)).collect()
    }

    /// Where callers may go: every instance that says it is ready, those with
    /// fresh keys if there are any, and this one if nothing better is known.
    #[must_use]
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let (me_ready, me_fresh) = (self.ready(), self.fresh());
        let state = self.lock();
        let live = state.peers.known.values().filter(|peer| peer.live(now) && peer.word.ready());
        let mut all: Vec<(bool, SocketAddr)> =
            live.filter_map(|peer| Some((peer.word.fresh, peer.word.front?))).collect();
        if me_ready {
            all.push((me_fresh, self.settings.listeners.front));
        }
        if all.iter().any(|(fresh, _)| *fresh) {
            all.retain(|(fresh, _)| *fresh);
        }
        let mut fronts: Vec<SocketAddr> = all.into_iter().map(|(_, front)| front).collect();
        fronts.sort_unstable();
        fronts.truncate(MOST_ADDRESSES);
        fronts
    }
}

/// Most addresses in an answer to callers.
const MOST_ADDRESSES: usize = 64;
