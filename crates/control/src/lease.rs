//! A lease: the exclusive right to give orders, for a limited time.
//!
//! The object `lease/NAME` names the holder and the epoch; every renewal
//! changes it by a conditional update. Clocks are never compared between
//! instances:
//!
//! - The holder counts its term from before it sent the write that began it,
//!   on its own monotonic clock ([`Term`]).
//! - A successor counts from when it first read the state that it is about to
//!   replace, which is never before that write took effect, and waits for the
//!   term plus [`Settings::grace`], the longest time that an order may take to
//!   arrive.
//!
//! So a successor's first order comes after the last byte of its predecessor's
//! orders, also at engines that ignore the fencing number. A holder that was
//! paused sees by its own clock that its term has ended; a renewal that it
//! still sends fails on its condition.

use std::time::{Duration, SystemTime};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use store::{Item, Priority, Write};
use timeline::{Event, Holding, Recorder};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};
use world::instance;

/// Configuration of one instance's claim to a lease.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the lease; its object is `lease/NAME`.
    pub name: String,
    /// Instance that wants the lease.
    pub instance: instance::Id,
    /// Incarnation of that instance.
    pub incarnation: instance::Incarnation,
    /// Length of a term. The holder renews three times in one.
    pub term: Duration,
    /// Time that a successor waits beyond the term: at least the time limit of
    /// an order.
    pub grace: Duration,
    /// Seed of the jitter between attempts to take the lease.
    pub seed: u64,
}

impl Settings {
    /// Returns the default configuration, with terms of six seconds.
    #[must_use]
    pub fn new(name: &str, instance: instance::Id, incarnation: instance::Incarnation) -> Self {
        let seed = world::hash::stable(instance.as_str().as_bytes());
        Self { name: name.into(), instance, incarnation, term: DEFAULT_TERM, grace: DEFAULT_GRACE, seed }
    }
}

/// Default length of a term.
const DEFAULT_TERM: Duration = Duration::from_secs(6);
/// Default wait of a successor beyond the term.
const DEFAULT_GRACE: Duration = Duration::from_secs(2);

/// Renewals per term, so that two may fail before it ends.
const RENEWALS_PER_TERM: u32 = 3;

/// Divisor of the term that gives the interval of retries after a failed
/// renewal.
const RETRIES_PER_TERM: u32 = 20;

/// Divisor of the term that gives the extra wait of a successor, which allows
/// for clock drift between two machines.
const DRIFT_DIVISOR: u32 = 50;

/// A term during which this instance holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Epoch of the lease, sent with orders as their fencing number.
    pub epoch: u64,
    /// End of the term on this process's monotonic clock.
    pub until: Instant,
    /// Start of the term on the wall clock.
    started: SystemTime,
    length: Duration,
}

impl Term {
    /// Returns the remaining time, zero once the term has ended.
    ///
    /// The monotonic clock stands still while some machines are suspended, the
    /// wall clock does not. The shorter remainder of both counts; otherwise a
    /// holder that was suspended with its machine would resume in a term that
    /// another instance has held for long.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        let by_wall = self.started.elapsed().map_or(self.length, |passed| self.length.saturating_sub(passed));
        self.until.saturating_duration_since(Instant::now()).min(by_wall)
    }
}

/// The lease as stored in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    epoch: u64,
    holder: instance::Id,
    incarnation: instance::Incarnation,
}

/// Starts a task that takes and renews the lease; the receiver shows its
/// present term.
///
/// A receiver must check [`Term::remaining`] before each use, because a paused
/// process may see an ended term here.
#[must_use]
pub fn spawn(settings: Settings, platform: store::Handle, recorder: Recorder) -> watch::Receiver<Option<Term>> {
    let (sender, receiver) = watch::channel(None);
    tokio::spawn(run(settings, platform, recorder, sender));
    receiver
}

/// Takes and renews the lease, again and again, until the receiver is dropped.
pub async fn run(settings: Settings, platform: store::Handle, recorder: Recorder, terms: watch::Sender<Option<Term>>) {
    let random = StdRng::seed_from_u64(settings.seed);
    let platform = platform.within(settings.term / (2 * RENEWALS_PER_TERM));
    let mut task = Task { settings, platform, recorder, terms, random, observed: None };
    while !task.terms.is_closed() {
        match task.try_acquire().await {
            Some((item, term)) => task.renew_until_lost(item, term).await,
            None => task.wait_before_retry().await,
        }
    }
}

/// The task that takes and renews the lease.
struct Task {
    settings: Settings,
    platform: store::Handle,
    recorder: Recorder,
    terms: watch::Sender<Option<Term>>,
    random: StdRng,
    observed: Option<Observed>,
}

/// Version of the lease object as last read, and when it was first read.
struct Observed {
    version: u64,
    since: Instant,
}

