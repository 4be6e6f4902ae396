//! A run under way, and what its end says of its endpoint.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use route::relay::{
    canary::{Lateness, Tally},
    content::Content,
    placement::Choice,
};

use super::{Key, Work, first_guess};
use crate::{
    clock,
    desk::{Desk, State, trials::Arm},
    source::Endpoint,
};

/// First wait after a failed connection; doubles with each further one.
const REST: Duration = Duration::from_millis(400);

/// Longest wait after failed connections.
const LONGEST_REST: Duration = Duration::from_secs(5);

/// How long an endpoint that was full counts as full.
const FULL: Duration = Duration::from_millis(150);

/// Weight of an observation in a service's usual lateness; some fifty count.
const USUAL: f64 = 0.02;

/// A run under way; dropping it takes its load off the endpoint.
#[derive(Debug)]
pub struct Run {
    pub(super) desk: Arc<Desk>,
    /// The endpoint.
    pub key: Key,
    /// Who runs it.
    pub endpoint: Arc<Endpoint>,
    /// Whom it copies its shared part from.
    pub source: Option<SocketAddr>,
    /// Which version's record it counts for.
    pub arm: Arm,
    /// Why it went there.
    pub choice: Choice,
    pub(super) backlog_ms: f64,
    pub(super) told_ms: f64,
    pub(super) alone_ms: f64,
    pub(super) expected_ms: f64,
    pub(super) work: Work,
    pub(super) units: f64,
    pub(super) lateness: Lateness,
    pub(super) started: Duration,
    /// The request, from when it was sent until it is known how the run ended.
    pub(super) content: Option<Content>,
}

/// How a try ended, for the endpoint's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// A good answer.
    Good,
    /// An answer that is a failure of the server's own.
    Failed,
    /// Broken, spoiled or silent.
    Broken,
    /// Turned away, not run.
    Full,
    /// No connection.
    Unreachable,
    /// No connection, since nobody listens there any more.
    Down,
    /// Turned away by another server that stands at its address.
    Replaced,
}

impl Run {
    /// Notes that the request is sent.
    pub fn sent(&mut self, content: Content) {
        self.content = Some(content);
    }

    /// The first byte has come: the prompt has been read.
    pub fn first_byte(&mut self) {
        let now = clock::now();
        let took = clock::millis(now.saturating_sub(self.started));
        let desk = Arc::clone(&self.desk);
        let mut state = desk.lock();
        self.lift(&mut state);
        let fleet = &mut state.fleet;
        if let Some(server) = fleet.servers.get_mut(self.key) {
            let ratio = (took / self.alone_ms.max(1.0)).clamp(0.1, 20.0);
            // Against what is usual for the service: a bias of the expectation
            // would make every endpoint that is new look slow or quick.
            let usual = fleet.usual.entry(self.work.service.clone()).or_insert(1.0);
            *usual += USUAL * (ratio - *usual);
            self.lateness = Lateness::of(ratio);
            server.slowness.seen(ratio / usual.max(0.1), 1.0, now);
            server.misses = 0;
            server.heard = now;
        }
        let guess = first_guess(self.work.model);
        fleet.paces.entry(self.work.clone()).or_insert(guess).learn(self.units, took);
    }

    /// More of the answer has come.
    pub fn more_bytes(&self) {
        let now = clock::now();
        if let Some(server) = self.desk.lock().fleet.servers.get_mut(self.key) {
            server.heard = now;
        }
    }

    /// Time since anything was heard of the endpoint, by this instance's runs.
    #[must_use]
    pub fn silence(&self) -> Duration {
        let now = clock::now();
        self.desk.lock().fleet.servers.get(self.key).map_or(Duration::MAX, |s| now.saturating_sub(s.heard))
    }

    /// Time expected from the dispatch until the first byte, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self) -> f64 {
        self.expected_ms
    }

    /// Notes how the run ended.
    pub fn ended(&mut self, how: Ended) {
        let now = clock::now();
        let desk = Arc::clone(&self.desk);
        let mut state = desk.lock();
        self.lift(&mut state);
        match (how, self.content.take()) {
            (Ended::Good, Some(content)) => state.note_good_end(content, now),
            (Ended::Broken, Some(content)) => self.note_unfinished(&mut state, content, now),
            (Ended::Down, _) => state.note_crash(self.key, now),
            _ => {}
        }
        self.desk.hurry_findings(&state);
        let Some(server) = state.fleet.servers.get_mut(self.key) else { return };
        match how {
            Ended::Good => {
                server.failing.seen(0.0, 0.0, now);
                server.misses = 0;
            }
            Ended::Failed | Ended::Broken => server.failing.seen(1.0, 0.0, now),
            Ended::Full => server.full_until = now + FULL,
            // A caller that names a model which does not exist is turned away
            // alike, so once may be the caller's fault; any answer in between
            // shows that the endpoint lives.
            Ended::Replaced if server.misses == 0 => server.misses = 1,
            Ended::Unreachable | Ended::Down | Ended::Replaced => {
                let rest = REST * 2_u32.saturating_pow(server.misses.min(6));
                server.misses += 1;
                server.rests_until = now + rest.min(LONGEST_REST);
                tracing::warn!(endpoint = server.endpoint.id, ?how, misses = server.misses, "endpoint rests");
            }
        }
    }

    /// Counts the run for or against its version.
    pub fn judge(&self, bad: bool) {
        let tally = Tally { runs: 1, bad: u32::from(bad), lateness: self.lateness };
        self.desk.lock().trials.count(&self.endpoint.service, self.arm, tally);
    }

    /// Notes that this instance has left the run without an answer; it may go on.
    fn note_unfinished(&self, state: &mut State, content: Content, now: Duration) {
        if let Some(server) = state.fleet.server(self.key) {
            server.unfinished().add(now, content, self.started);
        }
    }

    fn lift(&mut self, state: &mut State) {
        if let Some(server) = state.fleet.servers.get_mut(self.key) {
            server.backlog_ms = (server.backlog_ms - self.backlog_ms).max(0.0);
            server.told_ms = (server.told_ms - self.told_ms).max(0.0);
        }
        self.backlog_ms = 0.0;
        self.told_ms = 0.0;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let desk = Arc::clone(&self.desk);
        let mut state = desk.lock();
        self.lift(&mut state);
        if let Some(content) = self.content.take() {
            self.note_unfinished(&mut state, content, clock::now());
        }
        if let Some(server) = state.fleet.servers.get_mut(self.key) {
            server.runs = server.runs.saturating_sub(1);
        }
    }
}
