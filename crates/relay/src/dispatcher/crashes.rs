//! Detects requests and parts of prompts that crash endpoints, and exchanges findings about
//! them with other instances and the store.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rand::seq::IteratorRandom;
use route::relay::{
    content::{Content, Work},
    quarantine::{Effect, Finding, MAX_PART_CRASHES_PER_REQUEST, REFUSAL_PERIOD},
};

use super::{Dispatcher, State, fleet::Key};
use crate::{
    clock,
    quarantine::Change,
    source::{Endpoint, Refused},
};

/// Time for which an abandoned run still counts as running at its endpoint. After this
/// instance drops an answer or the caller disconnects, the endpoint takes a moment to notice,
/// and the run may crash it meanwhile.
const UNFINISHED_RUN_LIFETIME: Duration = Duration::from_secs(2);

/// Time after the first byte of an answer in which a part of its prompt may crash the endpoint.
/// A run that has been answered on for longer was hit by another cause, and shows that its parts
/// are sound.
pub(super) const MAX_PART_CRASH_TIME: Duration = Duration::from_secs(1);

/// Maximum number of unfinished runs kept for an endpoint. A run that crashes it at once
/// is among the latest.
const MAX_UNFINISHED_RUNS: usize = 64;

/// Maximum number of findings kept for sending. They are sent within a turn of the
/// scheduler, so they pile up only while the socket does not accept them.
const MAX_UNSENT_FINDINGS: usize = 4_096;

/// Maximum number of changes kept until they are written to the store.
const MAX_UNWRITTEN_CHANGES: usize = 64;

/// Runs at an endpoint that this instance has abandoned without an answer, at most
/// one for each request content.
#[derive(Debug, Clone, Default)]
pub(super) struct UnfinishedRuns(Vec<UnfinishedRun>);

/// A run that was abandoned without an answer.
#[derive(Debug, Clone)]
pub(super) struct UnfinishedRun {
    /// The request.
    pub work: Work,
    /// When it was sent.
    pub sent_at: Duration,
    /// When the first byte of its answer was received.
    pub began_at: Option<Duration>,
    /// When it was abandoned.
    pub abandoned_at: Duration,
}

impl UnfinishedRun {
    /// Returns the time for which the endpoint had been answering it; zero if its first byte may
    /// have been lost with the endpoint.
    fn answer_time(&self) -> Duration {
        self.began_at.map_or(Duration::ZERO, |began_at| self.abandoned_at.saturating_sub(began_at))
    }
}

impl UnfinishedRuns {
    /// Adds a run that is abandoned now.
    pub(super) fn add(&mut self, run: UnfinishedRun) {
        let now = run.abandoned_at;
        let is_kept = |other: &UnfinishedRun| {
            other.work.request != run.work.request && now < other.abandoned_at + UNFINISHED_RUN_LIFETIME
        };
        self.0.retain(is_kept);
        if self.0.len() == MAX_UNFINISHED_RUNS {
            self.0.remove(0);
        }
        self.0.push(run);
    }

    /// Returns whether any run may still be active at `now`.
    fn is_any_active(&self, now: Duration) -> bool {
        self.0.iter().any(|run| now < run.abandoned_at + UNFINISHED_RUN_LIFETIME)
    }

    /// Removes all runs and returns those that may still run at `now`.
    fn take(&mut self, now: Duration) -> Vec<UnfinishedRun> {
        let mut runs = std::mem::take(&mut self.0);
        runs.retain(|run| now < run.abandoned_at + UNFINISHED_RUN_LIFETIME);
        runs
    }
}

impl State {
    /// Records a finding for each unfinished run of this instance at an endpoint that crashed.
    pub(super) fn record_crash(&mut self, key: Key, now: Duration) {
        let Some(server) = self.fleet.server(key) else { return };
        let (start, endpoint) = (server.hash(), server.endpoint());
        let runs = server.unfinished_runs().take(now);
        if runs.is_empty() {
            return;
        }
        tracing::warn!(endpoint = endpoint.id, requests = runs.len(), "endpoint crashed");
        metrics::counter!("relay_crashes_total", "service" => endpoint.service.clone()).increment(1);
        for run in runs {
            let earlier_crashes = self.quarantine.crash_count(now, run.work.request);
            let request = run.work.request;
            if self.quarantine.is_new_evidence(now, request, run.sent_at) {
                self.record_finding(Finding::Crash { content: request, start }, now);
            }
            if earlier_crashes < MAX_PART_CRASHES_PER_REQUEST {
                self.record_suspected_parts(&run, start, now);
            }
        }
    }

