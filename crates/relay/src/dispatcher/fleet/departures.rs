//! Endpoints whose answers say that they leave.
//!
//! While the store cannot be reached, the registration of such an endpoint goes on saying that
//! it is ready, or expires and comes back as it was. So no registration takes back what the
//! endpoint itself has said, to this instance or to another one.

use std::time::Duration;

use super::Server;
use crate::{
    clock,
    dispatcher::{Dispatcher, State},
};

/// Time for which an endpoint's word holds. Endpoints that leave are gone long before. One that
/// was told to stay after all gets a request again then, and its answer shows that it stays.
pub(super) const MAX_LEAVING_TIME: Duration = Duration::from_mins(10);

impl Dispatcher {
    /// Records that an endpoint has said that it leaves, in an answer to this instance or to
    /// another one that ran a request for it. `start` is the hash of the endpoint's start.
    pub fn record_departure(&self, start: u32) {
        let now = clock::now();
        let mut state = self.lock();
        if state.apply_departure(start, MAX_LEAVING_TIME, now) {
            self.queue_withdrawal(&mut state, start, now);
        }
    }

    /// Whether a service has endpoints, and all of them are leaving.
    #[must_use]
    pub fn are_endpoints_leaving(&self, service: &str) -> bool {
        let now = clock::now();
        let state = self.lock();
        state.fleet.endpoints_of(service).next().is_some()
            && state.fleet.staying_endpoints_of(service, now).next().is_none()
    }
}

impl State {
    /// Has an endpoint count as leaving for a time, and returns whether it did not before.
    pub(super) fn apply_departure(&mut self, start: u32, time: Duration, now: Duration) -> bool {
        if time.is_zero() {
            return false;
        }
        let stated = self.fleet.stated(start, now);
        let is_new = stated.leaving_until <= now;
        stated.leaving_until = stated.leaving_until.max(now + time);
        if is_new && let Some(server) = self.fleet.server_by_hash(start) {
            tracing::info!(
                endpoint = server.endpoint.id,
                registered_as_draining = server.endpoint.draining,
                "endpoint says that it leaves"
            );
            self.fleet.invalidate_pools();
        }
        is_new
    }
}

impl Server {
    /// Whether the endpoint is leaving, by its registration or its own word.
    pub(super) fn is_leaving(&self, now: Duration) -> bool {
        self.endpoint.draining || now < self.stated.leaving_until
    }
}
