//! The task that appends operators' changes to the log.
//!
//! It also writes snapshots and truncates the log from time to time.

use std::sync::Arc;

use store::Write;
use timeline::{Event, Recorder};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::Instant,
};

use crate::{
    edit::{Applied, Edit},
    error::Error,
    log::{Log, Tail},
    observer::{Message, Origin},
    record::Change,
    settings::{Keep, Settings},
    state::{Revision, State},
};

/// Number of checks for a due snapshot per snapshot interval.
const SNAPSHOT_CHECKS: u64 = 8;

/// A queued request to apply an operator's change.
#[derive(Debug)]
pub(crate) struct Apply {
    pub(crate) author: String,
    pub(crate) change: String,
    pub(crate) edits: Vec<Edit>,
    pub(crate) answer: oneshot::Sender<Result<Applied, Error>>,
}

/// State of the applier task.
#[derive(Debug)]
pub(crate) struct Applier {
    settings: Arc<Settings>,
    log: Log,
    state: watch::Receiver<Arc<State>>,
    inbox: mpsc::WeakSender<Message>,
    recorder: Recorder,
    /// Background task that writes a snapshot and truncates the log while changes continue.
    truncation: Option<JoinHandle<()>>,
}

impl Applier {
    pub(crate) fn new(
        settings: Arc<Settings>,
        log: Log,
        state: watch::Receiver<Arc<State>>,
        inbox: mpsc::WeakSender<Message>,
        recorder: Recorder,
    ) -> Self {
        Self { settings, log, state, inbox, recorder, truncation: None }
    }

    /// Applies one change at a time, since concurrent ones would only race each other.
    pub(crate) async fn run(mut self, mut requests: mpsc::Receiver<Apply>) {
        while let Some(Apply { author, change, edits, answer }) = requests.recv().await {
            let result = self.apply(&author, &change, &edits).await;
            let _ = answer.send(result);
            self.start_truncation_if_due();
        }
    }

    async fn apply(&self, author: &str, change: &str, edits: &[Edit]) -> Result<Applied, Error> {
        let deadline = Instant::now() + self.settings.deadline;
        // The state in force here may be outdated. That is safe for a change, since its
        // entry cannot be created if the generation is taken; but a refusal, or the
        // answer that nothing changes, must be based on the newest state.
        let mut caught_up = false;
        loop {
            let state = self.state.borrow().clone();
            let revision = self.revision(author, change, state.generation() + 1);
            let change = match state.propose(edits, revision) {
                Ok(Some(change)) => change,
                Ok(None) if caught_up => return Ok(Applied { generation: state.generation(), changed: false }),
                Err(error) if caught_up => return Err(error),
                Ok(None) | Err(_) => {
                    self.catch_up(state.generation()).await?;
                    caught_up = true;
                    continue;
                }
            };
            if let Some(applied) = self.append(change).await? {
                return Ok(applied);
            }
            if Instant::now() >= deadline {
                return Err(Error::Busy);
            }
            self.catch_up(state.generation()).await?;
            caught_up = true;
        }
    }

    /// Creates the change's entry; returns `None` if another entry took its generation first.
    async fn append(&self, change: Change) -> Result<Option<Applied>, Error> {
        let generation = change.generation();
        let sent_at = Instant::now();
        let item = match self.log.append(&change).await {
            Ok(Write::Done(item)) => item,
            Ok(Write::Lost { .. }) => return Ok(None),
            Err(store::Error::Unknown { .. }) => return Err(Error::Unknown { generation }),
            Err(error) => return Err(error.into()),
        };
        if self.is_void(generation, &item).await? {
            return Ok(None);
        }
        // Recorded with the change's own stamp: readers of the platform may
        // already have it in force, and its effects must be ordered after it.
        let stamp = change.revision.stamp;
        let objects = change.edits.iter().filter_map(|edit| edit.action.key()).collect();
        self.recorder.record_at(stamp, Event::Edit { generation, objects });
        self.send_to_observer(Tail::from_changes(vec![change]), Origin::Applied { sent_at }).await?;
        Ok(Some(Applied { generation, changed: true }))
    }

    /// Returns whether the entry just created lies in the truncated part of the log.
    ///
    /// An instance that was paused for very long may recreate an entry that was
    /// truncated long ago and report a change as accepted that no instance will
    /// ever see. Entries are truncated only `keep.changes` below a snapshot, so a
    /// snapshot that far above the new entry proves the entry void.
    async fn is_void(&self, generation: u64, item: &store::Item) -> Result<bool, Error> {
        let newest = self.log.newest_snapshot().await.map_err(|_| Error::Unknown { generation })?;
        if newest.unwrap_or(0) < generation + self.settings.keep.changes {
            return Ok(false);
        }
        // A failed retraction is harmless: readers apply no entry that a gap
        // separates from the rest, and the next truncation deletes it.
        if let Err(error) = self.log.retract(item).await {
            tracing::warn!(%error, generation, "cannot retract a void log entry; the next truncation deletes it");
        }
        Ok(true)
    }

    async fn catch_up(&self, generation: u64) -> Result<(), Error> {
        let sent_at = Instant::now();
        let tail = self.log.read_after(generation).await?;
        self.send_to_observer(tail, Origin::Read { sent_at }).await
    }

    /// Sends log entries to the observer and waits until it has processed them.
    async fn send_to_observer(&self, tail: Tail, origin: Origin) -> Result<(), Error> {
        let (done, processed) = oneshot::channel();
        let inbox = self.inbox.upgrade().ok_or(Error::Closed)?;
        inbox.send(Message::Tail { tail, origin, done: Some(done) }).await.map_err(|_| Error::Closed)?;
        processed.await.map_err(|_| Error::Closed)
    }

    fn revision(&self, author: &str, change: &str, generation: u64) -> Revision {
        let instance = self.settings.instance.to_string();
        let stamp = self.recorder.clock();
        Revision {
            generation,
            at: (self.settings.clock)(),
            author: author.into(),
            instance,
            change: change.into(),
            stamp,
        }
    }

    /// Starts writing a snapshot and truncating the log if that is due.
    ///
    /// The instance that made the last change does this; after a failure a later
    /// change tries again.
    fn start_truncation_if_due(&mut self) {
        let state = self.state.borrow().clone();
        let every = self.settings.keep.snapshot_every;
        // Each check costs a read, so it is not done after every change.
        let due = state.generation().is_multiple_of((every / SNAPSHOT_CHECKS).max(1));
        if !due || self.truncation.as_ref().is_some_and(|truncation| !truncation.is_finished()) {
            return;
        }
        let (log, keep) = (self.log.clone(), self.settings.keep);
        self.truncation = Some(tokio::spawn(async move {
            if let Err(error) = snapshot_and_truncate(&log, &state, keep).await {
                tracing::warn!(%error, "cannot write a snapshot or truncate the log; a later change tries again");
            }
        }));
    }
}

async fn snapshot_and_truncate(log: &Log, state: &State, keep: Keep) -> Result<(), Error> {
    let newest = log.newest_snapshot().await?.unwrap_or(0);
    if state.generation() < newest + keep.snapshot_every {
        return Ok(());
    }
    log.write_snapshot(state).await?;
    log.truncate(state.generation().saturating_sub(keep.changes)).await?;
    Ok(())
}
