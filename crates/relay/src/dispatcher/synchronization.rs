//! Synchronization through another instance instead of the store.
//!
//! Each call to the store is billed, and its rate limits grow more slowly than the fleet.
//! So only a few instances watch the store, and the others send questions to one of
//! those. A question states up to which revision the asking instance knows the endpoints.
//! The reply contains the changes since then, the version of the catalog in force, and the
//! age of the proof that this version is in force. The asking instance counts that age back
//! from when it sent the question, so a delay on the way only makes the proof look older.
//! Changes that do not fit into a reply follow in the next ones. If changes are no longer
//! kept, the asking instance lists the endpoints from the store; while nobody replies, it
//! reads everything from there.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use rand::seq::IteratorRandom;
use route::relay::freshness::{AnnouncedCatalogs, Proof};

use super::{Dispatcher, Knowledge, evacuations};
use crate::{
    clock,
    rollout::Rollout,
    source::{Endpoint, Revision},
};

/// Silence of the store above which a reply is doubtful. An instance in touch with the store
/// receives a part of an answer about the catalog every 0.95 s.
///
/// The age of the proof is no criterion, since it grows with the catalog's length even if
/// nothing is wrong. When it was one, instances abandoned watchers with narrow links and
/// read the catalog themselves, until every link was saturated.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_400);

/// Number of doubtful replies in a row after which an instance watches the store itself; the
/// second comes from another instance than the first.
///
/// All watchers may be cut off from the store together, and continue to report their last
/// catalog as the one in force. They notice after 1.5 s, and it takes as long again until
/// others have replaced them and announced a new catalog. Instances that waited for that
/// served with the old catalog for longer than operators allow.
const MAX_DOUBTFUL_REPLIES: u32 = 2;

/// Number of replies in a row without the changes asked for after which an instance lists the
/// endpoints; the second comes from another instance than the first. After the store has come back
/// from an older copy, one watcher may not have seen what the other one has passed on before, and
/// half of a large fleet would list at once.
const MAX_GAPS: u32 = 2;

/// Maximum number of remembered instances with a newer catalog: several, so that not all
/// instances ask the same one for it.
const MAX_NEWER_CATALOG_PEERS: usize = 8;

/// Maximum number of changes kept for instances that are behind, enough for a roll-out.
const MAX_KEPT_CHANGES: usize = 256;

/// A change to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// It registered, or its registration changed.
    Known(Endpoint),
    /// Its registration is gone.
    Gone(String),
}

/// State of the synchronization of this instance.
#[derive(Debug, Clone, Default)]
pub struct Synchronization {
    /// Revision up to which the endpoints are known; the default before they were listed.
    pub(super) revision: Revision,
    /// Revision since which all changes are kept.
    complete_since: Revision,
    /// Last known revision of each earlier era whose changes are kept.
    era_ends: Vec<Revision>,
    /// Latest changes, each with the revision that contains it.
    latest_changes: VecDeque<(Revision, Change)>,
    /// When the last reply that was not doubtful was received.
    pub(super) last_reply: Option<Duration>,
    /// Number of replies in a row from instances that seem to have lost the store.
    pub(super) doubtful_replies: u32,
    /// Number of replies in a row that lacked changes which are no longer kept.
    pub(super) gaps: u32,
    /// Whether doubtful replies ended the synchronization, and neither replies nor this
    /// instance's own calls have shown since that the store is reachable.
    pub(super) doubts_store: bool,
    /// Revision at which all roll-outs are known; `None` before they were listed.
    orders_revision: Option<Revision>,
    /// Newer catalogs that other instances have announced.
    pub(super) announced_catalogs: AnnouncedCatalogs,
    /// Instances that have announced newer catalogs, with the versions.
    newer_catalog_peers: VecDeque<(SocketAddr, u64)>,
}

/// Question of an instance to a watcher of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question {
    /// Revision up to which it knows the endpoints.
    pub revision: Revision,
}

