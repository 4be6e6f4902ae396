//! Other instances, as their news tells.

mod sums;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use rand::seq::IteratorRandom;
use route::relay::fronts;
use world::hash;

use self::sums::Sums;
use super::{
    Desk, State,
    fleet::{Load, short_hash},
    track::{Rank, Watcher},
    trials::Report,
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

/// Age up to which others are told when an instance was heard.
const HEARD_LATELY: Duration = Duration::from_millis(2_500);

/// Silence after which nobody looks for an instance any more.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// Time in which an instance that was found and is not heard yet is told with
/// each piece of news. Instances that live answer within two pieces; what the
/// store still lists of others is not worth more.
const GREETED: Duration = Duration::from_secs(2);

/// Other instances up to which each is told everything directly. With more, relays
/// pass notices of long prompts on, a tenth of the datagrams for a batch's delay, and
/// other failure domains hear only what does not age within a round of news.
const TOLD_DIRECTLY: usize = 96;

/// Other instances.
#[derive(Debug, Default)]
pub struct Peers {
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

    /// Takes in when another instance has heard one: that keeps it alive here as
    /// well, and tells of its leaving, but replaces nothing of its word.
    fn take_sighting(&mut self, sighting: Sighting, now: Duration) {
        let Some(peer) = self.by_hash.get(&sighting.name).and_then(|name| self.known.get_mut(name)) else { return };
        let at = now.saturating_sub(sighting.age);
        // One that was never heard, or not of late, has to say itself what it is.
        if !peer.counts || peer.heard.is_none_or(|heard| at <= heard) {
            return;
        }
        peer.heard = Some(at);
        if sighting.leaves {
            peer.word.phase = Phase::Leaving;
        }
    }

    /// Instances drawn at random of those heard of late.
    fn sightings(&self, most: usize, now: Duration) -> Vec<Sighting> {
        let lately = |(name, peer): (&String, &Peer)| {
            let age = now.saturating_sub(peer.heard?);
            let leaves = peer.word.phase == Phase::Leaving;
            (age < HEARD_LATELY).then(|| Sighting { name: short_hash(name), age, leaves })
        };
        self.known.iter().filter_map(lately).choose_multiple(&mut rand::rng(), most)
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

    /// Instances that a notice goes to: all that live, or a relay a failure domain.
    pub(super) fn fanout(&self) -> usize {
        if self.relays.is_empty() { self.live } else { self.relays.len() }
    }

    /// Chooses the relays anew, from this instance and those that live: in each
    /// failure domain the one with the most processor.
    fn choose_relays(&mut self, me: Relay, now: Duration) {
        self.relays.clear();
        if self.live <= TOLD_DIRECTLY {
            return;
        }
        let mut relays: BTreeMap<&str, Relay> = BTreeMap::from([(self.domain.as_str(), me)]);
        let stays = |peer: &&Peer| peer.live(now) && peer.word.phase != Phase::Leaving;
        for peer in self.known.values().filter(stays) {
            let other = Relay { cores: peer.word.cores, hash: peer.hash, news: peer.news };
            let relay = relays.entry(&peer.word.domain).or_insert(other);
            *relay = (*relay).max(other);
        }
        self.relays.extend(relays.values().map(|relay| relay.news));
    }

    /// Load that live instances put on an endpoint, as of the last word or look.
    pub(super) fn load(&self, endpoint: u32) -> Load {
        self.sums.of(endpoint)
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

    /// Whom to tell of a long prompt.
    #[must_use]
    pub fn notice_audience(&self) -> Audience {
        let now = clock::now();
        let state = self.lock();
        if !state.peers.relays.is_empty() {
            return Audience::Relays(state.peers.relays.clone());
        }
        Audience::All(state.peers.known.values().filter(|peer| peer.live(now)).map(|peer| peer.news).collect())
    }

    /// Live instances of this one's failure domain.
    #[must_use]
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.lock();
        let near = |peer: &&Peer| peer.live(now) && peer.word.domain == self.settings.domain;
        state.peers.known.values().filter(near).map(|peer| peer.news).collect()
    }

    /// Waits until an instance is heard for the first time, or again.
    pub async fn greetings(&self) {
        self.greeting.notified().await;
    }

    /// Where those instances hear news.
    #[must_use]
    pub fn greeted(&self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.lock().peers.greeted)
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

    /// Where to send the next pieces of news, at most so many: to parts of the known
    /// instances that move on with each turn.
    #[must_use]
    pub fn audience(&self, turn: usize, most: usize) -> Turn {
        let now = clock::now();
        let me = Relay {
            cores: self.settings.cores,
            hash: hash::stable(self.settings.instance.as_bytes()),
            news: self.settings.listeners.news,
        };
        let peers = &mut self.lock().peers;
        peers.forget_long_gone(now);
        peers.choose_relays(me, now);
        if peers.live <= TOLD_DIRECTLY {
            return Turn { near: Part::of(peers.known.values(), turn, most), far: Part::default() };
        }
        let is_near = |peer: &&Peer| peer.word.domain == peers.domain;
        let near = Part::of(peers.known.values().filter(is_near), turn, most / 2);
        let far = Part::of(peers.known.values().filter(|peer| !is_near(peer)), turn, most / 2);
        Turn { near, far }
    }

    /// Takes an instance's evidence on roll-outs in, ahead of its news.
    pub fn take_reports(&self, name: u32, reports: Vec<Report>) {
        let Peers { known, by_hash, .. } = &mut self.lock().peers;
        if let Some(peer) = by_hash.get(&name).and_then(|name| known.get_mut(name)) {
            peer.word.reports = reports;
        }
    }

    /// Takes in when another instance has heard others.
    pub fn take_sightings(&self, sightings: impl IntoIterator<Item = Sighting>) {
        let now = clock::now();
        let mut state = self.lock();
        for sighting in sightings {
            state.peers.take_sighting(sighting, now);
        }
    }

    /// When some instances were heard, for news.
    #[must_use]
    pub fn sightings(&self, most: usize) -> Vec<Sighting> {
        self.lock().peers.sightings(most, clock::now())
    }

    /// Some instances drawn at random, each with where it hears news.
    #[must_use]
    pub fn some_peers(&self, most: usize) -> Vec<(String, SocketAddr)> {
        let state = self.lock();
        let drawn = state.peers.known.iter().choose_multiple(&mut rand::rng(), most);
        drawn.into_iter().map(|(name, peer)| (name.clone(), peer.news)).collect()
    }

    /// Where a caller may go: instances that say they are ready, those with fresh
    /// keys if there are any, and this one if nothing better is known; of many,
    /// those that [`fronts::choose`] picks for the caller.
    #[must_use]
    pub fn fronts(&self, asking: &Asking) -> Vec<SocketAddr> {
        let now = clock::now();
        let (me_ready, me_fresh) = (self.ready(), self.fresh());
        let state = self.lock();
        let mut all: Vec<Front<'_>> = state
            .peers
            .known
            .values()
            .filter(|peer| peer.live(now) && peer.word.ready())
            .filter_map(Front::of)
            .collect();
        if me_ready {
            let me = fronts::Candidate {
                hash: hash::stable(self.settings.instance.as_bytes()),
                domain: &self.settings.domain,
                cores: self.settings.cores.get(),
            };
            all.push(Front { address: self.settings.listeners.front, is_fresh: me_fresh, candidate: me });
        }
        if all.iter().any(|front| front.is_fresh) {
            all.retain(|front| front.is_fresh);
        }
        let candidates: Vec<fronts::Candidate<'_>> = all.iter().map(|front| front.candidate).collect();
        let chosen = fronts::choose(&candidates, asking.caller(), MOST_ADDRESSES);
        let mut addresses: Vec<SocketAddr> = chosen.into_iter().map(|index| all[index].address).collect();
        addresses.sort_unstable();
        addresses
    }
}

/// Where the next pieces of news go.
#[derive(Debug, Clone, Default)]
pub struct Turn {
    /// All instances in turn; in a large fleet, those of the own failure domain.
    pub near: Part,
    /// In a large fleet the others. What they hear of loads would be old before they
    /// hear it again, and bytes between failure domains are paid for.
    pub far: Part,
}

/// Some of many instances.
#[derive(Debug, Clone, Default)]
pub struct Part {
    /// Where they hear news.
    pub news: Vec<SocketAddr>,
    /// Turns until all of the many have had one.
    pub rounds: usize,
}

impl Part {
    fn of<'a>(peers: impl Iterator<Item = &'a Peer> + Clone, turn: usize, most: usize) -> Self {
        let rounds = peers.clone().count().div_ceil(most).max(1);
        Self { news: peers.skip(turn % rounds).step_by(rounds).map(|peer| peer.news).collect(), rounds }
    }
}

/// When an instance was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sighting {
    /// Hash of its name.
    pub name: u32,
    /// How long ago that was.
    pub age: Duration,
    /// Whether it has said that it leaves.
    pub leaves: bool,
}

