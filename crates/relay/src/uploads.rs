//! Requests whose bodies have not arrived whole.
//!
//! A body occupies memory from its first byte. A caller that stops short of its end, or sends more slowly
//! than any sound one, must not keep that memory from others until its own deadline. Each body therefore
//! has a lag: how far it is behind a steady rate. A caller that pauses falls behind, one that sends in
//! bursts catches up, and a single byte now and then does not help.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

use crate::clock;

/// Rate behind which a body lags, in bytes a second: far below that of the narrowest link of a caller,
/// shared by all that upload.
const STEADY_RATE: u32 = 4 << 10;

/// Lag for which a body is given up if others need its memory. A network that loses a packet delays a
/// body for less.
const MIN_LAG: Duration = Duration::from_millis(800);

/// Age from which an unfinished body gives way to a short one, which arrives at once.
const MIN_AGE: Duration = Duration::from_secs(1);

new_key_type! {
    struct Id;
}

/// Unfinished bodies.
#[derive(Debug)]
pub struct Uploads {
    entries: Mutex<SlotMap<Id, Entry>>,
    max_lag_ms: AtomicU64,
}

#[derive(Debug)]
struct Entry {
    started: Duration,
    /// When the body was last on pace, or would have been.
    behind_since: Duration,
    /// Memory that it occupies, in bytes.
    bytes: usize,
    end: Arc<End>,
}

/// What a body and the request that is served instead share.
#[derive(Debug, Default)]
pub struct End {
    given_up: Notify,
    is_gone: AtomicBool,
}

impl End {
    /// Whether the memory of the body has been released.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Relaxed)
    }
}

impl Uploads {
    /// Creates an empty registry; a body that lags by `max_lag` is given up in any case.
    #[must_use]
    pub fn new(max_lag: Duration) -> Self {
        let uploads = Self { entries: Mutex::default(), max_lag_ms: AtomicU64::new(0) };
        uploads.set_max_lag(max_lag);
        uploads
    }

    /// Changes the longest lag.
    pub fn set_max_lag(&self, max_lag: Duration) {
        self.max_lag_ms.store(u64::try_from(max_lag.as_millis()).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Adds an unfinished body.
    #[must_use]
    pub fn add(self: &Arc<Self>, started: Duration) -> Upload {
        let end = Arc::<End>::default();
        let entry = Entry { started, behind_since: clock::now(), bytes: 0, end: Arc::clone(&end) };
        let id = self.lock().insert(entry);
        Upload { uploads: Arc::clone(self), id, end }
    }

    /// Gives up the body that is furthest behind; `None` if none is far enough.
    pub fn give_up_slowest(&self) -> Option<Arc<End>> {
        let now = clock::now();
        let is_late = |entry: &Entry| now >= entry.behind_since + MIN_LAG;
        self.give_up(|entry| is_late(entry).then_some(now.saturating_sub(entry.behind_since).as_nanos()))
    }

    /// Gives up the largest body that is not new.
    pub fn give_up_largest(&self) -> Option<Arc<End>> {
        let now = clock::now();
        self.give_up(|entry| (now >= entry.started + MIN_AGE).then_some(entry.bytes as u128))
    }

    /// Gives up the body with the highest of the given ranks.
    fn give_up(&self, rank: impl Fn(&Entry) -> Option<u128>) -> Option<Arc<End>> {
        let mut entries = self.lock();
        let ranked = entries.iter().filter_map(|(id, entry)| Some((rank(entry)?, id)));
        let (_, id) = ranked.max()?;
        let end = entries.remove(id)?.end;
        end.given_up.notify_one();
        Some(end)
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<Id, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An unfinished body, which is listed until this is dropped.
#[derive(Debug)]
pub struct Upload {
    uploads: Arc<Uploads>,
    id: Id,
    end: Arc<End>,
}

impl Upload {
    /// Records that bytes have arrived, and the memory that the body occupies with them.
    pub fn record(&self, arrived: usize, held: usize) {
        if let Some(entry) = self.uploads.lock().get_mut(self.id) {
            let arrived = u32::try_from(arrived).unwrap_or(u32::MAX);
            let gained = Duration::from_secs_f64(f64::from(arrived) / f64::from(STEADY_RATE));
            entry.behind_since = (entry.behind_since + gained).min(clock::now());
            entry.bytes = held;
        }
    }

    /// Returns when the body was last on pace, or would have been.
    #[must_use]
    pub fn behind_since(&self) -> Duration {
        self.uploads.lock().get(self.id).map_or(Duration::ZERO, |entry| entry.behind_since)
    }

    /// Returns the time until the body lags for too long if nothing more arrives.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        let max_lag = Duration::from_millis(self.uploads.max_lag_ms.load(Ordering::Relaxed));
        (self.behind_since() + max_lag).saturating_sub(clock::now())
    }

    /// Waits until the body is given up for others.
    pub async fn given_up(&self) {
        self.end.given_up.notified().await;
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.uploads.lock().remove(self.id);
        self.end.is_gone.store(true, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
