//! The task that owns the state in force.
//!
//! It takes changes in the order of their generations from wherever they come
//! first, never goes back, and keeps asking whether it missed one: a reader
//! asks the platform once an interval, everyone else a peer. When peers have
//! been silent too long it reads the platform itself, backing off while that
//! is away.

mod take;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use prost::Message as _;
use rand::{Rng, SeedableRng, rngs::StdRng};
use store::backoff::Backoff;
use timeline::{Event, Recorder};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
    time::{Instant, sleep_until},
};
use world::{Catalog, domain::Domain, hash, time::millis};

use crate::{
    Outbound, Scope,
    contact::Contact,
    error::Error,
    log::{Found, Log},
    reader::Reader,
    record::Snapshot,
    settings::Settings,
    state::State,
    wire,
};

/// Intervals without confirmation after which an instance helps itself.
const SILENT_INTERVALS: f64 = 2.5;
/// Longest pause between two reads of a platform that is away, in intervals.
const BACKOFF_INTERVALS: u32 = 8;
/// A reader publishes what its watch brought only if no peer has within this
/// time; the instance that made the change usually has.
const PUBLISH_DELAY: Duration = Duration::from_millis(200);

/// What the observer is told.
#[derive(Debug)]
pub(crate) enum Message {
    /// A peer's news or answer.
    Offer(Bytes),
    /// Something was read from the log or written to it.
    Found {
        /// What.
        found: Found,
        /// How it came.
        origin: Origin,
        /// Told when it is in force.
        done: Option<oneshot::Sender<()>>,
    },
    /// The log could not be read.
    Unreadable(Error),
    /// The observer's own read of the platform failed.
    ReadFailed(Error),
    /// Whether this instance watches for its failure domain.
    SetReader(bool),
}

/// How something came from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// By a watch; may lag, confirms nothing.
    Watch,
    /// By a read sent at this time, complete as of then.
    Read {
        /// When it was sent.
        asked: Instant,
    },
    /// By the observer's own read.
    OwnRead {
        /// When it was sent.
        asked: Instant,
    },
    /// By this instance's own change, sent at this time.
    Applied {
        /// When it was sent.
        asked: Instant,
    },
}

/// The task's state.
#[derive(Debug)]
pub(crate) struct Observer {
    settings: Arc<Settings>,
    log: Log,
    contact: Arc<Contact>,
    recorder: Recorder,
    state: watch::Sender<Arc<State>>,
    catalog: watch::Sender<Arc<Catalog>>,
    inbox: mpsc::WeakSender<Message>,
    out: mpsc::Sender<Outbound>,
    rng: StdRng,
    reader: Option<AbortHandle>,
    /// Wants under way: when each was sent.
    wants: BTreeMap<u64, Instant>,
    last_want: u64,
    reading: bool,
    read_backoff: Option<Backoff>,
    next_read: Instant,
    /// Generation that a watch brought, to be published at this time.
    unpublished: Option<(u64, Instant)>,
    /// The first part of a state that a peer tells.
    part: Option<Snapshot>,
    was_fresh: bool,
    blocked: Option<u64>,
}

