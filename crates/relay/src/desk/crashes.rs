//! Endpoints that crash, and the requests that were there.

use std::time::Duration;

use route::relay::{
    content::Content,
    quarantine::{Effect, Finding},
};

use super::{Desk, State, fleet::Key};
use crate::clock;

/// Time in which a request counts as run by an endpoint after this instance has left
/// it: an answer that was dropped, a caller that has gone. An endpoint takes a moment
/// to notice, and to crash.
const LINGERS: Duration = Duration::from_secs(2);

/// Requests kept of those that have left an endpoint; one that crashes right away is
/// among the latest.
const MOST_LEFT: usize = 64;

/// Findings kept until they are sent; they are sent within a turn of the scheduler, so
/// more only come while the socket does not take them.
const MOST_UNSENT: usize = 4_096;

/// Requests that have left an endpoint without a good end.
#[derive(Debug, Default)]
pub(super) struct Left(Vec<(Content, Duration)>);

impl Left {
    pub(super) fn add(&mut self, now: Duration, content: Content) {
        self.0.retain(|(other, at)| *other != content && now < *at + LINGERS);
        if self.0.len() == MOST_LEFT {
            self.0.remove(0);
        }
        self.0.push((content, now));
    }

    fn take(&mut self, now: Duration) -> Vec<Content> {
        let left = std::mem::take(&mut self.0).into_iter();
        left.filter(|(_, at)| now < *at + LINGERS).map(|(content, _)| content).collect()
    }
}

impl State {
    /// Notes that an endpoint's process has ended, and what it ran for this instance.
    pub(super) fn note_crash(&mut self, key: Key, now: Duration) {
        let Some(server) = self.fleet.server(key) else { return };
        let (start, endpoint) = (server.hash(), server.endpoint());
        let contents = server.left().take(now);
        if contents.is_empty() {
            return;
        }
        tracing::warn!(endpoint = endpoint.id, requests = contents.len(), "endpoint crashed");
        metrics::counter!("relay_crashes_total", "service" => endpoint.service.clone()).increment(1);
        for content in contents {
            self.find(Finding::Crash { content, start }, now);
        }
    }

    /// Notes that a request ended well.
    pub(super) fn note_good_end(&mut self, content: Content, now: Duration) {
        if !self.quarantine.is_empty() {
            self.find(Finding::EndedWell { content }, now);
        }
    }

    /// Takes a finding of this instance in, and has it told.
    fn find(&mut self, finding: Finding, now: Duration) {
        if self.take_finding(finding, now) != Effect::None && self.findings.len() < MOST_UNSENT {
            self.findings.push(finding);
        }
    }

    fn take_finding(&mut self, finding: Finding, now: Duration) -> Effect {
        let effect = self.quarantine.take(now, finding);
        let (Finding::Crash { content, .. } | Finding::EndedWell { content } | Finding::Held { content, .. }) = finding;
        match effect {
            Effect::Held => {
                tracing::warn!(%content, ?finding, "request refused from now on: endpoints crash under it");
                metrics::counter!("relay_quarantined_total").increment(1);
            }
            Effect::Cleared => tracing::info!(%content, "request ended well; no crash is held against it"),
            Effect::Counted => tracing::info!(%content, ?finding, "crash counted against a request"),
            Effect::None => {}
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
        let mut state = self.lock();
        for finding in findings {
            state.take_finding(finding, now);
            // What this instance had there, and has left, was there as well.
            if let Finding::Crash { start, .. } = finding
                && let Some(key) = state.fleet.key_of(start)
            {
                state.note_crash(key, now);
            }
        }
        self.hurry_findings(&state);
    }

    /// Has findings told, if there are any.
    pub(super) fn hurry_findings(&self, state: &State) {
        if !state.findings.is_empty() {
            self.found.notify_one();
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
