//! Runs in progress, and the effect of their outcomes on the statistics of endpoints.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use route::relay::{
    canary::{self, Lateness, Tally},
    content::Work,
    placement::Choice,
};

use super::{BaselineKey, Key, LatencyKey, answers::AnswerKey, initial_latency, paces::PaceReference};
use crate::{
    clock,
    dispatcher::{
        Dispatcher, State,
        crashes::{MAX_PART_CRASH_TIME, UnfinishedRun},
        rollouts::{Arm, Basis},
    },
    source::Endpoint,
};

/// Backoff after a failed connection; it doubles with each further failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum backoff after failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Time for which an endpoint counts as full after it refused a run.
const FULL_PERIOD: Duration = Duration::from_millis(150);

/// Weight of an observation in a service's usual lateness, which thus covers some fifty
/// observations.
const USUAL_LATENESS_WEIGHT: f64 = 0.02;

/// A run in progress; dropping it removes its load from the endpoint.
#[derive(Debug)]
pub struct Run {
    pub(super) dispatcher: Arc<Dispatcher>,
    /// Key of the endpoint.
    pub key: Key,
    /// Registration of the endpoint when the run was placed.
    pub endpoint: Arc<Endpoint>,
    /// Address of the endpoint from which the shared part is copied.
    pub source: Option<SocketAddr>,
    /// Version of a roll-out for which the run counts as evidence.
    pub arm: Arm,
    /// Session that is kept on an old version while a new one is on trial.
    pub(super) old_session: Option<u64>,
    /// The placement decision.
    pub choice: Choice,
    /// Prompt reading that the run adds to the endpoint's backlog, in milliseconds.
    pub(super) backlog_ms: f64,
    /// Part of `backlog_ms` that was announced to the other instances by a notice.
    pub(super) announced_ms: f64,
    /// Expected time to the first byte if no endpoint were late, in milliseconds.
    pub(super) nominal_ms: f64,
    /// Expected time to the first byte without a wait for other runs, in milliseconds.
    pub(super) idle_ms: f64,
    /// Expected time to the first byte, in milliseconds.
    pub(super) expected_ms: f64,
    pub(super) latency_key: LatencyKey,
    /// Prompt reading to do, in units of `selection::reading_units`.
    pub(super) units: f64,
    /// Expected time to the first byte if the endpoint is as fast as its peers, in milliseconds.
    pub(super) reference_ms: f64,
    /// Name of the request's route.
    pub(super) route: String,
    /// Whether the request was sent and the run does not count as evidence yet.
    pub(super) is_verdict_due: bool,
    /// When the run was placed.
    pub(super) started: Duration,
    /// When the first byte was received.
    pub(super) began_at: Option<Duration>,
    /// The answer, from its first byte until its end.
    pub(super) answer: Option<AnswerKey>,
    /// Whether the answer has gone on for long enough to show that the prompt's parts are sound.
    pub(super) shows_sound_parts: bool,
    /// Whether events of the answer have paused for longer than their target.
    pub(super) was_interrupted: bool,
    /// The request, from when it is sent until the run's outcome is known.
    pub(super) work: Option<Work>,
    /// What the run's time is compared with to learn the endpoint's pace.
    pub(super) pace: PaceReference,
    /// Tokens that the run takes of the engine's memory.
    pub(super) memory_tokens: u64,
}

/// Outcome of a run, for the endpoint's statistics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// A good answer.
    Good,
    /// An answer that reports a failure of the server.
    Failed,
    /// The answer broke off, was malformed, or did not come in time.
    Broken,
    /// The request was not sent, or its end says nothing about the endpoint.
    Unsent,
    /// The endpoint refused the run without starting it, as full endpoints do.
    Full,
    /// The connection failed.
    Unreachable,
    /// The connection was refused, since no process listens at the address any more.
    Down,
    /// Another server at the endpoint's address refused the run.
    Replaced,
}

impl Run {
    /// Records that the request is sent.
    pub fn mark_sent(&mut self, work: Work) {
        self.work = Some(work);
        self.is_verdict_due = true;
        let mut state = self.dispatcher.lock();
        let sent = Tally { sent: 1, ..Tally::default() };
        state.rollouts.count(&self.endpoint.service, &self.route, self.arm, sent);
    }

    /// Leaves the run's outcome out of the evidence about its version, as that of a request which has failed
    /// before: it may fail on any version.
    pub fn exclude_from_evidence(&mut self) {
        self.is_verdict_due = false;
    }

    /// Returns what this instance knows of the version that the request is sent to, or `None` if the
    /// version is not under roll-out.
    #[must_use]
    pub fn rollout_basis(&self) -> Option<Basis> {
        if self.arm == Arm::Old {
            return None;
        }
        self.dispatcher.lock().rollouts.basis(&self.endpoint.service, &self.route, clock::now())
    }

    /// Records that the endpoint goes on with a run that had been recorded as broken. The run has counted
    /// as evidence about its version then.
    pub fn record_return(&mut self, work: Work) {
        self.work = Some(work);
    }

