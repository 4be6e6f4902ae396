//! Roll-outs of new versions, as known to this instance.
//!
//! An order is an operator's instruction in the store to move a service to a new version.
//! The stage of the roll-out comes from the status in the store, from other instances and
//! from this instance's own evidence. The furthest stage wins and a revert outranks all
//! others, so a version that failed at one instance is abandoned at all others as soon as
//! they receive its report.

use std::{collections::HashMap, time::Duration};

use route::relay::canary::{self, Evidence, Progress, SETTLING_TIME, Stage, Tally};

use super::{Dispatcher, State};
use crate::{clock, rollout::Rollout};

/// Time after a version other than the current one is first seen for which its endpoints are
/// not used without an order.
/// An order and the registrations that it causes arrive through different watches, so the
/// registrations may come first.
const ORDER_WAIT: Duration = Duration::from_secs(6);

/// Roll-out state of all services.
#[derive(Debug, Clone, Default)]
pub struct Rollouts {
    services: HashMap<String, Service>,
    /// Sessions on an old version.
    sessions: HashMap<u64, OldSession>,
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
    /// Share of a service's requests that a bad version may receive.
    pub exposure: f64,
}

/// Versions and roll-out of a service.
#[derive(Debug, Clone, Default)]
struct Service {
    /// Versions of its endpoints, with the time when each was first seen.
    first_seen: HashMap<String, Duration>,
    /// Version in regular use.
    current_version: Option<String>,
    order: Option<Order>,
}

/// An ordered roll-out and its progress.
#[derive(Debug, Clone)]
struct Order {
    rollout: Rollout,
    stage: Stage,
    /// When the order was first seen at any instance.
    since: Duration,
    /// This instance's own evidence.
    own: Tallies,
    /// Start of the shift, if it has begun.
    shift: Option<Shift>,
}

/// Start of a roll-out's shift, as seen at this instance.
#[derive(Debug, Clone, Copy)]
struct Shift {
    since: Duration,
    /// Evidence of all instances about the new version until then.
    trial: Tally,
    /// That evidence when the new endpoints had settled.
    settled: Option<Tally>,
}

/// Evidence about both versions of a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tallies {
    /// Evidence about the new version.
    pub new: Tally,
    /// Evidence about the old version.
    pub old: Tally,
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
#[derive(Debug, Clone)]
pub struct Assignment {
    /// The new version of the roll-out, if there is one.
    target: Option<String>,
    /// Whether the request is assigned to the new version.
    takes_target: bool,
    /// Whether the roll-out was reverted.
    reverted: bool,
    /// Recently seen versions that no order covers yet.
    unordered: Vec<String>,
}

impl Assignment {
    /// Whether the request should run on a version.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        match &self.target {
            Some(target) => (target == version) == self.takes_target,
            None => !self.unordered.iter().any(|other| other == version),
        }
    }

    /// Whether the request may run on a version if no endpoint has a version that it should
    /// run on. The new version of a roll-out is not tolerated if the roll-out was reverted or
    /// the request is not assigned to the new version.
    #[must_use]
    pub fn tolerates(&self, version: &str) -> bool {
        match &self.target {
            Some(target) => target != version || (self.takes_target && !self.reverted),
            None => !self.unordered.iter().any(|other| other == version),
        }
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
    pub own: Tallies,
}

impl Rollouts {
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
        let Some(known) = self.services.get(service) else {
            return Assignment { target: None, takes_target: false, reverted: false, unordered: Vec::new() };
        };
        if let Some(order) = &known.order {
            let elapsed = now.saturating_sub(order.since);
            let takes_target =
                canary::uses_new_version(order.stage, elapsed, request.session, request.settled, request.exposure);
            return Assignment {
                target: Some(order.rollout.target.clone()),
                takes_target,
                reverted: order.stage == Stage::Reverted,
                unordered: Vec::new(),
            };
        }
        let unordered = known
            .first_seen
            .iter()
            .filter(|(version, seen)| known.current_version.as_ref() != Some(*version) && now < **seen + ORDER_WAIT)
            .map(|(version, _)| version.clone())
            .collect();
        Assignment { target: None, takes_target: false, reverted: false, unordered }
    }

    /// Returns all ordered roll-outs.
    pub(super) fn orders(&self) -> Vec<Rollout> {
        self.services.values().filter_map(|service| Some(service.order.as_ref()?.rollout.clone())).collect()
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
    pub(super) fn count(&mut self, service: &str, arm: Arm, tally: Tally) {
        let Some(order) = self.services.get_mut(service).and_then(|service| service.order.as_mut()) else { return };
        match arm {
            Arm::New => order.own.new = order.own.new.plus(tally),
            Arm::Old => order.own.old = order.own.old.plus(tally),
        }
    }
}

