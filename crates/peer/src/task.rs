//! The task that owns the links.
//!
//! All inputs arrive as an [`Event`] or [`Command`] and are handled without
//! waiting. At the end of each round, pending changes are put into the links'
//! queues. A full queue affects only its own link.

mod dialling;
mod links;
mod messages;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    time::{Instant, Interval, MissedTickBehavior, interval, sleep_until},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};
use world::instance::{Id, State};

use crate::{
    event::{Clock, Event},
    handle::{Command, Handle},
    inbound::Inbound,
    member::Members,
    membership::Membership,
    pool::Pool,
    relay::Relay,
    server::{self, Service},
    settings::Settings,
    spread::Digests,
    traffic::Meter,
};

/// Length of the event queue. Small, because each reader waits for room: a
/// flood delays other links' frames by no more than this many events.
const EVENTS: usize = 64;
/// Length of the command queue.
const COMMANDS: usize = 256;
/// Maximum number of events handled before pending changes are sent.
const ROUND: usize = 32;
/// Metric label of each state.
const STATES: [(State, &str); 4] =
    [(State::Live, "live"), (State::Suspect, "suspect"), (State::Leaving, "leaving"), (State::Gone, "gone")];
/// Time to wait on shutdown until the links' queues are empty.
const LAST_WORD: Duration = Duration::from_millis(200);

pub(crate) struct Task {
    settings: Arc<Settings>,
    clock: Clock,
    membership: Membership,
    members: watch::Sender<Arc<Members>>,
    links: BTreeMap<Id, links::Link>,
    serial: u64,
    digests: Digests,
    relay: Relay,
    published: u64,
    dialling: dialling::Dialling,
    /// Membership revision that the links were last planned from; `None` forces
    /// a new plan.
    planned: Option<u64>,
    /// Membership revision last published on `members`.
    shown: u64,
    events: mpsc::Sender<Event>,
    inbound: mpsc::Sender<Inbound>,
    pool: Arc<Pool>,
}

/// Starts the task and the server.
pub(crate) fn start(settings: Settings, listener: TcpListener) -> (Handle, mpsc::Receiver<Inbound>) {
    let address = settings.me.peers;
    let settings = Arc::new(settings);
    let pool = Arc::new(Pool::new(&settings));
    let (events, event_queue) = mpsc::channel(EVENTS);
    let (commands, command_queue) = mpsc::channel(COMMANDS);
    let (inbound, inbound_queue) = mpsc::channel(settings.limits.inbound);
    let (members, members_seen) = watch::channel(Arc::new(Members::alone(settings.me.clone())));
    let (meter, stop, abort) = (Meter::default(), CancellationToken::new(), CancellationToken::new());

    let service = Service {
        settings: settings.clone(),
        events: events.clone(),
        inbound: inbound.clone(),
        members: members_seen.clone(),
        pool: pool.clone(),
    };
    let server = AbortOnDropHandle::new(tokio::spawn(server::serve(service, listener, meter.clone(), stop.clone())));
    let clock = Clock::start();
    let task = Task {
        membership: Membership::new(settings.me.clone(), settings.timing, clock.now()),
        dialling: dialling::Dialling::new(&settings),
        settings,
        clock,
        members,
        links: BTreeMap::new(),
        serial: 0,
        digests: Digests::default(),
        relay: Relay::default(),
        published: 0,
        planned: None,
        shown: 0,
        events,
        inbound,
        pool: pool.clone(),
    };
    let handle = Handle { commands, members: members_seen, pool, address, meter, abort: abort.clone() };
    tokio::spawn(async move {
        tokio::select! {
            () = abort.cancelled() => {}
            () = task.run(event_queue, command_queue) => {}
        }
        stop.cancel();
        drop(server);
    });
    (handle, inbound_queue)
}

impl Task {
    async fn run(mut self, mut events: mpsc::Receiver<Event>, mut commands: mpsc::Receiver<Command>) {
        let mut heartbeat = self.heartbeat();
        self.dial_seeds();
        loop {
            let late = self.relay.due().map(|due| self.clock.at(due));
            tokio::select! {
                () = sleep_until(late.unwrap_or_else(Instant::now)), if late.is_some() => self.ask_late(),
                _ = heartbeat.tick() => self.beat(),
                Some(event) = events.recv() => self.round(event, &mut events),
                command = commands.recv() => match command {
                    // All handles are dropped, so the task could never be closed.
                    None => return self.depart(None).await,
                    Some(Command::Close(done)) => return self.depart(Some(done)).await,
                    Some(command) => self.command(command),
                },
            }
            self.settle();
        }
    }

