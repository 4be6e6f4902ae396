//! Endpoints that crash, and the requests that were there.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use route::relay::{
    content::Content,
    quarantine::{Effect, Finding, LASTS},
};

use super::{Desk, State, fleet::Key};
use crate::{clock, quarantine::Change, source::Refused};

/// Time for which an unfinished run counts as running at its endpoint: an answer that was
/// dropped, a caller that has gone. An endpoint takes a moment to notice, and to crash.
const LINGERS: Duration = Duration::from_secs(2);

/// Unfinished runs kept for an endpoint; what crashes it right away is among the latest.
const MOST_UNFINISHED: usize = 64;

/// Findings kept until they are sent; they are sent within a turn of the scheduler, so
/// more only come while the socket does not take them.
const MOST_UNSENT: usize = 4_096;

/// Changes kept until the store has taken them.
const MOST_UNWRITTEN: usize = 64;

/// Runs at an endpoint that this instance has left without an answer, by their
/// requests.
#[derive(Debug, Default)]
pub(super) struct Unfinished(Vec<UnfinishedRun>);

#[derive(Debug, Clone, Copy)]
struct UnfinishedRun {
    content: Content,
    sent: Duration,
    left: Duration,
}

impl Unfinished {
    /// Adds a run that was sent at a time and is left now.
    pub(super) fn add(&mut self, now: Duration, content: Content, sent: Duration) {
        self.0.retain(|run| run.content != content && now < run.left + LINGERS);
        if self.0.len() == MOST_UNFINISHED {
            self.0.remove(0);
        }
        self.0.push(UnfinishedRun { content, sent, left: now });
    }

    fn take(&mut self, now: Duration) -> Vec<UnfinishedRun> {
        let mut runs = std::mem::take(&mut self.0);
        runs.retain(|run| now < run.left + LINGERS);
        runs
    }
}

impl State {
    /// Notes that an endpoint's process has ended, and what it ran for this instance.
    pub(super) fn note_crash(&mut self, key: Key, now: Duration) {
        let Some(server) = self.fleet.server(key) else { return };
        let (start, endpoint) = (server.hash(), server.endpoint());
        let runs = server.unfinished().take(now);
        if runs.is_empty() {
            return;
        }
        tracing::warn!(endpoint = endpoint.id, requests = runs.len(), "endpoint crashed");
        metrics::counter!("relay_crashes_total", "service" => endpoint.service.clone()).increment(1);
        for UnfinishedRun { content, sent, .. } in runs {
            if self.quarantine.is_further(now, content, sent) {
                self.find(Finding::Crash { content, start }, now);
            }
        }
    }

    /// Notes that a request ended well.
    pub(super) fn note_good_end(&mut self, content: Content, now: Duration) {
        self.find(Finding::EndedWell { content }, now);
    }

    /// Takes a finding of this instance in, and has it told and written.
    fn find(&mut self, finding: Finding, now: Duration) {
        let effect = self.take_finding(finding, now);
        if effect != Effect::None {
            tracing::info!(content = %finding.content(), ?finding, ?effect, "found of a request");
        }
        if effect != Effect::None && self.findings.len() < MOST_UNSENT {
            self.findings.push(finding);
        }
        self.write(finding, effect);
    }

    /// Has what a finding changed written to the store.
    fn write(&mut self, finding: Finding, effect: Effect) {
        let refused = Refused { content: finding.content(), since: unix_ms() };
        let change = match effect {
            Effect::Held => Change::Refuse(refused),
            Effect::Released => Change::Allow(refused),
            Effect::None | Effect::Counted | Effect::Cleared | Effect::Disproved => return,
        };
        self.queue(change);
    }

    fn queue(&mut self, change: Change) {
        if self.unwritten.len() == MOST_UNWRITTEN {
            tracing::warn!(?change, "too many refused requests to write; this one is only told");
            return;
        }
        self.unwritten.push_back(change);
    }

