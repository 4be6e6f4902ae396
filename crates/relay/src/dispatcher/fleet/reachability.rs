//! Services whose endpoints this instance cannot reach.

use route::relay::reachability::Reachability;

use super::{Fleet, Run};
use crate::clock;

impl Run {
    /// Records that the connection to the endpoint was made.
    pub fn record_connection(&self) {
        let now = clock::now();
        let service = &self.endpoint.service;
        let fleet = &mut self.dispatcher.lock().fleet;
        let Some(reachability) = fleet.reachability.get_mut(service) else { return };
        let Some(duration) = reachability.record_connection(now) else { return };
        tracing::info!(service, lost_for_ms = clock::millis(duration), "service reachable again");
        fleet.count_unreachable_services();
    }
}

impl Run {
    /// Records that no connection to the endpoint could be made.
    pub fn record_failed_connection(&self, cause: &str) {
        let fleet = &mut self.dispatcher.lock().fleet;
        let Some(endpoint) = fleet.servers.get(self.key).map(|server| server.hash) else { return };
        fleet.record_failed_connection(&self.endpoint.service, endpoint, cause);
    }
}

impl Fleet {
    /// Records that no connection to an endpoint could be made.
    pub(super) fn record_failed_connection(&mut self, service: &str, endpoint: u32, cause: &str) {
        let endpoint_count = self.endpoints_of(service).count();
        let reachability = self.reachability.entry(service.to_owned()).or_insert_with(Reachability::default);
        if reachability.record_failure(clock::now(), endpoint, endpoint_count) {
            tracing::warn!(service, endpoints = endpoint_count, cause, "no endpoint of the service can be reached");
            self.count_unreachable_services();
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "services are far fewer than 2^53")]
    fn count_unreachable_services(&self) {
        let count = self.reachability.values().filter(|reachability| reachability.is_lost()).count();
        metrics::gauge!("relay_unreachable_services").set(count as f64);
    }
}
