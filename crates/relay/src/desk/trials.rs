//! Versions under roll-out, as this instance knows them.
//!
//! The order comes from the store, the stage from the store's status, from
//! other instances and from this one's own evidence; the furthest stage wins
//! and a revert beats all others, so a version that failed anywhere is left
//! everywhere as soon as the news arrives.

use std::{collections::HashMap, time::Duration};

use route::relay::canary::{self, Stage, Tally};

use super::{Desk, State};
use crate::{clock, rollout::Rollout};

/// Time that endpoints of an unknown version wait for their order: an order
/// and the registrations it brings about come by different watches.
const UNEXPLAINED: Duration = Duration::from_secs(6);

/// Versions of all services.
#[derive(Debug, Default)]
pub struct Trials {
    services: HashMap<String, Service>,
    sessions: HashMap<u64, Duration>,
}

/// Sessions remembered at most; those that meet versions on trial are few.
const MOST_SESSIONS: usize = 4_096;

/// Sessions told to others at most; a datagram holds them.
const TOLD_SESSIONS: usize = 96;

/// Whose requests are dealt to versions.
#[derive(Debug, Clone, Copy)]
pub struct Dealt {
    /// The session, or the request if it has none.
    pub session: u64,
    /// Whether the session was on the old version a moment ago, at any instance.
    pub settled: bool,
    /// Share of a service's requests that a bad version may get.
    pub exposure: f64,
}

#[derive(Debug, Default)]
struct Service {
    sightings: HashMap<String, Duration>,
    settled: Option<String>,
    order: Option<Order>,
}

#[derive(Debug)]
struct Order {
    rollout: Rollout,
    stage: Stage,
    since: Duration,
    own: Tallies,
}

/// Both versions' records.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tallies {
    /// The new version's.
    pub new: Tally,
    /// The old version's.
    pub old: Tally,
}

/// Whose record a run counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// The new version's.
    New,
    /// The old version's.
    Old,
}

/// Which versions a request may run on.
#[derive(Debug, Clone)]
pub struct Deal {
    target: Option<String>,
    meets: bool,
    reverted: bool,
    unexplained: Vec<String>,
}

impl Deal {
    /// Whether the request should run on a version.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        match &self.target {
            Some(target) => (target == version) == self.meets,
            None => !self.unexplained.iter().any(|other| other == version),
        }
    }

    /// Whether the request may run on a version when none that it should run
    /// on has an endpoint: never on a new one that is on trial or has failed.
    #[must_use]
    pub fn tolerates(&self, version: &str) -> bool {
        match &self.target {
            Some(target) => target != version || (self.meets && !self.reverted),
            None => !self.unexplained.iter().any(|other| other == version),
        }
    }

    /// Whose record a run on a version counts for.
    #[must_use]
    pub fn arm(&self, version: &str) -> Arm {
        if self.target.as_deref() == Some(version) { Arm::New } else { Arm::Old }
    }
}

/// A roll-out as it is told to other instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Hash of service and version.
    pub order: u32,
    /// How far it has come here.
    pub stage: Stage,
    /// Time since the order was first seen anywhere.
    pub elapsed: Duration,
    /// This instance's own evidence.
    pub own: Tallies,
}

impl Trials {
    /// Notes that a service has endpoints of a version.
    pub(super) fn sight(&mut self, service: &str, version: &str, now: Duration) {
        let service = self.services.entry(service.to_owned()).or_default();
        service.sightings.entry(version.to_owned()).or_insert(now);
        if service.settled.is_none() {
            service.settled = Some(version.to_owned());
        }
    }

    /// Which versions a request of a session may run on.
    pub(super) fn deal(&self, service: &str, dealt: Dealt, now: Duration) -> Deal {
        let Some(known) = self.services.get(service) else {
            return Deal { target: None, meets: false, reverted: false, unexplained: Vec::new() };
        };
        if let Some(order) = &known.order {
            let elapsed = now.saturating_sub(order.since);
            let meets = canary::meets(order.stage, elapsed, dealt.session, dealt.settled, dealt.exposure);
            return Deal {
                target: Some(order.rollout.target.clone()),
                meets,
                reverted: order.stage == Stage::Reverted,
                unexplained: Vec::new(),
            };
        }
        let unexplained = known
            .sightings
            .iter()
            .filter(|(version, seen)| known.settled.as_ref() != Some(*version) && now < **seen + UNEXPLAINED)
            .map(|(version, _)| version.clone())
            .collect();
        Deal { target: None, meets: false, reverted: false, unexplained }
    }

    /// Every order.
    pub(super) fn orders(&self) -> Vec<Rollout> {
        self.services.values().filter_map(|service| Some(service.order.as_ref()?.rollout.clone())).collect()
    }

