//! The trait through which the relay uses the store that keeps its state.

use std::{
    fmt,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use futures::future::BoxFuture;
use route::relay::{canary::Stage, content::Content};

use crate::{catalog::Catalog, clock, rollout::Rollout};

/// A point in the store's history.
///
/// The store numbers its changes. One that comes back from an older copy goes on from the copy's
/// number and gives numbers out again, so that they are ordered within an era only. What it shows
/// in a later era is newer than all that it showed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision {
    /// Number of times that the store has come back from an older copy.
    pub era: u64,
    /// Number of the change within the era; 0 before the first.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// Kinds of records in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The catalog, a single record.
    Catalog,
    /// Endpoints of all services.
    Endpoints,
    /// Rollouts: operators' orders to move a service to another version.
    Rollouts,
    /// Instances of this system.
    Instances,
    /// Requests that are refused because they crash endpoints.
    Quarantine,
    /// Failure domains whose endpoints an operator has evacuated.
    Evacuations,
}

/// A record of any kind.
#[derive(Debug, Clone)]
pub enum Record {
    /// The catalog.
    Catalog(Box<Catalog>),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A rollout.
    Rollout(Rollout),
    /// An instance.
    Instance(Instance),
    /// A quarantined request.
    Refused(Refused),
    /// An evacuation; the record's name is that of the failure domain.
    Evacuation,
}

/// An endpoint, as it registered itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Name. A restarted endpoint may use the same name, without its earlier state.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Address that it listens at.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: String,
    /// Software version.
    pub version: String,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Whether it is shutting down and should get no new requests.
    pub draining: bool,
    /// Remaining time for which it is slow after its start.
    pub warmup_left: Duration,
    /// Start time in Unix milliseconds by its own clock, if it reports one.
    pub started_at_ms: Option<u64>,
    /// Revision of the registration in the store.
    pub revision: Revision,
}

impl Endpoint {
    /// Whether another registration says the same, at whatever revision.
    #[must_use]
    pub fn says_the_same(&self, other: &Self) -> bool {
        *self == Self { revision: self.revision, ..other.clone() }
    }
}

/// An instance, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Address at which it receives news.
    pub news: SocketAddr,
}

/// A quarantined request, which is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Identity of the request.
    pub content: Content,
    /// Time of the last crash that it caused, in Unix milliseconds.
    pub since: u64,
}

/// A record that was listed, written or deleted.
#[derive(Debug, Clone)]
pub struct Change {
    /// Name of the record.
    pub name: String,
    /// The record; `None` if it was deleted.
    pub record: Option<Record>,
}

/// All records of a kind.
#[derive(Debug, Clone)]
pub struct Listing {
    /// Revision of the store that the listing shows.
    pub revision: Revision,
    /// Every record that could be decoded.
    pub records: Vec<Change>,
    /// Names of the records that could not be decoded.
    pub unreadable: Vec<String>,
}

/// Consistency of a listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// Shows everything that was written before the call (linearizable).
    Latest,
    /// Shows the records as of some earlier time, possibly seconds ago; costs the store less.
    AnyAge,
}

/// Changes to records of a kind.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Revision of the store up to which the changes are complete.
    pub revision: Revision,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The store no longer has the requested history; list again.
    Compacted,
    /// The store has come back from an older copy; list again.
    Restored,
    /// A change does not name the record that changed; list again.
    Unreadable,
    /// The object was changed by another write, or is gone.
    Conflict,
    /// The store rejected the call, which certainly had no effect.
    Refused(String),
    /// No answer came; a write may or may not have taken effect.
    Lost(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("the store has compacted its history; list again"),
            Self::Restored => f.write_str("the store has come back from an older copy; list again"),
            Self::Unreadable => f.write_str("a change cannot be decoded; list again"),
            Self::Conflict => f.write_str("the object was changed by another write; read it again"),
            Self::Refused(cause) => write!(f, "the store rejected the call: {cause}; try again later"),
            Self::Lost(cause) => write!(f, "no answer from the store: {cause}; try again"),
        }
    }
}

/// Arrival times of answers: calls record them, and the task that awaits a call reads them.
///
/// Times are microseconds of [`clock::now`]; zero means never.
#[derive(Debug, Default)]
pub struct Progress {
    /// When the first part of the current call's answer arrived.
    first: AtomicU64,
    /// When a part of any call's answer last arrived.
    last: AtomicU64,
}

impl Progress {
    /// Records the start of a call.
    pub fn start(&self) {
        self.first.store(0, Ordering::Relaxed);
    }

    /// Records the arrival of a part of an answer. The answer of a rejected call does not
    /// count.
    pub fn record_arrival(&self) {
        let now = u64::try_from(clock::now().as_micros()).unwrap_or(u64::MAX);
        self.first.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed).ok();
        self.last.store(now, Ordering::Relaxed);
    }

    /// Returns the time from the first to the last part of the last answer: its transfer
    /// time, without the processing time of the store.
    #[must_use]
    pub fn transfer_time(&self) -> Duration {
        match self.first.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            first => self.last_arrival().saturating_sub(Duration::from_micros(first)),
        }
    }

    /// Returns when a part of an answer last arrived; zero before the first.
    #[must_use]
    pub fn last_arrival(&self) -> Duration {
        Duration::from_micros(self.last.load(Ordering::Relaxed))
    }
}

/// A store with revisions, conditional writes and watches.
///
/// Calls have no time limit of their own; the caller cancels a call by dropping it. Calls
/// with long answers record their [`Progress`].
pub trait Source: fmt::Debug + Send + Sync {
    /// Lists the records of a kind.
    fn list<'a>(&'a self, kind: Kind, read: Read, progress: &'a Progress) -> BoxFuture<'a, Result<Listing, Fault>>;
    /// Waits up to `wait` for changes after the revision `from`.
    fn watch<'a>(
        &'a self,
        kind: Kind,
        from: Revision,
        wait: Duration,
        progress: &'a Progress,
    ) -> BoxFuture<'a, Result<Batch, Fault>>;
    /// Writes a rollout's stage to its status, unless the object has changed since it was
    /// read.
    fn report_stage<'a>(&'a self, rollout: &'a Rollout, stage: Stage) -> BoxFuture<'a, Result<(), Fault>>;
    /// Registers this instance; the name may already be registered.
    fn register<'a>(&'a self, instance: &'a Instance) -> BoxFuture<'a, Result<(), Fault>>;
    /// Removes the registration of this instance.
    fn deregister<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), Fault>>;
    /// Stores a quarantined request; it may already be stored.
    fn store_refused<'a>(&'a self, refused: &'a Refused) -> BoxFuture<'a, Result<(), Fault>>;
    /// Deletes a quarantined request; it may already be gone.
    fn delete_refused<'a>(&'a self, refused: &'a Refused) -> BoxFuture<'a, Result<(), Fault>>;
}
