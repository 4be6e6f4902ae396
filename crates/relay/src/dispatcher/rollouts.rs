//! Roll-outs of new versions, as known to this instance.
//!
//! An order is an operator's instruction in the store to move a service to a new version.
//! The stage of the roll-out comes from the status in the store, from other instances and
//! from this instance's own evidence. The furthest stage wins and a revert outranks all
//! others, so a version that failed at one instance is abandoned at all others as soon as
//! they receive its report.

mod order;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use route::relay::canary::{Bound, RouteTallies, Stage, Tally};

pub use self::order::Basis;
use self::order::Order;
use super::{Dispatcher, State, fleet::short_hash};
use crate::{clock, rollout::Rollout};

/// Time after a version other than the current one is first seen for which its endpoints are
/// not used without an order for it.
/// An order and the registrations that it causes arrive through different watches, so the
/// registrations may come first.
const ORDER_WAIT: Duration = Duration::from_secs(6);

/// Roll-out state of all services.
#[derive(Debug, Clone, Default)]
pub struct Rollouts {
    services: HashMap<String, Service>,
    /// Sessions on an old version.
    sessions: HashMap<u64, OldSession>,
    /// Names of routes by their hash in evidence.
    route_names: HashMap<u32, String>,
}

/// A session on an old version.
#[derive(Debug, Clone, Default)]
struct OldSession {
    /// Runs that have not ended.
    runs: u32,
    /// When a run last began or ended.
    seen: Duration,
}

impl OldSession {
    /// Whether the session goes on: its pauses, which are shorter than `lifetime`, begin at the end of a run.
    fn is_current(&self, now: Duration, lifetime: Duration) -> bool {
        self.runs > 0 || now < self.seen + lifetime
    }
}

/// Number of recorded sessions from which expired ones are removed before another is added.
/// Only the few sessions that take part in trials are recorded.
const SESSION_CLEANUP_THRESHOLD: usize = 4_096;

/// Maximum number of sessions in a news message, so that they fit in a datagram.
const MAX_SENT_SESSIONS: usize = 96;

/// Properties of a request by which it is assigned to a version.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Identifies the session, or the request if it has none.
    pub session: u64,
    /// Whether the session recently ran on the old version, at any instance.
    pub settled: bool,
    /// Requests of a service that a bad version may receive.
    pub bound: Bound,
}

/// Versions and roll-out of a service.
#[derive(Debug, Clone, Default)]
struct Service {
    /// Versions of its endpoints, with the time when each was first seen.
    first_seen: HashMap<String, Duration>,
    /// Version in regular use.
    current_version: Option<String>,
    /// Versions that were reverted and not ordered again. Their endpoints leave some seconds later.
    reverted: HashSet<String>,
    order: Option<Order>,
}

impl Service {
    /// Returns the versions other than the target of the order that may not be used: reverted ones, and
    /// recently seen ones that an order may still cover.
    fn barred_versions(&self, now: Duration) -> Vec<String> {
        let ordered_at = self.order.as_ref().map(Order::since);
        let is_unordered = |version: &str, seen: Duration| {
            self.current_version.as_deref() != Some(version)
                && now < seen + ORDER_WAIT
                && ordered_at.is_none_or(|at| seen > at)
        };
        let target = self.order.as_ref().map(|order| order.rollout.target.as_str());
        self.first_seen
            .iter()
            .filter(|(version, seen)| self.reverted.contains(*version) || is_unordered(version, **seen))
            .map(|(version, _)| version.clone())
            .filter(|version| target != Some(version))
            .collect()
    }

    /// Takes note of how an order ended before it is replaced or removed.
    fn end_order(&mut self) {
        let Some(order) = self.order.take() else { return };
        match order.stage() {
            Stage::Done => self.current_version = Some(order.rollout.target),
            Stage::Reverted => {
                self.reverted.insert(order.rollout.target);
            }
            Stage::Trial | Stage::Shift => {}
        }
    }
}

