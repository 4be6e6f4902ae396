//! The one trait between the relay and the store that keeps its state.

use std::{
    fmt,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use futures::future::BoxFuture;
use route::relay::{canary::Stage, content::Content};

use crate::{catalog::Catalog, clock, rollout::Rollout};

/// What is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The catalog, one record.
    Catalog,
    /// Endpoints of all services.
    Endpoints,
    /// Operators' orders to move a service to another version.
    Rollouts,
    /// This system's instances.
    Instances,
    /// Requests that are refused because endpoints crash under them.
    Quarantine,
}

/// One record.
#[derive(Debug, Clone)]
pub enum Record {
    /// The catalog.
    Catalog(Box<Catalog>),
    /// An endpoint.
    Endpoint(Endpoint),
    /// An order.
    Rollout(Rollout),
    /// An instance.
    Instance(Instance),
    /// A refused request.
    Refused(Refused),
}

/// An endpoint as it has registered itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its name; it may start again under it, knowing nothing of before.
    pub id: String,
    /// Its service's name.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub domain: String,
    /// Version of its software.
    pub version: String,
    /// Runs it takes at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// When it started, in Unix milliseconds by its own clock; nothing if it
    /// does not say.
    pub born: Option<u64>,
    /// The store's revision of the registration.
    pub revision: u64,
}

/// An instance as it has registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where it hears news.
    pub news: SocketAddr,
}

/// A request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// The request.
    pub content: Content,
    /// When an endpoint last crashed under it, in Unix milliseconds.
    pub since: u64,
}

/// A record's name, and the record unless it was deleted.
#[derive(Debug, Clone)]
pub struct Change {
    /// The record's name.
    pub name: String,
    /// The record; nothing when it was deleted.
    pub record: Option<Record>,
}

/// Records of a kind.
#[derive(Debug, Clone)]
pub struct Listing {
    /// The store's revision of this answer.
    pub revision: u64,
    /// Every record that reads.
    pub records: Vec<Change>,
    /// Names of those that do not.
    pub unreadable: Vec<String>,
}

/// What a listing must show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// Everything that was written before the call (linearizable).
    Latest,
    /// The records as of some moment, seconds ago perhaps; costs the store less.
    AnyAge,
}

/// Changes to records of a kind.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The store's revision up to which changes are here.
    pub revision: u64,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The history asked for is gone; list again.
    Compacted,
    /// A change does not tell what it is of; list again.
    Unreadable,
    /// Another write came first, or the object is gone.
    Conflict,
    /// Not taken; certainly not done.
    Refused(String),
    /// No answer; a write may or may not be done.
    Lost(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("history is gone; list again"),
            Self::Unreadable => f.write_str("a change does not read; list again"),
            Self::Conflict => f.write_str("another write came first; read again"),
            Self::Refused(cause) => write!(f, "refused: {cause}; try again later"),
            Self::Lost(cause) => write!(f, "no answer: {cause}; ask again"),
        }
    }
}

/// When answers brought something; a call notes it, whoever waits reads it.
///
/// Times are microseconds of [`clock::now`]; zero is never.
#[derive(Debug, Default)]
pub struct Progress {
    /// When the last call's answer began to come.
    first: AtomicU64,
    /// When something last came, of whichever call.
    last: AtomicU64,
}

impl Progress {
    /// Notes that a call begins.
    pub fn start(&self) {
        self.first.store(0, Ordering::Relaxed);
    }

    /// Notes that something of an answer has come: its beginning, or a piece of
    /// it. A refusal is none.
    pub fn note(&self) {
        let now = u64::try_from(clock::now().as_micros()).unwrap_or(u64::MAX);
        self.first.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed).ok();
        self.last.store(now, Ordering::Relaxed);
    }

    /// Time from the beginning of the last answer to the last that came of it: what
    /// it took of the link, without the store's own time.
    #[must_use]
    pub fn transfer(&self) -> Duration {
        match self.first.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            first => self.last().saturating_sub(Duration::from_micros(first)),
        }
    }

    /// When something last came; zero before the first time.
    #[must_use]
    pub fn last(&self) -> Duration {
        Duration::from_micros(self.last.load(Ordering::Relaxed))
    }
}

/// A store with revisions, conditional writes and watches.
///
/// Calls have no time limit of their own: the caller drops a call to end it.
/// Those whose answers may be long note what comes of them.
pub trait Source: fmt::Debug + Send + Sync {
    /// Lists a kind's records.
    fn list<'a>(&'a self, kind: Kind, read: Read, progress: &'a Progress) -> BoxFuture<'a, Result<Listing, Fault>>;
    /// Waits for changes after a revision.
    fn watch<'a>(
        &'a self,
        kind: Kind,
        from: u64,
        wait: Duration,
        progress: &'a Progress,
    ) -> BoxFuture<'a, Result<Batch, Fault>>;
    /// Writes a roll-out's status if its revision still is the one read.
    fn report<'a>(&'a self, rollout: &'a Rollout, stage: Stage) -> BoxFuture<'a, Result<(), Fault>>;
    /// Registers this instance; its name may be registered already.
    fn register<'a>(&'a self, instance: &'a Instance) -> BoxFuture<'a, Result<(), Fault>>;
    /// Takes this instance's registration back.
    fn deregister<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), Fault>>;
    /// Writes a refused request; it may be there already.
    fn refuse<'a>(&'a self, refused: &'a Refused) -> BoxFuture<'a, Result<(), Fault>>;
    /// Takes a refused request back; it may be gone already.
    fn allow<'a>(&'a self, refused: &'a Refused) -> BoxFuture<'a, Result<(), Fault>>;
}
