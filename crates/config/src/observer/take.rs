//! Putting into force what is newer, and refusing what does not read.

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
    pub(super) fn take_news(&mut self, news: &wire::News) -> Result<(), Error> {
        if news.head <= self.generation() {
            return Ok(());
        }
        let unreadable =
            |error: serde_json::Error| Error::Unreadable { generation: news.head, message: error.to_string() };
        let snapshot = Some(&news.snapshot).filter(|json| !json.is_empty());
        let snapshot: Option<Snapshot> =
            snapshot.map(|json| serde_json::from_slice(json).map_err(unreadable)).transpose()?;
        let snapshot = snapshot.and_then(|part| self.join(part, news));
        let changes = news.changes.iter().map(|json| serde_json::from_slice(json).map_err(unreadable));
        let changes = changes.collect::<Result<Vec<Change>, _>>()?;
        self.take(snapshot.as_ref(), &changes)
    }

    /// Joins a part of a state to those before it; the whole once it is there.
    fn join(&mut self, part: Snapshot, news: &wire::News) -> Option<Snapshot> {
        let before = self.part.take().filter(|before| before.generation == part.generation);
        let held = before.as_ref().map_or(0, |before| before.entries.len() as u64);
        if news.skip != held {
            // Another peer's answer to the same question, or one too late.
            self.part = before;
            return None;
        }
        let mut whole = before.unwrap_or(Snapshot { entries: Vec::new(), ..part.clone() });
        whole.entries.extend(part.entries);
        if !news.more {
            return Some(whole);
        }
        self.part = Some(whole);
        self.want(Scope::One);
        None
    }

    /// Puts into force what is newer and follows without a hole.
    pub(super) fn take(&mut self, snapshot: Option<&Snapshot>, changes: &[Change]) -> Result<(), Error> {
        // A snapshot below what is in force would be a step back.
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.generation > self.generation()) {
            let state = State::from_snapshot(snapshot)?;
            self.put_in_force(state);
        }
        let next = self.state.borrow().after(changes)?;
        if let Some(state) = next {
            self.put_in_force(state);
        }
        Ok(())
    }

    pub(super) fn put_in_force(&mut self, mut state: State) {
        let generation = state.generation();
        state.forget_deleted(generation.saturating_sub(self.settings.keep.changes));
        self.part.take_if(|part| part.generation <= generation);
        let state = Arc::new(state);
        // The state first: whoever is woken by the catalog finds its revisions.
        self.state.send_replace(state.clone());
        self.catalog.send_replace(state.catalog().clone());
        if self.blocked.is_some_and(|blocked| blocked <= generation) {
            self.blocked = None;
            self.contact.block(false);
        }
        if let Some(stamp) = self.state.borrow().stamp() {
            self.recorder.observe(stamp);
        }
        self.recorder.record(Event::Configuration { generation });
        metrics::counter!("config_generation").absolute(generation);
        tracing::info!(generation, "configuration in force");
    }

    /// Keeps what is in force when something newer cannot be read. An instance
    /// that cannot follow takes no new work: a withdrawal may be in there.
    pub(super) fn refuse(&mut self, error: &Error) {
        match error {
            Error::Unreadable { generation, .. } if *generation > self.generation() => self.block(*generation, error),
            Error::Invalid(_) => self.block(self.generation() + 1, error),
            _ => tracing::debug!(%error, "the log could not be read"),
        }
    }

    fn block(&mut self, generation: u64, error: &Error) {
        if self.blocked.is_none() {
            tracing::error!(generation, %error, "cannot follow the configuration; taking no new work");
        }
        self.blocked = Some(generation);
        self.contact.block(true);
        self.note_freshness();
    }
}
