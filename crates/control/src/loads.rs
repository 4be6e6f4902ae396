//! Which endpoints hold a version, and the orders that bring them there.
//!
//! The wanted end follows from the configuration alone, so that a successor
//! needs nothing from its predecessor: it asks the engines what they hold and
//! orders what is missing. Loads draw on the weight store, which is
//! rate-limited; only so many are under way at a time.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use endpoint::order::Order;
use timeline::{Event, Recorder, Wanted};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::Instant,
};
use world::{
    endpoint::{Endpoint, Id},
    model::Version,
};

use crate::{
    lease::Term,
    order::{Call, Error},
};

/// Time between two questions to an engine that is to load.
const ASK_LOADING: Duration = Duration::from_secs(1);

/// Time between two questions to an engine that has what is wanted; one that
/// was restarted has lost it.
const ASK_LOADED: Duration = Duration::from_secs(30);

/// Time after which an order that had no effect is sent again.
const ORDER_AGAIN: Duration = Duration::from_secs(20);

/// Questions to engines at a time.
const ASKS_AT_ONCE: usize = 32;

/// All that is wanted and known; belongs to one term.
#[derive(Debug)]
pub(crate) struct Loads {
    calls: mpsc::Sender<Call>,
    at_once: usize,
    engines: HashMap<(Version, Id), Engine>,
    asks: JoinSet<Answer>,
}

/// One endpoint with one version.
#[derive(Debug)]
struct Engine {
    address: SocketAddr,
    wanted: Wanted,
    holds: Option<bool>,
    asked: Option<Instant>,
    ordered: Option<Instant>,
}

/// What an engine answered.
#[derive(Debug)]
struct Answer {
    version: Version,
    id: Id,
    versions: Option<Vec<Version>>,
}

impl Loads {
    pub fn new(calls: mpsc::Sender<Call>, at_once: usize) -> Self {
        Self { calls, at_once, engines: HashMap::new(), asks: JoinSet::new() }
    }

    /// Sets what is wanted of a version's endpoints; those not named any more
    /// are forgotten.
    pub fn want(&mut self, wanted: &BTreeMap<Version, (Wanted, Vec<Endpoint>)>) {
        let named = |version: &Version, id: &Id| {
            wanted.get(version).is_some_and(|(_, endpoints)| endpoints.iter().any(|e| e.id == *id))
        };
        self.engines.retain(|(version, id), _| named(version, id));
        for (version, (wanted, endpoints)) in wanted {
            for endpoint in endpoints {
                let engine = self.engines.entry((version.clone(), endpoint.id.clone())).or_insert(Engine {
                    address: endpoint.address,
                    wanted: *wanted,
                    holds: None,
                    asked: None,
                    ordered: None,
                });
                if engine.wanted != *wanted || engine.address != endpoint.address {
                    *engine =
                        Engine { address: endpoint.address, wanted: *wanted, holds: None, asked: None, ordered: None };
                }
            }
        }
    }

    /// Endpoints known to hold a version.
    pub fn loaded(&self, version: &Version) -> usize {
        self.engines.iter().filter(|((v, _), engine)| v == version && engine.holds == Some(true)).count()
    }

    /// Takes in answers, asks engines whose time has come, and orders what is
    /// missing, all as far as the term and the limits allow.
    pub async fn step(&mut self, term: Term, recorder: &Recorder) {
        while let Some(Ok(answer)) = self.asks.try_join_next() {
            self.learn(answer);
        }
        self.ask();
        for (key, order) in self.due(term.epoch) {
            let wanted = if order.load.is_empty() { Wanted::Dropped } else { Wanted::Loaded };
            let outcome = self.order(&key, order, term).await;
            let (version, endpoint) = key;
            recorder.record(Event::Order { endpoint, version, wanted, epoch: term.epoch, outcome });
        }
    }

    fn learn(&mut self, answer: Answer) {
        let Answer { version, id, versions } = answer;
        let holds = versions.map(|versions| versions.contains(&version));
        if let Some(engine) = self.engines.get_mut(&(version, id)) {
            engine.holds = holds;
        }
    }

    fn ask(&mut self) {
        let now = Instant::now();
        let room = ASKS_AT_ONCE.saturating_sub(self.asks.len());
        let due = self.engines.iter_mut().filter(|(_, engine)| engine.ask_due(now)).take(room);
        for ((version, id), engine) in due {
            engine.asked = Some(now);
            let (calls, address) = (self.calls.clone(), engine.address);
            let (version, id) = (version.clone(), id.clone());
            self.asks.spawn(async move { Answer { version, id, versions: ask(&calls, address).await } });
        }
    }

    /// Orders to send now, at most as many as there is room for.
    fn due(&mut self, fence: u64) -> Vec<((Version, Id), Order)> {
        let now = Instant::now();
        let under_way = self.engines.values().filter(|engine| engine.loading(now)).count();
        let room = self.at_once.saturating_sub(under_way);
        let due = self.engines.iter_mut().filter(|(_, engine)| engine.order_due(now));
        let mut orders = Vec::new();
        let mut loads = 0;
        for ((version, id), engine) in due {
            if engine.wanted == Wanted::Loaded {
                loads += 1;
                if loads > room {
                    continue;
                }
            }
            engine.ordered = Some(now);
            let (load, unload) = match engine.wanted {
                Wanted::Loaded => (vec![version.clone()], Vec::new()),
                Wanted::Dropped => (Vec::new(), vec![version.clone()]),
            };
            orders.push(((version.clone(), id.clone()), Order { fence, load, unload }));
        }
        orders
    }

    async fn order(&self, key: &(Version, Id), order: Order, term: Term) -> String {
        let Some(engine) = self.engines.get(key) else { return "no longer wanted".into() };
        let (reply, answer) = oneshot::channel();
        let call = Call::Order { address: engine.address, order, term, reply };
        if self.calls.send(call).await.is_err() {
            return "not sent, shutting down".into();
        }
        match answer.await.unwrap_or(Err(Error::Cut)) {
            Ok(_) => "taken".into(),
            Err(error) => error.to_string(),
        }
    }
}

impl Engine {
    fn satisfied(&self) -> bool {
        self.holds == Some(self.wanted == Wanted::Loaded)
    }

    fn ask_due(&self, now: Instant) -> bool {
        let pause = if self.satisfied() { ASK_LOADED } else { ASK_LOADING };
        self.asked.is_none_or(|asked| now.duration_since(asked) >= pause)
    }

    fn order_due(&self, now: Instant) -> bool {
        // An engine that does not answer gets no order: it may load nothing,
        // and would take a place from one that can.
        let known = self.holds.is_some();
        known && !self.satisfied() && !self.recently_ordered(now)
    }

    fn loading(&self, now: Instant) -> bool {
        self.wanted == Wanted::Loaded && self.holds == Some(false) && self.recently_ordered(now)
    }

    fn recently_ordered(&self, now: Instant) -> bool {
        self.ordered.is_some_and(|ordered| now.duration_since(ordered) < ORDER_AGAIN)
    }
}

async fn ask(calls: &mpsc::Sender<Call>, address: SocketAddr) -> Option<Vec<Version>> {
    let (reply, answer) = oneshot::channel();
    calls.send(Call::Loaded { address, reply }).await.ok()?;
    answer.await.ok()?
}