impl Order {
    fn progress(&self, now: Duration) -> Progress {
        Progress {
            stage: self.stage,
            elapsed: now.saturating_sub(self.since),
            shifting: self.shift.map_or(Duration::ZERO, |shift| now.saturating_sub(shift.since)),
            total: self.rollout.max_duration,
        }
    }

    /// Returns the evidence for the decision, from the sum of all instances' evidence.
    fn evidence(&self, sum: Tallies) -> Evidence {
        let settled = self.shift.and_then(|shift| shift.settled);
        Evidence {
            trial: self.shift.map_or(sum.new, |shift| shift.trial),
            in_shift: settled.map(|settled| sum.new.since(settled)).unwrap_or_default(),
            old: sum.old,
        }
    }
}

/// Returns the hash that identifies an order in news.
fn order_hash(rollout: &Rollout) -> u32 {
    super::fleet::short_hash(&format!("{}/{}", rollout.service, rollout.target))
}

/// Returns the further of two stages; a revert is the furthest.
fn furthest(a: Stage, b: Stage) -> Stage {
    let rank = |stage| match stage {
        Stage::Trial => 0,
        Stage::Shift => 1,
        Stage::Done => 2,
        Stage::Reverted => 3,
    };
    if rank(b) > rank(a) { b } else { a }
}

impl Dispatcher {
    /// Applies an order or a new status of it.
    pub fn apply_order(&self, rollout: Rollout) {
        let mut state = self.lock();
        let service = state.rollouts.services.entry(rollout.service.clone()).or_default();
        let stored_stage = rollout.stage.unwrap_or(Stage::Trial);
        match &mut service.order {
            Some(order) if order.rollout.target == rollout.target => {
                order.stage = furthest(order.stage, stored_stage);
                order.rollout = rollout;
            }
            _ => {
                tracing::info!(service = rollout.service, target = rollout.target, told = ?stored_stage, "roll-out ordered");
                service.order = Some(Order {
                    rollout,
                    stage: stored_stage,
                    since: clock::now(),
                    own: Tallies::default(),
                    shift: None,
                });
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
        let Some(known) = state.rollouts.services.get_mut(service) else { return };
        if let Some(order) = known.order.take()
            && order.stage == Stage::Done
        {
            known.current_version = Some(order.rollout.target);
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
        let state = self.lock();
        let orders = state.rollouts.services.values().filter_map(|service| service.order.as_ref());
        orders
            .map(|order| Report {
                order: order_hash(&order.rollout),
                stage: order.stage,
                elapsed: now.saturating_sub(order.since),
                own: order.own,
            })
            .collect()
    }

    /// Advances every roll-out by time, evidence and the reports of other instances. Returns
    /// those whose stage is not in the store yet.
    #[must_use]
    pub fn advance_rollouts(&self) -> Vec<(Rollout, Stage)> {
        let now = clock::now();
        let mut state = self.lock();
        let State { rollouts, peers, .. } = &mut *state;
        let mut unreported = Vec::new();
        for order in rollouts.services.values_mut().filter_map(|service| service.order.as_mut()) {
            let hash = order_hash(&order.rollout);
            let mut sum = order.own;
            for report in peers.reports(hash) {
                sum.new = sum.new.plus(report.own.new);
                sum.old = sum.old.plus(report.own.old);
                order.since = order.since.min(now.saturating_sub(report.elapsed));
                order.stage = furthest(order.stage, report.stage);
            }
            let elapsed = now.saturating_sub(order.since);
            if order.stage == Stage::Shift {
                let shift = order.shift.get_or_insert(Shift { since: now, trial: sum.new, settled: None });
                if now >= shift.since + SETTLING_TIME {
                    shift.settled.get_or_insert(sum.new);
                }
            }
            let next = canary::next_stage(order.progress(now), &order.evidence(sum));
            if next != order.stage {
                tracing::info!(
                    service = order.rollout.service,
                    target = order.rollout.target,
                    from = ?order.stage,
                    to = ?next,
                    elapsed_ms = clock::millis(elapsed),
                    new_runs = sum.new.runs,
                    new_bad = sum.new.bad,
                    old_runs = sum.old.runs,
                    old_bad = sum.old.bad,
                    new_typical_ratio = sum.new.lateness.typical_ratio(),
                    old_typical_ratio = sum.old.lateness.typical_ratio(),
                    "roll-out stage changed"
                );
                order.stage = next;
            }
            if order.rollout.stage.map(stored_form) != Some(stored_form(order.stage)) {
                unreported.push((order.rollout.clone(), order.stage));
            }
        }
        unreported
    }
}

/// Returns the stage as the store's status represents it, which does not distinguish a trial
/// from a shift.
fn stored_form(stage: Stage) -> Stage {
    match stage {
        Stage::Trial | Stage::Shift => Stage::Trial,
        Stage::Done | Stage::Reverted => stage,
    }
}