    fn heartbeat(&self) -> Interval {
        let mut heartbeat = interval(self.settings.timing.heartbeat());
        // After a pause, one heartbeat carries everything that the missed
        // ones would have.
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        heartbeat
    }

    fn round(&mut self, first: Event, events: &mut mpsc::Receiver<Event>) {
        self.event(first);
        for _ in 1..ROUND {
            let Ok(event) = events.try_recv() else { return };
            self.event(event);
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Accept { greeting, incoming, reply } => self.accept(greeting, incoming, reply),
            Event::Dialled { address, wanted, outcome } => self.dialled(address, wanted, outcome),
            Event::Received(source, received) => self.received(&source, received),
            Event::Closed(source) => self.closed(&source),
            Event::Asked(doubt, reply) => {
                let from = self.settings.me.id.clone();
                self.membership.merge(vec![doubt], &from, now);
                // Fails if the peer no longer waits for the reply.
                let _ = reply.send(self.membership.me().clone());
            }
            Event::Probed { id, word: None } => self.membership.unvouched(&id, now),
            Event::Probed { word: Some(word), .. } => self.membership.vouched(word, now),
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Publish(topic, body) => self.publish(topic, body),
            Command::Digest(topic, value) => self.set_digest(topic, value),
            Command::Listed(listed) => self.membership.set_listed(listed),
            Command::Known(known) => self.dialling.know(self.membership.strangers(&known)),
            Command::Leave(done) => {
                self.membership.leave();
                self.settle();
                // Fails if the caller no longer waits.
                let _ = done.send(());
            }
            Command::Close(_) => unreachable!("handled by the loop"),
        }
    }

    /// Runs once per heartbeat interval.
    fn beat(&mut self) {
        let now = self.clock.now();
        self.membership.tick(now);
        self.relay.keep(|id| self.membership.get(id).is_some());
        self.close_silent();
        self.dial_stray();
        self.beat_links();
        // Backoffs of peers may have ended.
        self.planned = None;
        self.report();
    }

    fn report(&self) {
        metrics::gauge!("peer_links").set(count(self.links.len()));
        let shown = self.members.borrow();
        for (state, label) in STATES {
            let members = shown.all().filter(|i| i.state == state).count();
            metrics::gauge!("peer_members", "state" => label).set(count(members));
        }
    }

    /// Ends a round: performs the membership's actions, opens and closes links
    /// as planned, publishes the members and sends changes.
    fn settle(&mut self) {
        for action in self.membership.take_actions() {
            self.act(action);
        }
        if self.planned != Some(self.membership.revision()) {
            self.keep_links();
            self.planned = Some(self.membership.revision());
        }
        let changes = self.membership.take_changes();
        if !changes.is_empty() {
            self.note_changes(&changes);
        }
        self.show_members();
        self.flush_links();
    }

    fn note_changes(&mut self, changes: &[crate::membership::Change]) {
        let mut told: BTreeMap<Option<&Id>, BTreeSet<&Id>> = BTreeMap::new();
        for change in changes {
            told.entry(change.from.as_ref()).or_default().insert(&change.id);
        }
        for (id, link) in &mut self.links {
            let news = told.iter().filter(|(from, _)| **from != Some(id)).flat_map(|(_, ids)| ids);
            news.for_each(|changed| link.spread.add(changed));
        }
    }

    fn show_members(&mut self) {
        if self.shown != self.membership.revision() {
            self.shown = self.membership.revision();
            self.members.send_replace(Arc::new(self.membership.members()));
        }
    }

    /// Announces that this run has ended and waits a moment for the links to
    /// send it.
    async fn depart(mut self, done: Option<oneshot::Sender<()>>) {
        self.membership.depart();
        self.settle();
        let empty = async {
            while self.links.values().any(|link| !link.is_empty()) {
                tokio::time::sleep(LAST_WORD / 20).await;
            }
        };
        // The peer of a link that does not drain is not reading; it will detect
        // the end by silence.
        let _ = tokio::time::timeout(LAST_WORD, empty).await;
        if let Some(done) = done {
            // Fails if the caller no longer waits for the shutdown.
            let _ = done.send(());
        }
    }

    fn is_ended(&self) -> bool {
        self.membership.me().instance.state == State::Gone
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