    /// Records that an endpoint, given by the hash of its start, crashed under the parts of a
    /// run's prompt.
    fn record_suspected_parts(&mut self, run: &UnfinishedRun, start: u32, now: Duration) {
        let answer_time = run.answer_time();
        if answer_time > MAX_PART_CRASH_TIME {
            return;
        }
        let sent_age = now.saturating_sub(run.sent_at);
        // A later part is refused first, see `route::relay::quarantine`.
        for part in run.work.parts.iter().copied().rev() {
            let is_suspect = self.quarantine.is_new_evidence(now, part, run.sent_at)
                && !self.fleet.answers.outlived(part, answer_time, now);
            if is_suspect {
                self.record_finding(Finding::PartCrash { part, start, sent_age }, now);
            }
        }
    }

    /// Records that a request was answered successfully.
    pub(super) fn record_success(&mut self, work: &Work, now: Duration) {
        for content in work.contents() {
            self.record_finding(Finding::EndedWell { content }, now);
        }
    }

    /// Records that an endpoint has gone on answering a request for longer than a part of its
    /// prompt would have taken to crash it.
    pub(super) fn record_sound_parts(&mut self, work: &Work, now: Duration) {
        for part in work.parts.iter() {
            self.record_finding(Finding::EndedWell { content: *part }, now);
        }
    }

    /// Applies a finding of this instance, and queues it for the other instances and the store.
    fn record_finding(&mut self, finding: Finding, now: Duration) {
        let effect = self.apply_finding(finding, now);
        if effect != Effect::None {
            tracing::info!(content = %finding.content(), ?finding, ?effect, "finding about a request recorded");
        }
        if effect != Effect::None && self.findings.len() < MAX_UNSENT_FINDINGS {
            self.findings.push(finding);
        }
        self.queue_finding_change(finding, effect);
    }

    /// Queues the change that a finding made for the store.
    fn queue_finding_change(&mut self, finding: Finding, effect: Effect) {
        let refused = Refused { content: finding.content(), since: unix_ms() };
        let change = match effect {
            Effect::Held => Change::Refuse(refused),
            Effect::Released => Change::Allow(refused),
            Effect::None | Effect::Counted | Effect::Cleared | Effect::Disproved => return,
        };
        self.queue_change(change);
    }

    fn queue_change(&mut self, change: Change) {
        if self.unwritten_changes.len() == MAX_UNWRITTEN_CHANGES {
            tracing::warn!(?change, "quarantine change not written to the store, too many are pending");
            return;
        }
        self.unwritten_changes.push_back(change);
    }

    /// Applies a finding to the quarantine and returns its effect.
    fn apply_finding(&mut self, finding: Finding, now: Duration) -> Effect {
        let effect = self.quarantine.apply(now, finding);
        log_effect(finding, effect);
        effect
    }
}

impl Dispatcher {
    /// Returns what a request is refused for because it crashes endpoints, the request itself or
    /// a part of its prompt, and for how much longer; `None` if neither is quarantined.
    #[must_use]
    pub fn remaining_quarantine(&self, work: &Work) -> Option<(Content, Duration)> {
        let now = clock::now();
        let quarantine = &self.lock().quarantine;
        let refused = work.contents().filter_map(|content| Some((content, quarantine.refusal_left(now, content)?)));
        refused.max_by_key(|(_, left)| *left)
    }

