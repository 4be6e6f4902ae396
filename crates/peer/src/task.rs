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
    outbox::Digests,
    pool::Pool,
    relay::Relay,
    server::{self, Service},
    settings::Settings,
    traffic::Meter,
};

/// Length of the event queue. Small, because each reader waits for room: a
/// flood delays other links' frames by no more than this many events.
const EVENT_QUEUE_LEN: usize = 64;
/// Length of the command queue.
const COMMAND_QUEUE_LEN: usize = 256;
/// Maximum number of events handled before pending changes are sent.
const MAX_EVENTS_PER_ROUND: usize = 32;
/// Metric label of each state.
const STATE_LABELS: [(State, &str); 4] =
    [(State::Live, "live"), (State::Suspect, "suspect"), (State::Leaving, "leaving"), (State::Gone, "gone")];
/// Time to wait on shutdown until the links' queues are empty.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

pub(crate) struct Task {
    settings: Arc<Settings>,
    clock: Clock,
    membership: Membership,
    members: watch::Sender<Arc<Members>>,
    links: BTreeMap<Id, links::Link>,
    last_serial: u64,
    digests: Digests,
    relay: Relay,
    last_sequence: u64,
    dialling: dialling::Dialling,
    /// Membership revision that the links were last planned from; `None` forces
    /// a new plan.
    planned_revision: Option<u64>,
    /// Membership revision last published on `members`.
    published_revision: u64,
    events: mpsc::Sender<Event>,
    inbound: mpsc::Sender<Inbound>,
    pool: Arc<Pool>,
}

