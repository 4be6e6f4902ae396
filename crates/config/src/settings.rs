//! How an instance observes the configuration.

use std::time::{Duration, SystemTime};

use world::{Timestamp, domain::Domain, instance};

/// How an instance observes the configuration.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance; named in the changes it makes.
    pub instance: instance::Id,
    /// Where it stands.
    pub domain: Domain,
    /// Every failure domain of the site. While nobody reaches the platform, an
    /// instance stays fresh as long as it is in step with more than half of
    /// them; left empty, it goes stale.
    pub domains: Vec<Domain>,
    /// How old the last confirmation may grow before new work stops.
    pub freshness: Duration,
    /// Longest time between two confirmations; a tight freshness bound makes
    /// it shorter.
    pub interval: Duration,
    /// How long the platform holds a reader's watch.
    pub watch_wait: Duration,
    /// Longest time for one change, races with other changes included.
    pub deadline: Duration,
    /// What the platform keeps.
    pub keep: Keep,
    /// Seed of jitter; drawn from the system when absent.
    pub seed: Option<u64>,
    /// Wall clock, for the times in the history.
    pub clock: fn() -> Timestamp,
}

/// What the platform keeps of the log; the same at every instance, since it
/// decides which entries may be taken for the next change.
#[derive(Debug, Clone, Copy)]
pub struct Keep {
    /// A snapshot each so many generations.
    pub snapshot_every: u64,
    /// Generations kept before the newest snapshot, for the history.
    pub changes: u64,
}

/// Confirmations tried for within the freshness bound: a few may be lost or
/// late without a pause in new work.
const TRIES: u32 = 5;

impl Settings {
    pub(crate) fn interval(&self) -> Duration {
        self.interval.min(self.freshness / TRIES)
    }

    /// The defaults for one instance.
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
            clock: wall,
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

fn wall() -> Timestamp {
    SystemTime::now().into()
}
