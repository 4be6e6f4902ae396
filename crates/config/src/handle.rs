//! The interface of the configuration for other crates.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::{mpsc, oneshot, watch};
use world::{
    Catalog,
    domain::Domain,
    object::{Key, Object},
};

use crate::{
    applier::Apply,
    confirmations::Confirmations,
    edit::{Applied, Edit},
    error::Error,
    log::Log,
    observer::Message,
    record::Action,
    settings::Settings,
    state::{Revision, State},
    wire,
};

/// Largest answer in bytes, unless a single change or object is larger. A peer that
/// missed more asks again. Far below the message limit of a peer link.
const MAX_ANSWER_BYTES: usize = 512 * 1024;

/// Handle to the configuration at this instance; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    catalog: watch::Receiver<Arc<Catalog>>,
    state: watch::Receiver<Arc<State>>,
    confirmations: Arc<Confirmations>,
    inbox: mpsc::Sender<Message>,
    applier_inbox: mpsc::Sender<Apply>,
    log: Log,
    settings: Arc<Settings>,
}

/// One change in an object's history.
#[derive(Debug, Clone, PartialEq)]
pub struct HistoryEntry {
    /// Generation, time and author of the change.
    pub revision: Revision,
    /// The object after the change; `None` for a deletion.
    pub object: Option<Object>,
}

/// State of the configuration at this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The generation in force.
    pub generation: u64,
    /// Whether new work may be accepted.
    pub fresh: bool,
    /// Time since the last confirmation; `None` before the first.
    pub age: Option<Duration>,
}

impl Handle {
    pub(crate) fn new(
        catalog: watch::Receiver<Arc<Catalog>>,
        state: watch::Receiver<Arc<State>>,
        confirmations: Arc<Confirmations>,
        inbox: mpsc::Sender<Message>,
        applier_inbox: mpsc::Sender<Apply>,
        log: Log,
        settings: Arc<Settings>,
    ) -> Self {
        Self { catalog, state, confirmations, inbox, applier_inbox, log, settings }
    }

