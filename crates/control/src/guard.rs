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
    wire::News,
};

/// Interval at which the evidence is judged.
const TICK: Duration = Duration::from_millis(100);

/// Interval of updates to peers in a fleet of up to [`NEWS_PEERS`] peers.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a stop is repeated until the configuration contains it.
const STOP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of peers up to which [`NEWS_INTERVAL`] holds. With more, the
/// interval grows in proportion, so that what an instance receives does not
/// grow with the fleet.
const NEWS_PEERS: u32 = 8;

/// Divisor of the interval after which an update may be sent if it contains
/// new failures of a version under roll-out.
const HURRY: u32 = 5;

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
    pub news: mpsc::Sender<Bytes>,
    pub ledger: Ledger,
    pub told: Told,
}

/// When the last update was sent to peers, and what has changed since.
#[derive(Debug)]
pub(crate) struct Told {
    at: Instant,
    /// Whether there are new observations.
    changed: bool,
    /// Whether there are new failures of a version under roll-out.
    urgent: bool,
}

impl Default for Told {
    fn default() -> Self {
        Self { at: Instant::now(), changed: false, urgent: false }
    }
}

impl Guard {
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut catalogs = self.catalog.clone();
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                changed = catalogs.changed() => match changed {
                    Ok(()) => self.settle(),
                    Err(_) => return,
                },
                _ = tick.tick() => self.judge(),
            }
            self.tell();
        }
    }

    fn take(&mut self, message: Message) {
        let catalog = self.catalog.borrow().clone();
        match message {
            Message::Observed(observation) => {
                self.told.urgent |= self.ledger.observe(&catalog, &observation);
                self.told.changed = true;
            }
            Message::Heard(bytes) => match News::decode(&bytes) {
                Ok(news) => self.hear(&catalog, news),
                Err(_) => metrics::counter!("control_news_malformed_total").increment(1),
            },
        }
    }

    /// Takes in a peer's update: its stops and its sums.
    fn hear(&mut self, catalog: &Catalog, news: News) {
        let (by, incarnation) = news.source;
        if by == self.settings.instance && incarnation == self.settings.incarnation {
            return;
        }
        for stop in news.stops {
            self.stop(catalog, stop, by.clone());
        }
        self.ledger.hear((by, incarnation), news.sums);
    }

    /// Drops sums and stops that the new catalog makes obsolete.
    fn settle(&mut self) {
        let catalog = self.catalog.borrow().clone();
        self.ledger.settle(&catalog);
        let mut stops = self.stops.borrow().as_ref().clone();
        stops.settle(&catalog);
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
            let verdict = guard::judge(&self.settings.guard, rollout, &fleet.steps, &fleet.window);
            if let Verdict::Stop(reason) = &verdict {
                let stop = stop(id, rollout, reason);
                self.stop(&catalog, stop, self.settings.instance.clone());
            }
            verdicts.insert(id.clone(), (rollout.step, verdict));
        }
        if verdicts != **self.verdicts.borrow() {
            self.verdicts.send_replace(Arc::new(verdicts));
        }
    }

    /// Adds a stop found by instance `by`, unless it is known or already in the configuration.
    fn stop(&mut self, catalog: &Catalog, stop: Stop, by: instance::Id) {
        let mut stops = self.stops.borrow().as_ref().clone();
        let (version, reason) = (stop.version.clone(), stop.reason.clone());
        if !stops.insert(stop) {
            return;
        }
        // A late message about a stop that the configuration already contains.
        stops.settle(catalog);
        if !stops.contains(&version) {
            return;
        }
        self.stops.send_replace(Arc::new(stops));
        if by == self.settings.instance {
            self.own_stop.notify_one();
        }
        self.recorder.record(Event::Stop { version, by, reason });
        metrics::counter!("control_stops_total").increment(1);
        self.tell_now();
    }

    /// Sends an update to peers if one is due.
    fn tell(&mut self) {
        let stopped = self.stops.borrow().iter().next().is_some();
        let peers = u32::try_from(self.ledger.sources()).unwrap_or(u32::MAX);
        let interval = NEWS_INTERVAL * peers.div_ceil(NEWS_PEERS).max(1);
        let gone = self.told.at.elapsed();
        let due = (self.told.changed && gone >= interval)
            || (self.told.urgent && gone >= interval / HURRY)
            || (stopped && gone >= STOP_INTERVAL);
        if due {
            self.tell_now();
        }
    }

    /// Sends all sums and stops to peers.
    fn tell_now(&mut self) {
        let sums = self.ledger.own().map(|(step, sums)| (step.clone(), *sums)).collect();
        let stops = self.stops.borrow().iter().cloned().collect();
        let source = (self.settings.instance.clone(), self.settings.incarnation);
        let news = News { source, sums, stops };
        self.told = Told { at: Instant::now(), changed: false, urgent: false };
        if news.sums.is_empty() && news.stops.is_empty() {
            return;
        }
        // A full queue means that the links are slower than the updates. The next update
        // contains all of this one.
        if self.news.try_send(news.encode()).is_err() {
            metrics::counter!("control_news_dropped_total").increment(1);
        }
    }
}

/// Builds the stop of a roll-out's version.
fn stop(id: &rollout::Id, rollout: &rollout::Rollout, reason: &Reason) -> Stop {
    Stop { version: rollout.version.clone(), rollout: id.clone(), reason: reason.to_string() }
}