/// Reply to a [`Question`].
#[derive(Debug, Clone)]
pub struct Reply {
    /// Version of the catalog in force; 0 before the first one.
    pub catalog: u64,
    /// Age of the proof that this catalog is in force.
    pub proof_age: Duration,
    /// Time since the replying instance last received an answer of the store.
    pub silence: Duration,
    /// Revision that the changes lead to; the question's revision if the changes are no longer
    /// kept.
    pub revision: Revision,
    /// Whether changes are missing, so that the endpoints must be read from the store.
    pub gap: bool,
    /// Changes since the revision of the question, oldest first.
    pub changes: Vec<Change>,
    /// Revision of the store at which the roll-outs were read.
    pub orders_revision: Revision,
    /// All ordered roll-outs.
    pub orders: Vec<Rollout>,
    /// The evacuated failure domains.
    pub evacuations: evacuations::Snapshot,
    /// Time since the era of the revision was first seen; `None` if no earlier one is known.
    pub era_age: Option<Duration>,
}

impl Synchronization {
    /// Creates the state of an instance that is not synchronized yet. `replacement_bound`
    /// limits how long it may serve with a catalog that was replaced.
    pub(super) fn new(replacement_bound: Option<Duration>) -> Self {
        Self { announced_catalogs: AnnouncedCatalogs::new(replacement_bound), ..Self::default() }
    }

    /// Whether roll-outs have been listed once.
    pub(super) fn knows_orders(&self) -> bool {
        self.orders_revision.is_some()
    }

    /// Records a complete listing of endpoints.
    fn record_listing(&mut self, revision: Revision) {
        if revision >= self.revision {
            self.revision = revision;
            self.complete_since = revision;
            self.era_ends.clear();
            self.latest_changes.clear();
        }
    }

    /// Records changes up to a revision.
    fn record_changes(&mut self, revision: Revision, changes: impl IntoIterator<Item = Change>) {
        if revision <= self.revision {
            let changes = changes.into_iter().count();
            if changes > 0 {
                tracing::info!(%revision, known = %self.revision, changes, "changes to endpoints are not newer, ignored");
            }
            return;
        }
        if revision.era > self.revision.era {
            self.era_ends.push(self.revision);
        }
        self.revision = revision;
        self.latest_changes.extend(changes.into_iter().map(|change| (revision, change)));
        while self.latest_changes.len() > MAX_KEPT_CHANGES {
            if let Some((dropped, _)) = self.latest_changes.pop_front() {
                self.complete_since = dropped;
                self.era_ends.retain(|end| *end > dropped);
            }
        }
    }

    /// Returns the first changes after a revision and the revision that they lead to, or
    /// `None` if not all of them are kept.
    ///
    /// Returns about `soft_limit` changes: the changes of one revision stay together, or a
    /// question from that revision on would miss the rest.
    fn changes_since(&self, revision: Revision, soft_limit: usize) -> Option<(Revision, Vec<Change>)> {
        // Changes of an earlier era that this instance did not see before the store lost them are
        // in force where they were seen.
        let is_past_end = |end: &Revision| end.era == revision.era && *end < revision;
        if revision < self.complete_since || self.era_ends.iter().any(is_past_end) {
            return None;
        }
        let mut selected = Vec::new();
        let mut up_to = revision;
        for (at, change) in self.latest_changes.iter().filter(|(at, _)| *at > revision) {
            if selected.len() >= soft_limit && *at > up_to {
                return Some((up_to, selected));
            }
            up_to = *at;
            selected.push(change.clone());
        }
        Some((self.revision.max(revision), selected))
    }
}

impl Dispatcher {
    /// Records a complete listing of endpoints from the store.
    pub fn record_listing(&self, revision: Revision) {
        self.lock().synchronization.record_listing(revision);
    }

    /// Records changes to endpoints from the store.
    pub fn record_changes(&self, revision: Revision, changes: Vec<Change>) {
        self.lock().synchronization.record_changes(revision, changes);
    }

