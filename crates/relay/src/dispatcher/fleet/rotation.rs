//! Endpoints chosen in turns, with `placement: balanced`.
//!
//! The state is this instance's own: the virtual clock of a service's rotation, when each endpoint
//! is due in it, and the response times of this instance's runs. Only a send changes it, so that
//! asking where a request would go does not.

use std::{collections::HashMap, time::Duration};

use route::relay::{
    balance::{self, Pace, Turn},
    placement::{Candidate, Choice, Request},
};

use super::{Fleet, Key, Run, Server};
use crate::{clock, settings::Placement};

/// Weight of an observation in the usual response time and run time of a service, which thus
/// cover some fifty observations.
const USUAL_WEIGHT: f64 = 0.02;

/// Place of an endpoint in its service's rotation.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Place {
    /// Virtual time at which it is due; `None` before the first send.
    due: Option<f64>,
    /// Response times of this instance's runs there.
    pace: Pace,
    /// When this instance last sent a run there while it had no other one there.
    pub(super) busy_since: Duration,
    /// Mean time at which the runs of other instances there were reported.
    pub(super) reported_at: Option<Duration>,
}

/// Rotation of this instance through the endpoints of each service.
#[derive(Debug, Clone, Default)]
pub(super) struct Rotations(HashMap<String, Rotation>);

#[derive(Debug, Clone, Default)]
struct Rotation {
    /// Virtual time.
    clock: f64,
    /// Mean logarithm of the ratio of actual to expected response times; `None` before the first.
    usual_log: Option<f64>,
    /// Mean time that a run takes, in milliseconds; `None` before the first.
    run_ms: Option<f64>,
}

/// The state of a rotation after a send.
#[derive(Debug)]
pub(super) struct NextTurn {
    clock: f64,
    /// When the chosen endpoint and those that entered the rotation are due.
    due: Vec<(Key, f64)>,
    /// What the decision was based on, for metrics.
    basis: Basis,
}

/// Properties of the information on which a choice was based.
#[derive(Debug, Clone, Copy)]
struct Basis {
    /// Mean age of the reported runs of other instances; `None` if there are none.
    age: Option<Duration>,
    /// Largest number of runs for each slot of an endpoint, divided by the mean.
    spread: f64,
}

/// What an endpoint is chosen for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Task<'a> {
    pub service: &'a str,
    pub request: Request,
    /// Stands for this instance.
    pub seed: u64,
}

/// Number of runs, and an age that applies to all of them.
#[derive(Debug, Clone, Copy, Default)]
struct Reported {
    runs: f64,
    age: Duration,
}

