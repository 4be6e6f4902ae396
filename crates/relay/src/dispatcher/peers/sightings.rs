//! Reports of when other instances were last heard from, exchanged between instances.
//!
//! A round of news takes seconds in a fleet of hundreds, so an instance's own silence
//! says little about it. Each instance therefore reports when it last received news from
//! some others. A report carries its age when it is forwarded, so it does not keep a lost
//! instance alive for long.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{Peer, Peers, Phase};
use crate::{
    clock,
    dispatcher::{Dispatcher, fleet::short_hash},
};

/// Age up to which sightings are sent to others.
const MAX_SENT_AGE: Duration = Duration::from_millis(2_500);

/// Reports when an instance was last heard from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sighting {
    /// Hash of its name.
    pub name: u32,
    /// How long ago that was.
    pub age: Duration,
    /// Whether it has announced that it leaves.
    pub leaves: bool,
}

impl Peers {
    /// Applies a sighting by another instance. It extends the life of the seen instance and
    /// reports its leaving, but changes nothing else of its status.
    pub(super) fn apply_sighting(&mut self, sighting: Sighting, now: Duration) {
        let Some(peer) = self.by_hash.get(&sighting.name).and_then(|name| self.known.get_mut(name)) else { return };
        let at = now.saturating_sub(sighting.age);
        // An instance that does not count as alive has to report its status itself.
        if !peer.counts_as_live || peer.last_heard.is_none_or(|last_heard| at <= last_heard) {
            return;
        }
        peer.last_heard = Some(at);
        if sighting.leaves {
            peer.status.phase = Phase::Leaving;
        }
    }

    /// Returns up to `max` recent sightings, drawn at random.
    fn recent_sightings(&self, max: usize, now: Duration) -> Vec<Sighting> {
        let recent = |(name, peer): (&String, &Peer)| {
            let age = now.saturating_sub(peer.last_heard?);
            let leaves = peer.status.phase == Phase::Leaving;
            (age < MAX_SENT_AGE).then(|| Sighting { name: short_hash(name), age, leaves })
        };
        self.known.iter().filter_map(recent).choose_multiple(&mut rand::rng(), max)
    }
}

impl Dispatcher {
    /// Applies sightings by another instance.
    pub fn apply_sightings(&self, sightings: impl IntoIterator<Item = Sighting>) {
        let now = clock::now();
        let mut state = self.lock();
        for sighting in sightings {
            state.peers.apply_sighting(sighting, now);
        }
    }

    /// Returns up to `max` recent sightings, drawn at random, to send with news.
    #[must_use]
    pub fn recent_sightings(&self, max: usize) -> Vec<Sighting> {
        self.lock().peers.recent_sightings(max, clock::now())
    }
}