/// Starts the task and the server.
pub(crate) fn start(settings: Settings, listener: TcpListener) -> (Handle, mpsc::Receiver<Inbound>) {
    let address = settings.me.peers;
    let settings = Arc::new(settings);
    let pool = Arc::new(Pool::new(&settings));
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE_LEN);
    let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE_LEN);
    let (inbound, inbound_queue) = mpsc::channel(settings.limits.inbound);
    let (members, members_receiver) = watch::channel(Arc::new(Members::alone(settings.me.clone())));
    let (meter, stop, abort) = (Meter::default(), CancellationToken::new(), CancellationToken::new());

    let service = Service {
        settings: settings.clone(),
        events: events.clone(),
        inbound: inbound.clone(),
        members: members_receiver.clone(),
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
        last_serial: 0,
        digests: Digests::default(),
        relay: Relay::default(),
        last_sequence: 0,
        planned_revision: None,
        published_revision: 0,
        events,
        inbound,
        pool: pool.clone(),
    };
    let handle = Handle { commands, members: members_receiver, pool, address, meter, abort: abort.clone() };
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
        let mut heartbeat = self.heartbeat_timer();
        self.dial_seeds();
        loop {
            let due = self.relay.next_due().map(|due| self.clock.at(due));
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => self.request_overdue_bodies(),
                _ = heartbeat.tick() => self.on_heartbeat(),
                Some(event) = events.recv() => self.handle_events(event, &mut events),
                command = commands.recv() => match command {
                    // All handles are dropped, so the task could never be closed.
                    None => return self.shut_down(None).await,
                    Some(Command::Close(done)) => return self.shut_down(Some(done)).await,
                    Some(command) => self.handle_command(command),
                },
            }
            self.finish_round();
        }
    }

    fn heartbeat_timer(&self) -> Interval {
        let mut heartbeat = interval(self.settings.timing.heartbeat_interval());
        // After a pause, one heartbeat carries everything that the missed
        // ones would have.
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        heartbeat
    }

    fn handle_events(&mut self, first: Event, events: &mut mpsc::Receiver<Event>) {
        self.handle_event(first);
        for _ in 1..MAX_EVENTS_PER_ROUND {
            let Ok(event) = events.try_recv() else { return };
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Accept { greeting, incoming, reply } => self.on_accept(greeting, incoming, reply),
            Event::Dialled { address, wanted, outcome } => self.on_dialled(address, wanted, outcome),
            Event::Received(link, received) => self.on_frame(&link, received),
            Event::Closed(link) => self.on_closed(&link),
            Event::Asked(own_entry, reply) => {
                let from = self.settings.me.id.clone();
                self.membership.merge(vec![own_entry], &from, now);
                // Fails if the peer no longer waits for the reply.
                let _ = reply.send(self.membership.me().clone());
            }
            Event::Probed { id, entry: None } => self.membership.record_probe_failure(&id, now),
            Event::Probed { entry: Some(entry), .. } => self.membership.record_probe_success(entry, now),
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Publish(topic, body) => self.publish(topic, body),
            Command::Digest(topic, value) => self.set_digest(topic, value),
            Command::Listed(listed) => self.membership.set_listed(listed),
            Command::NamedInstances(named) => self.dialling.set_undiscovered(self.membership.undiscovered(&named)),
            Command::Leave(done) => {
                self.membership.leave();
                self.finish_round();
                // Fails if the caller no longer waits.
                let _ = done.send(());
            }
            Command::Close(_) => unreachable!("handled by the loop"),
        }
    }

    /// Runs once per heartbeat interval.
    fn on_heartbeat(&mut self) {
        let now = self.clock.now();
        self.membership.tick(now);
        self.relay.retain_origins(|id| self.membership.get(id).is_some());
        self.close_silent_links();
        self.dial_unlinked();
        self.send_heartbeats();
        // Backoffs of peers may have ended.
        self.planned_revision = None;
        self.report_metrics();
    }

    fn report_metrics(&self) {
        metrics::gauge!("peer_links").set(to_f64(self.links.len()));
        let shown = self.members.borrow();
        for (state, label) in STATE_LABELS {
            let members = shown.all().filter(|i| i.state == state).count();
            metrics::gauge!("peer_members", "state" => label).set(to_f64(members));
        }
    }

    /// Ends a round: performs the membership's actions, opens and closes links
    /// as planned, publishes the members and sends changes.
    fn finish_round(&mut self) {
        for action in self.membership.take_actions() {
            self.perform(action);
        }
        if self.planned_revision != Some(self.membership.revision()) {
            self.update_links();
            self.planned_revision = Some(self.membership.revision());
        }
        let changes = self.membership.take_changes();
        if !changes.is_empty() {
            self.queue_changes(&changes);
        }
        self.publish_members();
        self.flush_links();
    }

    fn queue_changes(&mut self, changes: &[crate::membership::Change]) {
        let mut changed_by_sender: BTreeMap<Option<&Id>, BTreeSet<&Id>> = BTreeMap::new();
        for change in changes {
            changed_by_sender.entry(change.from.as_ref()).or_default().insert(&change.id);
        }
        for (id, link) in &mut self.links {
            let changed_ids = changed_by_sender.iter().filter(|(from, _)| **from != Some(id)).flat_map(|(_, ids)| ids);
            changed_ids.for_each(|changed| link.outbox.add(changed));
        }
    }

    fn publish_members(&mut self) {
        if self.published_revision != self.membership.revision() {
            self.published_revision = self.membership.revision();
            self.members.send_replace(Arc::new(self.membership.members()));
        }
    }

    /// Announces that this run has ended and waits a moment for the links to
    /// send it.
    async fn shut_down(mut self, done: Option<oneshot::Sender<()>>) {
        self.membership.end();
        self.finish_round();
        let drained = async {
            while self.links.values().any(|link| !link.is_drained()) {
                tokio::time::sleep(DRAIN_TIMEOUT / 20).await;
            }
        };
        // The peer of a link that does not drain is not reading; it will detect
        // the end by silence.
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, drained).await;
        if let Some(done) = done {
            // Fails if the caller no longer waits for the shutdown.
            let _ = done.send(());
        }
    }

    fn is_ended(&self) -> bool {
        self.membership.me().instance.state == State::Gone
    }
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
