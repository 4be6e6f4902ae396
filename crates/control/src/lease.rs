//! A lease: the time-bound sole right to give orders.
//!
//! The object `lease/NAME` names holder and epoch; every renewal changes it
//! by a conditional update. No clock is compared between instances:
//!
//! - The holder counts its term from before it sent the write that began it,
//!   on its own monotonic clock ([`Term`]).
//! - A successor counts from when it first read the state it is about to
//!   replace, which is never before that write took effect, and waits for the
//!   term plus [`Settings::grace`]: the longest an order may be on its way.
//!
//! So a successor's first order comes after the last byte of its
//! predecessor's, also at engines that ignore the fencing number. A holder
//! that was paused finds its term over by its own clock; a renewal that it
//! sends then fails on its condition.

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

/// How a lease is kept.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name; the object is `lease/NAME`.
    pub name: String,
    /// Who wants it.
    pub instance: instance::Id,
    /// Which run.
    pub incarnation: instance::Incarnation,
    /// Length of a term. Three renewals fit in one.
    pub term: Duration,
    /// How long a successor waits beyond the term: an order's time limit.
    pub grace: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Settings {
    /// The usual lease: terms of six seconds.
    #[must_use]
    pub fn new(name: &str, instance: instance::Id, incarnation: instance::Incarnation) -> Self {
        let seed = world::hash::stable(instance.as_str().as_bytes());
        Self { name: name.into(), instance, incarnation, term: TERM, grace: GRACE, seed }
    }
}

const TERM: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_secs(2);

/// Writes in a term, so that two may fail before it ends.
const RENEWALS: u32 = 3;

/// Pauses in a term while renewals fail.
const RETRIES: u32 = 20;

/// Part of a term that counts as clock drift between two machines.
const DRIFT: u32 = 50;

/// A term that this instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Fencing number.
    pub epoch: u64,
    /// When it ends, on this process's clock.
    pub until: Instant,
    began: SystemTime,
    span: Duration,
}

impl Term {
    /// Time left; nothing once it has ended.
    ///
    /// The monotonic clock stands still while some machines are suspended. The
    /// wall clock does not, so the shorter of both counts: a holder that slept
    /// with its machine would otherwise wake into a term long since another's.
    #[must_use]
    pub fn left(&self) -> Duration {
        let by_wall = self.began.elapsed().map_or(self.span, |gone| self.span.saturating_sub(gone));
        self.until.saturating_duration_since(Instant::now()).min(by_wall)
    }
}

/// The lease as kept in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    epoch: u64,
    holder: instance::Id,
    incarnation: instance::Incarnation,
}

/// Starts a task that wants the lease; the receiver tells its terms.
///
/// A receiver must check [`Term::left`] before each use: a paused process may
/// find an ended term here.
#[must_use]
pub fn spawn(settings: Settings, platform: store::Handle, recorder: Recorder) -> watch::Receiver<Option<Term>> {
    let (sender, receiver) = watch::channel(None);
    tokio::spawn(run(settings, platform, recorder, sender));
    receiver
}

/// Wants, takes and keeps the lease until nobody listens.
pub async fn run(settings: Settings, platform: store::Handle, recorder: Recorder, terms: watch::Sender<Option<Term>>) {
    let random = StdRng::seed_from_u64(settings.seed);
    let platform = platform.within(settings.term / (2 * RENEWALS));
    let mut task = Task { settings, platform, recorder, terms, random, seen: None };
    while !task.terms.is_closed() {
        match task.take().await {
            Some((item, term)) => task.hold(item, term).await,
            None => task.pause().await,
        }
    }
}

struct Task {
    settings: Settings,
    platform: store::Handle,
    recorder: Recorder,
    terms: watch::Sender<Option<Term>>,
    random: StdRng,
    seen: Option<Seen>,
}

/// The last state read, and since when it has stood.
struct Seen {
    version: u64,
    since: Instant,
}

