//! Services whose endpoints this instance cannot reach, and the instances that can.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::{IndexedRandom, SliceRandom};
use route::relay::reachability::Reach;

use super::{Fleet, Run, Server, decaying_mean::DecayingMean, short_hash};
use crate::{
    clock,
    dispatcher::{Dispatcher, peers::Substitute},
    source::Endpoint,
};

impl Run {
    /// Records that the connection to the endpoint was made.
    pub fn record_connection(&self) {
        self.dispatcher.record_reachable(&self.endpoint.service);
    }

    /// Records that no connection to the endpoint could be made.
    pub fn record_failed_connection(&self, cause: &str) {
        let fleet = &mut self.dispatcher.lock().fleet;
        let Some(endpoint) = fleet.servers.get(self.key).map(|server| server.hash) else { return };
        if fleet.record_failed_connection(&self.endpoint.service, endpoint, cause) {
            self.dispatcher.probe_wanted.notify_one();
        }
    }
}

impl Dispatcher {
    /// Records that an endpoint of a service accepted a connection.
    pub fn record_reachable(&self, service: &str) {
        let now = clock::now();
        let fleet = &mut self.lock().fleet;
        let Some(reachability) = fleet.reachability.get_mut(service) else { return };
        let was_lost = reachability.reach(now) == Reach::Lost;
        let Some(duration) = reachability.record_connection(now) else { return };
        tracing::info!(service, lost_for_ms = clock::millis(duration), "service reachable again");
        // Otherwise only some endpoints were down, and what is known of them is still right.
        if was_lost {
            fleet.forget_failures(service);
        }
        fleet.count_unreachable_services();
        self.urgent_news.notify_one();
    }

    /// Returns whether this instance reaches endpoints of a service.
    #[must_use]
    pub fn reach(&self, service: &str) -> Reach {
        self.lock().fleet.reach(service, clock::now())
    }

    /// Returns for how long this instance has reached no endpoint of a service.
    #[must_use]
    pub fn lost_for(&self, service: &str) -> Duration {
        let state = self.lock();
        state.fleet.reachability.get(service).map_or(Duration::ZERO, |reachability| reachability.lost_for(clock::now()))
    }

    /// Returns the services of which this instance may reach no endpoint.
    #[must_use]
    pub fn unreachable_services(&self) -> Vec<String> {
        self.lock().fleet.unreachable_services().cloned().collect()
    }

    /// Returns the short hashes of the services of which this instance reaches no endpoint.
    #[must_use]
    pub fn lost_services(&self) -> Vec<u32> {
        self.lock().fleet.lost_services(clock::now()).collect()
    }

    /// Waits until a service must be probed: it has become unreachable, or may have become
    /// reachable.
    pub async fn wait_for_probe_request(&self) {
        self.probe_wanted.notified().await;
    }

    /// Returns at most `max` endpoints of a service, to probe whether the service can be
    /// reached: ones to which no connection has failed if there are any, else random ones.
    #[must_use]
    pub fn endpoints_to_probe(&self, service: &str, max: usize) -> Vec<Arc<Endpoint>> {
        let state = self.lock();
        let servers = state.fleet.servers.values().filter(|server| server.endpoint.service == service);
        let mut drawn: Vec<_> = servers.map(|server| (server.failed_connections > 0, server)).collect();
        drawn.shuffle(&mut rand::rng());
        drawn.sort_by_key(|(has_failed, _)| *has_failed);
        drawn.into_iter().take(max).map(|(_, server)| Arc::clone(&server.endpoint)).collect()
    }

    /// Returns the news address of another instance that serves callers and reaches the
    /// service, as far as known, and is not among `tried`. Larger instances are drawn more
    /// often; if all callers of partitioned instances went to the same one, it would be
    /// overloaded.
    #[must_use]
    pub fn instance_reaching(&self, service: &str, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let state = self.lock();
        let candidates = state.peers.reaching(short_hash(service), clock::now());
        choose_untried(candidates, tried)
    }
}

/// Returns the news address of one of the instances that is not among `tried`, drawn in
/// proportion to their sizes.
pub(super) fn choose_untried(instances: impl Iterator<Item = Substitute>, tried: &[SocketAddr]) -> Option<SocketAddr> {
    let untried: Vec<_> = instances.filter(|instance| !tried.contains(&instance.news)).collect();
    untried.choose_weighted(&mut rand::rng(), |instance| instance.cores.0.max(1)).ok().map(|instance| instance.news)
}

impl Fleet {
    /// Returns whether this instance reaches endpoints of a service.
    pub(super) fn reach(&self, service: &str, now: Duration) -> Reach {
        match self.reachability.get(service) {
            Some(reachability) if self.endpoints_of(service).next().is_some() => reachability.reach(now),
            _ => Reach::Sound,
        }
    }

    /// Returns whether a service was unreachable at any time since `since`.
    pub(super) fn was_lost_since(&self, service: &str, since: Duration) -> bool {
        self.reachability.get(service).is_some_and(|reachability| reachability.was_lost_since(since))
    }

    /// Returns whether other instances may have been told since `since` that a service, given
    /// by its short hash, is unreachable from here.
    pub(super) fn was_certainly_lost_since(&self, service: u32, now: Duration, since: Duration) -> bool {
        let mut states = self.reachability.iter().filter(|(name, _)| short_hash(name) == service);
        states.any(|(_, reachability)| reachability.was_certainly_lost_since(now, since))
    }

    /// Records that no connection to an endpoint could be made, and returns whether the
    /// service counts as unreachable from now on.
    fn record_failed_connection(&mut self, service: &str, endpoint: u32, cause: &str) -> bool {
        let now = clock::now();
        // An instance that may send to one fragile endpoint only has no others to try.
        let may_try = |server: &&Server| server.endpoint.service == service && server.stated.guard.has_share(now);
        let endpoint_count = self.servers.values().filter(may_try).count();
        let reachability = self.reachability.entry(service.to_owned()).or_default();
        let is_newly_lost = reachability.record_failure(now, endpoint, endpoint_count);
        if is_newly_lost {
            tracing::warn!(service, endpoints = endpoint_count, cause, "no endpoint of the service can be reached");
            self.count_unreachable_services();
        }
        is_newly_lost
    }

    /// Ends the backoffs of a service's endpoints and forgets their failures. While the path was
    /// lost they were due to it, and so were the broken runs by which its loss began.
    fn forget_failures(&mut self, service: &str) {
        let now = clock::now();
        for server in self.servers.values_mut().filter(|server| server.endpoint.service == service) {
            server.failed_connections = 0;
            server.backoff_until = Duration::ZERO;
            server.failure_rate = DecayingMean { value: 0.0, updated_at: now };
        }
        self.invalidate_pools();
    }

    /// Whether this instance reaches endpoints of every service.
    pub(in crate::dispatcher) fn reaches_services(&self, now: Duration) -> bool {
        self.lost_services(now).next().is_none()
    }

    fn lost_services(&self, now: Duration) -> impl Iterator<Item = u32> {
        let lost = self.reachability.keys().filter(move |service| self.reach(service, now) == Reach::Lost);
        lost.map(|service| short_hash(service))
    }

    fn unreachable_services(&self) -> impl Iterator<Item = &String> {
        self.reachability.keys().filter(|service| self.reach(service, clock::now()) != Reach::Sound)
    }

    #[expect(clippy::cast_precision_loss, reason = "services are far fewer than 2^53")]
    fn count_unreachable_services(&self) {
        metrics::gauge!("relay_unreachable_services").set(self.unreachable_services().count() as f64);
    }
}
