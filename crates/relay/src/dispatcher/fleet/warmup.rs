//! Endpoints that warm up and tolerate only a limited rate of requests until they are warm.
//!
//! A warming endpoint crashes under a rate that a warm one takes easily, and it attracts
//! requests: it is idle, and none of the instances knows what the others are sending there
//! at the same moment. So a few instances share its rate, as they share announced rate
//! limits ([`route::relay::throttle`]), and the others send it nothing.
//!
//! Unlike an announced limit, the rate must hold while instances are cut off from each
//! other. Instances that were heard from within the last minute therefore keep their
//! places among the senders, and an instance that may not know the others yet sends
//! nothing. If a fleet restarts while it is cut in two, each half divides the rate among its
//! own members, so each uses at most half of what the operator allows.

use std::time::Duration;

use route::relay::throttle::{self, Share};

use super::{Fleet, Key, Server};
use crate::{
    catalog::{Catalog, Warmup},
    dispatcher::{State, peers::Peers},
    settings::Settings,
};

/// Time between updates of this instance's shares.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Time after its start in which an instance may not know all others. Members of a fleet of
/// some hundred hear from each other within about two seconds.
const MEMBERSHIP_TIME: Duration = Duration::from_secs(4);

/// Number of groups of instances, unknown to each other, that together keep to the operator's
/// bound.
const MAX_SEPARATE_GROUPS: f64 = 2.0;

/// Largest part of the tolerated rate that is used.
const USABLE_FRACTION: f64 = 0.9;

/// The endpoints that warm up.
#[derive(Debug, Clone, Default)]
pub(super) struct WarmingEndpoints {
    keys: Vec<Key>,
    /// When the shares are to be computed next.
    next_update: Duration,
}

impl WarmingEndpoints {
    /// Has the shares recomputed before the next decision.
    pub(super) fn invalidate_shares(&mut self) {
        self.next_update = Duration::ZERO;
    }
}

impl State {
    /// Recomputes which endpoints warm up, and this instance's shares of their rates, if
    /// those are out of date.
    pub(super) fn update_warmups(&mut self, settings: &Settings, started_at: Duration, now: Duration) {
        let Fleet { servers, warming, withdrawals, .. } = &mut self.fleet;
        if now < warming.next_update {
            return;
        }
        let Some(catalog) = &self.catalog else { return };
        warming.next_update = if warming.keys.is_empty() { Duration::MAX } else { now + SHARE_UPDATE_INTERVAL };
        warming.keys.retain(|key| servers.get(*key).is_some_and(|server| now < server.warm_at));
        let may_send = self.draining_since.is_none() && self.peers.is_membership_known(settings, started_at, now);
        for key in &warming.keys {
            let Some(server) = servers.get_mut(*key) else { continue };
            let Some(Warmup { per_s, .. }) = warmup(catalog, &server.endpoint.service) else {
                server.warm_at = Duration::ZERO;
                continue;
            };
            let others = self.peers.remembered().filter(|instance| !withdrawals.is_paused(server.hash, *instance, now));
            let share = if may_send && !server.is_paused(now) {
                throttle::warmup_share(max_per_s(per_s, settings.warmup_excess), server.hash, self.peers.me, others)
            } else {
                Share::default()
            };
            server.warmup_throttle.record(now, throttle::Announcement { per_s: Some(per_s), at: now });
            server.warmup_throttle.set_share(now, share);
        }
        #[expect(clippy::cast_precision_loss, reason = "endpoints are far fewer than 2^53")]
        metrics::gauge!("relay_warming_endpoints").set(warming.keys.len() as f64);
    }

    /// Records that the endpoints of a failure domain warm up again, as they do when they
    /// have been without requests for a while.
    pub(in crate::dispatcher) fn restart_warmups(&mut self, domain: &str, now: Duration) {
        let Some(catalog) = &self.catalog else { return };
        let in_domain = self.fleet.servers.iter().filter(|(_, server)| server.endpoint.domain == domain);
        let warming: Vec<(Key, Duration)> = in_domain
            .filter_map(|(key, server)| {
                let Warmup { duration, .. } = warmup(catalog, &server.endpoint.service)?;
                Some((key, server.warm_at.max(now + duration)))
            })
            .collect();
        for (key, warm_at) in warming {
            self.fleet.set_warm_at(key, warm_at, now);
        }
    }
}

impl Peers {
    /// Whether an instance that started at `started_at` has had the time to hear from all
    /// others. One that has heard from none although it should is cut off from them, and
    /// cannot know how many send.
    fn is_membership_known(&self, settings: &Settings, started_at: Duration, now: Duration) -> bool {
        let has_seeds = settings.seeds.iter().any(|seed| *seed != settings.listeners.news);
        !has_seeds || (now >= started_at + MEMBERSHIP_TIME && self.remembered().next().is_some())
    }
}

impl Fleet {
    /// Records that an endpoint warms up until `warm_at`.
    pub(super) fn set_warm_at(&mut self, key: Key, warm_at: Duration, now: Duration) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.warm_at = warm_at;
        if now >= warm_at {
            return;
        }
        if !self.warming.keys.contains(&key) {
            self.warming.keys.push(key);
        }
        // The next decision must already apply the limit.
        self.warming.invalidate_shares();
    }
}

impl Server {
    /// Whether the endpoint is warm, or this instance's share of its rate permits a request.
    pub(super) fn may_send_while_warming(&self, now: Duration) -> bool {
        now >= self.warm_at || self.warmup_throttle.may_send(now)
    }

    /// Takes a token for a request that is sent while the endpoint warms up.
    pub(super) fn take_token_while_warming(&mut self, now: Duration) {
        if now < self.warm_at {
            self.warmup_throttle.take_token(now);
        }
    }

    /// Returns the time until the endpoint takes a request from this instance, or from any
    /// instance if this one has no share of its rate.
    pub(super) fn warmup_wait(&self, now: Duration) -> Duration {
        self.warmup_throttle.wait(now).min(self.warm_at.saturating_sub(now))
    }
}

/// Returns how many requests in any second the instances that know each other may send to a
/// warming endpoint that tolerates `per_s`, where the operator allows `excess` times that.
fn max_per_s(per_s: f64, excess: f64) -> f64 {
    per_s * (excess / MAX_SEPARATE_GROUPS).min(USABLE_FRACTION)
}

/// Returns how a service's endpoints warm up; `None` if they take any rate meanwhile.
fn warmup(catalog: &Catalog, service: &str) -> Option<Warmup> {
    catalog.services.get(service)?.warmup
}
