//! How long access keys may be believed.
//!
//! A key that an operator takes away must stop working everywhere within a
//! bound, also at an instance that is cut off or was suspended. So knowing the
//! keys is a lease: an answer of the store proves what it says as of when it
//! was asked for, and requests with keys are served only while that proof is
//! young enough. The caller's clock must count suspension: with one that stops,
//! an instance that slept through the withdrawal would wake and believe its
//! keys to be fresh.
//!
//! What else a catalog says is believed while nobody tells of a newer one, for
//! without the store no operator can have confirmed one. Once one is told of, the
//! old one may go on for no longer than operators allow ([`Succession`]).

use std::time::Duration;

/// Time a watch may stay deaf to changes before it is cut, by the store's
/// description; an empty answer proves nothing younger.
const DEAF: Duration = Duration::from_secs(1);

/// Kept back for the way from the check to the endpoint: queues of a slowed
/// instance and a lost packet's repetition.
const MARGIN: Duration = Duration::from_millis(400);

/// What an answer proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// A linearizable read.
    Read,
    /// A watch that ended without news.
    Quiet,
}

/// Time that word of a newer catalog may take to come, counted against the bound:
/// others are asked each 0.35 s, and one question or reply may be lost.
const HEARSAY: Duration = Duration::from_millis(750);

/// Newer catalogs kept apart; a storm of changes brings some ten within a bound.
const MOST_TOLD: usize = 64;

/// Time from which the catalog takes too long to come in to be read after each
/// watch of 0.9 s: a tenth of the link that callers' requests come by.
const LONG: Duration = Duration::from_millis(100);

/// Rest after a long reading, in lengths of it. Watches prove the catalog
/// meanwhile, and hear of a change at once; one that falls into a reading waits for
/// its end, here one in forty.
const RESTS: u32 = 40;

/// When the whole catalog is read again only to renew its proof.
///
/// A reading proves more than a watch, and costs as long as the catalog is large
/// and the link narrow: half a megabyte over 10 Mbit/s takes half a second. Read
/// after each watch it would be late for its own proof and leave callers little
/// of the link, so that the rest after a long reading grows with what it took.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cadence {
    ended: Duration,
    took: Duration,
}

impl Cadence {
    /// Notes a reading that came in for the time `took`, up to `ended`.
    ///
    /// Not from when it was asked for: a store that takes its time leaves the link
    /// to callers.
    pub fn note(&mut self, took: Duration, ended: Duration) {
        self.ended = ended;
        self.took = took;
    }

    /// Whether the catalog may be read again at a time.
    #[must_use]
    pub fn is_due(&self, at: Duration) -> bool {
        at >= self.ended + self.rest()
    }

    /// Whether the last reading came in for too long to be made after each watch.
    #[must_use]
    pub fn is_long(&self) -> bool {
        self.took > LONG
    }

    fn rest(&self) -> Duration {
        if self.is_long() { self.took * RESTS } else { Duration::ZERO }
    }
}

/// The age of what is known of keys.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Option<Duration>,
    proven: Option<Duration>,
}

impl Freshness {
    /// A lease that was never renewed; `bound` is the longest time a
    /// withdrawn key may go on working, nothing when there is none.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, proven: None }
    }

    /// Takes in an answer to a question asked at `asked`.
    pub fn renew(&mut self, asked: Duration, proof: Proof) {
        let proven = match proof {
            Proof::Read => asked,
            Proof::Quiet => asked.saturating_sub(DEAF),
        };
        self.proven = self.proven.max(Some(proven));
    }

    /// Whether a request with a key may be served now.
    #[must_use]
    pub fn holds(&self, now: Duration) -> bool {
        match (self.bound, self.proven) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(bound), Some(proven)) => now < proven + bound.saturating_sub(MARGIN),
        }
    }

    /// Age of the proof.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proven.map(|proven| now.saturating_sub(proven))
    }
}

/// Newer catalogs than the one in force, of which others have told.
#[derive(Debug, Clone, Default)]
pub struct Succession {
    bound: Option<Duration>,
    /// Versions and when each was first told of, in both orders.
    told: Vec<(u64, Duration)>,
}

impl Succession {
    /// Nothing told yet; `bound` is the longest time that a catalog may be served
    /// by after the operator's confirmation of a newer one, nothing when there is
    /// none.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, told: Vec::new() }
    }

    /// Takes in that there is a version newer than the one in force; returns
    /// whether that is news.
    pub fn tell(&mut self, version: u64, now: Duration) -> bool {
        if self.told.last().is_some_and(|(newest, _)| *newest >= version) {
            return false;
        }
        let is_full = self.told.len() == MOST_TOLD;
        match self.told.last_mut() {
            // The time of the one that is left out counts for this one: too strict
            // is safe.
            Some(newest) if is_full => newest.0 = version,
            _ => self.told.push((version, now)),
        }
        true
    }

    /// Takes in which version is in force from now on.
    pub fn install(&mut self, version: u64) {
        self.told.retain(|(told, _)| *told > version);
    }

    /// Whether the catalog in force is known to be replaced.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        !self.told.is_empty()
    }

    /// Whether requests may be served by the catalog in force.
    #[must_use]
    pub fn holds(&self, now: Duration) -> bool {
        match (self.bound, self.told.first()) {
            (Some(bound), Some((_, told))) => now < *told + bound.saturating_sub(HEARSAY),
            _ => true,
        }
    }
}
