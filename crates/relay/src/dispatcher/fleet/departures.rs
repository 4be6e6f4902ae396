//! Endpoints whose answers say that they leave.
//!
//! While the store cannot be reached, the registration of such an endpoint goes on saying that
//! it is ready, or expires and comes back as it was. So the endpoint's own word is kept apart
//! from its registration, by the hash of its start, and no registration takes it back.

use std::{collections::HashMap, time::Duration};

use super::{Fleet, Run, Server};
use crate::{clock, dispatcher::Dispatcher};

/// Time for which an endpoint's word holds. Endpoints that leave are gone long before. One that
/// was told to stay after all gets a request again then, and its answer shows that it stays.
const MAX_LEAVING_TIME: Duration = Duration::from_mins(10);

/// Starts of endpoints that have said that they leave, with the time until which that holds.
#[derive(Debug, Default)]
pub(super) struct Departures(HashMap<u32, Duration>);

impl Departures {
    /// Returns the time until which a start of an endpoint counts as leaving.
    pub fn leaving_until(&self, start: u32) -> Duration {
        self.0.get(&start).copied().unwrap_or_default()
    }
}

impl Run {
    /// Records that the endpoint's answer says that it leaves.
    pub fn record_departure(&self) {
        self.dispatcher.record_departure(super::start_hash(&self.endpoint));
    }
}

impl Dispatcher {
    /// Records that an endpoint has said that it leaves, to this instance or to another one that
    /// ran a request for it. `start` is the hash of the endpoint's start.
    pub fn record_departure(&self, start: u32) {
        let now = clock::now();
        let mut state = self.lock();
        let Fleet { departures, .. } = &mut state.fleet;
        departures.0.retain(|_, until| now < *until);
        let is_new = departures.0.insert(start, now + MAX_LEAVING_TIME).is_none();
        let Some(server) = state.fleet.server_by_hash(start) else { return };
        server.leaving_until = now + MAX_LEAVING_TIME;
        if is_new {
            tracing::info!(
                endpoint = server.endpoint.id,
                registered_as_draining = server.endpoint.draining,
                "endpoint says that it leaves"
            );
            state.fleet.invalidate_pools();
        }
    }
}

impl Server {
    /// Whether the endpoint is leaving, by its registration or its own word.
    pub(super) fn is_leaving(&self, now: Duration) -> bool {
        self.endpoint.draining || now < self.leaving_until
    }
}