    /// Records that the first byte was received, so that the prompt has been read.
    pub fn record_first_byte(&mut self) {
        let now = clock::now();
        self.began_at = Some(now);
        let took = clock::millis(now.saturating_sub(self.started));
        let dispatcher = Arc::clone(&self.dispatcher);
        let mut state = dispatcher.lock();
        self.remove_backlog(&mut state);
        let fleet = &mut state.fleet;
        if let Some(work) = self.work.clone().filter(|work| !work.parts.is_empty()) {
            self.answer = Some(fleet.answers.add(work, now));
        }
        if let Some(server) = fleet.servers.get_mut(self.key) {
            server.stated.guard.record_acceptance(self.started);
            server.failed_connections = 0;
            server.last_received = now;
        }
        if fleet.was_lost_since(&self.endpoint.service, self.started) {
            return;
        }
        if let Some(server) = fleet.servers.get_mut(self.key) {
            let ratio = (took / self.nominal_ms.max(1.0)).clamp(0.1, 20.0);
            // Slowness is relative to the service's usual ratio. Otherwise an estimate that is
            // generally too low or too high would make every new endpoint look slow or fast.
            let usual_lateness = fleet.usual_lateness.entry(self.latency_key.service.clone()).or_insert(1.0);
            *usual_lateness += USUAL_LATENESS_WEIGHT * (ratio - *usual_lateness);
            server.slowness.observe(ratio / usual_lateness.max(0.1), 1.0, now);
        }
        self.record_response(fleet, took, now);
        let guess = initial_latency(self.latency_key.model);
        // The estimate is that of an average endpoint.
        let took_on_average = took / self.pace.pace;
        fleet.latencies.entry(self.latency_key.clone()).or_insert(guess).learn(self.units, took_on_average);
        let team = self.work.as_ref().map_or(0, |work| work.request.team);
        if !std::mem::take(&mut self.pace.is_counted) {
            fleet.observe_pace(self.key, &self.pace, self.baseline_key(), team, took, now);
        }
    }

    /// Records that more bytes of the answer were received.
    pub fn record_bytes(&mut self) {
        let now = clock::now();
        let mut state = self.dispatcher.lock();
        if let Some(server) = state.fleet.servers.get_mut(self.key) {
            server.last_received = now;
        }
        let has_gone_on = self.began_at.is_some_and(|began_at| now > began_at + MAX_PART_CRASH_TIME);
        if has_gone_on && !self.shows_sound_parts {
            self.shows_sound_parts = true;
            if let Some(work) = &self.work {
                state.record_sound_parts(work, now);
                self.dispatcher.notify_findings(&state);
            }
        }
    }

    /// Returns the time since a run of this instance last received bytes from the endpoint.
    #[must_use]
    pub fn silence(&self) -> Duration {
        let now = clock::now();
        self.dispatcher
            .lock()
            .fleet
            .servers
            .get(self.key)
            .map_or(Duration::MAX, |s| now.saturating_sub(s.last_received))
    }