    /// Returns the catalog in force.
    #[must_use]
    pub fn current(&self) -> Arc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// Returns a receiver of the catalog in force and every later one.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Catalog>> {
        self.catalog.clone()
    }

    /// Returns whether new work may start: the platform or peers have confirmed the
    /// catalog in force within the freshness bound.
    #[must_use]
    pub fn fresh(&self) -> bool {
        self.confirmations.is_fresh()
    }

    /// Returns the time since the platform last confirmed the catalog in force, to
    /// this instance or to a peer that forwarded it; `None` before the first.
    ///
    /// If it exceeds a few confirmation intervals, neither this instance nor the
    /// peers it reaches can reach the platform.
    #[must_use]
    pub fn platform_age(&self) -> Option<Duration> {
        self.confirmations.platform_age()
    }

    /// Returns the state of the configuration at this instance.
    #[must_use]
    pub fn status(&self) -> Status {
        let generation = self.state.borrow().generation();
        Status { generation, fresh: self.fresh(), age: self.confirmations.newest_age() }
    }

    /// Sets whether this instance watches the platform for its failure domain.
    pub async fn set_reader(&self, reader: bool) {
        self.send_to_observer(Message::SetReader(reader)).await;
    }

    /// Processes a peer's update message or its answer to [`crate::Outbound::Request`].
    pub async fn offer(&self, bytes: Bytes) {
        self.send_to_observer(Message::Offer(bytes)).await;
    }

    /// Answers a peer's request; one that cannot be decoded is answered as if the peer
    /// had no state.
    #[must_use]
    pub fn serve(&self, bytes: &[u8]) -> Bytes {
        let request = wire::Request::decode(bytes).unwrap_or_default();
        // The age is read before the state: in the opposite order, a change in
        // between would attach its newer confirmation to the older state.
        let age = self.confirmations.platform_age();
        let state = self.state.borrow().clone();
        wire::encode(&update_for(&state, age, &self.settings.domain, request))
    }

    /// Returns the whole state, encoded for an instance that is starting.
    #[must_use]
    pub fn snapshot_bytes(&self) -> Bytes {
        let state = self.state.borrow().clone();
        let snapshot = serde_json::to_vec(&state.to_snapshot()).unwrap_or_default().into();
        let domain = self.settings.domain.to_string();
        wire::encode(&wire::News { domain, head: state.generation(), snapshot, ..wire::News::default() })
    }

    /// Processes a peer's whole state; ignores it if it is not newer.
    pub async fn offer_snapshot(&self, bytes: Bytes) {
        self.offer(bytes).await;
    }

    /// Checks edits and appends them as the next generation, which is in force here
    /// when this returns and everywhere within seconds.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the change may have been accepted; with every
    /// other error nothing was changed.
    pub async fn apply(&self, author: &str, edits: Vec<Edit>) -> Result<Applied, Error> {
        self.apply_as(author, "", edits).await
    }

    /// Like [`Handle::apply`], with the operator's own id of the change, which the
    /// history shows.
    ///
    /// # Errors
    ///
    /// The same as [`Handle::apply`].
    pub async fn apply_as(&self, author: &str, change: &str, edits: Vec<Edit>) -> Result<Applied, Error> {
        let (answer, answered) = oneshot::channel();
        let apply = Apply { author: author.into(), change: change.into(), edits, answer };
        self.applier_inbox.send(apply).await.map_err(|_| Error::Closed)?;
        answered.await.map_err(|_| Error::Closed)?
    }

    /// Returns the last change of an object, which may be its deletion.
    #[must_use]
    pub fn revision(&self, key: &Key) -> Option<Revision> {
        Some(self.state.borrow().entry(key)?.revision.clone())
    }

    /// Returns at most `limit` changes of an object, newest first, as far back as
    /// they are kept, with one read of the platform for each.
    ///
    /// # Errors
    ///
    /// [`Error::Down`], [`Error::Unreadable`].
    pub async fn history(&self, key: &Key, limit: usize) -> Result<Vec<HistoryEntry>, Error> {
        let mut history = Vec::new();
        let mut generation = self.revision(key).map_or(0, |revision| revision.generation);
        while generation > 0 && history.len() < limit {
            let Some(change) = self.log.change(generation).await? else { break };
            let Some(edit) = change.edits.into_iter().find(|edit| edit.action.key().as_ref() == Some(key)) else {
                break;
            };
            let object = match edit.action {
                Action::Delete(_) => None,
                Action::Put(value) => Some(decode_object(generation, &value)?),
            };
            history.push(HistoryEntry { revision: change.revision, object });
            generation = edit.before;
        }
        Ok(history)
    }

    async fn send_to_observer(&self, message: Message) {
        // The observer is gone only while the runtime shuts down.
        let _ = self.inbox.send(message).await;
    }
}

/// Returns the update message that answers a peer's request.
pub(crate) fn update_for(state: &State, age: Option<Duration>, domain: &Domain, request: wire::Request) -> wire::News {
    let wire::Request { id, after, snapshot, skip } = request;
    // Rounded up, so that the reported age is never too low.
    let confirmed_ms = age.and_then(|age| u64::try_from(age.as_millis() + 1).ok());
    let domain = domain.to_string();
    let mut news = wire::News { id, domain, head: state.generation(), confirmed_ms, ..wire::News::default() };
    if after >= state.generation() {
        return news;
    }
    let Some(changes) = state.changes_after(after) else {
        // A state that has changed since is sent from its start.
        news.skip = if snapshot == state.generation() { skip } else { 0 };
        let (part, more) = state.snapshot_part(usize::try_from(news.skip).unwrap_or(usize::MAX), MAX_ANSWER_BYTES);
        news.snapshot = serde_json::to_vec(&part).unwrap_or_default().into();
        news.more = more;
        return news;
    };
    let mut bytes = 0;
    for change in changes {
        bytes += change.json.len();
        if bytes > MAX_ANSWER_BYTES && !news.changes.is_empty() {
            break;
        }
        news.changes.push(change.json.clone());
    }
    news
}

fn decode_object(generation: u64, value: &serde_json::Value) -> Result<Object, Error> {
    Object::from_json(value).map_err(|error| Error::Unreadable { generation, message: error.to_string() })
}
