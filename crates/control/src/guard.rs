//! The version guard: one instance's strong evidence stops a version everywhere.
//!
//! The task owns the ledger. It tells peers its sums, judges the fleet's, and
//! when they are strong enough stops the version here at once, tells every
//! peer, and hands the stop to [`crate::withdraw`], which makes it last. News
//! of a stop are repeated, and passed on by whoever heard them, until the
//! configuration says so too: a link that loses one message, or two instances
//! without a link, then only delay it.

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

/// Time between two judgements.
const TICK: Duration = Duration::from_millis(100);

/// Time between two messages to peers in a small fleet.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two repeats of a stop that is not in force yet.
const STOP_INTERVAL: Duration = Duration::from_millis(500);

/// Peers up to which [`NEWS_INTERVAL`] holds; more make it longer, so that
/// what an instance receives does not grow with the fleet.
const NEWS_PEERS: u32 = 8;

/// Part of the interval after which bad news may go out already.
const HURRY: u32 = 5;

/// What is thought of each running roll-out's present step.
pub(crate) type Verdicts = BTreeMap<rollout::Id, (usize, Verdict)>;

/// The task's ends.
pub(crate) struct Guard {
    pub settings: Arc<Settings>,
    pub catalog: watch::Receiver<Arc<Catalog>>,
    pub recorder: Recorder,
    pub stops: watch::Sender<Arc<Stops>>,
    pub verdicts: watch::Sender<Arc<Verdicts>>,
    pub own_stop: Arc<Notify>,
    pub news: mpsc::Sender<Bytes>,
    pub ledger: Ledger,
    pub told: Told,
}

/// When peers were told last, and whether there is more to tell.
#[derive(Debug)]
pub(crate) struct Told {
    at: Instant,
    changed: bool,
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

    fn settle(&mut self) {
        let catalog = self.catalog.borrow().clone();
        self.ledger.settle(&catalog);
        let mut stops = self.stops.borrow().as_ref().clone();
        stops.prune(&catalog);
        if stops != **self.stops.borrow() {
            self.stops.send_replace(Arc::new(stops));
        }
    }

    fn judge(&mut self) {
        let catalog = self.catalog.borrow().clone();
        let mut verdicts = Verdicts::new();
        for (id, rollout) in ledger::running(&catalog) {
            let fleet = self.ledger.fleet(id, rollout);
            let verdict = guard::evaluate(&self.settings.guard, rollout, &fleet.steps, &fleet.window);
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

    fn stop(&mut self, catalog: &Catalog, stop: Stop, by: instance::Id) {
        let mut stops = self.stops.borrow().as_ref().clone();
        let (version, reason) = (stop.version.clone(), stop.reason.clone());
        if !stops.insert(stop) {
            return;
        }
        // Late news of a stop that is already in force.
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
        self.tell_now();
    }

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

    fn tell_now(&mut self) {
        let sums = self.ledger.own().map(|(step, sums)| (step.clone(), *sums)).collect();
        let stops = self.stops.borrow().iter().cloned().collect();
        let source = (self.settings.instance.clone(), self.settings.incarnation);
        let news = News { source, sums, stops };
        self.told = Told { at: Instant::now(), changed: false, urgent: false };
        if news.sums.is_empty() && news.stops.is_empty() {
            return;
        }
        // A full queue means that links are slower than our news: the next
        // message holds all of this one.
        if self.news.try_send(news.encode()).is_err() {
            metrics::counter!("control_news_dropped_total").increment(1);
        }
    }
}

fn stop(id: &rollout::Id, rollout: &rollout::Rollout, reason: &Reason) -> Stop {
    Stop { version: rollout.version.clone(), rollout: id.clone(), reason: reason.to_string() }
}