    /// Returns the changes from the known endpoints to a listing. Endpoints in `kept` do not
    /// count as gone if the listing lacks them.
    #[must_use]
    pub fn differences(&self, listed: &[&Endpoint], kept: &[&str]) -> Vec<Change> {
        let known = self.known_endpoints();
        let known: HashMap<&str, &Endpoint> = known.iter().map(|known| (known.id.as_str(), &**known)).collect();
        let remaining: HashSet<&str> =
            listed.iter().map(|other| other.id.as_str()).chain(kept.iter().copied()).collect();
        let gone = known.keys().filter(|id| !remaining.contains(*id)).map(|id| Change::Gone((*id).to_owned()));
        let is_new = |other: &&&Endpoint| known.get(other.id.as_str()).is_none_or(|known| !known.says_the_same(other));
        let new = listed.iter().filter(is_new).map(|other| Change::Known((*other).clone()));
        gone.chain(new).collect()
    }

    /// Records that all roll-outs are known as of a revision.
    pub fn record_orders_revision(&self, revision: Revision) {
        let known = &mut self.lock().synchronization.orders_revision;
        *known = (*known).max(Some(revision));
        self.startup_progressed.notify_waiters();
    }

    /// Whether the store may be unreachable, according to the replies of other instances.
    #[must_use]
    pub fn suspects_store_outage(&self) -> bool {
        self.lock().synchronization.doubts_store
    }

    /// Returns the revision up to which the endpoints are known.
    #[must_use]
    pub fn endpoints_revision(&self) -> Revision {
        self.lock().synchronization.revision
    }

    /// Records whether this instance's link is slow, so that reading the catalog takes long.
    pub fn set_narrow(&self, is_narrow: bool) {
        let mut state = self.lock();
        if state.is_narrow != is_narrow {
            tracing::info!(is_narrow, "link classified by time to read the catalog");
            state.is_narrow = is_narrow;
        }
    }

    /// Returns the question to send to a watcher.
    #[must_use]
    pub fn question(&self) -> Question {
        Question { revision: self.endpoints_revision() }
    }

    /// Returns the reply to another instance's question, with about `soft_limit` changes, or `None`
    /// while this instance knows too little.
    #[must_use]
    pub fn reply(&self, question: Question, soft_limit: usize) -> Option<Reply> {
        let proof_age = self.keys_age()?;
        // A proof is an answer of the store too.
        let silence = proof_age.min(clock::now().saturating_sub(self.catalog_progress.last_arrival()));
        let state = self.lock();
        let orders_revision = state.synchronization.orders_revision?;
        if state.knowledge < Knowledge::Endpoints || !self.knows_evacuations(&state) {
            return None;
        }
        let since = state.synchronization.changes_since(question.revision, soft_limit);
        let gap = since.is_none();
        let (revision, changes) = since.unwrap_or((question.revision, Vec::new()));
        Some(Reply {
            catalog: state.catalog.as_ref().map_or(0, |catalog| catalog.version),
            proof_age,
            silence,
            revision,
            gap,
            changes,
            orders_revision,
            orders: state.rollouts.orders(),
            evacuations: state.fleet.evacuations.snapshot(),
            era_age: self.era_age(revision.era),
        })
    }

    /// Applies a reply to a question that was sent at `asked_at`.
    pub fn apply_reply(&self, asked_at: Duration, reply: Reply) {
        if reply.silence > MAX_STORE_SILENCE {
            self.record_doubtful_reply(&reply);
            return;
        }
        // This instance may have read the store itself since it asked. Changes that it read
        // there are outdated in the reply: they could remove an endpoint that has come back,
        // and no later change would add it again.
        if reply.revision > self.endpoints_revision() {
            self.apply_changes(&reply.changes);
        }
        // Counted back from the reply's arrival: that makes the era look younger, and the store complete
        // later, never sooner.
        let era_seen_at = reply.era_age.map(|age| clock::now().saturating_sub(age));
        self.record_era_of(reply.revision.era, era_seen_at);
        self.apply_orders(reply.orders_revision, &reply.orders);
        if self.settings.follows_evacuations() {
            self.replace_evacuations(reply.evacuations);
        }
        let mut state = self.lock();
        state.synchronization.record_changes(reply.revision, reply.changes);
        state.synchronization.last_reply = Some(clock::now());
        state.synchronization.doubtful_replies = 0;
        state.synchronization.doubts_store = false;
        state.synchronization.gaps = if reply.gap { state.synchronization.gaps + 1 } else { 0 };
        if state.synchronization.gaps >= MAX_GAPS {
            state.synchronization.gaps = 0;
            self.endpoints_wanted.notify_one();
        }
        // The proof renews the lease only if this instance has the proven catalog.
        let has_catalog = state.catalog.as_ref().is_some_and(|known| known.version >= reply.catalog);
        drop(state);
        if has_catalog {
            self.renew(asked_at.saturating_sub(reply.proof_age), Proof::Read);
        }
        self.record_catalog_version(reply.catalog);
    }