    /// Notes that a session was on an old version.
    pub(super) fn settle(&mut self, session: u64, now: Duration, lasts: Duration) {
        if self.sessions.len() >= MOST_SESSIONS {
            self.sessions.retain(|_, seen| now < *seen + lasts);
        }
        self.sessions.insert(session, now);
    }

    /// Whether a session was on an old version here a moment ago.
    pub(super) fn settled(&self, session: u64, now: Duration, lasts: Duration) -> bool {
        self.sessions.get(&session).is_some_and(|seen| now < *seen + lasts)
    }

    /// Counts a run.
    pub(super) fn count(&mut self, service: &str, arm: Arm, tally: Tally) {
        let Some(order) = self.services.get_mut(service).and_then(|service| service.order.as_mut()) else { return };
        match arm {
            Arm::New => order.own.new = order.own.new.plus(tally),
            Arm::Old => order.own.old = order.own.old.plus(tally),
        }
    }
}

/// Hash that names an order in news.
fn order_hash(rollout: &Rollout) -> u32 {
    super::fleet::short_hash(&format!("{}/{}", rollout.service, rollout.target))
}

/// The stage that two parties' stages come to.
fn furthest(a: Stage, b: Stage) -> Stage {
    let rank = |stage| match stage {
        Stage::Trial => 0,
        Stage::Shift => 1,
        Stage::Done => 2,
        Stage::Reverted => 3,
    };
    if rank(b) > rank(a) { b } else { a }
}

impl Desk {
    /// Takes an order or its status in.
    pub fn order(&self, rollout: Rollout) {
        let mut state = self.lock();
        let service = state.trials.services.entry(rollout.service.clone()).or_default();
        let told = rollout.stage.unwrap_or(Stage::Trial);
        match &mut service.order {
            Some(order) if order.rollout.target == rollout.target => {
                order.stage = furthest(order.stage, told);
                order.rollout = rollout;
            }
            _ => {
                tracing::info!(service = rollout.service, target = rollout.target, ?told, "roll-out ordered");
                service.order = Some(Order { rollout, stage: told, since: clock::now(), own: Tallies::default() });
            }
        }
    }

    /// Forgets a service's order that was deleted.
    pub fn withdraw_order(&self, service: &str) {
        let mut state = self.lock();
        let Some(known) = state.trials.services.get_mut(service) else { return };
        if let Some(order) = known.order.take()
            && order.stage == Stage::Done
        {
            known.settled = Some(order.rollout.target);
        }
    }

    /// Sessions that were on an old version here a moment ago, for news.
    #[must_use]
    pub fn settled_sessions(&self) -> Vec<u64> {
        let (now, lasts) = (clock::now(), self.settings.session);
        let mut state = self.lock();
        state.trials.sessions.retain(|_, seen| now < *seen + lasts);
        state.trials.sessions.keys().copied().take(TOLD_SESSIONS).collect()
    }

    /// Roll-outs as this instance knows them, for news.
    #[must_use]
    pub fn trial_reports(&self) -> Vec<Report> {
        let now = clock::now();
        let state = self.lock();
        let orders = state.trials.services.values().filter_map(|service| service.order.as_ref());
        orders
            .map(|order| Report {
                order: order_hash(&order.rollout),
                stage: order.stage,
                elapsed: now.saturating_sub(order.since),
                own: order.own,
            })
            .collect()
    }

    /// Moves every roll-out on by time, evidence and other instances' word;
    /// returns those whose stage the store does not show yet.
    #[must_use]
    pub fn advance_trials(&self) -> Vec<(Rollout, Stage)> {
        let now = clock::now();
        let mut state = self.lock();
        let State { trials, peers, .. } = &mut *state;
        let mut unsaid = Vec::new();
        for order in trials.services.values_mut().filter_map(|service| service.order.as_mut()) {
            let hash = order_hash(&order.rollout);
            let mut sum = order.own;
            for report in peers.reports(hash) {
                sum.new = sum.new.plus(report.own.new);
                sum.old = sum.old.plus(report.own.old);
                order.since = order.since.min(now.saturating_sub(report.elapsed));
                order.stage = furthest(order.stage, report.stage);
            }
            let elapsed = now.saturating_sub(order.since);
            let next = canary::advance(order.stage, elapsed, order.rollout.over, sum.new, sum.old);
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
                    "roll-out moves on"
                );
                order.stage = next;
            }
            if order.rollout.stage.map(shown) != Some(shown(order.stage)) {
                unsaid.push((order.rollout.clone(), order.stage));
            }
        }
        unsaid
    }
}

/// A stage as far as the store's status tells stages apart.
fn shown(stage: Stage) -> Stage {
    match stage {
        Stage::Trial | Stage::Shift => Stage::Trial,
        Stage::Done | Stage::Reverted => stage,
    }
}