impl Task {
    /// Takes the lease if it is free or its holder has let it lapse.
    async fn try_acquire(&mut self) -> Option<(Item, Term)> {
        let key = self.key();
        let found = self.platform.get(Priority::Lease, &key).await.ok()?;
        let Some(item) = found else {
            self.observed = None;
            let record = self.record(1);
            let started = StartTime::now();
            let write = self.platform.create(Priority::Lease, &key, &record).await;
            return self.on_acquire_result(write, started, &record, None);
        };
        let old: Record = item.read().ok()?;
        if !self.is_lapsed(item.version) {
            return None;
        }
        let record = self.record(old.epoch + 1);
        let started = StartTime::now();
        let write = self.platform.update(Priority::Lease, &item, &record).await;
        self.on_acquire_result(write, started, &record, Some(old.holder))
    }

    /// Returns whether the state of the lease has been unchanged for a term
    /// plus the grace.
    fn is_lapsed(&mut self, version: u64) -> bool {
        // The state that was read is in effect by now, but may not have been when the read was
        // sent. So the wait starts here.
        let now = Instant::now();
        let observed = self.observed.get_or_insert(Observed { version, since: now });
        if observed.version != version {
            *observed = Observed { version, since: now };
        }
        let term = self.settings.term;
        now.duration_since(observed.since) >= term + term / DRIFT_DIVISOR + self.settings.grace
    }

    /// Handles the result of the write that takes the lease.
    fn on_acquire_result(
        &mut self,
        write: Result<Write, store::Error>,
        started: StartTime,
        record: &Record,
        from: Option<instance::Id>,
    ) -> Option<(Item, Term)> {
        // A write with an unknown outcome may have taken the lease. It is then waited out like
        // any other holder's: no order was given under it, so only time is lost.
        let Ok(Write::Done(item)) = write else { return None };
        let holding = Holding::Lease { name: self.settings.name.clone() };
        self.recorder.record(Event::TakeOver { holding, epoch: record.epoch, from });
        Some((item, self.term(record.epoch, started)))
    }

    /// Renews the lease until the term ends or another instance takes it.
    async fn renew_until_lost(&mut self, mut item: Item, mut term: Term) {
        self.terms.send_replace(Some(term));
        let record = self.record(term.epoch);
        let mut delay = self.settings.term / RENEWALS_PER_TERM;
        let mut reason = "its term ended before it could be renewed";
        while !self.terms.is_closed() && !term.remaining().is_zero() {
            sleep(delay).await;
            delay = self.settings.term / RENEWALS_PER_TERM;
            let started = StartTime::now();
            match self.platform.update(Priority::Lease, &item, &record).await {
                Ok(Write::Done(renewed)) => {
                    item = renewed;
                    term = self.term(term.epoch, started);
                    self.terms.send_replace(Some(term));
                }
                Ok(Write::Lost { .. }) => {
                    reason = "another instance took it";
                    break;
                }
                Err(error) => {
                    tracing::warn!(lease = self.settings.name, %error, "lease renewal failed, will retry");
                    delay = self.settings.term / RETRIES_PER_TERM;
                    item = self.refresh_item(item, &record, &error).await;
                }
            }
        }
        self.terms.send_replace(None);
        self.observed = None;
        let holding = Holding::Lease { name: self.settings.name.clone() };
        self.recorder.record(Event::HandOver { holding, epoch: term.epoch, reason: reason.into() });
    }

    /// Returns the item on which the next renewal is conditional.
    async fn refresh_item(&self, item: Item, record: &Record, error: &store::Error) -> Item {
        if !matches!(error, store::Error::Unknown { .. }) {
            return item;
        }
        // A renewal whose response was lost may have taken effect under a new version. A
        // renewal based on the old version would then fail against this instance's own write.
        match self.platform.get(Priority::Lease, &item.key).await {
            Ok(Some(found)) if found.read::<Record>().is_ok_and(|r| r == *record) => found,
            _ => item,
        }
    }

    /// Waits half to three quarters of a term before the next attempt to take
    /// the lease.
    async fn wait_before_retry(&mut self) {
        let half = self.settings.term / 2;
        let jitter = self.random.random_range(0.0..0.5);
        sleep_until(Instant::now() + half.mul_f64(1.0 + jitter)).await;
    }

    /// Returns the term that a write begun at `started` gives.
    fn term(&self, epoch: u64, started: StartTime) -> Term {
        let length = self.settings.term;
        Term { epoch, until: started.monotonic + length, started: started.wall, length }
    }

    /// Returns the record of this instance as the holder.
    fn record(&self, epoch: u64) -> Record {
        let Settings { instance, incarnation, .. } = &self.settings;
        Record { epoch, holder: instance.clone(), incarnation: *incarnation }
    }

    /// Returns the key of the lease's object.
    fn key(&self) -> String {
        format!("lease/{}", self.settings.name)
    }
}

/// Start of a write on the monotonic and the wall clock.
#[derive(Clone, Copy)]
struct StartTime {
    monotonic: Instant,
    wall: SystemTime,
}

impl StartTime {
    fn now() -> Self {
        Self { monotonic: Instant::now(), wall: SystemTime::now() }
    }
}
