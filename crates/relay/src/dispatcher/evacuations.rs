//! Failure domains that operators have evacuated.
//!
//! While a failure domain is evacuated, its endpoints get no new requests, retries and
//! resumed streams included; requests that already run there end undisturbed. The known
//! set of evacuated domains is that of a revision of the store. Instances that watch the
//! store pass the whole set on in their replies, and an older set never replaces a newer
//! one: a delayed datagram must not end an evacuation.

use std::{collections::BTreeMap, time::Duration};

use super::{Dispatcher, State, fleet::Fleet};
use crate::{
    clock,
    source::{Change, Revision},
};

/// The known evacuations.
#[derive(Debug, Clone, Default)]
pub(super) struct Evacuations {
    /// Revision of the store at which these were the evacuations; `None` before the first
    /// listing.
    revision: Option<Revision>,
    /// Evacuated failure domains, with the time at which this instance learned of each
    /// evacuation.
    domains: BTreeMap<String, Duration>,
}

/// The evacuated failure domains at a revision of the store, as instances tell each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the store.
    pub revision: Revision,
    /// Names of the domains.
    pub domains: Vec<String>,
}

impl Evacuations {
    /// Whether the endpoints of a failure domain get no new requests.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// Whether the evacuations have been listed.
    pub fn is_known(&self) -> bool {
        self.revision.is_some()
    }

    pub fn snapshot(&self) -> Snapshot {
        Snapshot { revision: self.revision.unwrap_or_default(), domains: self.domains.keys().cloned().collect() }
    }

    fn is_outdated(&self, revision: Revision) -> bool {
        self.revision.is_some_and(|known| revision < known)
    }
}

impl Fleet {
    /// Adds a domain.
    fn evacuate(&mut self, domain: String, now: Duration) {
        if !self.evacuations.contains(&domain) {
            tracing::warn!(domain, "failure domain evacuated, its endpoints get no new requests");
            self.evacuations.domains.insert(domain, now);
            self.apply_to_next_decision();
        }
    }

    /// Removes a domain, and returns whether it was evacuated.
    fn end_evacuation(&mut self, domain: &str, now: Duration) -> bool {
        let Some(since) = self.evacuations.domains.remove(domain) else { return false };
        let lasted_ms = clock::millis(now.saturating_sub(since));
        tracing::warn!(domain, lasted_ms, "evacuation of failure domain ended");
        self.apply_to_next_decision();
        true
    }

    /// Makes the next decision use the changed domains, and shows their number in the metrics.
    fn apply_to_next_decision(&mut self) {
        self.invalidate_pools();
        #[expect(clippy::cast_precision_loss, reason = "failure domains are far fewer than 2^53")]
        metrics::gauge!("relay_evacuated_domains").set(self.evacuations.domains.len() as f64);
    }
}

impl State {
    /// Ends the evacuation of a domain, whose endpoints have cooled down meanwhile.
    fn end_evacuation(&mut self, domain: &str, now: Duration) {
        if self.fleet.end_evacuation(domain, now) {
            self.restart_warmups(domain, now);
        }
    }
}

impl Dispatcher {
    /// Replaces the known evacuations, unless a newer revision of them is known.
    pub fn replace_evacuations(&self, snapshot: Snapshot) {
        let now = clock::now();
        let mut state = self.lock();
        if state.fleet.evacuations.is_outdated(snapshot.revision) {
            return;
        }
        let is_ended = |domain: &&String| !snapshot.domains.contains(*domain);
        let ended: Vec<String> = state.fleet.evacuations.domains.keys().filter(is_ended).cloned().collect();
        for domain in ended {
            state.end_evacuation(&domain, now);
        }
        for domain in snapshot.domains {
            state.fleet.evacuate(domain, now);
        }
        state.fleet.evacuations.revision = Some(snapshot.revision);
        drop(state);
        self.startup_progressed.notify_waiters();
    }

    /// Applies changes that lead to a revision, unless a newer one is known.
    pub fn apply_evacuation_changes(&self, revision: Revision, changes: Vec<Change>) {
        let now = clock::now();
        let mut state = self.lock();
        if state.fleet.evacuations.is_outdated(revision) {
            return;
        }
        for Change { name, record } in changes {
            if record.is_some() {
                state.fleet.evacuate(name, now);
            } else {
                state.end_evacuation(&name, now);
            }
        }
        state.fleet.evacuations.revision = Some(revision);
    }

    /// Whether the evacuations have been listed, if the platform has any.
    pub(super) fn knows_evacuations(&self, state: &State) -> bool {
        state.fleet.evacuations.is_known() || !self.settings.follows_evacuations()
    }

    /// Returns the evacuated failure domains.
    #[must_use]
    pub fn evacuations(&self) -> Snapshot {
        self.lock().fleet.evacuations.snapshot()
    }

    /// Whether all endpoints of a service that are not leaving are in evacuated failure
    /// domains.
    #[must_use]
    pub fn is_service_evacuated(&self, service: &str) -> bool {
        let now = clock::now();
        let state = self.lock();
        let mut endpoints = state.fleet.staying_endpoints_of(service, now).peekable();
        endpoints.peek().is_some() && endpoints.all(|endpoint| state.fleet.evacuations.contains(&endpoint.domain))
    }
}
