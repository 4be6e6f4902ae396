//! Demands that other instances have told.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use route::admission::{
    demand::{Class, Summary},
    share::Unnamed,
};

/// Maximum number of instances whose demands are kept for a service, so that invalid datagrams do
/// not fill the memory.
const MAX_INSTANCES: usize = 2_048;

/// Demands of another instance at a service.
#[derive(Debug, Clone)]
pub(super) struct Remote {
    summary: Summary,
    run_times: Vec<(u32, f64)>,
    received_at: Duration,
    expires_at: Duration,
}

impl Remote {
    pub fn new(summary: Summary, run_times: Vec<(u32, f64)>, now: Duration, lifetime: Duration) -> Self {
        Self { summary, run_times, received_at: now, expires_at: now + lifetime }
    }
}

/// Demands of all other instances at a service.
#[derive(Debug, Clone, Default)]
pub(super) struct Remotes {
    by_instance: HashMap<u32, Remote>,
    /// Sums over the instances, as of the last update.
    pub sums: BTreeMap<Class, f64>,
    pub unnamed: Unnamed,
    /// Least usual times of runs, in milliseconds, by the hash of their kind.
    pub run_times: HashMap<u32, f64>,
    next_expiry: Duration,
    is_changed: bool,
}

impl Remotes {
    pub fn record(&mut self, origin: u32, remote: Remote) {
        if self.by_instance.len() >= MAX_INSTANCES && !self.by_instance.contains_key(&origin) {
            return;
        }
        self.by_instance.insert(origin, remote);
        self.is_changed = true;
    }

    /// Forgets instances that have been silent for too long and adds up the others' demands.
    pub fn update(&mut self, now: Duration) {
        if !self.is_changed && now < self.next_expiry {
            return;
        }
        self.by_instance.retain(|_, remote| remote.expires_at > now);
        self.is_changed = false;
        self.next_expiry = self.by_instance.values().map(|remote| remote.expires_at).min().unwrap_or(Duration::MAX);
        self.sums.clear();
        self.run_times.clear();
        self.unnamed = Unnamed::default();
        for remote in self.by_instance.values() {
            for (class, demand) in &remote.summary.classes {
                *self.sums.entry(*class).or_default() += demand;
            }
            for (kind, ms) in &remote.run_times {
                let least = self.run_times.entry(*kind).or_insert(*ms);
                *least = least.min(*ms);
            }
            // The unnamed teams of two instances are likely to be the same ones.
            self.unnamed.teams = self.unnamed.teams.max(remote.summary.other_teams);
            self.unnamed.demand += remote.summary.other_demand;
        }
    }

    pub fn len(&self) -> usize {
        self.by_instance.len()
    }

    /// Returns the age of the oldest demands in use.
    pub fn oldest(&self, now: Duration) -> Duration {
        self.by_instance.values().map(|remote| now.saturating_sub(remote.received_at)).max().unwrap_or_default()
    }
}