    /// Whether an endpoint has crashed while running a request that was not answered
    /// successfully since, or several under different requests with a part of its prompt.
    #[must_use]
    pub fn is_suspect(&self, work: &Work) -> bool {
        let now = clock::now();
        let quarantine = &self.lock().quarantine;
        quarantine.is_suspect(now, work.request)
            || work.parts.iter().any(|part| quarantine.crash_count(now, *part) > MAX_PART_CRASHES_PER_REQUEST)
    }

    /// Whether an endpoint is registered at an address.
    #[must_use]
    pub fn is_endpoint_address(&self, address: SocketAddr) -> bool {
        self.known_endpoints().iter().any(|endpoint| endpoint.address == address)
    }

    /// Returns at most `max` random other endpoints of any service, whose connections show
    /// whether an endpoint that refuses this instance has crashed; `None` if no request of this
    /// instance could be the cause.
    #[must_use]
    pub fn crash_witnesses(&self, key: Key, max: usize) -> Option<Vec<Arc<Endpoint>>> {
        let mut state = self.lock();
        let server = state.fleet.server(key)?;
        if !server.unfinished_runs().is_any_active(clock::now()) {
            return None;
        }
        Some(state.fleet.other_endpoints(key).choose_multiple(&mut rand::rng(), max))
    }

    /// Records the crash of an endpoint.
    pub fn record_crash(&self, key: Key) {
        let mut state = self.lock();
        state.record_crash(key, clock::now());
        self.notify_findings(&state);
    }

    /// Applies findings of another instance.
    pub fn apply_findings(&self, findings: impl IntoIterator<Item = Finding>) {
        let now = clock::now();
        let is_leader = self.is_leader();
        let mut state = self.lock();
        for finding in findings {
            let effect = state.apply_finding(finding, now);
            // The sender does not know that the request has succeeded since.
            if effect == Effect::Disproved && state.findings.len() < MAX_UNSENT_FINDINGS {
                state.findings.push(Finding::EndedWell { content: finding.content() });
            }
            // The instance that found the last crash may have missed earlier findings and so
            // not know that the request is quarantined now. The leader writes it to the store.
            let is_crash = matches!(finding, Finding::Crash { .. } | Finding::PartCrash { .. });
            if is_leader && effect == Effect::Held && is_crash {
                state.queue_finding_change(finding, effect);
            }
            // This instance's own unfinished runs may have caused the crash as well.
            if let Finding::Crash { start, .. } | Finding::PartCrash { start, .. } = finding
                && let Some(key) = state.fleet.key_of(start)
            {
                state.record_crash(key, now);
            }
        }
        self.notify_findings(&state);
    }

    /// Wakes the tasks that send findings and write quarantine changes, if there are any.
    pub(super) fn notify_findings(&self, state: &State) {
        if !state.findings.is_empty() {
            self.findings_ready.notify_one();
        }
        if !state.unwritten_changes.is_empty() {
            self.quarantine_changes_ready.notify_one();
        }
    }

    /// Records that a change was written to the store.
    pub fn record_stored_change(&self, change: Change) {
        let stored = &mut self.lock().stored_quarantine;
        match change {
            Change::Refuse(refused) => stored.insert(refused.content),
            Change::Allow(refused) => stored.remove(&refused.content),
        };
    }

    /// Whether anything is quarantined.
    #[must_use]
    pub fn has_quarantine(&self) -> bool {
        self.lock().quarantine.has_refusals(clock::now())
    }

    /// Returns what is quarantined and is known to be in the store.
    #[must_use]
    pub fn stored_quarantine(&self) -> HashSet<Content> {
        let now = clock::now();
        let mut state = self.lock();
        let State { quarantine, stored_quarantine, .. } = &mut *state;
        stored_quarantine.retain(|content| quarantine.refusal_left(now, *content).is_some());
        stored_quarantine.clone()
    }

    /// Records what the store lists as quarantined.
    pub fn record_stored_quarantine(&self, listed: HashSet<Content>) {
        self.lock().stored_quarantine.extend(listed);
    }

