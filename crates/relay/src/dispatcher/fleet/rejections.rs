//! Endpoints that survive few rejections: what they state, and this instance's share of it.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use rand::seq::IteratorRandom;
use route::relay::rejection::{self, Share, Statement};

use super::{Fleet, Server, reachability::choose_untried, short_hash, start_hash};
use crate::{
    clock,
    dispatcher::{Dispatcher, State},
    source::Endpoint,
    statements::Announcement,
};

/// Time between updates of this instance's shares, which change as other instances join and
/// leave.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which an instance that reaches a service again sends nothing to its fragile
/// endpoints. The instances that took its shares over hear of its return meanwhile, by the
/// regular news.
const RETURN_DELAY: Duration = Duration::from_secs(2);

/// Number of endpoints of which one's senders get a request that this instance may not send.
const DRAWN_ENDPOINTS: usize = 3;

/// Services with endpoints that state how many rejections they survive.
#[derive(Debug, Clone, Default)]
pub(super) struct FragileServices {
    /// What is known of each, by its short hash.
    statements: HashMap<u32, ServiceStatements>,
    /// When this instance's shares were last computed.
    shares_updated_at: Duration,
}

/// What endpoints of one service state about rejections.
#[derive(Debug, Clone, Default)]
struct ServiceStatements {
    /// Last statement to any instance.
    latest: Option<Statement>,
    /// Last statement to this instance, which it tells the others. Were statements of others
    /// passed on as well, each hop would make them look younger, and none would ever expire.
    heard: Option<Statement>,
}

/// Statement of a service's endpoints, for other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionLimit {
    /// Short hash of the service's name.
    pub service: u32,
    /// Rejections per second that each endpoint survives; `None` if any number.
    pub max_per_s: Option<u32>,
    /// Time since the statement.
    pub age: Duration,
}

impl Dispatcher {
    /// Records what an endpoint states about rejections in its response to a request that was
    /// sent at `sent_at`.
    pub(super) fn record_max_rejections(
        &self,
        endpoint: &Endpoint,
        announced: Announcement<u32>,
        sent_at: Duration,
        now: Duration,
    ) {
        let statement = match announced {
            Announcement::Nothing => return,
            Announcement::Limit(max_per_s) => Statement { max_per_s: Some(max_per_s), at: now },
            Announcement::NoLimit => Statement { max_per_s: None, at: sent_at },
        };
        let mut state = self.lock();
        state.fleet.stated(start_hash(endpoint), now).guard.record(statement);
        let service = short_hash(&endpoint.service);
        if state.record_statement_of_service(service, statement, now) {
            let known = state.fleet.fragile.statements.entry(service).or_default();
            known.heard = Some(statement);
        }
    }
}

impl State {
    /// Records what an endpoint of a service states, and returns whether that is the latest
    /// statement. Services whose endpoints state no limit are not recorded.
    fn record_statement_of_service(&mut self, service: u32, statement: Statement, now: Duration) -> bool {
        let fragile = &mut self.fleet.fragile;
        if statement.max_per_s.is_none() && !fragile.statements.contains_key(&service) {
            return false;
        }
        let known = fragile.statements.entry(service).or_default();
        if known.latest.is_some_and(|known| known.at > statement.at) {
            return false;
        }
        let before = known.latest.replace(statement).filter(|known| known.is_in_force(now));
        let before = before.and_then(|before| before.max_per_s);
        if before != statement.max_per_s {
            let name = self.fleet.servers.values().find(|server| server.service_hash == service);
            tracing::info!(
                service = name.map(|server| server.endpoint.service.as_str()),
                max_per_s = statement.max_per_s,
                before,
                "number of rejections that endpoints of the service survive changed"
            );
            self.fleet.fragile.shares_updated_at = Duration::ZERO;
            self.update_rejection_shares(now);
        }
        true
    }

    /// Recomputes this instance's shares of all rejections if they are out of date.
    pub(super) fn update_rejection_shares(&mut self, now: Duration) {
        let fragile = &mut self.fleet.fragile;
        if fragile.statements.is_empty() || now < fragile.shares_updated_at + SHARE_UPDATE_INTERVAL {
            return;
        }
        fragile.shares_updated_at = now;
        let services: Vec<u32> = fragile.statements.keys().copied().collect();
        for service in services {
            self.update_shares_of_service(service, now);
        }
        self.fleet.fragile.statements.retain(|service, known| {
            let is_in_force = known.latest.is_some_and(|latest| latest.is_in_force(now));
            if !is_in_force {
                tracing::info!(service, "statement on the rejections that endpoints survive expired");
            }
            is_in_force
        });
    }

