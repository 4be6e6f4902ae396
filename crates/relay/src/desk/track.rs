//! Keeping in step through another instance in place of the store.
//!
//! Each call to the store is paid for, and its rates grow more slowly than the
//! fleet. So a few instances watch the store, and the others ask one of those:
//! they say up to which revision they know the endpoints, and hear what has
//! changed since, which catalog is in force, and how old the proof of that is.
//! The proof counts from when the question was sent, so that a delay on the
//! way only makes it look older. What does not fit, or is no longer kept, is
//! read from the store; so is everything while nobody answers.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use rand::seq::IteratorRandom;
use route::relay::freshness::{Proof, Succession};

use super::{Desk, Known};
use crate::{clock, rollout::Rollout, source::Endpoint};

/// Silence of the store from which the instance that tells of it is doubted: while
/// it is in touch, each 0.95 s some of an answer about the catalog comes in.
///
/// Not the age of its proof: that grows with the catalog's length, though nothing
/// is amiss. Doubted for that, instances with narrow links were left by all
/// others, which then read the catalog themselves, until every link was full.
const SILENT_TOO_LONG: Duration = Duration::from_millis(1_400);

/// Doubtful replies in a row after which an instance watches the store itself;
/// the second comes from another instance than the first.
///
/// Those that watch the store may be cut off from it together, and go on to
/// prove the catalog that they had. They notice after 1.5 s, and it takes as long
/// until others have taken their place and told of a new catalog: whoever waited for
/// that served by the old one for longer than operators allow.
const MOST_DOUBTS: u32 = 2;

/// Instances remembered that have a newer catalog: several, so that those which ask
/// for it do not all ask the same one.
const MOST_TELLERS: usize = 8;

/// Changes kept for those who are behind; a roll-out's worth.
const KEPT: usize = 256;

/// A change to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// It registered, or its registration changed.
    Known(Endpoint),
    /// Its registration is gone.
    Gone(String),
}

/// How far this instance is in step.
#[derive(Debug, Default)]
pub struct Track {
    pub(super) revision: u64,
    from: u64,
    kept: VecDeque<(u64, Change)>,
    pub(super) answered: Option<Duration>,
    /// Replies in a row of instances that seem to have lost the store.
    pub(super) doubts: u32,
    /// Whether such replies ended this instance's being kept in step, and neither
    /// others nor its own calls have shown since that the store is there.
    pub(super) doubts_store: bool,
    orders_known: bool,
    /// Newer catalogs that any instance has told of.
    pub(super) succession: Succession,
    /// Instances that have told of newer catalogs, with the versions.
    tellers: VecDeque<(SocketAddr, u64)>,
}

/// What an instance that is behind asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question {
    /// Revision up to which it knows the endpoints.
    pub revision: u64,
}

/// What it hears.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Version of the catalog in force; 0 before the first.
    pub catalog: u64,
    /// Age of the proof that it is.
    pub proof_age: Duration,
    /// Time since the store last answered the instance that replies.
    pub silence: Duration,
    /// Revision that the changes lead to; the asked one if they are no longer
    /// kept.
    pub revision: u64,
    /// Whether the endpoints have to be read from the store.
    pub gap: bool,
    /// Changes since, oldest first.
    pub changes: Vec<Change>,
    /// Every roll-out ordered.
    pub orders: Vec<Rollout>,
}

impl Track {
    /// An instance that knows nothing; `replace` bounds how long it may serve by a
    /// catalog that was replaced.
    pub(super) fn new(replace: Option<Duration>) -> Self {
        Self { succession: Succession::new(replace), ..Self::default() }
    }

    /// Notes a whole listing of endpoints.
    fn listed(&mut self, revision: u64) {
        if revision >= self.revision {
            self.revision = revision;
            self.from = revision;
            self.kept.clear();
        }
    }