    /// Releases requests and parts from quarantine at all instances.
    pub fn release_quarantine(&self, contents: &HashSet<Content>) {
        let now = clock::now();
        let mut state = self.lock();
        for content in contents {
            tracing::warn!(%content, "released from quarantine, its record was deleted from the store");
            state.stored_quarantine.remove(content);
            state.record_finding(Finding::EndedWell { content: *content }, now);
        }
        // Their crashes were explained by what is released now.
        for part in state.quarantine.suspected_parts(now) {
            state.record_finding(Finding::EndedWell { content: part }, now);
        }
        self.notify_findings(&state);
    }

    /// Has the quarantine stored again after the store has lost it, by one instance.
    pub(super) fn store_quarantine_again(&self) {
        let is_leader = self.is_leader();
        let (now, unix_now) = (clock::now(), unix_ms());
        let mut state = self.lock();
        state.stored_quarantine.clear();
        if !is_leader {
            return;
        }
        for finding in state.quarantine.refused(now, MAX_UNWRITTEN_CHANGES) {
            if let Finding::Held { content, age } = finding {
                let since = unix_now.saturating_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
                state.queue_change(Change::Refuse(Refused { content, since }));
            }
        }
        drop(state);
        self.quarantine_changes_ready.notify_one();
    }

    /// Restores the quarantine that the store holds from before this instance's start.
    pub fn restore_quarantine(&self, refused: impl IntoIterator<Item = Refused>) {
        let (now, unix_now) = (clock::now(), unix_ms());
        let members = u32::try_from(self.live_instance_count()).unwrap_or(u32::MAX);
        let mut state = self.lock();
        for refused in refused {
            let age = Duration::from_millis(unix_now.saturating_sub(refused.since));
            if age < REFUSAL_PERIOD {
                state.stored_quarantine.insert(refused.content);
                state.apply_finding(Finding::Held { content: refused.content, age }, now);
            } else if rand::random_ratio(1, members) {
                // Expired: on average one of the starting instances removes it from the store.
                state.queue_change(Change::Allow(refused));
            }
        }
        self.notify_findings(&state);
    }

    /// Waits for a quarantine change to write to the store, and takes it.
    pub async fn next_quarantine_change(&self) -> Change {
        loop {
            if let Some(change) = self.lock().unwritten_changes.pop_front() {
                return change;
            }
            self.quarantine_changes_ready.notified().await;
        }
    }

    /// Whether a change that could not be written is still current.
    #[must_use]
    pub fn is_change_current(&self, change: Change) -> bool {
        match change {
            Change::Refuse(refused) => self.is_quarantined(refused.content),
            Change::Allow(refused) => !self.is_quarantined(refused.content),
        }
    }

    fn is_quarantined(&self, content: Content) -> bool {
        self.lock().quarantine.refusal_left(clock::now(), content).is_some()
    }

    /// Waits until there are findings to send, and takes them.
    pub async fn next_findings(&self) -> Vec<Finding> {
        loop {
            let findings = std::mem::take(&mut self.lock().findings);
            if !findings.is_empty() {
                return findings;
            }
            self.findings_ready.notified().await;
        }
    }

    /// Returns up to `max` quarantined requests, the latest first, for instances that
    /// missed the findings.
    #[must_use]
    pub fn refused_requests(&self, max: usize) -> Vec<Finding> {
        self.lock().quarantine.refused(clock::now(), max)
    }
}

/// Logs and counts the effect of a finding on the quarantine.
fn log_effect(finding: Finding, effect: Effect) {
    let content = finding.content();
    match effect {
        Effect::Held => {
            if content.is_part() {
                tracing::warn!(%content, ?finding, "prompt part quarantined, endpoints crash while answering on it");
            } else {
                tracing::warn!(%content, ?finding, "request quarantined, endpoints crash while running it");
            }
            metrics::counter!("relay_quarantined_total").increment(1);
        }
        Effect::Released => tracing::info!(%content, "released from quarantine after a success"),
        // At debug level: when many endpoints crash together, each instance receives a
        // finding for every run that was interrupted.
        Effect::Counted | Effect::Cleared => tracing::debug!(%content, ?finding, "finding about request applied"),
        Effect::None | Effect::Disproved => {}
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. Only ages of minutes
/// are computed from it, across restarts and machines, so small clock differences are
/// harmless.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