    /// Applies changes to the known endpoints.
    fn apply_changes(&self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Known(endpoint) => self.register_endpoint(endpoint.clone()),
                Change::Gone(id) => self.remove_endpoint(id),
            }
        }
    }

    /// Records a reply of a watcher that seems to have lost the store.
    fn record_doubtful_reply(&self, reply: &Reply) {
        let mut state = self.lock();
        state.synchronization.doubtful_replies += 1;
        if state.synchronization.doubtful_replies >= MAX_DOUBTFUL_REPLIES
            && state.synchronization.last_reply.take().is_some()
        {
            state.synchronization.doubts_store = true;
            tracing::info!(
                silence_ms = clock::millis(reply.silence),
                proof_age_ms = clock::millis(reply.proof_age),
                "watchers seem to have lost the store, watching it from here"
            );
        }
        drop(state);
        self.record_catalog_version(reply.catalog);
    }

    /// Records the catalog version of another instance, and has the catalog read again if
    /// that version is newer than this instance's.
    pub(super) fn record_catalog_version(&self, version: u64) {
        let mut state = self.lock();
        if state.catalog.as_ref().is_some_and(|known| known.version >= version) || version == 0 {
            return;
        }
        if state.synchronization.announced_catalogs.announce(version, clock::now()) {
            tracing::info!(version, "newer catalog announced");
        }
        self.catalog_wanted.notify_one();
    }

    /// Records that another instance has a version of the catalog, so that it can be asked
    /// for it. Ignores a version that is not newer than this instance's.
    pub fn record_newer_catalog_peer(&self, peer: SocketAddr, version: u64) {
        let mut state = self.lock();
        if state.catalog.as_ref().is_some_and(|known| known.version >= version) || version == 0 {
            return;
        }
        let newer_catalog_peers = &mut state.synchronization.newer_catalog_peers;
        newer_catalog_peers.retain(|(known, _)| *known != peer);
        newer_catalog_peers.truncate(MAX_NEWER_CATALOG_PEERS - 1);
        newer_catalog_peers.push_front((peer, version));
    }

    /// Returns the address of an instance that has a newer catalog than this one, drawn at
    /// random from the latest that announced one.
    #[must_use]
    pub fn newer_catalog_peer(&self) -> Option<SocketAddr> {
        let mut state = self.lock();
        let version = state.catalog.as_ref().map_or(0, |known| known.version);
        state.synchronization.newer_catalog_peers.retain(|(_, announced)| *announced > version);
        let (peer, _) = state.synchronization.newer_catalog_peers.iter().choose(&mut rand::rng())?;
        Some(*peer)
    }

    /// Whether another instance has a newer catalog than this one. Many instances announce
    /// the same catalog; once it was read, their announcements must not cause it to be
    /// read again.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.lock().synchronization.announced_catalogs.is_behind()
    }

    /// Replaces the known roll-outs by those of a reply, unless this instance knows them as of a
    /// newer revision.
    fn apply_orders(&self, revision: Revision, orders: &[Rollout]) {
        if self.lock().synchronization.orders_revision.is_some_and(|known| revision < known) {
            return;
        }
        let known = self.lock().rollouts.orders();
        for gone in known.iter().filter(|order| !orders.iter().any(|other| other.service == order.service)) {
            self.withdraw_order(&gone.service);
        }
        for order in orders {
            let newer = known.iter().any(|mine| mine.service == order.service && mine.revision >= order.revision);
            if !newer {
                self.apply_order(order.clone());
            }
        }
        self.record_orders_revision(revision);
    }
}
