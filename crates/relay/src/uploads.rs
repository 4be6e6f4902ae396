//! Requests whose bodies have not arrived whole.
//!
//! A body occupies memory from its first byte. A caller that stops short of its end must not keep that
//! memory from others until its own deadline. Each body therefore has a lag: how far it is behind a steady
//! rate. A caller that pauses falls behind, one that sends in bursts catches up, and a single byte now and
//! then does not help. The lag only decides who gives way: a body whose memory nobody needs may pause for
//! as long as the operator lets callers be idle.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
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
#[derive(Debug, Default)]
pub struct Uploads(Mutex<SlotMap<Id, Entry>>);

#[derive(Debug)]
struct Entry {
    started: Duration,
    /// When the body was last on pace, or would have been.
    behind_since: Duration,
    /// Memory that it occupies, in bytes.
    bytes: usize,
    end: Arc<End>,
}

/// What a body and those for which it is given up share.
#[derive(Debug, Default)]
pub struct End {
    is_given_up: AtomicBool,
    given_up: Notify,
    is_gone: AtomicBool,
}

impl End {
    /// Gives the body up; its request is refused.
    pub fn give_up(&self) {
        self.is_given_up.store(true, Ordering::Relaxed);
        self.given_up.notify_one();
        metrics::counter!("relay_uploads_given_up_total", "reason" => "memory").increment(1);
    }

    /// Whether the memory of the body has been released.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Relaxed)
    }
}

impl Uploads {
    /// Adds an unfinished body.
    #[must_use]
    pub fn add(self: &Arc<Self>) -> Upload {
        let (now, end) = (clock::now(), Arc::<End>::default());
        let entry = Entry { started: now, behind_since: now, bytes: 0, end: Arc::clone(&end) };
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
        end.give_up();
        Some(end)
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<Id, Entry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Returns what the body shares with those for which it is given up.
    #[must_use]
    pub fn end(&self) -> &Arc<End> {
        &self.end
    }

    /// Whether the body was given up for others.
    #[must_use]
    pub fn is_given_up(&self) -> bool {
        self.end.is_given_up.load(Ordering::Relaxed)
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
