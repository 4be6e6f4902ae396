//! Puts newer states into force, and blocks new work when an entry cannot be decoded.

use std::sync::Arc;

use timeline::Event;

use super::Observer;
use crate::{
    Scope,
    error::Error,
    record::{Change, Snapshot},
    state::State,
    wire,
};

impl Observer {
    pub(super) fn apply_update(&mut self, news: &wire::News) -> Result<(), Error> {
        if news.head <= self.generation() {
            return Ok(());
        }
        let unreadable =
            |error: serde_json::Error| Error::Unreadable { generation: news.head, message: error.to_string() };
        let snapshot = Some(&news.snapshot).filter(|json| !json.is_empty());
        let snapshot: Option<Snapshot> =
            snapshot.map(|json| serde_json::from_slice(json).map_err(unreadable)).transpose()?;
        let snapshot = snapshot.and_then(|part| self.join_parts(part, news));
        let changes = news.changes.iter().map(|json| serde_json::from_slice(json).map_err(unreadable));
        let changes = changes.collect::<Result<Vec<Change>, _>>()?;
        self.apply(snapshot.as_ref(), &changes)
    }

    /// Appends a part of a snapshot to those before it; returns the snapshot once complete.
    fn join_parts(&mut self, part: Snapshot, news: &wire::News) -> Option<Snapshot> {
        let before = self.partial_snapshot.take().filter(|before| before.generation == part.generation);
        let held = before.as_ref().map_or(0, |before| before.entries.len() as u64);
        if news.skip != held {
            // Another peer's answer to the same request, or a late one.
            self.partial_snapshot = before;
            return None;
        }
        let mut whole = before.unwrap_or(Snapshot { entries: Vec::new(), ..part.clone() });
        whole.entries.extend(part.entries);
        if !news.more {
            return Some(whole);
        }
        self.partial_snapshot = Some(whole);
        self.send_request(Scope::One);
        None
    }

    /// Puts into force everything that is newer and follows without a gap.
    pub(super) fn apply(&mut self, snapshot: Option<&Snapshot>, changes: &[Change]) -> Result<(), Error> {
        // An older snapshot would move the state in force to an older generation.
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.generation > self.generation()) {
            let state = State::from_snapshot(snapshot)?;
            self.put_in_force(state);
        }
        let next = self.state.borrow().with_changes(changes)?;
        if let Some(state) = next {
            self.put_in_force(state);
        }
        Ok(())
    }

    pub(super) fn put_in_force(&mut self, mut state: State) {
        let generation = state.generation();
        state.remove_deleted(generation.saturating_sub(self.settings.keep.changes));
        self.partial_snapshot.take_if(|part| part.generation <= generation);
        let state = Arc::new(state);
        // The state goes first, so that tasks woken by the catalog find its revisions.
        self.state.send_replace(state.clone());
        self.catalog.send_replace(state.catalog().clone());
        if self.blocked_at.is_some_and(|blocked_at| blocked_at <= generation) {
            self.blocked_at = None;
            self.confirmations.set_blocked(false);
        }
        if let Some(stamp) = self.state.borrow().stamp() {
            self.recorder.observe(stamp);
        }
        self.recorder.record(Event::Configuration { generation });
        metrics::counter!("config_generation").absolute(generation);
        tracing::info!(generation, "configuration in force");
    }

    /// Keeps the state in force after a newer entry could not be decoded or applied.
    ///
    /// An instance that cannot follow the log accepts no new work, since the entry
    /// may contain a withdrawal.
    pub(super) fn handle_log_error(&mut self, error: &Error) {
        match error {
            Error::Unreadable { generation, .. } if *generation > self.generation() => self.block(*generation, error),
            Error::Invalid(_) => self.block(self.generation() + 1, error),
            _ => tracing::debug!(%error, "cannot read the log"),
        }
    }

    fn block(&mut self, generation: u64, error: &Error) {
        if self.blocked_at.is_none() {
            tracing::error!(generation, %error, "cannot follow the configuration; accepting no new work");
        }
        self.blocked_at = Some(generation);
        self.confirmations.set_blocked(true);
        self.report_freshness();
    }
}