    /// Recomputes this instance's shares of the rejections of one service's endpoints.
    fn update_shares_of_service(&mut self, service: u32, now: Duration) {
        let since = now.saturating_sub(RETURN_DELAY);
        let may_send = self.draining_since.is_none() && !self.fleet.was_certainly_lost_since(service, now, since);
        // Instances that are not heard may still send: a cut between instances looks the same
        // as their end.
        let others: Vec<u64> = self.peers.remembered_senders(service).collect();
        let Fleet { servers, fragile, withdrawals, .. } = &mut self.fleet;
        let statement = fragile.statements.get(&service).and_then(|known| known.latest);
        for server in servers.values_mut().filter(|server| server.service_hash == service) {
            server.stated.guard.set_statement_of_service(statement);
            if let Some(max_per_s) = server.stated.guard.max_per_s(now) {
                let endpoint = rejection::Endpoint { hash: server.hash, slots: server.endpoint.slots, max_per_s };
                let is_active = |instance: &u64| !withdrawals.is_paused(server.hash, *instance, now);
                let share = endpoint.share(self.peers.me, others.iter().copied().filter(is_active));
                let may_send = may_send && !server.is_paused(now);
                server.stated.guard.set_share(if may_send { share } else { Share::default() });
            }
        }
    }
}

impl Fleet {
    /// Has the shares recomputed before the next decision.
    pub(super) fn invalidate_rejection_shares(&mut self) {
        self.fragile.shares_updated_at = Duration::ZERO;
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
        let is_candidate = |server: &&Server| server.endpoint.service == service && fleet.is_in_service(server, now);
        let mut in_service = fleet.servers.values().filter(is_candidate).peekable();
        in_service.peek().is_none() || in_service.any(|server| server.stated.guard.has_share(now))
    }

    /// Whether an endpoint of a service would get a request if this instance might cause more
    /// rejections.
    #[must_use]
    pub fn is_rejection_share_used_up(&self, service: &str) -> bool {
        let now = clock::now();
        let state = self.lock();
        let is_held_back = |server: &Server| {
            server.endpoint.service == service
                && server.backoff_until <= now
                && state.fleet.is_in_service(server, now)
                && server.may_send_beside_pauses(now)
                && server.stated.throttle.may_send(now)
                && server.may_send_while_warming(now)
                && !server.stated.guard.may_send(now, server.runs)
        };
        state.fleet.servers.values().any(is_held_back)
    }

    /// Returns the news address of another instance that may send requests to some fragile
    /// endpoint of a service and is not among `tried`.
    #[must_use]
    pub fn instance_with_rejection_share(&self, service: &str, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let now = clock::now();
        let state = self.lock();
        let fragile = state.fleet.servers.values().filter_map(|server| {
            let is_candidate = server.endpoint.service == service && state.fleet.is_in_service(server, now);
            let max_per_s = server.stated.guard.max_per_s(now).filter(|_| is_candidate)?;
            Some(rejection::Endpoint { hash: server.hash, slots: server.endpoint.slots, max_per_s })
        });
        let drawn = fragile.choose_multiple(&mut rand::rng(), DRAWN_ENDPOINTS);
        let (service, me) = (short_hash(service), state.peers.me);
        let senders_of = |endpoint: &rejection::Endpoint| {
            let is_active = |instance: &u64| !state.fleet.withdrawals.is_paused(endpoint.hash, *instance, now);
            endpoint.senders(state.peers.remembered_senders(service).chain([me]).filter(is_active))
        };
        let senders: HashSet<u64> = drawn.iter().flat_map(senders_of).collect();
        let candidates = state.peers.reaching(service, now).filter(|instance| senders.contains(&instance.name));
        choose_untried(candidates, tried)
    }

    /// Returns what endpoints have stated to this instance about rejections.
    #[must_use]
    pub fn rejection_limits(&self) -> Vec<RejectionLimit> {
        let now = clock::now();
        let state = self.lock();
        let heard = state.fleet.fragile.statements.iter().filter_map(|(service, known)| {
            let Statement { max_per_s, at } = known.heard.filter(|heard| heard.is_in_force(now))?;
            Some(RejectionLimit { service: *service, max_per_s, age: now.saturating_sub(at) })
        });
        heard.collect()
    }

    /// Applies what endpoints have stated to another instance.
    pub fn apply_rejection_limits(&self, limits: impl IntoIterator<Item = RejectionLimit>) {
        let now = clock::now();
        let mut state = self.lock();
        for RejectionLimit { service, max_per_s, age } in limits {
            state.record_statement_of_service(service, Statement { max_per_s, at: now.saturating_sub(age) }, now);
        }
    }
}
