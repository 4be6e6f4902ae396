//! Settings of the configuration at one instance.

use std::time::{Duration, SystemTime};

use world::{Timestamp, domain::Domain, instance};

/// How an instance observes and changes the configuration.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance; recorded in the changes it makes.
    pub instance: instance::Id,
    /// Failure domain of this instance.
    pub domain: Domain,
    /// All failure domains of the site. While no instance reaches the platform, an
    /// instance stays fresh as long as peers in more than half of them confirm its
    /// state; if empty, it becomes stale.
    pub domains: Vec<Domain>,
    /// Age of the last confirmation at which the instance stops accepting new work.
    pub freshness: Duration,
    /// Longest time between two attempts to confirm the state; a tight freshness
    /// bound makes it shorter.
    pub interval: Duration,
    /// Longest time that the platform holds a reader's watch call open.
    pub watch_wait: Duration,
    /// Longest time for one change, including retries after lost races.
    pub deadline: Duration,
    /// How much of the log the platform keeps.
    pub keep: Keep,
    /// Seed of the jitter; random if absent.
    pub seed: Option<u64>,
    /// Wall clock for the times in the history.
    pub clock: fn() -> Timestamp,
}

/// How much of the log the platform keeps. It must be the same at every instance,
/// since it decides which entries may be applied as the next change.
#[derive(Debug, Clone, Copy)]
pub struct Keep {
    /// Number of generations between two snapshots.
    pub snapshot_every: u64,
    /// Number of generations kept before the newest snapshot, for the history.
    pub changes: u64,
}

/// Number of confirmations attempted within the freshness bound, so that a few may
/// be lost or late without an interruption of new work.
const CONFIRMATIONS_PER_BOUND: u32 = 5;

impl Settings {
    /// Returns the interval in use, which a tight freshness bound makes shorter.
    pub(crate) fn interval(&self) -> Duration {
        self.interval.min(self.freshness / CONFIRMATIONS_PER_BOUND)
    }

    /// Returns the default settings of an instance.
    #[must_use]
    pub fn new(instance: instance::Id, domain: Domain) -> Self {
        Self {
            instance,
            domain,
            domains: Vec::new(),
            freshness: Duration::from_secs(5),
            interval: Duration::from_secs(1),
            watch_wait: Duration::from_secs(10),
            deadline: Duration::from_secs(10),
            keep: Keep::default(),
            seed: None,
            clock: wall_clock,
        }
    }
}

impl Default for Keep {
    /// A new reader reads at most 256 changes; at 6,800 changes a day the
    /// history goes back a week.
    fn default() -> Self {
        Self { snapshot_every: 256, changes: 50_000 }
    }
}

fn wall_clock() -> Timestamp {
    SystemTime::now().into()
}