    /// Notes changes up to a revision.
    fn changed(&mut self, revision: u64, changes: impl IntoIterator<Item = Change>) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.kept.extend(changes.into_iter().map(|change| (revision, change)));
        while self.kept.len() > KEPT {
            if let Some((dropped, _)) = self.kept.pop_front() {
                self.from = dropped;
            }
        }
    }

    /// The first changes after a revision and the revision they lead to;
    /// nothing if they are not all kept.
    ///
    /// At most about `most`: of those that belong to one revision all are
    /// told, or a question from that revision on would miss the rest.
    fn since(&self, revision: u64, most: usize) -> Option<(u64, Vec<Change>)> {
        if revision < self.from {
            return None;
        }
        let mut told = Vec::new();
        let mut up_to = revision;
        for (at, change) in self.kept.iter().filter(|(at, _)| *at > revision) {
            if told.len() >= most && *at > up_to {
                return Some((up_to, told));
            }
            up_to = *at;
            told.push(change.clone());
        }
        Some((self.revision.max(revision), told))
    }
}

impl Desk {
    /// Notes a whole listing of endpoints from the store.
    pub fn note_listing(&self, revision: u64) {
        self.lock().track.listed(revision);
    }

    /// Notes changes to endpoints from the store.
    pub fn note_changes(&self, revision: u64, changes: Vec<Change>) {
        self.lock().track.changed(revision, changes);
    }

    /// How the known endpoints differ from a listing, but for those in `kept`
    /// that it lacks.
    #[must_use]
    pub fn differences(&self, listed: &[&Endpoint], kept: &[&str]) -> Vec<Change> {
        let known = self.known_endpoints();
        let known: HashMap<&str, &Endpoint> = known.iter().map(|known| (known.id.as_str(), &**known)).collect();
        let stays: HashSet<&str> = listed.iter().map(|other| other.id.as_str()).chain(kept.iter().copied()).collect();
        let gone = known.keys().filter(|id| !stays.contains(*id)).map(|id| Change::Gone((*id).to_owned()));
        let is_new = |other: &&&Endpoint| known.get(other.id.as_str()) != Some(*other);
        let new = listed.iter().filter(is_new).map(|other| Change::Known((*other).clone()));
        gone.chain(new).collect()
    }

    /// Notes that all roll-outs have been listed.
    pub fn note_orders(&self) {
        self.lock().track.orders_known = true;
    }

    /// Whether the store may be lost, as far as others have shown.
    #[must_use]
    pub fn doubts_store(&self) -> bool {
        self.lock().track.doubts_store
    }

    /// Revision up to which endpoints are known.
    #[must_use]
    pub fn endpoints_revision(&self) -> u64 {
        self.lock().track.revision
    }

    /// Notes whether the catalog takes long to come in here.
    pub fn note_narrow(&self, is_narrow: bool) {
        let mut state = self.lock();
        if state.is_narrow != is_narrow {
            tracing::info!(is_narrow, "time that the catalog takes to come in has changed");
            state.is_narrow = is_narrow;
        }
    }

    /// What this instance asks.
    #[must_use]
    pub fn question(&self) -> Question {
        Question { revision: self.endpoints_revision() }
    }

    /// Answers another instance; nothing while this one knows too little.
    #[must_use]
    pub fn reply(&self, question: Question, most: usize) -> Option<Reply> {
        let proof_age = self.keys_age()?;
        // A proof is an answer as well.
        let silence = proof_age.min(clock::now().saturating_sub(self.catalog_progress.last()));
        let state = self.lock();
        if state.known < Known::Endpoints || !state.track.orders_known {
            return None;
        }
        let since = state.track.since(question.revision, most);
        let gap = since.is_none();
        let (revision, changes) = since.unwrap_or((question.revision, Vec::new()));
        Some(Reply {
            catalog: state.catalog.as_ref().map_or(0, |catalog| catalog.version),
            proof_age,
            silence,
            revision,
            gap,
            changes,
            orders: state.trials.orders(),
        })
    }

