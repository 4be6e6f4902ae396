//! The registered endpoints.

use std::{sync::Arc, time::Duration};

use super::{Fleet, Key, Load, Run, Server, departures::MAX_LEAVING_TIME, short_hash, start_hash, stated::Removal};
use crate::{clock, dispatcher::Dispatcher, source::Endpoint};

/// How a registration compares to the known one of the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RegistrationKind {
    /// The name was not known.
    New,
    /// The registration says the same.
    Same,
    /// The same start of the endpoint has changed its registration.
    Changed,
    /// The endpoint has restarted.
    Restarted,
    /// The registration is older than the known one.
    Old,
}

impl RegistrationKind {
    fn of(known: Option<&Endpoint>, received: &Endpoint) -> Self {
        let Some(known) = known else { return Self::New };
        if received.revision < known.revision {
            Self::Old
        } else if known.says_the_same(received) {
            Self::Same
        } else if received.started_at_ms == known.started_at_ms {
            Self::Changed
        } else {
            // The revision decides which is newer, not the start time: the clock of the
            // endpoint's machine may have stepped back in between.
            Self::Restarted
        }
    }
}

impl Dispatcher {
    /// Adds or updates an endpoint by its registration.
    ///
    /// An endpoint that restarted under its name counts as a new one, without the
    /// runs, backlog, cached parts and statistics of its earlier start. Kept, they would
    /// keep requests away from an idle server, or send prompts to a server that no
    /// longer caches their parts. A registration that arrives after a newer one is ignored:
    /// taken for another restart, it would replace the live endpoint and discard what was
    /// learned about it, and the next registration would do so again.
    pub fn register_endpoint(&self, endpoint: Endpoint) {
        let mut state = self.lock();
        let now = clock::now();
        let known = state.fleet.registration(&endpoint.id);
        let kind = RegistrationKind::of(known, &endpoint);
        let takes_departure_back = known.is_some_and(|known| known.draining && !endpoint.draining);
        let is_forgotten = known.is_some_and(|known| known.revision.era < endpoint.revision.era);
        if kind == RegistrationKind::Old {
            tracing::debug!(endpoint = endpoint.id, revision = %endpoint.revision, "outdated registration ignored");
            return;
        }
        if kind != RegistrationKind::Same {
            tracing::info!(
                endpoint = endpoint.id,
                standing = ?kind,
                service = endpoint.service,
                version = endpoint.version,
                address = %endpoint.address,
                draining = endpoint.draining,
                warmup_left_ms = clock::millis(endpoint.warmup_left),
                born = endpoint.started_at_ms,
                revision = %endpoint.revision,
                "endpoint registered"
            );
        }
        state.rollouts.record_version(&endpoint.service, &endpoint.version, now);
        if matches!(kind, RegistrationKind::New | RegistrationKind::Restarted)
            && let Some(reachability) = state.fleet.reachability.get_mut(&endpoint.service)
        {
            reachability.record_registration(now);
            self.probe_wanted.notify_one();
        }
        // A process that leaves does not change its mind; the store has lost its word.
        if kind == RegistrationKind::Changed && takes_departure_back && is_forgotten {
            state.apply_departure(start_hash(&endpoint), MAX_LEAVING_TIME, now);
        }
        let hash = start_hash(&endpoint);
        let peer_load = state.peers.load(hash);
        let reported_at = state.peers.reported_at(hash);
        state.fleet.register(endpoint, kind, peer_load, now);
        if let Some(server) = state.fleet.server_by_hash(hash) {
            server.rotation.reported_at = reported_at;
        }
        if kind == RegistrationKind::Restarted {
            self.endpoint_removed.notify_waiters();
        }
    }

    /// Removes an endpoint whose registration is gone.
    pub fn remove_endpoint(&self, id: &str) {
        let now = clock::now();
        let mut state = self.lock();
        let era = state.synchronization.revision.era;
        let fleet = &mut state.fleet;
        if let Some(key) = fleet.by_name.remove(id) {
            if let Some(server) = fleet.servers.get_mut(key) {
                server.stated.removal = Some(Removal { era, was_draining: server.endpoint.draining });
            }
            fleet.remove(key, now);
            self.endpoint_removed.notify_waiters();
            tracing::info!(endpoint = id, "endpoint removed");
        }
    }

    /// Waits until the registration of a run's endpoint is gone, or the endpoint has restarted. Waits
    /// for ever if it has said before that it leaves: such an endpoint finishes its runs.
    pub async fn wait_until_removed(&self, run: &Run) {
        loop {
            // Registered before the check, or a removal right after it would be missed.
            let removed = self.endpoint_removed.notified();
            if !self.lock().fleet.servers.contains_key(run.key) {
                break;
            }
            removed.await;
        }
        if self.lock().fleet.has_left(start_hash(&run.endpoint), clock::now()) {
            std::future::pending::<()>().await;
        }
    }

