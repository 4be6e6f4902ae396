//! Limits how long access keys and the catalog may be used without confirmation.
//!
//! A key that an operator withdraws must stop working everywhere within a bound, even at an
//! instance that is cut off or was suspended. Knowledge of the keys is therefore a lease:
//! an answer of the store confirms them as of the time it was requested, and requests with
//! keys are served only while that confirmation is recent enough. The caller's clock must
//! count suspension. Otherwise an instance that was suspended during the withdrawal would
//! consider its keys fresh after it resumes.
//!
//! The rest of the catalog remains valid until the instance learns of a newer one: if the
//! store is unavailable, no change can have been confirmed to an operator. After that, the
//! old catalog may be used only for the time that operators allow ([`AnnouncedCatalogs`]).

use std::time::Duration;

/// Time after which the store ends a watch that misses changes, as the store specifies. A
/// watch that ended without a change therefore confirms only the state as of that long
/// before its request.
const WATCH_DELAY: Duration = Duration::from_secs(1);

/// Safety margin for the path from the check to the endpoint: queues of a slowed instance
/// and the retransmission of a lost packet.
const SERVING_MARGIN: Duration = Duration::from_millis(400);

/// Kind of answer that confirms the keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// A linearizable read.
    Read,
    /// A watch that ended without a change.
    QuietWatch,
}

/// Maximum time until an instance learns of a newer catalog, deducted from the bound. Other
/// instances are polled every 0.35 s, and one request or reply may be lost.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(750);

/// Maximum number of newer catalogs that are tracked separately. A burst of changes brings
/// about ten within a bound.
const MAX_ANNOUNCED: usize = 64;

/// Transfer time above which the catalog is no longer read after each watch of 0.9 s. At
/// this length, reads take a tenth of the capacity of the link, which callers' requests
/// need as well.
const LONG_READ: Duration = Duration::from_millis(100);

/// Pause after a long read, as a multiple of its transfer time. Watches confirm the catalog
/// meanwhile and report a change at once. A change during a read waits until the read ends,
/// which at this ratio affects one change in forty.
const PAUSE_FACTOR: u32 = 40;

/// Schedule of the full catalog reads that only renew its confirmation.
///
/// A read confirms a more recent state than a watch, but its cost grows with the size of
/// the catalog and on narrow links: half a megabyte over 10 Mbit/s takes half a second. If
/// the catalog were read after each watch, the read would end too late to confirm it and
/// leave little of the link to callers. The pause after a long read is therefore
/// proportional to its transfer time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Schedule {
    /// Time at which the last read completed.
    ended: Duration,
    /// Transfer time of the last read.
    took: Duration,
}

impl Schedule {
    /// Records a read whose transfer took `took` and completed at `ended`.
    ///
    /// The transfer time does not include the wait for the store's first byte, since the
    /// link is free for callers during it.
    pub fn record_read(&mut self, took: Duration, ended: Duration) {
        self.ended = ended;
        self.took = took;
    }

    /// Returns whether the catalog may be read again at the given time.
    #[must_use]
    pub fn is_due(&self, at: Duration) -> bool {
        at >= self.ended + self.pause()
    }

    /// Returns whether the last transfer took too long to read the catalog after each
    /// watch.
    #[must_use]
    pub fn was_last_read_long(&self) -> bool {
        self.took > LONG_READ
    }

    /// Returns the pause after the last read.
    fn pause(&self) -> Duration {
        if self.was_last_read_long() { self.took * PAUSE_FACTOR } else { Duration::ZERO }
    }
}

/// Lease on the knowledge of access keys.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    bound: Option<Duration>,
    confirmed_at: Option<Duration>,
}

impl Lease {
    /// Creates a lease that has never been renewed. `bound` is the longest time for which a
    /// withdrawn key may keep working, or `None` if it is unlimited.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, confirmed_at: None }
    }

    /// Renews the lease with an answer to a request sent at `requested_at`.
    pub fn renew(&mut self, requested_at: Duration, proof: Proof) {
        let confirmed_at = match proof {
            Proof::Read => requested_at,
            Proof::QuietWatch => requested_at.saturating_sub(WATCH_DELAY),
        };
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Discards a confirmation of the state before `at`, as the store was incomplete until then.
    pub fn discard_before(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.filter(|confirmed_at| *confirmed_at >= at);
    }

    /// Returns whether a request with a key may be served now.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        match (self.bound, self.confirmed_at) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(bound), Some(confirmed_at)) => now < confirmed_at + bound.saturating_sub(SERVING_MARGIN),
        }
    }

    /// Returns the time since the keys were last confirmed.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.saturating_sub(confirmed_at))
    }
}

/// Catalogs newer than the one in force that other instances have announced.
#[derive(Debug, Clone, Default)]
pub struct AnnouncedCatalogs {
    bound: Option<Duration>,
    /// Announced versions and the time of their first announcement; both increase.
    announced: Vec<(u64, Duration)>,
}

impl AnnouncedCatalogs {
    /// Creates an empty set. `bound` is the longest time for which a catalog may be used
    /// after the operator's confirmation of a newer one, or `None` if it is unlimited.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, announced: Vec::new() }
    }

    /// Records the announcement of a version newer than the one in force. Returns whether
    /// the version is new to this instance.
    pub fn announce(&mut self, version: u64, now: Duration) -> bool {
        if self.announced.last().is_some_and(|(newest, _)| *newest >= version) {
            return false;
        }
        let is_full = self.announced.len() == MAX_ANNOUNCED;
        match self.announced.last_mut() {
            // The new version inherits the announcement time of the version it replaces.
            // That is earlier than its own, so the check only becomes stricter.
            Some(newest) if is_full => newest.0 = version,
            _ => self.announced.push((version, now)),
        }
        true
    }

    /// Records that `version` is now in force.
    pub fn install(&mut self, version: u64) {
        self.announced.retain(|(announced, _)| *announced > version);
    }

    /// Returns whether a newer catalog than the one in force is known.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        !self.announced.is_empty()
    }

    /// Returns whether requests may be served with the catalog in force.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        match (self.bound, self.announced.first()) {
            (Some(bound), Some((_, announced))) => now < *announced + bound.saturating_sub(ANNOUNCEMENT_DELAY),
            _ => true,
        }
    }
}
