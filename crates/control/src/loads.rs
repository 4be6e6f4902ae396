//! Tracks which endpoints hold a version and sends the orders that load or
//! drop it.
//!
//! The wanted state follows from the configuration alone, so a successor needs
//! nothing from its predecessor: it queries which versions the engines hold
//! and orders what is missing. Loading reads from the weight store, which is
//! rate-limited, so the number of concurrent loads is bounded.

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

/// Interval of queries to an engine that is not in the wanted state yet.
const PENDING_QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of queries to an engine in the wanted state; a restart would have
/// changed it.
const SETTLED_QUERY_INTERVAL: Duration = Duration::from_secs(30);

/// Time after which an order without effect is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(20);

/// Largest number of concurrent queries to engines.
const MAX_QUERIES: usize = 32;

/// Wanted and known state of all endpoints, for one lease term.
#[derive(Debug)]
pub(crate) struct Loads {
    calls: mpsc::Sender<Call>,
    /// Largest number of concurrent loads.
    max_concurrent: usize,
    placements: HashMap<(Version, Id), Placement>,
    queries: JoinSet<QueryResult>,
}

/// State of one version at one endpoint.
#[derive(Debug)]
struct Placement {
    address: SocketAddr,
    wanted: Wanted,
    /// Whether the endpoint holds the version; `None` if unknown.
    holds: Option<bool>,
    /// When the endpoint was last queried.
    queried_at: Option<Instant>,
    /// When the endpoint was last sent an order.
    ordered_at: Option<Instant>,
}

/// An engine's response to a query.
#[derive(Debug)]
struct QueryResult {
    version: Version,
    id: Id,
    /// Versions that it holds; `None` if it did not respond.
    versions: Option<Vec<Version>>,
}

impl Loads {
    pub fn new(calls: mpsc::Sender<Call>, max_concurrent: usize) -> Self {
        Self { calls, max_concurrent, placements: HashMap::new(), queries: JoinSet::new() }
    }

    /// Sets the wanted state of each version's endpoints and forgets endpoints
    /// that are no longer listed.
    pub fn set_wanted(&mut self, wanted: &BTreeMap<Version, (Wanted, Vec<Endpoint>)>) {
        let is_listed = |version: &Version, id: &Id| {
            wanted.get(version).is_some_and(|(_, endpoints)| endpoints.iter().any(|e| e.id == *id))
        };
        self.placements.retain(|(version, id), _| is_listed(version, id));
        for (version, (wanted, endpoints)) in wanted {
            for endpoint in endpoints {
                let placement = self.placements.entry((version.clone(), endpoint.id.clone())).or_insert(Placement {
                    address: endpoint.address,
                    wanted: *wanted,
                    holds: None,
                    queried_at: None,
                    ordered_at: None,
                });
                if placement.wanted != *wanted || placement.address != endpoint.address {
                    *placement = Placement {
                        address: endpoint.address,
                        wanted: *wanted,
                        holds: None,
                        queried_at: None,
                        ordered_at: None,
                    };
                }
            }
        }
    }

    /// Returns the number of endpoints known to hold a version.
    pub fn loaded(&self, version: &Version) -> usize {
        self.placements.iter().filter(|((v, _), placement)| v == version && placement.holds == Some(true)).count()
    }

    /// Handles responses, queries engines that are due, and sends missing
    /// orders as far as the term and the limits allow.
    pub async fn advance(&mut self, term: Term, recorder: &Recorder) {
        while let Some(Ok(result)) = self.queries.try_join_next() {
            self.on_query_result(result);
        }
        self.start_queries();
        for (key, order) in self.take_due_orders(term.epoch) {
            let wanted = if order.load.is_empty() { Wanted::Dropped } else { Wanted::Loaded };
            let outcome = self.send_order(&key, order, term).await;
            let (version, endpoint) = key;
            recorder.record(Event::Order { endpoint, version, wanted, epoch: term.epoch, outcome });
        }
    }

    /// Handles a response to a query.
    fn on_query_result(&mut self, result: QueryResult) {
        let QueryResult { version, id, versions } = result;
        let holds = versions.map(|versions| versions.contains(&version));
        if let Some(placement) = self.placements.get_mut(&(version, id)) {
            placement.holds = holds;
        }
    }

