//! Connections of all listeners, and which of them give way when memory or descriptors run out.
//!
//! Whoever connects gets a connection, and it may never send a request, stop within one, or stay open for
//! good. So connections are counted and charged to the memory [`Account`], and the one that is worth least
//! gives way when another needs its place: first those that stand still within a request, then those on
//! which none was ever served, then the one that has been idle for longest. A connection whose request has
//! arrived never gives way: its run may have begun.
//!
//! A connection that gives way is closed. If the body of its request was arriving, the request is refused
//! before, since its caller may send it again only if it is told that it has not run.

mod entry;
mod report;

use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    task::Context,
    time::Duration,
};

use futures::task::AtomicWaker;
use slotmap::{SlotMap, new_key_type};
use tokio::time::sleep;

use self::{
    entry::{CONNECTION_BYTES, Entry, FIRST_BYTE_TIME, Phase, REQUEST_BYTES, Worth},
    report::{Reason, Report},
};
use crate::{clock, dispatcher::Dispatcher, memory::Account, settings, uploads::Upload};

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

/// All open connections.
#[derive(Debug)]
pub struct Connections {
    account: Arc<Account>,
    max: AtomicUsize,
    max_discard_ms: AtomicU64,
    entries: Mutex<SlotMap<Id, Entry>>,
    report: Mutex<Report>,
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
        let connections = Self {
            account,
            max: AtomicUsize::default(),
            max_discard_ms: AtomicU64::default(),
            entries: Mutex::default(),
            report: Mutex::default(),
        };
        connections.set_limits(limits);
        Arc::new(connections)
    }

    /// Changes the limits, and has connections give way until they and the memory's bounds hold.
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

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Registers a new connection, for which others may give way.
    #[must_use]
    pub fn open(self: &Arc<Self>, ip: IpAddr, peer: Peer) -> Opened {
        let max = self.max.load(Ordering::Relaxed);
        let (max, wanted) = match peer {
            Peer::Caller => (max, CONNECTION_BYTES),
            Peer::Infrastructure => (max + RESERVED_CONNECTIONS, 0),
        };
        while self.len() >= max || self.account.is_exceeded_by(wanted) {
            // A crowd that comes back at once would otherwise close callers before their first byte.
            if let Some(newcomer_since) = self.next_newcomer() {
                return Opened::After((newcomer_since + FIRST_BYTE_TIME).saturating_sub(clock::now()));
            }
            if !self.displace() {
                self.report().count(Reason::NoPlace);
                return Opened::NoPlace;
            }
        }
        let closer = Arc::<Closer>::default();
        let id = self.lock().insert(Entry::new(ip, peer, Arc::clone(&closer)));
        let handle = Handle(Arc::new(Inner { connections: Arc::clone(self), id, closer }));
        // Charges it.
        handle.update(|_| {});
        Opened::Registered(handle)
    }

    /// Returns since when the connection that would give way next is open, if it is a new one.
    fn next_newcomer(&self) -> Option<Duration> {
        let now = clock::now();
        let entries = self.lock();
        let (worth, since) = entries.values().filter_map(|entry| Some((entry.worth(now)?, entry.since))).min()?;
        (worth == Worth::Newcomer).then_some(since)
    }

    /// Has the connection that is worth least give way; returns false if none may.
    pub fn displace(&self) -> bool {
        let now = clock::now();
        let mut entries = self.lock();
        let ranked = entries.iter().filter_map(|(id, entry)| Some((entry.worth(now)?, entry.since, id)));
        let Some((_, _, id)) = ranked.min() else { return false };
        if let Some(entry) = entries.remove(id) {
            drop(entries);
            self.end(&entry, Reason::Displaced);
        }
        true
    }

    /// Has connections give way until the memory's bounds hold, if enough may.
    fn displace_excess(&self) {
        while self.account.is_exceeded_by(0) && self.displace() {}
    }

    /// Closes connections whose heads, or whose rests of refused requests, take too long.
    fn close_overdue(&self, max_head: Duration) {
        let (now, max_discard) = (clock::now(), self.max_discard());
        let mut entries = self.lock();
        let is_overdue = |entry: &Entry| match entry.phase {
            Phase::Head => now >= entry.since + max_head,
            Phase::Discarding => now >= entry.since + max_discard,
            Phase::Idle | Phase::Body(_) | Phase::Busy => false,
        };
        let overdue: Vec<Id> = entries.iter().filter(|(_, entry)| is_overdue(entry)).map(|(id, _)| id).collect();
        let overdue: Vec<Entry> = overdue.into_iter().filter_map(|id| entries.remove(id)).collect();
        drop(entries);
        for entry in &overdue {
            self.end(entry, Reason::Overdue);
        }
    }

    /// Ends a connection that was removed.
    fn end(&self, entry: &Entry, reason: Reason) {
        self.account.release_connection(entry.charged);
        self.report().count(reason);
        match &entry.phase {
            // The refusal closes it.
            Phase::Body(end) => end.give_up(),
            Phase::Idle | Phase::Head | Phase::Busy | Phase::Discarding => entry.closer.close(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<Id, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> MutexGuard<'_, Report> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Closer {
    fn close(&self) {
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
        report::tell(connections, &dispatcher.account, || dispatcher.refusal_log.take_suppressed());
    }
}

/// Result of registering a new connection.
#[derive(Debug)]
pub enum Opened {
    /// It is registered.
    Registered(Handle),
    /// Others that are as new would have to give way, and may not before this time has passed.
    After(Duration),
    /// There is no place for it.
    NoPlace,
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
    pub fn poll_closed(&self, cx: &Context<'_>) -> bool {
        self.0.closer.waker.register(cx.waker());
        self.0.closer.is_closed.load(Ordering::Relaxed)
    }

    /// Whether the connection has not given way to another one.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.0.connections.lock().contains_key(self.0.id)
    }

    /// Records that bytes were received.
    pub fn received(&self, bytes: usize) {
        self.update(|entry| {
            if bytes > 0 && matches!(entry.phase, Phase::Idle) {
                entry.enter(Phase::Head);
            }
            match entry.phase {
                Phase::Head => entry.head += bytes,
                Phase::Body(_) | Phase::Busy | Phase::Discarding => entry.pending += bytes,
                Phase::Idle => {}
            }
        });
        self.0.connections.displace_excess();
    }

    /// Records that the head of a request has arrived, of so many bytes.
    pub fn start_request(&self, head: usize) {
        self.update(|entry| {
            entry.enter(Phase::Busy);
            let after_head = entry.head.saturating_sub(head);
            (entry.head, entry.params, entry.pending, entry.has_request) = (head, 0, after_head, false);
        });
    }

    /// Charges the memory of what was decoded from the head.
    pub fn charge_params(&self, bytes: usize) {
        self.update(|entry| entry.params = bytes);
    }

    /// Records that the body of the request is awaited.
    pub fn await_body(&self, upload: &Upload) {
        self.update(|entry| {
            if !matches!(entry.phase, Phase::Body(_)) {
                entry.enter(Phase::Body(Arc::clone(upload.end())));
            }
            entry.since = upload.behind_since();
        });
        self.0.connections.displace_excess();
    }

    /// Records that data of a body was taken, and nothing received before it is kept elsewhere.
    pub fn took_data(&self) {
        self.update(|entry| entry.pending = 0);
    }

    /// Charges the memory of a request that has arrived and returns true, or returns false if there is
    /// none or the connection has given way meanwhile. Others may give way for it.
    #[must_use]
    pub fn charge_request(&self) -> bool {
        let connections = &self.0.connections;
        self.update(|entry| {
            entry.enter(Phase::Busy);
            entry.pending = 0;
        });
        while connections.account.is_exceeded_by(REQUEST_BYTES) {
            if !connections.displace() {
                return false;
            }
        }
        self.update(|entry| entry.has_request = true);
        self.is_open()
    }

    /// Records that the rest of a refused request is received.
    pub fn start_discarding(&self) {
        self.update(|entry| {
            entry.enter(Phase::Discarding);
            (entry.head, entry.params, entry.has_request) = (0, 0, false);
        });
    }

    /// Records that the rest of a refused request has been received.
    pub fn end_discarding(&self) {
        self.update(|entry| entry.enter(Phase::Idle));
    }

    /// Records that a response has been written, unless the rest of its request is still received.
    pub fn end_request(&self) {
        self.update(|entry| {
            if matches!(entry.phase, Phase::Body(_) | Phase::Busy) {
                entry.has_served |= entry.has_request || entry.peer == Peer::Infrastructure;
                entry.enter(Phase::Idle);
            }
        });
    }

    /// Changes what is known of the connection, unless it has given way, and charges what it takes then.
    fn update(&self, change: impl FnOnce(&mut Entry)) {
        let connections = &self.0.connections;
        if let Some(entry) = connections.lock().get_mut(self.0.id) {
            change(entry);
            let bytes = entry.bytes();
            connections.account.charge_connection(bytes);
            connections.account.release_connection(entry.charged);
            entry.charged = bytes;
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        if let Some(entry) = self.connections.lock().remove(self.id) {
            self.connections.account.release_connection(entry.charged);
        }
    }
}

#[cfg(test)]
mod tests;
