//! Who is told of what: news in turn, and long prompts at once.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::seq::IteratorRandom;
use world::hash;

use super::{Peer, Peers, Phase};
use crate::{clock, desk::Desk, settings::Cores};

/// Time in which an instance that was found and is not heard yet is told with
/// each piece of news. Instances that live answer within two pieces; what the
/// store still lists of others is not worth more.
const GREETED: Duration = Duration::from_secs(2);

/// Other instances up to which each is told everything directly. With more, relays
/// pass notices of long prompts on, a tenth of the datagrams for a batch's delay, and
/// other failure domains hear only what does not age within a round of news.
const TOLD_DIRECTLY: usize = 96;

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

impl Peers {
    /// Instances that a notice goes to: all that live, or a relay a failure domain.
    pub(in crate::desk) fn fanout(&self) -> usize {
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
}

impl Desk {
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

    /// Some instances drawn at random, each with where it hears news.
    #[must_use]
    pub fn some_peers(&self, most: usize) -> Vec<(String, SocketAddr)> {
        let state = self.lock();
        let drawn = state.peers.known.iter().choose_multiple(&mut rand::rng(), most);
        drawn.into_iter().map(|(name, peer)| (name.clone(), peer.news)).collect()
    }
}
