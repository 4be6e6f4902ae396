//! Selects the recipients of messages: news goes to instances in turn, notices of long
//! prompts go out at once.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::seq::IteratorRandom;
use world::hash;

use super::{Peer, Peers, Phase};
use crate::{clock, dispatcher::Dispatcher, settings::Cores};

/// Time for which a newly discovered instance that has not sent news yet receives every
/// news message. Live instances answer by the second one; others are stale entries of
/// the store.
const GREETING_PERIOD: Duration = Duration::from_secs(2);

/// Number of other live instances up to which all are sent everything directly. With more,
/// relays forward notices of long prompts in batches. That takes a tenth of the datagrams but
/// delays notices by a batch, and other failure domains receive only news that does not
/// become outdated within a round.
const MAX_DIRECT_RECIPIENTS: usize = 64;

/// Recipients of the next news messages.
#[derive(Debug, Clone, Default)]
pub struct NewsRecipients {
    /// Recipients among all instances; in a large fleet, among those in this
    /// instance's failure domain.
    pub near: Recipients,
    /// Recipients in other failure domains of a large fleet. They receive no loads: those
    /// would be outdated long before the next update, and bytes between failure domains are
    /// billed.
    pub far: Recipients,
}

/// A part of a set of instances, for one turn.
#[derive(Debug, Clone, Default)]
pub struct Recipients {
    /// Their news addresses.
    pub news: Vec<SocketAddr>,
    /// Number of turns until all instances of the set have been recipients once.
    pub turns: usize,
}

impl Recipients {
    /// Selects the recipients of a turn, at most `max`.
    fn of<'a>(peers: impl Iterator<Item = &'a Peer> + Clone, turn: usize, max: usize) -> Self {
        let turns = peers.clone().count().div_ceil(max).max(1);
        Self { news: peers.skip(turn % turns).step_by(turns).map(|peer| peer.news).collect(), turns }
    }
}

/// Recipients of a notice of a long prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NoticeRecipients {
    /// Every live instance.
    All(Vec<SocketAddr>),
    /// One instance for each failure domain, which forwards the notice to the others there.
    /// This instance may be among them.
    Relays(Vec<SocketAddr>),
}

/// An instance that may forward notices in its failure domain. The greatest one in the order
/// of the fields does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Relay {
    cores: Cores,
    hash: u64,
    news: SocketAddr,
}

impl Peers {
    /// Returns the number of instances that a notice is sent to: all live ones, or one relay
    /// for each failure domain.
    pub(in crate::dispatcher) fn fanout(&self) -> usize {
        if self.relays.is_empty() { self.live_count } else { self.relays.len() }
    }

    /// Chooses the relays from this instance and the live ones: in each failure domain the
    /// one with the most processor cores.
    fn choose_relays(&mut self, me: Relay, now: Duration) {
        self.relays.clear();
        if self.live_count <= MAX_DIRECT_RECIPIENTS {
            return;
        }
        let mut relays: BTreeMap<&str, Relay> = BTreeMap::from([(self.domain.as_str(), me)]);
        let may_relay = |peer: &&Peer| peer.is_live(now) && peer.status.phase != Phase::Leaving;
        for peer in self.known.values().filter(may_relay) {
            let other = Relay { cores: peer.status.cores, hash: peer.hash, news: peer.news };
            let relay = relays.entry(&peer.status.domain).or_insert(other);
            *relay = (*relay).max(other);
        }
        self.relays.extend(relays.values().map(|relay| relay.news));
    }
}

impl Dispatcher {
    /// Returns the recipients of a notice of a long prompt.
    #[must_use]
    pub fn notice_recipients(&self) -> NoticeRecipients {
        let now = clock::now();
        let state = self.lock();
        if !state.peers.relays.is_empty() {
            return NoticeRecipients::Relays(state.peers.relays.clone());
        }
        NoticeRecipients::All(
            state.peers.known.values().filter(|peer| peer.is_live(now)).map(|peer| peer.news).collect(),
        )
    }

    /// Returns the news addresses of the live instances in this one's failure domain.
    #[must_use]
    pub fn live_peers_in_domain(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.lock();
        let near = |peer: &&Peer| peer.is_live(now) && peer.status.domain == self.settings.domain;
        state.peers.known.values().filter(near).map(|peer| peer.news).collect()
    }

    /// Waits until an instance becomes alive, for the first time or again.
    pub async fn wait_for_new_peers(&self) {
        self.peers_to_greet.notified().await;
    }

    /// Takes the news addresses of the instances that became alive since the last call.
    #[must_use]
    pub fn take_new_peers(&self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.lock().peers.to_greet)
    }

    /// Takes the addresses that must receive news in addition to the round: instances that
    /// became alive, for the first time or again, and newly discovered ones that have
    /// not sent news yet.
    ///
    /// When a fleet of 74 starts, each instance learns of only some of the others, and a
    /// round takes 1.25 s. With rounds alone, after two seconds most instances did not
    /// know those that watch the store for them, and watched it themselves.
    #[must_use]
    pub fn take_extra_recipients(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let peers = &mut self.lock().peers;
        let mut recipients = std::mem::take(&mut peers.to_greet);
        let silent =
            peers.known.values().filter(|peer| peer.last_heard.is_none() && now < peer.found_at + GREETING_PERIOD);
        recipients.extend(silent.map(|peer| peer.news));
        recipients
    }

    /// Returns the recipients of the next news messages, at most `max`: parts of the known
    /// instances that change with each turn.
    #[must_use]
    pub fn news_recipients(&self, turn: usize, max: usize) -> NewsRecipients {
        let now = clock::now();
        let me = Relay {
            cores: self.settings.cores,
            hash: hash::stable(self.settings.instance.as_bytes()),
            news: self.settings.listeners.news,
        };
        let peers = &mut self.lock().peers;
        peers.forget_long_silent(now);
        peers.choose_relays(me, now);
        if peers.live_count <= MAX_DIRECT_RECIPIENTS {
            return NewsRecipients {
                near: Recipients::of(peers.known.values(), turn, max),
                far: Recipients::default(),
            };
        }
        let is_near = |peer: &&Peer| peer.status.domain == peers.domain;
        let near = Recipients::of(peers.known.values().filter(is_near), turn, max / 2);
        let far = Recipients::of(peers.known.values().filter(|peer| !is_near(peer)), turn, max / 2);
        NewsRecipients { near, far }
    }

    /// Returns up to `max` instances drawn at random, each with its news address.
    #[must_use]
    pub fn sample_peers(&self, max: usize) -> Vec<(String, SocketAddr)> {
        let state = self.lock();
        let drawn = state.peers.known.iter().choose_multiple(&mut rand::rng(), max);
        drawn.into_iter().map(|(name, peer)| (name.clone(), peer.news)).collect()
    }
}