    /// Removes an endpoint whose registration was not received after `since`, and
    /// returns whether it did.
    ///
    /// After an outage its registration may arrive through another instance while
    /// this one still waits for it at the store. Removing it then would take a live
    /// endpoint out of use until its registration changes again.
    pub fn remove_lapsed_endpoint(&self, id: &str, since: Duration) -> bool {
        let is_back = {
            let fleet = &self.lock().fleet;
            let server = fleet.by_name.get(id).and_then(|key| fleet.servers.get(*key));
            server.is_none_or(|server| server.last_registered > since)
        };
        if !is_back {
            self.remove_endpoint(id);
        }
        !is_back
    }

    /// Returns the names of all known endpoints.
    #[must_use]
    pub fn endpoint_names(&self) -> Vec<String> {
        self.lock().fleet.by_name.keys().cloned().collect()
    }

    /// Returns all known endpoints.
    #[must_use]
    pub fn known_endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.lock().fleet.servers.values().map(|server| Arc::clone(&server.endpoint)).collect()
    }
}

impl Fleet {
    /// Returns the known registration of a name.
    fn registration(&self, id: &str) -> Option<&Endpoint> {
        let server = self.servers.get(*self.by_name.get(id)?)?;
        Some(&server.endpoint)
    }

    /// Stores a registration. `peer_load` is the load of other instances on the endpoint.
    fn register(&mut self, endpoint: Endpoint, kind: RegistrationKind, peer_load: Load, now: Duration) {
        let known = self.by_name.get(&endpoint.id).copied();
        if kind == RegistrationKind::Restarted
            && let Some(key) = known
        {
            self.remove(key, now);
        }
        let warm_at = now + endpoint.warmup_left;
        if let Some((key, server)) = known.and_then(|key| Some((key, self.servers.get_mut(key)?))) {
            server.last_registered = now;
            server.service_hash = short_hash(&endpoint.service);
            server.endpoint = Arc::new(endpoint);
            if kind != RegistrationKind::Same {
                self.revision += 1;
                // The endpoint knows best, also where it is warm sooner than assumed.
                self.set_warm_at(key, warm_at, now);
            }
            return;
        }
        let name = endpoint.id.clone();
        let mut stated = self.unregistered.take(start_hash(&endpoint));
        if let Some(removal) = stated.removal.take() {
            stated.leaving_until = stated.leaving_until.max(now + removal.holds_for(endpoint.revision.era));
        }
        let server = Server::new(endpoint, peer_load, stated, now);
        let hash = server.hash;
        let key = self.servers.insert(server);
        self.by_name.insert(name, key);
        self.by_hash.insert(hash, key);
        if self.servers[key].is_limited(now) {
            self.add_limited(key);
        }
        self.revision += 1;
        self.invalidate_rejection_shares();
        self.set_warm_at(key, warm_at, now);
    }

    /// Returns the registrations of a service's endpoints.
    pub(in crate::dispatcher) fn endpoints_of(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        self.servers.values().map(|server| &*server.endpoint).filter(move |endpoint| endpoint.service == service)
    }

    /// Returns the registrations of a service's endpoints that are not leaving.
    pub(in crate::dispatcher) fn staying_endpoints_of(
        &self,
        service: &str,
        now: Duration,
    ) -> impl Iterator<Item = &Endpoint> {
        let stays = move |server: &&Server| server.endpoint.service == service && !server.is_leaving(now);
        self.servers.values().filter(stays).map(|server| &*server.endpoint)
    }

    /// Returns all known endpoints but one.
    pub(in crate::dispatcher) fn other_endpoints(&self, key: Key) -> impl Iterator<Item = Arc<Endpoint>> {
        let others = self.servers.iter().filter(move |(other, _)| *other != key);
        others.map(|(_, server)| Arc::clone(&server.endpoint))
    }

    /// Has the pools rebuilt before the next decision.
    pub(in crate::dispatcher) fn invalidate_pools(&mut self) {
        self.revision += 1;
    }

    fn remove(&mut self, key: Key, now: Duration) {
        let Some(server) = self.servers.remove(key) else { return };
        self.unregistered.insert(server.hash, server.stated, now);
        self.revision += 1;
        if self.by_hash.get(&server.hash) == Some(&key) {
            self.by_hash.remove(&server.hash);
        }
    }

    /// Returns a known endpoint.
    pub(in crate::dispatcher) fn server(&mut self, key: Key) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns the key of the endpoint whose start has the hash.
    pub(in crate::dispatcher) fn key_of(&self, hash: u32) -> Option<Key> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the endpoint whose start has the hash.
    pub(super) fn server_by_hash(&mut self, hash: u32) -> Option<&mut Server> {
        self.servers.get_mut(*self.by_hash.get(&hash)?)
    }

    /// Sets the load of other instances on an endpoint and the mean time at which it was reported,
    /// if the endpoint is known.
    pub(in crate::dispatcher) fn set_peer_load(&mut self, endpoint: u32, load: Load, reported_at: Option<Duration>) {
        if let Some(server) = self.server_by_hash(endpoint) {
            server.peer_load = load;
            server.rotation.reported_at = reported_at;
        }
    }
}