impl Task {
    /// Takes the lease if it is free or its holder's time is over.
    async fn take(&mut self) -> Option<(Item, Term)> {
        let key = self.key();
        let found = self.platform.get(Priority::Lease, &key).await.ok()?;
        let Some(item) = found else {
            self.seen = None;
            let record = self.record(1);
            let began = Began::now();
            let write = self.platform.create(Priority::Lease, &key, &record).await;
            return self.taken(write, began, &record, None);
        };
        let old: Record = item.read().ok()?;
        if !self.waited_out(item.version) {
            return None;
        }
        let record = self.record(old.epoch + 1);
        let began = Began::now();
        let write = self.platform.update(Priority::Lease, &item, &record).await;
        self.taken(write, began, &record, Some(old.holder))
    }

    /// Whether the state read has stood for a term and the grace.
    fn waited_out(&mut self, version: u64) -> bool {
        // Read, so it stands by now: the wait starts here, not when it was sent.
        let now = Instant::now();
        let seen = self.seen.get_or_insert(Seen { version, since: now });
        if seen.version != version {
            *seen = Seen { version, since: now };
        }
        let term = self.settings.term;
        now.duration_since(seen.since) >= term + term / DRIFT + self.settings.grace
    }

    fn taken(
        &mut self,
        write: Result<Write, store::Error>,
        began: Began,
        record: &Record,
        from: Option<instance::Id>,
    ) -> Option<(Item, Term)> {
        // An unknown outcome may have taken the lease. It is then waited out
        // like anybody's: nothing was ordered under it, so only time is lost.
        let Ok(Write::Done(item)) = write else { return None };
        let holding = Holding::Lease { name: self.settings.name.clone() };
        self.recorder.record(Event::TakeOver { holding, epoch: record.epoch, from });
        Some((item, self.term(record.epoch, began)))
    }

    /// Renews until the term ends or another holds the lease.
    async fn hold(&mut self, mut item: Item, mut term: Term) {
        self.terms.send_replace(Some(term));
        let record = self.record(term.epoch);
        let mut pause = self.settings.term / RENEWALS;
        let mut reason = "its term ended before it could be renewed";
        while !self.terms.is_closed() && !term.left().is_zero() {
            sleep(pause).await;
            pause = self.settings.term / RENEWALS;
            let began = Began::now();
            match self.platform.update(Priority::Lease, &item, &record).await {
                Ok(Write::Done(renewed)) => {
                    item = renewed;
                    term = self.term(term.epoch, began);
                    self.terms.send_replace(Some(term));
                }
                Ok(Write::Lost { .. }) => {
                    reason = "another instance took it";
                    break;
                }
                Err(error) => {
                    tracing::warn!(lease = self.settings.name, %error, "renewal failed, will be tried again");
                    pause = self.settings.term / RETRIES;
                    item = self.reread(item, &record, &error).await;
                }
            }
        }
        self.terms.send_replace(None);
        self.seen = None;
        let holding = Holding::Lease { name: self.settings.name.clone() };
        self.recorder.record(Event::HandOver { holding, epoch: term.epoch, reason: reason.into() });
    }

    /// What the next renewal is built on.
    async fn reread(&self, item: Item, record: &Record, error: &store::Error) -> Item {
        if !matches!(error, store::Error::Unknown { .. }) {
            return item;
        }
        // A renewal whose answer was lost may stand under another version; one
        // built on the old version would lose against our own write.
        match self.platform.get(Priority::Lease, &item.key).await {
            Ok(Some(found)) if found.read::<Record>().is_ok_and(|r| r == *record) => found,
            _ => item,
        }
    }

    /// Sleeps between two looks at a lease that another holds.
    async fn pause(&mut self) {
        let half = self.settings.term / 2;
        let jitter = self.random.random_range(0.0..0.5);
        sleep_until(Instant::now() + half.mul_f64(1.0 + jitter)).await;
    }

    fn term(&self, epoch: u64, began: Began) -> Term {
        let span = self.settings.term;
        Term { epoch, until: began.monotonic + span, began: began.wall, span }
    }

    fn record(&self, epoch: u64) -> Record {
        let Settings { instance, incarnation, .. } = &self.settings;
        Record { epoch, holder: instance.clone(), incarnation: *incarnation }
    }

    fn key(&self) -> String {
        format!("lease/{}", self.settings.name)
    }
}

/// When a write was begun, on both clocks.
#[derive(Clone, Copy)]
struct Began {
    monotonic: Instant,
    wall: SystemTime,
}

impl Began {
    fn now() -> Self {
        Self { monotonic: Instant::now(), wall: SystemTime::now() }
    }
}
