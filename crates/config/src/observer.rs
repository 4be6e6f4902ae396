//! The task that owns the state in force.
//!
//! It applies changes in the order of their generations from whichever source
//! delivers them first, never moves to an older generation, and polls for missed
//! changes: a reader polls the platform once per interval, every other instance
//! polls a peer. If the state has gone unconfirmed by the platform for too long,
//! it reads the platform itself, with backoff while the platform is unavailable.

mod apply;

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
    confirmations::Confirmations,
    error::Error,
    log::{Log, Tail},
    reader::Reader,
    record::Snapshot,
    settings::Settings,
    state::State,
    wire,
};

/// Intervals without a platform confirmation after which an instance reads the platform itself.
const UNCONFIRMED_INTERVALS: f64 = 2.5;
/// Longest pause between two reads of an unavailable platform, in intervals.
const MAX_BACKOFF_INTERVALS: u32 = 8;
/// Longest time that a reader waits before it publishes a change from its watch. It
/// publishes only if no peer has done so; usually the instance that made the change has.
const MAX_PUBLISH_DELAY: Duration = Duration::from_millis(200);

/// A message to the observer.
#[derive(Debug)]
pub(crate) enum Message {
    /// An update message or an answer from a peer.
    Offer(Bytes),
    /// Entries were read from the log or written to it.
    Tail {
        /// The entries.
        tail: Tail,
        /// How they were obtained.
        origin: Origin,
        /// Notified when the entries have been processed.
        done: Option<oneshot::Sender<()>>,
    },
    /// The reader could not read the log.
    ReaderFailed(Error),
    /// The observer's own read of the platform failed.
    OwnReadFailed(Error),
    /// Sets whether this instance watches the platform for its failure domain.
    SetReader(bool),
}

/// How entries of the log were obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// By a watch, which may lag and confirms nothing.
    Watch,
    /// By a read of the reader or the applier, complete as of the time when it was sent.
    Read {
        /// When the read was sent.
        sent_at: Instant,
    },
    /// By the observer's own read, complete as of the time when it was sent.
    OwnRead {
        /// When the read was sent.
        sent_at: Instant,
    },
    /// By a change that this instance made.
    Applied {
        /// When the write of its entry was sent.
        sent_at: Instant,
    },
}

/// State of the observer task.
#[derive(Debug)]
pub(crate) struct Observer {
    settings: Arc<Settings>,
    log: Log,
    confirmations: Arc<Confirmations>,
    recorder: Recorder,
    state: watch::Sender<Arc<State>>,
    catalog: watch::Sender<Arc<Catalog>>,
    inbox: mpsc::WeakSender<Message>,
    outbound: mpsc::Sender<Outbound>,
    rng: StdRng,
    reader: Option<AbortHandle>,
    /// Pending requests to peers by id, with the time when each was sent.
    pending_requests: BTreeMap<u64, Instant>,
    last_request_id: u64,
    read_in_progress: bool,
    read_backoff: Option<Backoff>,
    next_read_at: Instant,
    /// Changes from a watch that are still to be published: the generation just
    /// before them, and the time at which to publish them.
    to_publish: Option<(u64, Instant)>,
    /// The first entries of a snapshot that peers send in parts.
    partial_snapshot: Option<Snapshot>,
    was_fresh: bool,
    blocked_at: Option<u64>,
}

