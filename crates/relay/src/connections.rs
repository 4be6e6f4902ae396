//! Connections of all listeners, and which of them are closed when memory or descriptors run out.
//!
//! Whoever connects gets a connection, and it may never send a request, stop within a head, or stay open
//! for good. So connections are counted and charged to the memory [`Account`], and the one that is worth
//! least is closed when another needs its place: first those that have stood still within a head or a
//! body, then the one that has been idle for longest, and last those whose requests are still arriving. A
//! connection whose request has arrived is never closed for another: its run may have begun.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::task::AtomicWaker;
use slotmap::{SlotMap, new_key_type};
use tokio::time::sleep;

use crate::{clock, dispatcher::Dispatcher, memory::Account, settings};

/// Memory of an open connection, in bytes: its task, and the buffers that the HTTP library keeps for
/// reading and writing.
const CONNECTION_BYTES: usize = 24 << 10;

/// Memory of a request whose body is awaited besides that of the body, in bytes: its head, its state, and
/// a buffer with received bytes.
const BODY_BYTES: usize = 16 << 10;

/// Memory of a request in progress besides its body, in bytes: its state, the connection to an endpoint,
/// and an event of a stream that its caller has not taken.
const REQUEST_BYTES: usize = 56 << 10;

/// Memory of a received byte of a head, in bytes: the buffer doubles when it is full.
const BYTES_PER_HEAD_BYTE: usize = 2;

/// Time from which a connection whose request is arriving may be closed for others although it goes on.
const MIN_AGE: Duration = Duration::from_secs(1);

/// Time for which a connection must have stood still before it is closed rather than an idle one. A
/// network that loses a packet delays a head for less.
const MIN_STALL: Duration = Duration::from_millis(800);

/// Time beyond the operator's limit on a head after which its connection is closed.
const HEAD_SLACK: Duration = Duration::from_millis(500);

/// Interval in which connections past their time are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Connections beyond the limit for callers that other instances, readiness checks and questions for
/// addresses may have. Otherwise a crowd of callers could make the instance look lost.
const RESERVED_CONNECTIONS: usize = 32;

new_key_type! {
    struct Id;
}

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// Callers with requests.
    Caller,
    /// Other instances, the platform, and callers that ask for addresses.
    Infrastructure,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waiting for a request.
    Idle,
    /// Receiving the head of a request.
    Head,
    /// Receiving the body of a request.
    Body,
    /// Serving a request.
    Busy,
    /// Receiving the rest of a refused request.
    Discarding,
}

/// Why a connection is closed before its peer ends it.
#[derive(Debug, Clone, Copy)]
enum Reason {
    /// Another connection or request needs its place.
    Displaced,
    /// Its head or body takes too long.
    Overdue,
    /// There is no place for it.
    NoPlace,
}

impl Reason {
    fn label(self) -> &'static str {
        match self {
            Self::Displaced => "displaced",
            Self::Overdue => "overdue",
            Self::NoPlace => "no place",
        }
    }

    fn count(self) {
        tracing::debug!(reason = self.label(), "connection closed early");
        metrics::counter!("relay_connections_closed_total", "reason" => self.label()).increment(1);
    }
}

/// All open connections.
#[derive(Debug)]
pub struct Connections {
    account: Arc<Account>,
    max: AtomicUsize,
    max_discard_ms: AtomicU64,
    entries: Mutex<SlotMap<Id, Entry>>,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    /// When the phase began, or since when a body lags.
    since: Duration,
    /// When the request began to arrive.
    started: Duration,
    /// Memory that is charged for the connection.
    bytes: usize,
    closer: Arc<Closer>,
}

/// What a connection and those that close it share.
#[derive(Debug, Default)]
struct Closer {
    is_closed: AtomicBool,
    waker: AtomicWaker,
}

impl Connections {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(account: Arc<Account>, limits: &settings::Connections) -> Arc<Self> {
        let (max, max_discard_ms) = (AtomicUsize::default(), AtomicU64::default());
        let connections = Self { account, max, max_discard_ms, entries: Mutex::default() };
        connections.set_limits(limits);
        Arc::new(connections)
    }