/// Whom to tell of a long prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Audience {
    /// Every instance.
    All(Vec<SocketAddr>),
    /// One instance a failure domain, which tells its neighbours; this one may be
    /// among them.
    Relays(Vec<SocketAddr>),
}

/// An instance that may pass notices on in its failure domain; the largest does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Relay {
    cores: Cores,
    hash: u64,
    news: SocketAddr,
}

/// Who asks where to go.
#[derive(Debug, Clone, Default)]
pub struct Asking {
    /// Its failure domain, if it says.
    pub domain: Option<String>,
    /// Where it asks from.
    pub from: Option<IpAddr>,
}

impl Asking {
    fn caller(&self) -> fronts::Caller<'_> {
        let domain = self.domain.as_deref();
        let from = self.from.map(|from| from.to_string()).unwrap_or_default();
        let key = hash::stable(domain.unwrap_or_default().as_bytes());
        fronts::Caller { domain, hash: hash::rendezvous(key, from.as_bytes()) }
    }
}

/// An instance that callers may be told of.
struct Front<'a> {
    address: SocketAddr,
    is_fresh: bool,
    candidate: fronts::Candidate<'a>,
}

impl<'a> Front<'a> {
    fn of(peer: &'a Peer) -> Option<Self> {
        let candidate = fronts::Candidate { hash: peer.hash, domain: &peer.word.domain, cores: peer.word.cores.get() };
        Some(Self { address: peer.word.front?, is_fresh: peer.word.fresh, candidate })
    }
}

/// Most addresses in an answer to callers.
const MOST_ADDRESSES: usize = 64;
