//! Records a process's events.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use world::instance;

use crate::{
    clock::{Clock, Skew, Stamp},
    event::{Event, Kind},
    filter::Filter,
    ring::Ring,
};

/// Least milliseconds between two records of a skewed clock.
const SKEW_RECORD_MS: u64 = 10_000;

/// Which process recorded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Source {
    /// Its instance.
    pub instance: instance::Id,
    /// Which run of it.
    pub incarnation: instance::Incarnation,
}

/// One event with its place in the order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Place in the order of all instances' events.
    pub at: Stamp,
    /// Who recorded it.
    pub source: Source,
    /// Place among this source's records, from 1 without holes.
    pub number: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// Answer to a query.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// Who answers.
    pub source: Source,
    /// Wanted records, oldest first.
    pub records: Vec<Record>,
    /// Wanted records at or before this may be missing: the ring overflowed.
    pub overflowed_before: Option<Stamp>,
    /// Wanted records at or before this were left out by the query's limit.
    pub limited_before: Option<Stamp>,
    /// Number of the source's latest record; the next query's `after`.
    pub last: u64,
}

/// Most records kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Of requests' steps.
    pub requests: usize,
    /// Of everything else.
    pub others: usize,
}

impl Default for Capacity {
    /// Two minutes of requests at 500 steps a second; a day of the rest.
    fn default() -> Self {
        Self { requests: 60_000, others: 8_000 }
    }
}

/// A process's record of events; clones share it.
#[derive(Debug, Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    source: Source,
    clock: Clock,
    // A lock and no task: a record must be in the ring when `record` returns,
    // and the critical section is a push.
    rings: Mutex<Rings>,
    last: watch::Sender<u64>,
}

#[derive(Debug)]
struct Rings {
    // Apart, because a busy minute of requests would push out the
    // configuration change that explains it.
    requests: Ring,
    others: Ring,
    last: u64,
    skew_recorded: Option<Stamp>,
}

impl Recorder {
    /// Opens an empty recorder.
    #[must_use]
    pub fn open(source: Source, capacity: Capacity) -> Self {
        Self::over(source, capacity, Clock::default())
    }

    /// Opens an empty recorder over a given clock.
    #[must_use]
    pub fn over(source: Source, capacity: Capacity, clock: Clock) -> Self {
        let rings = Rings {
            requests: Ring::new(capacity.requests),
            others: Ring::new(capacity.others),
            last: 0,
            skew_recorded: None,
        };
        let (last, _) = watch::channel(0);
        Self { shared: Arc::new(Shared { source, clock, rings: Mutex::new(rings), last }) }
    }

    /// Who records.
    #[must_use]
    pub fn source(&self) -> &Source {
        &self.shared.source
    }

    /// Records an event and returns its stamp.
    #[expect(clippy::must_use_candidate, reason = "the stamp serves few callers")]
    pub fn record(&self, event: Event) -> Stamp {
        let rings = self.lock();
        // Stamped under the lock: a ring's order is its stamps' order.
        let at = self.shared.clock.tick();
        self.push(rings, at, event);
        at
    }

    /// Records an event that was stamped by [`Recorder::clock`] before it was
    /// certain, since others may have recorded its effects by now. A follower
    /// that has passed the stamp shows it late.
    pub fn record_at(&self, at: Stamp, event: Event) {
        self.push(self.lock(), at, event);
    }

    fn push(&self, mut rings: MutexGuard<'_, Rings>, at: Stamp, event: Event) {
        rings.last += 1;
        let number = rings.last;
        let record = Arc::new(Record { at, source: self.shared.source.clone(), number, event });
        match record.event.kind() {
            Kind::Request => rings.requests.push(record.clone()),
            _ => rings.others.push(record.clone()),
        }
        self.shared.last.send_replace(number);
        drop(rings);
        // After the lock: whoever reads the log slowly would hold up every
        // request. Lines may thus stand out of order; `at` sorts them.
        log(&record);
    }

    /// A stamp to carry on a message to another process.
    #[must_use]
    pub fn clock(&self) -> Stamp {
        self.shared.clock.tick()
    }

    /// Takes over the stamp of a received message, so that what it causes here
    /// is later. A stamp too far ahead is left out, and recorded as such.
    pub fn observe(&self, stamp: Stamp) {
        if let Err(skew) = self.shared.clock.observe(stamp) {
            self.record_skew(skew);
        }
    }

    /// The wanted records.
    #[must_use]
    pub fn query(&self, filter: &Filter) -> Page {
        let rings = self.lock();
        let requests = filter.wants_kind(Kind::Request);
        let others = Kind::ALL.iter().any(|kind| *kind != Kind::Request && filter.wants_kind(*kind));
        // Shared under the lock and looked at after it: every request records,
        // and would wait while an operator's filter goes through the rings.
        let of_requests = rings.requests.after(filter.after).filter(|_| requests);
        let of_others = rings.others.after(filter.after).filter(|_| others);
        let mut records: Vec<Arc<Record>> = of_requests.chain(of_others).cloned().collect();
        let dropped_requests = rings.requests.dropped_after(filter.after).filter(|_| requests);
        let dropped_others = rings.others.dropped_after(filter.after).filter(|_| others);
        let last = rings.last;
        drop(rings);

        records.retain(|record| filter.wants(record));
        records.sort_by_key(|record| record.number);
        let overflowed_before = dropped_requests.into_iter().chain(dropped_others).map(|d| d.at).max();
        let mut limited_before = None;
        if filter.limit > 0 && records.len() > filter.limit {
            let left_out = records.len() - filter.limit;
            limited_before = Some(records[left_out - 1].at);
            records.drain(..left_out);
        }
        let records = records.iter().map(|record| Record::clone(record)).collect();
        Page { source: self.shared.source.clone(), records, overflowed_before, limited_before, last }
    }

    /// Changes whenever a record is added; holds the latest record's number.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.last.subscribe()
    }

    fn record_skew(&self, skew: Skew) {
        let now = self.shared.clock.tick();
        let mut rings = self.lock();
        let recent =
            rings.skew_recorded.is_some_and(|before| now.timestamp().since(before.timestamp()) < SKEW_RECORD_MS);
        if recent {
            return;
        }
        rings.skew_recorded = Some(now);
        drop(rings);
        self.record(Event::ClockSkew { ahead_ms: skew.ahead_ms });
    }

    fn lock(&self) -> MutexGuard<'_, Rings> {
        // A push leaves the rings whole even if a holder panicked.
        self.shared.rings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes a record as a log line.
fn log(record: &Record) {
    if !tracing::enabled!(target: "timeline", tracing::Level::INFO) {
        return;
    }
    let event = serde_json::to_string(&record.event).unwrap_or_default();
    tracing::info!(
        target: "timeline",
        at = record.at.0,
        instance = record.source.instance.as_str(),
        number = record.number,
        kind = record.event.kind().as_str(),
        event,
    );
}