impl Fleet {
    /// Chooses an endpoint in turn. Replaces the reported runs of the candidates by the runs that
    /// are expected now.
    pub(super) fn choose_in_turn(
        &self,
        task: &Task<'_>,
        servers: &[(Key, &Server)],
        candidates: &mut [Candidate<'_>],
        now: Duration,
    ) -> Option<(Choice, NextTurn)> {
        let Task { service, request, seed } = *task;
        let rotation = self.rotations.0.get(service);
        let run_ms = rotation.and_then(|rotation| rotation.run_ms).unwrap_or(request.first_byte_ms);
        let run_time = Duration::from_secs_f64(run_ms.max(0.0) / 1_000.0);
        let (age, others) = estimate_loads(servers, candidates, run_time, now);
        let turn = |(((_, server), candidate), others): ((&(Key, &Server), &Candidate<'_>), f64)| {
            let Place { due, pace, .. } = server.rotation;
            let is_silent = server.silence(now).is_some_and(|silence| {
                balance::is_silent(silence, run_time, candidate.backlog_ms + candidate.reported_backlog_ms)
            });
            Turn { due, others, pace: pace.factor(candidate.pace, now), is_full: server.full_until > now, is_silent }
        };
        let turns: Vec<Turn> = servers.iter().zip(candidates.iter()).zip(others).map(turn).collect();
        let clock = rotation.map_or(0.0, |rotation| rotation.clock);
        let balanced = balance::choose(candidates, &turns, request, clock, seed)?;
        let basis = Basis { age, spread: spread(candidates) };
        let chosen = (balanced.choice.index, balanced.due);
        let due = balanced.entered.into_iter().chain([chosen]).map(|(index, due)| (servers[index].0, due));
        Some((balanced.choice, NextTurn { clock: balanced.clock, due: due.collect(), basis }))
    }

    /// Records that a request of a service is sent to the endpoint that was chosen.
    pub(super) fn take_turn(&mut self, service: &str, turn: &NextTurn) {
        for (key, due) in &turn.due {
            if let Some(server) = self.servers.get_mut(*key) {
                server.rotation.due = Some(*due);
            }
        }
        self.rotations.0.entry(service.to_owned()).or_default().clock = turn.clock;
        if let Some(age) = turn.basis.age {
            metrics::histogram!("relay_load_age_ms", "service" => service.to_owned()).record(clock::millis(age));
        }
        metrics::gauge!("relay_load_spread", "service" => service.to_owned()).set(turn.basis.spread);
    }

    /// Records the ratio of the actual to the expected response time of a run on an idle endpoint.
    fn record_response(&mut self, service: &str, key: Key, ratio: f64, now: Duration) {
        let log = ratio.max(f64::MIN_POSITIVE).ln();
        let rotation = self.rotations.0.entry(service.to_owned()).or_default();
        let usual_log = rotation.usual_log.get_or_insert(log);
        *usual_log += USUAL_WEIGHT * (log - *usual_log);
        let relative = ratio / usual_log.exp();
        if let Some(server) = self.servers.get_mut(key) {
            server.rotation.pace.observe(relative, now);
        }
    }

    /// Records how long a run took.
    fn record_run_time(&mut self, service: &str, took_ms: f64) {
        let rotation = self.rotations.0.entry(service.to_owned()).or_default();
        let run_ms = rotation.run_ms.get_or_insert(took_ms);
        *run_ms += USUAL_WEIGHT * (took_ms - *run_ms);
    }
}

impl Server {
    /// Returns how long this instance's runs there have got no bytes; `None` if there are none.
    fn silence(&self, now: Duration) -> Option<Duration> {
        let since = self.last_received.max(self.rotation.busy_since);
        (self.runs > 0).then(|| now.saturating_sub(since))
    }
}

impl Run {
    fn is_balanced(&self) -> bool {
        self.dispatcher.settings.policies.placement == Placement::Balanced
    }

    /// Records the time to the first byte in the rotation.
    pub(super) fn record_response(&self, fleet: &mut Fleet, took_ms: f64, now: Duration) {
        if self.is_balanced() {
            fleet.record_response(&self.endpoint.service, self.key, took_ms / self.idle_ms.max(1.0), now);
        }
    }

    /// Records the length of a run that was answered.
    pub(super) fn record_run_time(&self, fleet: &mut Fleet, now: Duration) {
        if self.is_balanced() && self.began_at.is_some() {
            fleet.record_run_time(&self.endpoint.service, clock::millis(now.saturating_sub(self.started)));
        }
    }
}

/// Replaces the reported runs and prompt backlogs of candidates by those that are expected now.
/// Returns the mean age of the reported runs and, for each candidate, the dependable number of them.
fn estimate_loads(
    servers: &[(Key, &Server)],
    candidates: &mut [Candidate<'_>],
    run_time: Duration,
    now: Duration,
) -> (Option<Duration>, Vec<f64>) {
    let reported = |server: &Server| {
        let age =
            |reported_at: Duration| Reported { runs: server.peer_load.runs, age: now.saturating_sub(reported_at) };
        server.rotation.reported_at.map_or_else(Reported::default, age)
    };
    let total: f64 = servers.iter().map(|(_, server)| reported(server).runs).sum();
    let slots: f64 = servers.iter().map(|(_, server)| f64::from(server.endpoint.slots)).sum();
    let runs_by_age: f64 =
        servers.iter().map(|(_, server)| reported(server)).map(|r| r.runs * r.age.as_secs_f64()).sum();
    let mean_age = (total > 0.0).then(|| Duration::from_secs_f64((runs_by_age / total).max(0.0)));
    let mut others = Vec::with_capacity(servers.len());
    for ((_, server), candidate) in servers.iter().zip(candidates) {
        let Reported { runs, age } = reported(server);
        let age = if runs > 0.0 { age } else { mean_age.unwrap_or_default() };
        let mean = total * f64::from(server.endpoint.slots) / slots.max(1.0);
        others.push(balance::dependable_runs(runs, mean, age, run_time));
        candidate.runs += balance::runs_now(runs, mean, age, run_time) - server.peer_load.runs;
        candidate.reported_backlog_ms = balance::backlog_now(candidate.reported_backlog_ms, age);
    }
    (mean_age, others)
}

/// Returns the largest number of runs for each slot, divided by the mean; 1 if there are no runs.
fn spread(candidates: &[Candidate<'_>]) -> f64 {
    let relative = |candidate: &Candidate<'_>| candidate.runs / f64::from(candidate.slots.max(1));
    let (runs, slots) =
        candidates.iter().fold((0.0, 0.0), |(runs, slots), c| (runs + c.runs, slots + f64::from(c.slots.max(1))));
    let largest = candidates.iter().map(relative).fold(0.0, f64::max);
    if runs > 0.0 { largest * slots / runs } else { 1.0 }
}
