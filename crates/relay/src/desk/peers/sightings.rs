//! When other instances were heard, as they tell each other.
//!
//! A round of news takes seconds in a fleet of hundreds, so its own silence says
//! little of an instance. Each tells the others when it last heard some; what is told
//! on ages on the way, so that word of a lost instance keeps nobody alive for long.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{Peer, Peers, Phase};
use crate::{
    clock,
    desk::{Desk, fleet::short_hash},
};

/// Age up to which others are told when an instance was heard.
const HEARD_LATELY: Duration = Duration::from_millis(2_500);

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

impl Peers {
    /// Takes in when another instance has heard one: that keeps it alive here as
    /// well, and tells of its leaving, but replaces nothing of its word.
    pub(super) fn take_sighting(&mut self, sighting: Sighting, now: Duration) {
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
}

impl Desk {
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
}
