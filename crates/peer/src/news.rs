//! News items, the filter for duplicates, and the rate limit of a link.

use std::{cmp::Ordering, collections::BTreeMap};

use bytes::Bytes;
use world::{
    Millis,
    instance::{Id, Incarnation},
};

#[cfg(test)]
mod tests;

/// Number of latest sequence numbers of an origin that are tracked one by one.
const WINDOW_LEN: u64 = 128;

/// One news item. The topic is a number here, because news of a topic unknown
/// to this build is relayed as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// Instance that published it.
    pub origin: Id,
    /// Run in which the origin published it.
    pub incarnation: Incarnation,
    /// Sequence number, starting at 1 in each run.
    pub sequence: u64,
    /// Number of the topic.
    pub topic: u32,
    /// Body, defined by the topic owner.
    pub body: Bytes,
    /// Number of links travelled so far.
    pub hops: u32,
    /// Whether receivers relay it.
    pub relay: bool,
    /// Time of the origin's hybrid logical clock; 0 if it has none.
    pub stamp: u64,
}

/// Unique identifier of a news item.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name {
    /// Instance that published it.
    pub origin: Id,
    /// Run in which the origin published it.
    pub incarnation: Incarnation,
    /// Sequence number, starting at 1 in each run.
    pub sequence: u64,
}

impl News {
    /// Returns the identifier of this item.
    #[must_use]
    pub fn name(&self) -> Name {
        Name { origin: self.origin.clone(), incarnation: self.incarnation, sequence: self.sequence }
    }
}

/// Set of news items already seen, as one small window per origin.
#[derive(Debug, Default)]
pub struct Seen {
    origins: BTreeMap<Id, Window>,
}

#[derive(Debug)]
struct Window {
    incarnation: Incarnation,
    highest: u64,
    /// Bit n is set if `highest - n` was seen.
    bits: u128,
}

impl Seen {
    /// Marks the item as seen and returns whether it was new. Items of an
    /// earlier run, and items older than the window, count as seen.
    pub fn insert(&mut self, name: &Name) -> bool {
        let new_window = || Window { incarnation: name.incarnation, highest: 0, bits: 0 };
        let window = self.origins.entry(name.origin.clone()).or_insert_with(new_window);
        if name.incarnation > window.incarnation {
            *window = new_window();
        }
        name.incarnation == window.incarnation && window.insert(name.sequence)
    }

    /// Returns whether the item counts as seen, without marking it.
    #[must_use]
    pub fn contains(&self, name: &Name) -> bool {
        self.origins.get(&name.origin).is_some_and(|window| match name.incarnation.cmp(&window.incarnation) {
            Ordering::Less => true,
            Ordering::Equal => window.contains(name.sequence),
            Ordering::Greater => false,
        })
    }

    /// Drops the windows of all origins for which `known` returns false.
    pub fn retain_origins(&mut self, known: impl Fn(&Id) -> bool) {
        self.origins.retain(|id, _| known(id));
    }
}

impl Window {
    fn contains(&self, sequence: u64) -> bool {
        let Some(distance) = self.highest.checked_sub(sequence) else { return false };
        distance >= WINDOW_LEN || self.bits & (1 << distance) != 0
    }

    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.bits = if shift < WINDOW_LEN { self.bits << shift } else { 0 };
            self.bits |= 1;
            self.highest = sequence;
            return true;
        }
        if self.contains(sequence) {
            return false;
        }
        self.bits |= 1 << (self.highest - sequence);
        true
    }
}

/// Limit of the news items per second accepted on a link.
///
/// Otherwise a peer that floods its link would be relayed to the whole fleet.
/// Items over the limit are dropped: the digests on heartbeats let topic
/// owners detect what they missed.
#[derive(Debug)]
pub struct RateLimit {
    rate: u32,
    remaining: u32,
    window_start: Millis,
}

impl RateLimit {
    /// Creates a limit of `rate` items per second.
    #[must_use]
    pub fn new(rate: u32, now: Millis) -> Self {
        Self { rate, remaining: rate, window_start: now }
    }

    /// Returns whether one more item is allowed, and counts it.
    pub fn take(&mut self, now: Millis) -> bool {
        if now.saturating_sub(self.window_start) >= 1_000 {
            self.remaining = self.rate;
            self.window_start = now;
        }
        let allowed = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        allowed
    }
}