/// Version of a roll-out for which a run counts as evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// The new version.
    New,
    /// The old version.
    Old,
}

/// The versions that a request may run on.
#[derive(Debug, Clone, Default)]
pub struct Assignment {
    /// The new version of the roll-out, if there is one.
    target: Option<String>,
    /// Whether the request is assigned to the new version.
    takes_target: bool,
    /// Whether the roll-out was reverted.
    reverted: bool,
    /// Other versions that may not be used.
    barred: Vec<String>,
}

impl Assignment {
    /// Whether the request should run on a version.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        let is_assigned = self.target.as_deref().is_none_or(|target| (target == version) == self.takes_target);
        is_assigned && !self.bars(version)
    }

    /// Whether the request may run on a version if no endpoint has a version that it should
    /// run on. The new version of a roll-out is not tolerated if the roll-out was reverted or
    /// the request is not assigned to the new version.
    #[must_use]
    pub fn tolerates(&self, version: &str) -> bool {
        let is_target = self.target.as_deref() == Some(version);
        !self.bars(version) && (!is_target || (self.takes_target && !self.reverted))
    }

    fn bars(&self, version: &str) -> bool {
        self.barred.iter().any(|barred| barred == version)
    }

    /// Returns the arm for which a run on a version counts as evidence.
    #[must_use]
    pub fn arm(&self, version: &str) -> Arm {
        if self.target.as_deref() == Some(version) { Arm::New } else { Arm::Old }
    }
}

/// State of a roll-out as reported to other instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Hash of the service and its new version.
    pub order: u32,
    /// Stage at this instance.
    pub stage: Stage,
    /// Time since the order was first seen anywhere.
    pub elapsed: Duration,
    /// This instance's own evidence.
    pub own: RouteTallies,
}

impl Rollouts {
    fn orders_in_progress(&self) -> impl Iterator<Item = &Order> {
        self.services.values().filter_map(|service| service.order.as_ref())
    }

    /// Records that a service has endpoints of a version.
    pub(super) fn record_version(&mut self, service: &str, version: &str, now: Duration) {
        let service = self.services.entry(service.to_owned()).or_default();
        service.first_seen.entry(version.to_owned()).or_insert(now);
        if service.current_version.is_none() {
            service.current_version = Some(version.to_owned());
        }
    }

    /// Returns the versions that a request may run on.
    pub(super) fn assign(&self, service: &str, request: Request, now: Duration) -> Assignment {
        let Some(known) = self.services.get(service) else { return Assignment::default() };
        let order = known.order.as_ref();
        Assignment {
            target: order.map(|order| order.rollout.target.clone()),
            takes_target: order.is_some_and(|order| order.takes(request, now)),
            reverted: order.is_some_and(|order| order.stage() == Stage::Reverted),
            barred: known.barred_versions(now),
        }
    }

    /// Returns all ordered roll-outs.
    pub(super) fn orders(&self) -> Vec<Rollout> {
        self.orders_in_progress().map(|order| order.rollout.clone()).collect()
    }

    /// Records that a run of a session begins on an old version.
    pub(super) fn begin_old_run(&mut self, session: u64, now: Duration, lifetime: Duration) {
        if self.sessions.len() >= SESSION_CLEANUP_THRESHOLD {
            self.sessions.retain(|_, session| session.is_current(now, lifetime));
        }
        let session = self.sessions.entry(session).or_default();
        session.runs += 1;
        session.seen = now;
    }

