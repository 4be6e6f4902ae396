//! How control works at one instance.

use route::guard;
use world::instance;

use crate::lease;

/// How control works at one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub instance: instance::Id,
    /// Which run.
    pub incarnation: instance::Incarnation,
    /// The lease that decides who carries roll-outs on.
    pub lease: lease::Settings,
    /// How strict the version guard is.
    pub guard: guard::Policy,
    /// Loads that the weight store bears at a time.
    pub loads_at_once: usize,
    /// Seed of jitter.
    pub seed: u64,
}

/// Name of the lease.
const LEASE: &str = "rollouts";

/// Loads at a time; a store that bears more is told so in the settings.
const LOADS_AT_ONCE: usize = 2;

impl Settings {
    /// The defaults for one instance.
    #[must_use]
    pub fn new(instance: instance::Id, incarnation: instance::Incarnation) -> Self {
        let lease = lease::Settings::new(LEASE, instance.clone(), incarnation);
        let seed = lease.seed;
        let guard = guard::Policy::default();
        Self { instance, incarnation, lease, guard, loads_at_once: LOADS_AT_ONCE, seed }
    }

    /// Who makes this instance's configuration changes.
    pub(crate) fn author(&self) -> String {
        format!("control at {}", self.instance)
    }
}