impl Observer {
    pub(crate) fn new(
        settings: Arc<Settings>,
        log: Log,
        contact: Arc<Contact>,
        recorder: Recorder,
        (state, catalog): (watch::Sender<Arc<State>>, watch::Sender<Arc<Catalog>>),
        inbox: mpsc::WeakSender<Message>,
        out: mpsc::Sender<Outbound>,
    ) -> Self {
        let seed = settings.seed.unwrap_or_else(rand::random) ^ hash::stable(settings.instance.as_str().as_bytes());
        Self {
            log,
            contact,
            recorder,
            state,
            catalog,
            inbox,
            out,
            rng: StdRng::seed_from_u64(seed),
            reader: None,
            wants: BTreeMap::new(),
            last_want: 0,
            reading: false,
            read_backoff: None,
            next_read: Instant::now(),
            unpublished: None,
            part: None,
            was_fresh: false,
            blocked: None,
            settings,
        }
    }

    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        let mut tick = Instant::now();
        loop {
            let publish = self.unpublished.map_or(tick + self.settings.interval(), |(_, at)| at);
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => break,
                },
                () = sleep_until(tick) => {
                    self.tick();
                    tick = Instant::now() + self.jittered(self.settings.interval());
                }
                () = sleep_until(publish), if self.unpublished.is_some() => self.publish_unpublished(),
            }
        }
        self.set_reader(false);
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Offer(bytes) => self.offer(&bytes),
            Message::Found { found, origin, done } => {
                self.found(&found, origin);
                if let Some(done) = done {
                    let _ = done.send(());
                }
            }
            Message::Unreadable(error) => self.refuse(&error),
            Message::ReadFailed(error) => self.read_failed(&error),
            Message::SetReader(reader) => self.set_reader(reader),
        }
    }

    /// Asks whether something was missed.
    fn tick(&mut self) {
        if self.generation() > 0 {
            // Matters to a site of one failure domain, which is in step with
            // itself. Not before the first state: an empty catalog would turn
            // every customer away as unknown.
            self.contact.in_step(self.settings.domain.clone(), Instant::now());
        }
        let silent = self.silent();
        let reader = self.reader.is_some();
        let platform_away = self.read_backoff.is_some();
        if (reader || silent) && !self.reading && Instant::now() >= self.next_read {
            self.read();
        }
        if !reader || platform_away || silent {
            let scope = if silent || platform_away { Scope::EachDomain } else { Scope::One };
            self.want(scope);
        }
        self.note_freshness();
    }

    fn silent(&self) -> bool {
        let bound = self.settings.interval().mul_f64(SILENT_INTERVALS);
        self.contact.platform_age().is_none_or(|age| age > bound)
    }

    /// Reads the platform, one read at a time.
    fn read(&mut self) {
        self.reading = true;
        let (log, inbox) = (self.log.within(self.settings.interval()), self.inbox.clone());
        let generation = self.generation();
        tokio::spawn(async move {
            let asked = Instant::now();
            let message = match log.read_after(generation).await {
                Ok(found) => Message::Found { found, origin: Origin::OwnRead { asked }, done: None },
                Err(error) => Message::ReadFailed(error),
            };
            if let Some(inbox) = inbox.upgrade() {
                let _ = inbox.send(message).await;
            }
        });
    }

    fn read_failed(&mut self, error: &Error) {
        self.reading = false;
        self.refuse(error);
        let (min, max) = (self.settings.interval(), self.settings.interval() * BACKOFF_INTERVALS);
        let backoff = self.read_backoff.get_or_insert_with(|| Backoff::new(min, max));
        self.next_read = Instant::now() + backoff.next(Duration::ZERO, &mut self.rng);
    }

    fn want(&mut self, scope: Scope) {
        self.last_want += 1;
        let bound = self.settings.freshness;
        self.wants.retain(|_, asked| asked.elapsed() < bound);
        self.wants.insert(self.last_want, Instant::now());
        let (snapshot, skip) = self.part.as_ref().map_or((0, 0), |part| (part.generation, part.entries.len() as u64));
        let want = wire::Want { id: self.last_want, after: self.generation(), snapshot, skip };
        self.send(Outbound::Want { scope, bytes: wire::encode(&want) });
    }

    fn found(&mut self, found: &Found, origin: Origin) {
        if matches!(origin, Origin::OwnRead { .. }) {
            self.reading = false;
            self.read_backoff = None;
        }
        let before = self.generation();
        let head = found.head();
        if let Err(error) = self.take(found.snapshot.as_ref(), &found.changes) {
            return self.refuse(&error);
        }
        let advanced = self.generation() > before;
        match origin {
            Origin::Watch if advanced => self.unpublished = Some((before, Instant::now() + self.publish_delay())),
            Origin::Applied { .. } => {
                self.unpublished = None;
                self.publish(head.saturating_sub(1));
            }
            _ => {}
        }
        if self.generation() < head {
            // A hole: only what follows from here on can fill it.
            self.next_read = Instant::now();
            return self.want(Scope::One);
        }
        if let Origin::Read { asked } | Origin::OwnRead { asked } | Origin::Applied { asked } = origin {
            self.contact.confirm(asked);
        }
        self.note_freshness();
    }

    fn offer(&mut self, bytes: &[u8]) {
        let Ok(news) = wire::News::decode(bytes) else {
            return tracing::warn!("news that does not read; a peer speaks another protocol");
        };
        if let Ok(domain) = Domain::parse(&news.domain) {
            self.contact.met(domain);
        }
        let before = self.generation();
        if let Err(error) = self.take_news(&news) {
            return self.refuse(&error);
        }
        if news.id == 0 && self.unpublished.is_some_and(|(before, _)| news.head > before) {
            self.unpublished = None;
        }
        if news.head > self.generation() {
            // Published news that came before the one it follows, or an answer
            // that did not hold all of it.
            if news.id == 0 || self.generation() > before {
                self.want(Scope::One);
            }
            return;
        }
        // Only what was asked for has a known age; see `contact`.
        if let Some(asked) = self.wants.get(&news.id).copied() {
            self.confirmed_by(&news, asked);
        }
        self.note_freshness();
    }

    fn confirmed_by(&mut self, news: &wire::News, asked: Instant) {
        // A peer behind us has confirmed an older state, which says nothing
        // about ours; it is in step all the same, since we know its newest.
        let age = news.confirmed_ms.filter(|_| news.head == self.generation()).map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| asked.checked_sub(age)) {
            self.contact.confirm(at);
        }
        if let Ok(domain) = Domain::parse(&news.domain) {
            self.contact.in_step(domain, asked);
        }
    }

    fn set_reader(&mut self, reader: bool) {
        match (reader, self.reader.take()) {
            (true, None) => {
                let reader = Reader {
                    settings: self.settings.clone(),
                    log: self.log.clone(),
                    state: self.state.subscribe(),
                    inbox: self.inbox.clone(),
                };
                self.reader = Some(tokio::spawn(reader.run()).abort_handle());
            }
            (true, running) => self.reader = running,
            (false, running) => drop(running.map(|running| running.abort())),
        }
    }

    fn publish_unpublished(&mut self) {
        if let Some((before, _)) = self.unpublished.take() {
            self.publish(before);
        }
    }

    /// Tells every instance of the changes after a generation.
    fn publish(&self, after: u64) {
        let state = self.state.borrow().clone();
        let want = wire::Want { after, ..wire::Want::default() };
        let news = crate::handle::news(&state, self.contact.platform_age(), &self.settings.domain, want);
        self.send(Outbound::News(wire::encode(&news)));
    }

    /// A full queue drops the message: news is asked for again each interval.
    fn send(&self, message: Outbound) {
        if self.out.try_send(message).is_err() {
            metrics::counter!("config_outbound_dropped_total").increment(1);
        }
    }

    fn note_freshness(&mut self) {
        let fresh = self.contact.fresh();
        if fresh == self.was_fresh {
            return;
        }
        self.was_fresh = fresh;
        let age_ms = millis(self.contact.newest().unwrap_or_default());
        self.recorder.record(Event::Freshness { fresh, age_ms });
        metrics::gauge!("config_fresh").set(f64::from(u8::from(fresh)));
        tracing::warn!(fresh, age_ms, "configuration freshness");
    }

    fn generation(&self) -> u64 {
        self.state.borrow().generation()
    }

    /// Four fifths to six fifths, so that instances do not ask in step.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.8..1.2))
    }

    fn publish_delay(&mut self) -> Duration {
        PUBLISH_DELAY.mul_f64(self.rng.random_range(0.25..1.0))
    }
}