    /// Takes a reply to a question sent at `asked` in.
    pub fn take_reply(&self, asked: Duration, reply: Reply) {
        if reply.silence > SILENT_TOO_LONG {
            self.doubt(&reply);
            return;
        }
        // A reply may come after this instance has read the store itself. What
        // changed before that is over: an endpoint that was gone and is back would
        // be given up, and nobody would tell of it again.
        if reply.revision > self.endpoints_revision() {
            self.apply(&reply.changes);
        }
        self.take_orders(&reply.orders);
        let mut state = self.lock();
        state.track.changed(reply.revision, reply.changes);
        state.track.answered = Some(clock::now());
        state.track.doubts = 0;
        state.track.doubts_store = false;
        if reply.gap {
            self.endpoints_wanted.notify_one();
        }
        // Only who has the very catalog that is proven may count on it.
        if state.catalog.as_ref().is_some_and(|known| known.version >= reply.catalog) {
            state.freshness.renew(asked.saturating_sub(reply.proof_age), Proof::Read);
        }
        drop(state);
        self.note_newer(reply.catalog);
    }

    fn apply(&self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Known(endpoint) => self.enlist(endpoint.clone()),
                Change::Gone(id) => self.delist(id),
            }
        }
    }

    /// Notes that an instance which should watch the store seems to have lost it.
    fn doubt(&self, reply: &Reply) {
        let mut state = self.lock();
        state.track.doubts += 1;
        if state.track.doubts >= MOST_DOUBTS && state.track.answered.take().is_some() {
            state.track.doubts_store = true;
            tracing::info!(
                silence_ms = clock::millis(reply.silence),
                proof_age_ms = clock::millis(reply.proof_age),
                "nobody is in touch with the store; watching it"
            );
        }
        drop(state);
        self.note_newer(reply.catalog);
    }

    /// Notes which catalog another instance has; a newer one is to be read.
    pub(super) fn note_newer(&self, version: u64) {
        let mut state = self.lock();
        if state.catalog.as_ref().is_some_and(|known| known.version >= version) || version == 0 {
            return;
        }
        if state.track.succession.tell(version, clock::now()) {
            tracing::info!(version, "told of a newer catalog");
        }
        self.catalog_wanted.notify_one();
    }

    /// Notes that another instance has a catalog; it can be asked for a newer one.
    pub fn note_teller(&self, teller: SocketAddr, version: u64) {
        let mut state = self.lock();
        if state.catalog.as_ref().is_some_and(|known| known.version >= version) || version == 0 {
            return;
        }
        let tellers = &mut state.track.tellers;
        tellers.retain(|(known, _)| *known != teller);
        tellers.truncate(MOST_TELLERS - 1);
        tellers.push_front((teller, version));
    }

    /// An instance that has a newer catalog than this one, any of the last that
    /// told so.
    #[must_use]
    pub fn teller(&self) -> Option<SocketAddr> {
        let mut state = self.lock();
        let version = state.catalog.as_ref().map_or(0, |known| known.version);
        state.track.tellers.retain(|(_, told)| *told > version);
        let (teller, _) = state.track.tellers.iter().choose(&mut rand::rng())?;
        Some(*teller)
    }

    /// Whether another instance has a newer catalog than this one: of the many
    /// that say so the first brings a reading about, and the others must not
    /// bring further ones.
    #[must_use]
    pub fn behind(&self) -> bool {
        self.lock().track.succession.is_behind()
    }

    fn take_orders(&self, orders: &[Rollout]) {
        let known = self.lock().trials.orders();
        for gone in known.iter().filter(|order| !orders.iter().any(|other| other.service == order.service)) {
            self.withdraw_order(&gone.service);
        }
        for order in orders {
            let newer = known.iter().any(|mine| mine.service == order.service && mine.revision >= order.revision);
            if !newer {
                self.order(order.clone());
            }
        }
    }
}
