//! Endpoints that have turned this instance away and asked it for a pause.
//!
//! A pause is a matter between an endpoint and one instance. The others may go on sending to the
//! endpoint, and are told only where they take over a share ([`super::withdrawals`]).

use std::time::Duration;

use rand::seq::IndexedRandom;
use route::relay::throttle::Throttle;

use super::{Server, Stated, start_hash, withdrawals::RETURN_MARGIN};
use crate::{clock, dispatcher::Dispatcher, source::Endpoint};

/// Number of times that the rate of requests to an endpoint doubles after its pause before it is
/// unlimited. An endpoint whose pause ends before those of the others would get the requests of the
/// whole fleet otherwise, and have to ask for the next one.
const DOUBLINGS: u32 = 10;

/// Longest time in which that rate doubles. After a short pause it is half of the pause.
const MAX_DOUBLING_TIME: Duration = Duration::from_secs(1);

/// Shortest such time.
const MIN_DOUBLING_TIME: Duration = Duration::from_millis(10);

/// Longest pause. An endpoint that wants a longer one gets a request after this time, and can ask
/// again. It limits the damage of a time that is meant in milliseconds.
const MAX_PAUSE: Duration = Duration::from_mins(10);

impl Dispatcher {
    /// Records that an endpoint has asked this instance to send it nothing for a while.
    pub(super) fn record_pause(&self, endpoint: &Endpoint, pause: Duration, now: Duration) {
        let mut state = self.lock();
        let start = start_hash(endpoint);
        let stated = state.fleet.stated(start, now);
        let paused_before = stated.paused_until;
        let is_new = paused_before <= now;
        stated.paused_until = paused_before.max(now + pause.min(MAX_PAUSE));
        let is_longer = stated.paused_until > paused_before + RETURN_MARGIN;
        stated.return_throttle = Throttle::default();
        stated.doubling_time = (pause / 2).clamp(MIN_DOUBLING_TIME, MAX_DOUBLING_TIME);
        if let Some(key) = state.fleet.key_of(start) {
            state.fleet.limited.add(key);
        }
        if is_new {
            tracing::info!(endpoint = endpoint.id, pause_ms = clock::millis(pause), "endpoint asks for a pause");
            metrics::counter!("relay_endpoint_pauses_total", "service" => endpoint.service.clone()).increment(1);
            state.fleet.invalidate_pools();
        }
        if is_longer {
            self.queue_withdrawal(&mut state, start, now);
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
        let drawn =
            available.choose_weighted(&mut rand::rng(), |server| f64::from(server.endpoint.slots.max(1))).ok()?;
        Some(drawn.pause_left(now))
    }
}

impl Server {
    /// Whether the endpoint is not paused, and takes a request at the rate after a pause.
    pub(super) fn may_send_beside_pauses(&self, now: Duration) -> bool {
        let throttle = &self.stated.return_throttle;
        // The rate is set by the first update of shares after the pause.
        let is_within_rate = || throttle.limit(now).is_some() && throttle.may_send(now);
        !self.is_paused(now) && (!self.is_returning(now) || is_within_rate())
    }

    /// Takes a token for a request that is sent shortly after a pause.
    pub(super) fn take_token_while_returning(&mut self, now: Duration) {
        if self.is_returning(now) {
            self.stated.return_throttle.take_token(now);
        }
    }

    /// Returns the time until the endpoint takes a request as far as pauses are concerned.
    pub(super) fn pause_wait(&self, now: Duration) -> Duration {
        if self.is_returning(now) { self.stated.return_throttle.wait(now) } else { self.pause_left(now) }
    }

    /// Whether a pause has ended a short time ago.
    pub(super) fn is_returning(&self, now: Duration) -> bool {
        let Stated { paused_until, doubling_time, .. } = self.stated;
        (paused_until..paused_until + doubling_time * DOUBLINGS).contains(&now)
    }

    /// Returns the requests per second that all instances together send shortly after a pause. At
    /// first they fill the endpoint's slots once a second.
    pub(super) fn return_rate(&self, now: Duration) -> f64 {
        let doublings = now.saturating_sub(self.stated.paused_until).div_duration_f64(self.stated.doubling_time);
        f64::from(self.endpoint.slots.max(1)) * doublings.exp2()
    }

    fn pause_left(&self, now: Duration) -> Duration {
        self.stated.paused_until.saturating_sub(now)
    }

    /// Whether the endpoint has asked this instance for a pause that has not ended.
    pub(super) fn is_paused(&self, now: Duration) -> bool {
        now < self.stated.paused_until
    }
}
