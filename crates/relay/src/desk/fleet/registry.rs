//! Which endpoints there are, as their registrations tell.

use std::{sync::Arc, time::Duration};

use super::{Fleet, Key, Load, Server, start_hash};
use crate::{clock, desk::Desk, source::Endpoint};

/// What a registration is to what is known under its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Nothing was known.
    New,
    /// It was known just so.
    Same,
    /// The start that was known has changed its registration.
    Changed,
    /// It has started again.
    Restarted,
    /// It was written before what is known.
    Old,
}

impl Standing {
    fn of(known: Option<&Endpoint>, told: &Endpoint) -> Self {
        let Some(known) = known else { return Self::New };
        if known == told {
            Self::Same
        } else if told.revision < known.revision {
            Self::Old
        } else if told.born == known.born {
            Self::Changed
        } else {
            // By the revision, not by which start is younger: the clock of a
            // server's machine may have stepped back in between.
            Self::Restarted
        }
    }
}

impl Desk {
    /// Takes an endpoint's registration in.
    ///
    /// One that started again under its name is another endpoint: it has none of
    /// the runs, the prompts to read, the shared parts and the record that are
    /// known of the name. Kept, they would keep requests away from an empty
    /// server, or send prompts to where their parts no longer are. A word of the
    /// earlier start that comes late changes nothing: it would make a living
    /// endpoint leave, or forget all that was learned of it twice.
    pub fn enlist(&self, endpoint: Endpoint) {
        let mut state = self.lock();
        let now = clock::now();
        let standing = Standing::of(state.fleet.known(&endpoint.id), &endpoint);
        if standing == Standing::Old {
            tracing::debug!(endpoint = endpoint.id, revision = endpoint.revision, "old registration passed over");
            return;
        }
        if standing != Standing::Same {
            tracing::info!(
                endpoint = endpoint.id,
                ?standing,
                service = endpoint.service,
                version = endpoint.version,
                address = %endpoint.address,
                draining = endpoint.draining,
                born = endpoint.born,
                revision = endpoint.revision,
                "endpoint registered"
            );
        }
        state.trials.sight(&endpoint.service, &endpoint.version, now);
        let others = state.peers.load(start_hash(&endpoint));
        state.fleet.register(endpoint, standing, others, now);
    }

    /// Forgets an endpoint whose registration is gone.
    pub fn delist(&self, id: &str) {
        let fleet = &mut self.lock().fleet;
        if let Some(key) = fleet.by_name.remove(id) {
            fleet.remove(key);
            tracing::info!(endpoint = id, "endpoint gone");
        }
    }

    /// Forgets an endpoint that has not registered since a moment; whether it
    /// did.
    ///
    /// After an outage its registration may come by way of another instance,
    /// while this one still waits for it at the store: to give it up then would
    /// take a living endpoint out of use until it changes once more.
    pub fn delist_lapsed(&self, id: &str, since: Duration) -> bool {
        let is_back = {
            let fleet = &self.lock().fleet;
            let server = fleet.by_name.get(id).and_then(|key| fleet.servers.get(*key));
            server.is_none_or(|server| server.registered > since)
        };
        if !is_back {
            self.delist(id);
        }
        !is_back
    }

    /// Names of all known endpoints.
    #[must_use]
    pub fn enlisted(&self) -> Vec<String> {
        self.lock().fleet.by_name.keys().cloned().collect()
    }

    /// All known endpoints.
    #[must_use]
    pub fn known_endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.lock().fleet.servers.values().map(|server| Arc::clone(&server.endpoint)).collect()
    }
}

impl Fleet {
    fn known(&self, id: &str) -> Option<&Endpoint> {
        let server = self.servers.get(*self.by_name.get(id)?)?;
        Some(&server.endpoint)
    }

    fn register(&mut self, endpoint: Endpoint, standing: Standing, others: Load, now: Duration) {
        let known = self.by_name.get(&endpoint.id).copied();
        if standing == Standing::Restarted
            && let Some(key) = known
        {
            self.remove(key);
        }
        if let Some(server) = known.and_then(|key| self.servers.get_mut(key)) {
            server.registered = now;
            server.endpoint = Arc::new(endpoint);
            if standing != Standing::Same {
                self.revision += 1;
            }
            return;
        }
        let name = endpoint.id.clone();
        let server = Server::new(endpoint, others, now);
        let hash = server.hash;
        let key = self.servers.insert(server);
        self.by_name.insert(name, key);
        self.by_hash.insert(hash, key);
        self.revision += 1;
    }

    fn remove(&mut self, key: Key) {
        let Some(server) = self.servers.remove(key) else { return };
        self.revision += 1;
        if self.by_hash.get(&server.hash) == Some(&key) {
            self.by_hash.remove(&server.hash);
        }
    }

    /// An endpoint that is known.
    pub(in crate::desk) fn server(&mut self, key: Key) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// The key of the endpoint whose start has a hash.
    pub(in crate::desk) fn key_of(&self, hash: u32) -> Option<Key> {
        self.by_hash.get(&hash).copied()
    }

    /// The endpoint whose start has a hash.
    pub(super) fn by_hash(&mut self, hash: u32) -> Option<&mut Server> {
        self.servers.get_mut(*self.by_hash.get(&hash)?)
    }

    /// Notes what other instances put on an endpoint, if it is known.
    pub(in crate::desk) fn bear(&mut self, endpoint: u32, load: Load) {
        if let Some(server) = self.by_hash(endpoint) {
            server.others = load;
        }
    }
}