    /// Records that a run that was begun has ended.
    pub(super) fn end_old_run(&mut self, session: u64, now: Duration) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.runs = session.runs.saturating_sub(1);
            session.seen = now;
        }
    }

    /// Whether a session runs on an old version here, or did so within `lifetime`.
    pub(super) fn ran_on_old_version(&self, session: u64, now: Duration, lifetime: Duration) -> bool {
        self.sessions.get(&session).is_some_and(|session| session.is_current(now, lifetime))
    }

    /// Adds evidence to a service's roll-out.
    pub(super) fn count(&mut self, service: &str, route: &str, arm: Arm, tally: Tally) {
        let Some(order) = self.services.get_mut(service).and_then(|service| service.order.as_mut()) else { return };
        let hash = short_hash(route);
        order.count(hash, arm, tally);
        self.route_names.entry(hash).or_insert_with(|| route.to_owned());
    }

    /// Returns what this instance knows of a version under roll-out, or `None` if its roll-out has ended.
    pub(super) fn basis(&self, service: &str, route: &str, now: Duration) -> Option<Basis> {
        self.services.get(service)?.order.as_ref()?.basis(short_hash(route), now)
    }
}

impl Dispatcher {
    /// Applies an order or a new status of it.
    pub fn apply_order(&self, rollout: Rollout) {
        let mut state = self.lock();
        let service = state.rollouts.services.entry(rollout.service.clone()).or_default();
        let stored_stage = rollout.stage.unwrap_or(Stage::Trial);
        match &mut service.order {
            Some(order) if order.rollout.target == rollout.target => {
                order.rollout = rollout;
                order.enter(stored_stage, "store", clock::now());
            }
            _ => {
                tracing::info!(service = rollout.service, target = rollout.target, told = ?stored_stage, "roll-out ordered");
                service.end_order();
                service.reverted.remove(&rollout.target);
                service.order = Some(Order::new(rollout, stored_stage, clock::now()));
            }
        }
    }

    /// Returns the version to which a service is ordered to move, if it is.
    #[must_use]
    pub fn known_target(&self, service: &str) -> Option<String> {
        let state = self.lock();
        Some(state.rollouts.services.get(service)?.order.as_ref()?.rollout.target.clone())
    }

    /// Removes a service's order that was deleted from the store.
    pub fn withdraw_order(&self, service: &str) {
        let mut state = self.lock();
        if let Some(known) = state.rollouts.services.get_mut(service) {
            known.end_order();
        }
    }

    /// Returns the sessions that recently ran on an old version here, to send with news.
    #[must_use]
    pub fn old_version_sessions(&self) -> Vec<u64> {
        let (now, lifetime) = (clock::now(), self.settings.max_session_pause);
        let mut state = self.lock();
        state.rollouts.sessions.retain(|_, session| session.is_current(now, lifetime));
        state.rollouts.sessions.keys().copied().take(MAX_SENT_SESSIONS).collect()
    }

    /// Returns this instance's state of all roll-outs, to send with news.
    #[must_use]
    pub fn rollout_reports(&self) -> Vec<Report> {
        let now = clock::now();
        self.lock().rollouts.orders_in_progress().map(|order| order.report(now)).collect()
    }

    /// Advances every roll-out by time, evidence and the reports of other instances. Returns
    /// those whose stage is not in the store yet.
    #[must_use]
    pub fn advance_rollouts(&self) -> Vec<(Rollout, Stage)> {
        let now = clock::now();
        let mut state = self.lock();
        let State { rollouts, peers, .. } = &mut *state;
        let Rollouts { services, route_names, .. } = rollouts;
        let (mut unreported, mut has_decided) = (Vec::new(), false);
        for order in services.values_mut().filter_map(|service| service.order.as_mut()) {
            let told: Vec<_> = peers.reports(order.hash()).collect();
            has_decided |= order.advance(&told, self.settings.max_exposure, route_names, now);
            unreported.extend(order.unreported());
        }
        if has_decided {
            self.stage_decided.notify_one();
        }
        unreported
    }

    /// Whether a version under roll-out gets all requests of its service, or may do so soon.
    #[must_use]
    pub fn decides_soon(&self) -> bool {
        let now = clock::now();
        self.lock().rollouts.orders_in_progress().any(|order| order.decides_soon(now))
    }

    /// Waits until this instance has decided to change the stage of a roll-out.
    pub async fn wait_for_decision(&self) {
        self.stage_decided.notified().await;
    }
}