    /// Returns the expected time from the dispatch to the first byte, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self) -> f64 {
        self.expected_ms
    }

    /// Records the outcome of the run.
    pub fn record_outcome(&mut self, outcome: RunOutcome) {
        let now = clock::now();
        let dispatcher = Arc::clone(&self.dispatcher);
        let mut state = dispatcher.lock();
        self.remove_backlog(&mut state);
        self.remove_answer(&mut state);
        match (outcome, self.work.take()) {
            (RunOutcome::Good, Some(work)) => state.record_success(&work, now),
            (RunOutcome::Broken, Some(work)) => {
                if self.began_at.is_none() && !state.fleet.was_lost_since(&self.endpoint.service, self.started) {
                    let took = clock::millis(now.saturating_sub(self.started));
                    state.fleet.observe_missing_answer(
                        self.key,
                        &self.pace,
                        self.baseline_key(),
                        work.request.team,
                        took,
                        now,
                    );
                    self.pace.is_counted = true;
                }
                self.record_unfinished(&mut state, work, now);
                self.record_missing_verdict(&mut state);
            }
            _ => {}
        }
        self.is_verdict_due = false;
        self.dispatcher.notify_findings(&state);
        let is_path_sound = !state.fleet.was_lost_since(&self.endpoint.service, self.started);
        let Some(server) = state.fleet.servers.get_mut(self.key) else { return };
        server.stated.guard.record_acceptance(self.started);
        match outcome {
            RunOutcome::Good => {
                server.failure_rate.observe(0.0, 0.0, now);
                server.failed_connections = 0;
            }
            RunOutcome::Unsent => {}
            RunOutcome::Broken if !is_path_sound => {}
            RunOutcome::Failed | RunOutcome::Broken => server.failure_rate.observe(1.0, 0.0, now),
            RunOutcome::Full => {
                server.full_until = now + FULL_PERIOD;
                let service = server.endpoint.service.clone();
                metrics::counter!("relay_full_rejections_total", "service" => service).increment(1);
                server.stated.guard.record_rejection(now, self.started);
            }
            // A request for a model that does not exist is refused in the same way, so a
            // single refusal may be the caller's fault. A first byte or a good answer
            // in between shows that the endpoint is alive.
            RunOutcome::Replaced if server.failed_connections == 0 => server.failed_connections = 1,
            RunOutcome::Unreachable | RunOutcome::Down | RunOutcome::Replaced => {
                let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(server.failed_connections.min(6));
                server.failed_connections += 1;
                server.backoff_until = now + backoff.min(MAX_BACKOFF);
                tracing::warn!(
                    endpoint = server.endpoint.id,
                    how = ?outcome,
                    misses = server.failed_connections,
                    "endpoint backing off after failed connection"
                );
            }
        }
    }

    /// Counts the run as evidence about its version, at the first byte of a stream or the end
    /// of another answer. One that took several times as long as usual counts as bad. A run counts once.
    pub fn record_verdict(&mut self, failed: bool) {
        if !std::mem::take(&mut self.is_verdict_due) {
            return;
        }
        let dispatcher = Arc::clone(&self.dispatcher);
        let mut state = dispatcher.lock();
        let relative = self.relative_time(&state);
        let is_slow = relative.is_some_and(canary::is_slow);
        let lateness = relative.map(Lateness::from_ratio).unwrap_or_default();
        let tally =
            Tally { sent: 0, runs: 1, failed: u32::from(failed), slow: u32::from(is_slow && !failed), lateness };
        state.rollouts.count(&self.endpoint.service, &self.route, self.arm, tally);
        if self.arm == Arm::Old && !state.fleet.was_lost_since(&self.endpoint.service, self.started) {
            let ratio = self.time_ratio();
            state.fleet.baselines.entry(self.baseline_key()).or_default().observe(ratio);
        }
    }

    /// Counts a run that ends without an answer as evidence if it has taken several times as
    /// long as usual. Otherwise a version would be judged by its quick answers only.
    fn record_missing_verdict(&mut self, state: &mut State) {
        if !std::mem::take(&mut self.is_verdict_due) {
            return;
        }
        if let Some(relative) = self.relative_time(state).filter(|relative| canary::is_slow(*relative)) {
            let tally = Tally { runs: 1, slow: 1, lateness: Lateness::from_ratio(relative), ..Tally::default() };
            state.rollouts.count(&self.endpoint.service, &self.route, self.arm, tally);
        }
    }

    /// Returns the run's time so far relative to the old version's usual time, if it is known
    /// and the path to the service was sound.
    fn relative_time(&self, state: &State) -> Option<f64> {
        if state.fleet.was_lost_since(&self.endpoint.service, self.started) {
            return None;
        }
        state.fleet.baselines.get(&self.baseline_key())?.relative(self.time_ratio())
    }

    /// Returns the ratio of the run's time so far to the expected time.
    fn time_ratio(&self) -> f64 {
        let took = clock::millis(clock::now().saturating_sub(self.started));
        (took / self.reference_ms.max(1.0)).clamp(0.1, 20.0)
    }

    fn baseline_key(&self) -> BaselineKey {
        BaselineKey { latency: self.latency_key.clone(), route: self.route.clone() }
    }

    /// Records that this instance abandoned the run without an answer; the endpoint may
    /// continue it.
    fn record_unfinished(&self, state: &mut State, work: Work, now: Duration) {
        if let Some(server) = state.fleet.server(self.key) {
            server.unfinished_runs().add(UnfinishedRun {
                work,
                sent_at: self.started,
                began_at: self.began_at,
                abandoned_at: now,
            });
        }
    }

    /// Removes the answer from those in progress.
    fn remove_answer(&mut self, state: &mut State) {
        if let Some(answer) = self.answer.take() {
            state.fleet.answers.remove(answer);
        }
    }

    /// Removes the run's prompt reading from the endpoint's backlog.
    fn remove_backlog(&mut self, state: &mut State) {
        if let Some(server) = state.fleet.servers.get_mut(self.key) {
            server.backlog_ms = (server.backlog_ms - self.backlog_ms).max(0.0);
            server.announced_ms = (server.announced_ms - self.announced_ms).max(0.0);
        }
        self.backlog_ms = 0.0;
        self.announced_ms = 0.0;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let dispatcher = Arc::clone(&self.dispatcher);
        let mut state = dispatcher.lock();
        self.remove_backlog(&mut state);
        self.remove_answer(&mut state);
        if let Some(work) = self.work.take() {
            self.record_unfinished(&mut state, work, clock::now());
        }
        self.record_missing_verdict(&mut state);
        if let Some(session) = self.old_session {
            state.rollouts.end_old_run(session, clock::now());
        }
        self.record_run_time(&mut state.fleet, clock::now());
        if let Some(server) = state.fleet.servers.get_mut(self.key) {
            server.runs = server.runs.saturating_sub(1);
            server.memory_tokens = server.memory_tokens.saturating_sub(self.memory_tokens);
        }
    }
}
