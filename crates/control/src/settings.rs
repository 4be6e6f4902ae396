//! Settings of the control tasks of one instance.

use route::guard;
use world::instance;

use crate::lease;

/// Settings of the control tasks of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub instance: instance::Id,
    /// Incarnation of this instance.
    pub incarnation: instance::Incarnation,
    /// Settings of the lease that decides which instance coordinates
    /// roll-outs.
    pub lease: lease::Settings,
    /// Thresholds of the version guard.
    pub guard: guard::Policy,
    /// Number of concurrent loads that the weight store can serve.
    pub max_concurrent_loads: usize,
    /// Seed of the jitter between attempts to withdraw a version.
    pub seed: u64,
}

/// Name of the lease.
const LEASE: &str = "rollouts";

/// Default number of concurrent loads; can be raised in the settings for a
/// faster weight store.
const DEFAULT_CONCURRENT_LOADS: usize = 2;

impl Settings {
    /// Returns the default settings for one instance.
    #[must_use]
    pub fn new(instance: instance::Id, incarnation: instance::Incarnation) -> Self {
        let lease = lease::Settings::new(LEASE, instance.clone(), incarnation);
        let seed = lease.seed;
        let guard = guard::Policy::default();
        Self { instance, incarnation, lease, guard, max_concurrent_loads: DEFAULT_CONCURRENT_LOADS, seed }
    }

    /// Returns the author of configuration changes made by this instance's
    /// control tasks.
    pub(crate) fn author(&self) -> String {
        format!("control at {}", self.instance)
    }
}
