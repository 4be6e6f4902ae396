//! Endpoints that have turned this instance away and asked it for a pause.
//!
//! A pause is a matter between an endpoint and one instance. The others are not told of it, and
//! may go on sending to the endpoint.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::{Server, start_hash};
use crate::{clock, dispatcher::Dispatcher, source::Endpoint};

/// Longest pause. An endpoint that wants a longer one gets a request after this time, and can ask
/// again. It limits the damage of a time that is meant in milliseconds.
const MAX_PAUSE: Duration = Duration::from_mins(10);

impl Dispatcher {
    /// Records that an endpoint has asked this instance to send it nothing for a while.
    pub(super) fn record_pause(&self, endpoint: &Endpoint, pause: Duration, now: Duration) {
        let mut state = self.lock();
        let start = start_hash(endpoint);
        let stated = state.fleet.stated(start, now);
        let is_new = stated.paused_until <= now;
        stated.paused_until = stated.paused_until.max(now + pause.min(MAX_PAUSE));
        if is_new {
            tracing::info!(endpoint = endpoint.id, pause_ms = clock::millis(pause), "endpoint asks for a pause");
            metrics::counter!("relay_endpoint_pauses_total", "service" => endpoint.service.clone()).increment(1);
            state.fleet.invalidate_pools();
            let me = state.peers.me;
            let withdrawal = state.fleet.server_by_hash(start).and_then(|server| server.withdrawal(me, now));
            if let Some(withdrawal) = withdrawal {
                state.queue_withdrawal(withdrawal);
                self.withdrawals_ready.notify_one();
            }
        }
    }

    /// Returns the time after which a caller should come back if all available endpoints of a
    /// service have asked for a pause, or `None` if one has not.
    ///
    /// It is the rest of the pause of an endpoint drawn by its slots. Callers then return as
    /// endpoints do; all at the end of the first pause would be too many for that one.
    #[must_use]
    pub fn pause_left(&self, service: &str) -> Option<Duration> {
        let now = clock::now();
        let state = self.lock();
        let available: Vec<&Server> = state.fleet.in_service(service, now).collect();
        if !available.iter().all(|server| server.is_paused(now)) {
            return None;
        }
        let drawn = available.choose_weighted(&mut rand::rng(), |server| server.endpoint.slots.max(1)).ok()?;
        Some(drawn.stated.paused_until.saturating_sub(now))
    }
}

impl Server {
    /// Whether the endpoint has asked this instance for a pause that has not ended.
    pub(super) fn is_paused(&self, now: Duration) -> bool {
        now < self.stated.paused_until
    }
}
