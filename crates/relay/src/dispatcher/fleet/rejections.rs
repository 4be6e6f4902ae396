//! Endpoints that survive few rejections: what they state, and this instance's share of it.

use std::time::Duration;

use route::relay::rejection::{self, Statement};

use super::{Announcement, Key, Run, short_hash};
use crate::{
    clock,
    dispatcher::{Dispatcher, State},
};

/// Time between updates of this instance's shares, which change as other instances join and
/// leave.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Endpoints that state how many rejections they survive.
#[derive(Debug, Default)]
pub(super) struct FragileEndpoints {
    keys: Vec<Key>,
    /// When this instance's shares were last computed.
    shares_updated_at: Duration,
}

impl Run {
    /// Records what the endpoint's answer states about rejections.
    pub fn record_max_rejections(&self, announced: Announcement<u32>) {
        let now = clock::now();
        let statement = match announced {
            Announcement::Nothing => return,
            Announcement::Limit(max_per_s) => Statement { max_per_s: Some(max_per_s), at: now },
            Announcement::NoLimit => Statement { max_per_s: None, at: self.started },
        };
        let mut state = self.dispatcher.lock();
        if statement.max_per_s.is_some() {
            state.extend_to_service(&self.endpoint.service, statement, now);
        }
        state.record_statement(self.key, statement, now);
    }
}

impl State {
    /// Applies a statement to the endpoints of its service that are not known to have a limit.
    /// A service's endpoints become fragile together, and one that has no request yet would get
    /// too many before its first answer. An answer of its own without a limit ends that.
    fn extend_to_service(&mut self, service: &str, statement: Statement, now: Duration) {
        let servers = self.fleet.servers.iter().filter(|(_, server)| server.endpoint.service == service);
        let unlimited = servers.filter(|(_, server)| server.guard.max_per_s(now).is_none()).map(|(key, _)| key);
        for key in unlimited.collect::<Vec<_>>() {
            self.record_statement(key, statement, now);
        }
    }

    fn record_statement(&mut self, key: Key, statement: Statement, now: Duration) {
        let Some(server) = self.fleet.servers.get_mut(key) else { return };
        let before = server.guard.max_per_s(now);
        server.guard.record(statement);
        let after = server.guard.max_per_s(now);
        if after == before {
            return;
        }
        tracing::info!(
            endpoint = server.endpoint.id,
            max_per_s = after,
            before,
            "number of rejections that the endpoint survives changed"
        );
        if !self.fleet.fragile.keys.contains(&key) {
            self.fleet.fragile.keys.push(key);
        }
        self.fleet.fragile.shares_updated_at = Duration::ZERO;
        self.update_rejection_shares(now);
    }

    /// Recomputes this instance's shares of all rejections if they are out of date.
    pub(super) fn update_rejection_shares(&mut self, now: Duration) {
        let super::Fleet { servers, fragile, .. } = &mut self.fleet;
        if fragile.keys.is_empty() || now < fragile.shares_updated_at + SHARE_UPDATE_INTERVAL {
            return;
        }
        fragile.shares_updated_at = now;
        fragile.keys.retain(|key| servers.get(*key).is_some_and(|server| server.guard.max_per_s(now).is_some()));
        for key in &fragile.keys {
            let Some(server) = servers.get_mut(*key) else { continue };
            let Some(max_per_s) = server.guard.max_per_s(now) else { continue };
            let service = short_hash(&server.endpoint.service);
            let others = self.peers.senders(service, now);
            let share = rejection::share(max_per_s, server.hash, self.peers.me, others);
            server.guard.set_share(share);
        }
    }
}

impl Dispatcher {
    /// Whether this instance may send requests to any endpoint of a service although some
    /// survive few rejections.
    #[must_use]
    pub fn has_rejection_share(&self, service: &str) -> bool {
        let now = clock::now();
        let state = self.lock();
        let fleet = &state.fleet;
        let mut in_service = fleet
            .servers
            .values()
            .filter(|server| server.endpoint.service == service && fleet.is_in_service(server))
            .peekable();
        in_service.peek().is_none() || in_service.any(|server| server.guard.has_share(now))
    }
}