    /// Starts the queries that are due, within [`MAX_QUERIES`].
    fn start_queries(&mut self) {
        let now = Instant::now();
        let free_slots = MAX_QUERIES.saturating_sub(self.queries.len());
        let due = self.placements.iter_mut().filter(|(_, placement)| placement.is_query_due(now)).take(free_slots);
        for ((version, id), placement) in due {
            placement.queried_at = Some(now);
            let (calls, address) = (self.calls.clone(), placement.address);
            let (version, id) = (version.clone(), id.clone());
            self.queries
                .spawn(async move { QueryResult { version, id, versions: query_versions(&calls, address).await } });
        }
    }

    /// Returns the orders to send now and marks them as sent; loads are
    /// bounded by the limit of concurrent ones.
    fn take_due_orders(&mut self, fence: u64) -> Vec<((Version, Id), Order)> {
        let now = Instant::now();
        let loading_count = self.placements.values().filter(|placement| placement.is_loading(now)).count();
        let free_slots = self.max_concurrent.saturating_sub(loading_count);
        let due = self.placements.iter_mut().filter(|(_, placement)| placement.is_order_due(now));
        let mut orders = Vec::new();
        let mut loads = 0;
        for ((version, id), placement) in due {
            if placement.wanted == Wanted::Loaded {
                loads += 1;
                if loads > free_slots {
                    continue;
                }
            }
            placement.ordered_at = Some(now);
            let (load, unload) = match placement.wanted {
                Wanted::Loaded => (vec![version.clone()], Vec::new()),
                Wanted::Dropped => (Vec::new(), vec![version.clone()]),
            };
            orders.push(((version.clone(), id.clone()), Order { fence, load, unload }));
        }
        orders
    }

    /// Sends an order and returns its outcome for the timeline.
    async fn send_order(&self, key: &(Version, Id), order: Order, term: Term) -> String {
        let Some(placement) = self.placements.get(key) else { return "no longer wanted".into() };
        let (reply, answer) = oneshot::channel();
        let call = Call::Order { address: placement.address, order, term, reply };
        if self.calls.send(call).await.is_err() {
            return "not sent, shutting down".into();
        }
        match answer.await.unwrap_or(Err(Error::Cut)) {
            Ok(_) => "taken".into(),
            Err(error) => error.to_string(),
        }
    }
}

impl Placement {
    /// Returns whether the endpoint is known to be in the wanted state.
    fn is_satisfied(&self) -> bool {
        self.holds == Some(self.wanted == Wanted::Loaded)
    }

    /// Returns whether the endpoint is to be queried now.
    fn is_query_due(&self, now: Instant) -> bool {
        let pause = if self.is_satisfied() { SETTLED_QUERY_INTERVAL } else { PENDING_QUERY_INTERVAL };
        self.queried_at.is_none_or(|queried_at| now.duration_since(queried_at) >= pause)
    }

    /// Returns whether an order is to be sent now.
    fn is_order_due(&self, now: Instant) -> bool {
        // An engine that does not respond gets no order: it might load nothing, and would take
        // a load slot from one that responds.
        let known = self.holds.is_some();
        known && !self.is_satisfied() && !self.recently_ordered(now)
    }

    /// Returns whether a load that was ordered is assumed to be in progress.
    fn is_loading(&self, now: Instant) -> bool {
        self.wanted == Wanted::Loaded && self.holds == Some(false) && self.recently_ordered(now)
    }

    /// Returns whether an order was sent within the retry interval.
    fn recently_ordered(&self, now: Instant) -> bool {
        self.ordered_at.is_some_and(|ordered_at| now.duration_since(ordered_at) < ORDER_RETRY_INTERVAL)
    }
}

/// Queries an engine for the versions that it holds.
async fn query_versions(calls: &mpsc::Sender<Call>, address: SocketAddr) -> Option<Vec<Version>> {
    let (reply, answer) = oneshot::channel();
    calls.send(Call::Loaded { address, reply }).await.ok()?;
    answer.await.ok()?
}
