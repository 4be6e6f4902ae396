//! The version guard: stops a version at all instances as soon as the evidence
//! of one instance or of the whole fleet is strong enough.
//!
//! The task owns the ledger. It sends this instance's sums to its peers and
//! judges the sums of the whole fleet. When the evidence against a version is
//! strong enough, it stops the version here at once, notifies every peer, and
//! hands the stop to [`crate::withdraw`], which writes it to the
//! configuration. Every instance that has received a stop repeats it to its
//! peers until the configuration contains it. A lost message, or two instances
//! without a link, therefore only delays a stop.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use route::{
    guard::{self, Reason, Verdict},
    rollout::{Stop, Stops},
};
use timeline::{Event, Recorder};
use tokio::{
    sync::{Notify, mpsc, watch},
    time::{Duration, Instant, MissedTickBehavior, interval},
};
use world::{Catalog, instance, rollout};

use crate::{
    Settings,
    handle::Message,
    ledger::{self, Ledger},
    wire::Update,
};

/// Interval at which the evidence is judged.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of updates to peers in a fleet of up to [`PEERS_PER_INTERVAL`] peers.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a stop is repeated until the configuration contains it.
const STOP_REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of peers up to which [`UPDATE_INTERVAL`] holds. With more, the
/// interval grows in proportion, so that what an instance receives does not
/// grow with the fleet.
const PEERS_PER_INTERVAL: u32 = 8;

/// Divisor of the update interval for updates that contain new failures of a
/// version under roll-out; those are sent earlier.
const URGENT_DIVISOR: u32 = 5;

/// Verdict on the present step of each running roll-out.
pub(crate) type Verdicts = BTreeMap<rollout::Id, (usize, Verdict)>;

/// The guard task.
pub(crate) struct Guard {
    pub settings: Arc<Settings>,
    pub catalog: watch::Receiver<Arc<Catalog>>,
    pub recorder: Recorder,
    pub stops: watch::Sender<Arc<Stops>>,
    pub verdicts: watch::Sender<Arc<Verdicts>>,
    /// Notified when this instance's own evidence stops a version.
    pub own_stop: Arc<Notify>,
    /// Encoded updates for all peers.
    pub updates: mpsc::Sender<Bytes>,
    pub ledger: Ledger,
    pub publication: Publication,
}

/// When the last update was sent to peers, and what has changed since.
#[derive(Debug)]
pub(crate) struct Publication {
    at: Instant,
    /// Whether there are new observations.
    changed: bool,
    /// Whether there are new failures of a version under roll-out.
    urgent: bool,
}

impl Default for Publication {
    fn default() -> Self {
        Self { at: Instant::now(), changed: false, urgent: false }
    }
}

impl Guard {
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        let mut tick = interval(JUDGE_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut catalogs = self.catalog.clone();
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                changed = catalogs.changed() => match changed {
                    Ok(()) => self.on_catalog(),
                    Err(_) => return,
                },
                _ = tick.tick() => self.judge(),
            }
            self.publish_if_due();
        }
    }

    fn handle_message(&mut self, message: Message) {
        let catalog = self.catalog.borrow().clone();
        match message {
            Message::Observed(observation) => {
                self.publication.urgent |= self.ledger.observe(&catalog, &observation);
                self.publication.changed = true;
            }
            Message::PeerUpdate(bytes) => match Update::decode(&bytes) {
                Ok(update) => self.handle_update(&catalog, update),
                Err(_) => metrics::counter!("control_news_malformed_total").increment(1),
            },
        }
    }

    /// Adds the stops and stores the sums of a peer's update.
    fn handle_update(&mut self, catalog: &Catalog, update: Update) {
        let (by, incarnation) = update.source;
        if by == self.settings.instance && incarnation == self.settings.incarnation {
            return;
        }
        for stop in update.stops {
            self.add_stop(catalog, stop, by.clone());
        }
        self.ledger.set_peer_sums((by, incarnation), update.sums);
    }

    /// Drops sums and stops that the new catalog makes obsolete.
    fn on_catalog(&mut self) {
        let catalog = self.catalog.borrow().clone();
        self.ledger.retain_running(&catalog);
        let mut stops = self.stops.borrow().as_ref().clone();
        stops.prune(&catalog);
        if stops != **self.stops.borrow() {
            self.stops.send_replace(Arc::new(stops));
        }
    }

    /// Judges every running roll-out and stops those with a bad version.
    fn judge(&mut self) {
        let catalog = self.catalog.borrow().clone();
        let mut verdicts = Verdicts::new();
        for (id, rollout) in ledger::running(&catalog) {
            let fleet = self.ledger.fleet(id, rollout);
            let verdict = guard::evaluate(&self.settings.guard, rollout, &fleet.steps, &fleet.window);
            if let Verdict::Stop(reason) = &verdict {
                let stop = stop_of(id, rollout, reason);
                self.add_stop(&catalog, stop, self.settings.instance.clone());
            }
            verdicts.insert(id.clone(), (rollout.step, verdict));
        }
        if verdicts != **self.verdicts.borrow() {
            self.verdicts.send_replace(Arc::new(verdicts));
        }
    }

    /// Adds a stop received from or found by instance `by`, unless it is known or already in the configuration.
    fn add_stop(&mut self, catalog: &Catalog, stop: Stop, by: instance::Id) {
        let mut stops = self.stops.borrow().as_ref().clone();
        let (version, reason) = (stop.version.clone(), stop.reason.clone());
        if !stops.insert(stop) {
            return;
        }
        // A stop that the configuration already contains is dropped; its message was late.
        stops.prune(catalog);
        if !stops.contains(&version) {
            return;
        }
        self.stops.send_replace(Arc::new(stops));
        if by == self.settings.instance {
            self.own_stop.notify_one();
        }
        self.recorder.record(Event::Stop { version, by, reason });
        metrics::counter!("control_stops_total").increment(1);
        self.publish();
    }

    /// Sends an update to peers if one is due.
    fn publish_if_due(&mut self) {
        let stopped = self.stops.borrow().iter().next().is_some();
        let peers = u32::try_from(self.ledger.peer_count()).unwrap_or(u32::MAX);
        let interval = UPDATE_INTERVAL * peers.div_ceil(PEERS_PER_INTERVAL).max(1);
        let since_last = self.publication.at.elapsed();
        let due = (self.publication.changed && since_last >= interval)
            || (self.publication.urgent && since_last >= interval / URGENT_DIVISOR)
            || (stopped && since_last >= STOP_REPEAT_INTERVAL);
        if due {
            self.publish();
        }
    }

    /// Sends all sums and stops to peers.
    fn publish(&mut self) {
        let sums = self.ledger.own_sums().map(|(step, sums)| (step.clone(), *sums)).collect();
        let stops = self.stops.borrow().iter().cloned().collect();
        let source = (self.settings.instance.clone(), self.settings.incarnation);
        let update = Update { source, sums, stops };
        self.publication = Publication { at: Instant::now(), changed: false, urgent: false };
        if update.sums.is_empty() && update.stops.is_empty() {
            return;
        }
        // A full queue means that the links are slower than the updates. The next update
        // contains all of this one.
        if self.updates.try_send(update.encode()).is_err() {
            metrics::counter!("control_news_dropped_total").increment(1);
        }
    }
}

/// Builds the stop of a roll-out's version.
fn stop_of(id: &rollout::Id, rollout: &rollout::Rollout, reason: &Reason) -> Stop {
    Stop { version: rollout.version.clone(), rollout: id.clone(), reason: reason.to_string() }
}