    /// Changes the limits, and closes connections that may be closed until they and the memory's bounds
    /// hold.
    pub fn set_limits(&self, limits: &settings::Connections) {
        self.max.store(limits.max, Ordering::Relaxed);
        let max_discard_ms = u64::try_from(limits.max_discard.as_millis()).unwrap_or(u64::MAX);
        self.max_discard_ms.store(max_discard_ms, Ordering::Relaxed);
        while self.len() > limits.max && self.displace() {}
        self.displace_excess();
    }

    /// Returns the longest time for which the rest of a refused request is received.
    #[must_use]
    pub fn max_discard(&self) -> Duration {
        Duration::from_millis(self.max_discard_ms.load(Ordering::Relaxed))
    }

    /// Closes connections until the memory's bounds hold, if enough may be closed.
    fn displace_excess(&self) {
        while self.account.is_exceeded_by(0) && self.displace() {}
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Registers a new connection, for which others may be closed; `None` if there is no place for it.
    #[must_use]
    pub fn open(self: &Arc<Self>, peer: Peer) -> Option<Handle> {
        let max = self.max.load(Ordering::Relaxed);
        let (max, wanted) = match peer {
            Peer::Caller => (max, CONNECTION_BYTES),
            Peer::Infrastructure => (max + RESERVED_CONNECTIONS, 0),
        };
        while self.len() >= max || self.account.is_exceeded_by(wanted) {
            if !self.displace() {
                Reason::NoPlace.count();
                return None;
            }
        }
        let closer = Arc::<Closer>::default();
        let now = clock::now();
        let entry = Entry {
            phase: Phase::Idle,
            since: now,
            started: now,
            bytes: CONNECTION_BYTES,
            closer: Arc::clone(&closer),
        };
        self.account.charge_connection(CONNECTION_BYTES);
        let id = self.lock().insert(entry);
        Some(Handle(Arc::new(Inner { connections: Arc::clone(self), id, closer })))
    }

    /// Closes the connection that is worth least; returns false if none may be closed.
    pub fn displace(&self) -> bool {
        let now = clock::now();
        let mut entries = self.lock();
        let ranked = entries.iter().filter_map(|(id, entry)| Some((entry.rank(now)?, id)));
        let Some((_, id)) = ranked.min() else { return false };
        if let Some(entry) = entries.remove(id) {
            drop(entries);
            self.close(&entry, Reason::Displaced);
        }
        true
    }

    /// Closes connections whose heads, or whose bodies of refused requests, take too long.
    fn close_overdue(&self, head_limit: Duration) {
        let (now, max_discard) = (clock::now(), self.max_discard());
        let mut overdue = Vec::new();
        self.lock().retain(|_, entry| {
            let limit = match entry.phase {
                Phase::Head => head_limit,
                Phase::Discarding => max_discard,
                Phase::Idle | Phase::Body | Phase::Busy => return true,
            };
            if now < entry.since + limit {
                return true;
            }
            overdue.push((entry.bytes, Arc::clone(&entry.closer)));
            false
        });
        for (bytes, closer) in overdue {
            self.account.release_connection(bytes);
            closer.close(Reason::Overdue);
        }
    }

    fn close(&self, entry: &Entry, reason: Reason) {
        self.account.release_connection(entry.bytes);
        entry.closer.close(reason);
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<Id, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    /// Returns the order in which connections are closed for others, or `None` if this one is not.
    fn rank(&self, now: Duration) -> Option<(u8, Duration)> {
        let class = match self.phase {
            Phase::Head | Phase::Body | Phase::Discarding if now >= self.since + MIN_STALL => 0,
            Phase::Idle => 1,
            Phase::Head | Phase::Discarding => 2,
            Phase::Body if now >= self.started + MIN_AGE => 3,
            Phase::Body | Phase::Busy => return None,
        };
        Some((class, self.since))
    }

    fn enter(&mut self, phase: Phase) {
        (self.phase, self.since) = (phase, clock::now());
        if phase == Phase::Head {
            self.started = self.since;
        }
    }

    /// Changes what is charged for the connection to `bytes`.
    fn charge(&mut self, account: &Account, bytes: usize) {
        account.charge_connection(bytes);
        account.release_connection(self.bytes);
        self.bytes = bytes;
    }
}

impl Closer {
    fn close(&self, reason: Reason) {
        reason.count();
        self.is_closed.store(true, Ordering::Relaxed);
        self.waker.wake();
    }
}

/// Closes overdue connections at regular intervals, and reports what connections hold; never returns.
pub async fn sweep(dispatcher: Arc<Dispatcher>) {
    loop {
        let before = clock::now();
        sleep(SWEEP_INTERVAL).await;
        let connections = &dispatcher.connections;
        // After the process has stood still, heads that have arrived meanwhile are read first.
        if clock::now() < before + SWEEP_INTERVAL * 2 {
            let limits = dispatcher.catalog().map(|catalog| catalog.limits).unwrap_or_default();
            connections.close_overdue(limits.header_time + HEAD_SLACK);
        }
        connections.account.report();
        #[expect(clippy::cast_precision_loss, reason = "a process has far fewer than 2^53 descriptors")]
        metrics::gauge!("relay_connections").set(connections.len() as f64);
    }
}

/// An open connection; dropping the last clone removes it.
#[derive(Debug, Clone)]
pub struct Handle(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    connections: Arc<Connections>,
    id: Id,
    closer: Arc<Closer>,
}

impl Handle {
    /// Whether the connection is to be closed; `cx` is woken when that changes.
    pub fn poll_closed(&self, cx: &std::task::Context<'_>) -> bool {
        self.0.closer.waker.register(cx.waker());
        self.0.closer.is_closed.load(Ordering::Relaxed)
    }

    /// Records that bytes were received.
    pub fn received(&self, bytes: usize) {
        self.with_entry(|entry, account| {
            if entry.phase == Phase::Idle {
                entry.enter(Phase::Head);
            }
            if entry.phase == Phase::Head {
                entry.charge(account, entry.bytes + bytes * BYTES_PER_HEAD_BYTE);
            }
        });
        self.0.connections.displace_excess();
    }

    /// Records that the head of a request has arrived.
    pub fn start_request(&self) {
        self.with_entry(|entry, account| {
            entry.enter(Phase::Busy);
            entry.charge(account, CONNECTION_BYTES);
        });
    }

    /// Records that the body of the request is awaited, and has lagged since `behind_since`.
    pub fn await_body(&self, behind_since: Duration) {
        self.with_entry(|entry, account| {
            (entry.phase, entry.since) = (Phase::Body, behind_since);
            entry.charge(account, CONNECTION_BYTES + BODY_BYTES);
        });
        self.0.connections.displace_excess();
    }

    /// Charges the memory of a request that has arrived and returns true, or returns false if there is
    /// none. Other connections may be closed for it.
    #[must_use]
    pub fn charge_request(&self) -> bool {
        let connections = &self.0.connections;
        self.with_entry(|entry, _| entry.enter(Phase::Busy));
        while connections.account.is_exceeded_by(REQUEST_BYTES) {
            if !connections.displace() {
                return false;
            }
        }
        self.with_entry(|entry, account| entry.charge(account, CONNECTION_BYTES + REQUEST_BYTES));
        true
    }

    /// Records that the rest of a refused request is received.
    pub fn start_discarding(&self) {
        self.with_entry(|entry, account| {
            entry.enter(Phase::Discarding);
            entry.charge(account, CONNECTION_BYTES);
        });
    }

    /// Records that the rest of a refused request has been received.
    pub fn end_discarding(&self) {
        self.with_entry(|entry, _| entry.enter(Phase::Idle));
    }

    /// Records that a response has been written, unless the rest of its request is still received.
    pub fn end_request(&self) {
        self.with_entry(|entry, account| {
            if matches!(entry.phase, Phase::Body | Phase::Busy) {
                entry.enter(Phase::Idle);
                entry.charge(account, CONNECTION_BYTES);
            }
        });
    }

    fn with_entry(&self, change: impl FnOnce(&mut Entry, &Account)) {
        let connections = &self.0.connections;
        if let Some(entry) = connections.lock().get_mut(self.0.id) {
            change(entry, &connections.account);
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        if let Some(entry) = self.connections.lock().remove(self.id) {
            self.connections.account.release_connection(entry.bytes);
        }
    }
}
