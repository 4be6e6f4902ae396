//! News: numbered by its origin, told apart from what has been seen.

use std::{cmp::Ordering, collections::BTreeMap};

use bytes::Bytes;
use world::{
    Millis,
    instance::{Id, Incarnation},
};

#[cfg(test)]
mod tests;

/// Numbers below an origin's highest that are still told apart.
const WINDOW: u64 = 128;

/// One piece of news on its way. The topic is a number here, because news of
/// an unknown topic is passed on as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// Who published it.
    pub origin: Id,
    /// In which run.
    pub incarnation: Incarnation,
    /// From 1 in each run.
    pub sequence: u64,
    /// What it is about.
    pub topic: u32,
    /// Its owner's bytes.
    pub body: Bytes,
    /// Links travelled.
    pub hops: u32,
    /// Whether receivers pass it on.
    pub relay: bool,
    /// The origin's clock; 0 for none.
    pub stamp: u64,
}

/// What tells one piece of news from all others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name {
    /// Who published it.
    pub origin: Id,
    /// In which run.
    pub incarnation: Incarnation,
    /// From 1 in each run.
    pub sequence: u64,
}

impl News {
    /// Its name.
    #[must_use]
    pub fn name(&self) -> Name {
        Name { origin: self.origin.clone(), incarnation: self.incarnation, sequence: self.sequence }
    }
}

/// Which news has been seen, one small window per origin.
#[derive(Debug, Default)]
pub struct Seen {
    origins: BTreeMap<Id, Window>,
}

#[derive(Debug)]
struct Window {
    incarnation: Incarnation,
    highest: u64,
    /// Bit n: `highest - n` was seen.
    bits: u128,
}

impl Seen {
    /// Whether the news is new, which it is once only. News of an earlier run,
    /// and news older than the window, counts as seen.
    pub fn is_new(&mut self, name: &Name) -> bool {
        let fresh = || Window { incarnation: name.incarnation, highest: 0, bits: 0 };
        let window = self.origins.entry(name.origin.clone()).or_insert_with(fresh);
        if name.incarnation > window.incarnation {
            *window = fresh();
        }
        name.incarnation == window.incarnation && window.add(name.sequence)
    }

    /// Whether it counts as seen, without seeing it.
    #[must_use]
    pub fn has(&self, name: &Name) -> bool {
        self.origins.get(&name.origin).is_some_and(|window| match name.incarnation.cmp(&window.incarnation) {
            Ordering::Less => true,
            Ordering::Equal => window.has(name.sequence),
            Ordering::Greater => false,
        })
    }

    /// Drops the windows of all but these origins.
    pub fn keep(&mut self, known: impl Fn(&Id) -> bool) {
        self.origins.retain(|id, _| known(id));
    }
}

impl Window {
    fn has(&self, sequence: u64) -> bool {
        let Some(back) = self.highest.checked_sub(sequence) else { return false };
        back >= WINDOW || self.bits & (1 << back) != 0
    }

    fn add(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let step = sequence - self.highest;
            self.bits = if step < WINDOW { self.bits << step } else { 0 };
            self.bits |= 1;
            self.highest = sequence;
            return true;
        }
        if self.has(sequence) {
            return false;
        }
        self.bits |= 1 << (self.highest - sequence);
        true
    }
}

/// News that a link may still bring in this second.
///
/// A flooding peer would otherwise be relayed to the whole fleet. What is over
/// is dropped: the digests on heartbeats tell owners what they missed.
#[derive(Debug)]
pub struct Allowance {
    rate: u32,
    left: u32,
    since: Millis,
}

impl Allowance {
    /// `rate` pieces a second.
    #[must_use]
    pub fn new(rate: u32, now: Millis) -> Self {
        Self { rate, left: rate, since: now }
    }

    /// Takes one, if there is one.
    pub fn take(&mut self, now: Millis) -> bool {
        if now.saturating_sub(self.since) >= 1_000 {
            self.left = self.rate;
            self.since = now;
        }
        let allowed = self.left > 0;
        self.left = self.left.saturating_sub(1);
        allowed
    }
}