    fn take_finding(&mut self, finding: Finding, now: Duration) -> Effect {
        let effect = self.quarantine.take(now, finding);
        let content = finding.content();
        match effect {
            Effect::Held => {
                tracing::warn!(%content, ?finding, "request refused from now on: endpoints crash under it");
                metrics::counter!("relay_quarantined_total").increment(1);
            }
            Effect::Released => tracing::info!(%content, "request refused no more: it ended well"),
            // Each instance hears of every run that a mass crash broke off.
            Effect::Counted | Effect::Cleared => tracing::debug!(%content, ?finding, "heard of a request"),
            Effect::None | Effect::Disproved => {}
        }
        effect
    }
}

impl Desk {
    /// How much longer a request is refused, because endpoints crash under it; nothing
    /// if it is not.
    #[must_use]
    pub fn quarantined(&self, content: Content) -> Option<Duration> {
        self.lock().quarantine.refuses(clock::now(), content)
    }

    /// Whether an endpoint has crashed under a request and it has not ended well since.
    #[must_use]
    pub fn suspects(&self, content: Content) -> bool {
        self.lock().quarantine.suspects(clock::now(), content)
    }

    /// Notes that nobody listens at an endpoint any more.
    pub fn note_crash(&self, key: Key) {
        let mut state = self.lock();
        state.note_crash(key, clock::now());
        self.hurry_findings(&state);
    }

    /// Takes another instance's findings in.
    pub fn take_findings(&self, findings: impl IntoIterator<Item = Finding>) {
        let now = clock::now();
        let leads = self.leads();
        let mut state = self.lock();
        for finding in findings {
            let effect = state.take_finding(finding, now);
            if effect == Effect::Disproved && state.findings.len() < MOST_UNSENT {
                state.findings.push(Finding::EndedWell { content: finding.content() });
            }
            // Whoever told of the last crash may not have heard of the ones before, and
            // not know that it was the last.
            if leads && effect == Effect::Held && matches!(finding, Finding::Crash { .. }) {
                state.write(finding, effect);
            }
            // This instance's unfinished runs were there as well.
            if let Finding::Crash { start, .. } = finding
                && let Some(key) = state.fleet.key_of(start)
            {
                state.note_crash(key, now);
            }
        }
        self.hurry_findings(&state);
    }

    /// Has findings told and written, if there are any.
    pub(super) fn hurry_findings(&self, state: &State) {
        if !state.findings.is_empty() {
            self.found.notify_one();
        }
        if !state.unwritten.is_empty() {
            self.unwritten.notify_one();
        }
    }

    /// Takes in what was refused before this instance's start.
    pub fn restore_refused(&self, refused: impl IntoIterator<Item = Refused>) {
        let (now, unix_now) = (clock::now(), unix_ms());
        let members = u32::try_from(self.members()).unwrap_or(u32::MAX);
        let mut state = self.lock();
        for refused in refused {
            let age = Duration::from_millis(unix_now.saturating_sub(refused.since));
            if age < LASTS {
                state.take_finding(Finding::Held { content: refused.content, age }, now);
            } else if rand::random_ratio(1, members) {
                // One of those that start takes it back, which one is drawn.
                state.queue(Change::Allow(refused));
            }
        }
        self.hurry_findings(&state);
    }

    /// Waits until the store has to be told of a refused request.
    pub async fn quarantine_change(&self) -> Change {
        loop {
            if let Some(change) = self.lock().unwritten.pop_front() {
                return change;
            }
            self.unwritten.notified().await;
        }
    }

    /// Whether a change that could not be written still holds.
    #[must_use]
    pub fn is_due(&self, change: Change) -> bool {
        match change {
            Change::Refuse(refused) => self.quarantined(refused.content).is_some(),
            Change::Allow(refused) => self.quarantined(refused.content).is_none(),
        }
    }

    /// Waits until there are findings to tell, and takes them.
    pub async fn findings(&self) -> Vec<Finding> {
        loop {
            let findings = std::mem::take(&mut self.lock().findings);
            if !findings.is_empty() {
                return findings;
            }
            self.found.notified().await;
        }
    }

    /// Requests that are refused, the latest first, for instances that have not heard.
    #[must_use]
    pub fn refused_requests(&self, most: usize) -> Vec<Finding> {
        self.lock().quarantine.held(clock::now(), most)
    }
}

/// Wall time; it only has to tell ages of minutes, over starts and machines.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