impl Observer {
    pub(crate) fn new(
        settings: Arc<Settings>,
        log: Log,
        confirmations: Arc<Confirmations>,
        recorder: Recorder,
        (state, catalog): (watch::Sender<Arc<State>>, watch::Sender<Arc<Catalog>>),
        inbox: mpsc::WeakSender<Message>,
        outbound: mpsc::Sender<Outbound>,
    ) -> Self {
        let seed = settings.seed.unwrap_or_else(rand::random) ^ hash::stable(settings.instance.as_str().as_bytes());
        Self {
            log,
            confirmations,
            recorder,
            state,
            catalog,
            inbox,
            outbound,
            rng: StdRng::seed_from_u64(seed),
            reader: None,
            pending_requests: BTreeMap::new(),
            last_request_id: 0,
            read_in_progress: false,
            read_backoff: None,
            next_read_at: Instant::now(),
            to_publish: None,
            partial_snapshot: None,
            was_fresh: false,
            blocked_at: None,
            settings,
        }
    }

    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        let mut tick = Instant::now();
        loop {
            let publish = self.to_publish.map_or(tick + self.settings.interval(), |(_, at)| at);
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => break,
                },
                () = sleep_until(tick) => {
                    self.tick();
                    tick = Instant::now() + self.jittered(self.settings.interval());
                }
                () = sleep_until(publish), if self.to_publish.is_some() => self.publish_pending(),
            }
        }
        self.set_reader(false);
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Offer(bytes) => self.handle_update(&bytes),
            Message::Tail { tail, origin, done } => {
                self.apply_tail(&tail, origin);
                if let Some(done) = done {
                    let _ = done.send(());
                }
            }
            Message::ReaderFailed(error) => self.handle_log_error(&error),
            Message::OwnReadFailed(error) => self.handle_read_failure(&error),
            Message::SetReader(reader) => self.set_reader(reader),
        }
    }

    /// Polls the platform or peers for missed changes.
    fn tick(&mut self) {
        if self.generation() > 0 {
            // Lets a site of one failure domain, where there may be no peer to answer,
            // stay fresh in an outage of the platform. Not done before the first state:
            // with an empty catalog every customer would be refused as unknown.
            self.confirmations.add_peer_confirmation(self.settings.domain.clone(), Instant::now());
        }
        let unconfirmed = self.is_unconfirmed();
        let reader = self.reader.is_some();
        let platform_unavailable = self.read_backoff.is_some();
        if (reader || unconfirmed) && !self.read_in_progress && Instant::now() >= self.next_read_at {
            self.start_read();
        }
        if !reader || platform_unavailable || unconfirmed {
            let scope = if unconfirmed || platform_unavailable { Scope::EachDomain } else { Scope::One };
            self.send_request(scope);
        }
        self.report_freshness();
    }

    fn is_unconfirmed(&self) -> bool {
        let bound = self.settings.interval().mul_f64(UNCONFIRMED_INTERVALS);
        self.confirmations.platform_age().is_none_or(|age| age > bound)
    }

    /// Starts a read of the platform; the caller ensures that only one runs at a time.
    fn start_read(&mut self) {
        self.read_in_progress = true;
        let (log, inbox) = (self.log.with_deadline(self.settings.interval()), self.inbox.clone());
        let generation = self.generation();
        tokio::spawn(async move {
            let sent_at = Instant::now();
            let message = match log.read_after(generation).await {
                Ok(tail) => Message::Tail { tail, origin: Origin::OwnRead { sent_at }, done: None },
                Err(error) => Message::OwnReadFailed(error),
            };
            if let Some(inbox) = inbox.upgrade() {
                let _ = inbox.send(message).await;
            }
        });
    }

    fn handle_read_failure(&mut self, error: &Error) {
        self.read_in_progress = false;
        self.handle_log_error(error);
        let (min, max) = (self.settings.interval(), self.settings.interval() * MAX_BACKOFF_INTERVALS);
        let backoff = self.read_backoff.get_or_insert_with(|| Backoff::new(min, max));
        self.next_read_at = Instant::now() + backoff.next(Duration::ZERO, &mut self.rng);
    }

    fn send_request(&mut self, scope: Scope) {
        self.last_request_id += 1;
        let bound = self.settings.freshness;
        self.pending_requests.retain(|_, sent_at| sent_at.elapsed() < bound);
        self.pending_requests.insert(self.last_request_id, Instant::now());
        let (snapshot, skip) =
            self.partial_snapshot.as_ref().map_or((0, 0), |part| (part.generation, part.entries.len() as u64));
        let request = wire::Request { id: self.last_request_id, after: self.generation(), snapshot, skip };
        self.send(Outbound::Request { scope, bytes: wire::encode(&request) });
    }

    fn apply_tail(&mut self, tail: &Tail, origin: Origin) {
        if matches!(origin, Origin::OwnRead { .. }) {
            self.read_in_progress = false;
            self.read_backoff = None;
        }
        let before = self.generation();
        let head = tail.head();
        if let Err(error) = self.apply(tail.snapshot.as_ref(), &tail.changes) {
            return self.handle_log_error(&error);
        }
        let advanced = self.generation() > before;
        match origin {
            Origin::Watch if advanced => self.to_publish = Some((before, Instant::now() + self.publish_delay())),
            Origin::Applied { .. } => {
                self.to_publish = None;
                self.publish(head.saturating_sub(1));
            }
            _ => {}
        }
        if self.generation() < head {
            // There is a gap, which only the entries after this state can fill.
            self.next_read_at = Instant::now();
            return self.send_request(Scope::One);
        }
        if let Origin::Read { sent_at } | Origin::OwnRead { sent_at } | Origin::Applied { sent_at } = origin {
            self.confirmations.add_platform_confirmation(sent_at);
        }
        self.report_freshness();
    }

    fn handle_update(&mut self, bytes: &[u8]) {
        let Ok(news) = wire::News::decode(bytes) else {
            return tracing::warn!("cannot decode an update message; a peer speaks another protocol");
        };
        if let Ok(domain) = Domain::parse(&news.domain) {
            self.confirmations.add_domain(domain);
        }
        let before = self.generation();
        if let Err(error) = self.apply_update(&news) {
            return self.handle_log_error(&error);
        }
        if news.id == 0 && self.to_publish.is_some_and(|(before, _)| news.head > before) {
            self.to_publish = None;
        }
        if news.head > self.generation() {
            // A published update arrived before the one it follows, or an answer
            // did not contain everything.
            if news.id == 0 || self.generation() > before {
                self.send_request(Scope::One);
            }
            return;
        }
        // Only an answer to a request has a known age; see `confirmations`.
        if let Some(sent_at) = self.pending_requests.get(&news.id).copied() {
            self.add_confirmations(&news, sent_at);
        }
        self.report_freshness();
    }

    fn add_confirmations(&mut self, news: &wire::News, sent_at: Instant) {
        // A peer at an older generation has confirmed an older state, which says
        // nothing about this one; but it still shows that it has nothing newer.
        let age = news.confirmed_ms.filter(|_| news.head == self.generation()).map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| sent_at.checked_sub(age)) {
            self.confirmations.add_platform_confirmation(at);
        }
        if let Ok(domain) = Domain::parse(&news.domain) {
            self.confirmations.add_peer_confirmation(domain, sent_at);
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

    fn publish_pending(&mut self) {
        if let Some((before, _)) = self.to_publish.take() {
            self.publish(before);
        }
    }

    /// Publishes the changes after a generation to every instance.
    fn publish(&self, after: u64) {
        let state = self.state.borrow().clone();
        let request = wire::Request { after, ..wire::Request::default() };
        let news = crate::handle::update_for(&state, self.confirmations.platform_age(), &self.settings.domain, request);
        self.send(Outbound::News(wire::encode(&news)));
    }

    /// Queues a message; drops it if the queue is full, since updates are requested
    /// again in each interval.
    fn send(&self, message: Outbound) {
        if self.outbound.try_send(message).is_err() {
            metrics::counter!("config_outbound_dropped_total").increment(1);
        }
    }

    fn report_freshness(&mut self) {
        let fresh = self.confirmations.is_fresh();
        if fresh == self.was_fresh {
            return;
        }
        self.was_fresh = fresh;
        let age_ms = millis(self.confirmations.newest_age().unwrap_or_default());
        self.recorder.record(Event::Freshness { fresh, age_ms });
        metrics::gauge!("config_fresh").set(f64::from(u8::from(fresh)));
        tracing::warn!(fresh, age_ms, "configuration freshness");
    }

    fn generation(&self) -> u64 {
        self.state.borrow().generation()
    }

    /// Returns 80% to 120% of an interval, so that instances do not poll in lockstep.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.8..1.2))
    }

    fn publish_delay(&mut self) -> Duration {
        MAX_PUBLISH_DELAY.mul_f64(self.rng.random_range(0.25..1.0))
    }
}
