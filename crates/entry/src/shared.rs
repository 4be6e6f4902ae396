//! State shared by all requests of this instance.

use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use route::address::{self, Caller};
use timeline::{Event, Recorder, Step};
use tokio::sync::{Semaphore, watch};
use world::{
    Catalog, Millis,
    contract::{Contract, Customer, Outage},
    domain::Domain,
    endpoint as world_endpoint, instance, request,
};

use crate::{
    answers::Answers,
    dispatcher,
    problem::{Address, Kind, Problem},
    session::Keys,
};

/// Retry delay sent to callers while the configuration is stale or the platform is
/// down.
const STALE_RETRY_MS: Millis = 1_000;
/// Maximum number of requests that continue after their final response was sent.
const MAX_LATE_REQUESTS: usize = 256;
/// Maximum number of remembered answers that reported a session's move and are
/// known to have ended. The set is cleared when it is full, and the answers are
/// then checked again.
const MAX_ENDED_ANSWERS: usize = 4_096;

/// Settings for serving callers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this instance.
    pub instance: instance::Id,
    /// Failure domain of this instance.
    pub domain: Domain,
    /// Keys that sign session handles.
    pub session_keys: Keys,
    /// Maximum size of a request's body, in bytes.
    pub max_body: usize,
    /// Maximum size of a request's headers, in bytes.
    pub max_headers: usize,
    /// Maximum time for a body to arrive.
    pub body_timeout: Duration,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Policy for the length and the validity of address lists.
    pub addresses: route::address::Policy,
    /// Policy for retry budgets.
    pub retry: route::retry::Policy,
    /// Whether a rating service is configured.
    pub has_rating_service: bool,
    /// Time without a response from the platform after which the platform counts as down.
    pub outage_after: Duration,
}

impl Settings {
    /// Returns the default settings of an instance.
    #[must_use]
    pub fn new(instance: instance::Id, domain: Domain, session_keys: Keys) -> Self {
        Self {
            instance,
            domain,
            session_keys,
            max_body: 4 << 20,
            max_headers: 16 << 10,
            body_timeout: Duration::from_secs(15),
            max_connections: 8_192,
            addresses: route::address::Policy::default(),
            retry: route::retry::Policy::default(),
            has_rating_service: false,
            outage_after: Duration::from_millis(3_500),
        }
    }
}

/// Handles of the components that serve a request.
#[derive(Debug, Clone)]
pub struct Links {
    /// The configuration in force.
    pub config: config::Handle,
    /// Journal of claims, bills and sessions.
    pub journal: journal::Handle,
    /// Reservations of customers' budgets.
    pub budget: budget::Handle,
    /// Links to the other instances.
    pub peer: peer::Handle,
    /// Client of engines, plain services and the rating service.
    pub endpoint: endpoint::Handle,
    /// The version guard, which stops bad versions, and the list of stopped versions.
    pub control: control::Handle,
    /// Endpoints that are leaving according to the platform's list.
    pub leaving: watch::Receiver<Vec<world_endpoint::Id>>,
    /// Recorder of the timeline.
    pub recorder: Recorder,
}

/// State shared by all requests.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: Settings,
    pub links: Links,
    pub dispatcher: dispatcher::Handle,
    pub answers: Answers,
    /// Set while leaving, once callers have had time to refresh their addresses. New
    /// work is then refused.
    pub closed: AtomicBool,
    /// Time at which the loss of an instance was last noticed; 0 if never.
    pub last_loss_ms: AtomicU64,
    /// Permits to continue a request after its final response was sent.
    pub late_permits: Arc<Semaphore>,
    in_flight: watch::Sender<u64>,
    loads: Mutex<HashMap<Customer, u32>>,
    /// Answers that reported a session's move and ended while their instance was known
    /// to be alive.
    ended_answers: Mutex<HashSet<request::Id>>,
}

impl Shared {
    pub fn new(settings: Settings, links: Links, dispatcher: dispatcher::Handle) -> Arc<Self> {
        let (in_flight, _) = watch::channel(0);
        Arc::new(Self {
            settings,
            links,
            dispatcher,
            answers: Answers::default(),
            closed: AtomicBool::new(false),
            last_loss_ms: AtomicU64::new(0),
            late_permits: Arc::new(Semaphore::new(MAX_LATE_REQUESTS)),
            in_flight,
            loads: Mutex::default(),
            ended_answers: Mutex::default(),
        })
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.links.config.current()
    }

    /// Returns whether an answer that reported a session's move is known to have ended.
    pub fn is_known_ended(&self, answer: &request::Id) -> bool {
        self.ended_answers.lock().unwrap_or_else(PoisonError::into_inner).contains(answer)
    }

    /// Remembers that an answer that reported a session's move has ended.
    pub fn mark_ended(&self, answer: request::Id) {
        let mut ended_answers = self.ended_answers.lock().unwrap_or_else(PoisonError::into_inner);
        if ended_answers.len() >= MAX_ENDED_ANSWERS {
            ended_answers.clear();
        }
        ended_answers.insert(answer);
    }

    /// Records a step of a request.
    pub fn record_step(&self, request: &request::Id, step: Step) {
        self.links.recorder.record(Event::Request { request: request.clone(), step });
    }

    /// Returns an error if new work must not start on this instance now.
    pub fn may_start(&self, customer: &Customer, contract: &Contract) -> Result<(), Problem> {
        if self.closed.load(Ordering::Acquire) {
            let detail = "this instance finishes its work and takes no more";
            return Err(Problem::not_run(Kind::Leaving, detail)
                .with_addresses(self.other_addresses(customer))
                .with_retry_after(0));
        }
        // A stale configuration could lack a withdrawal, and a harmful version would
        // continue to answer on this instance.
        if !self.links.config.fresh() {
            let detail = "neither the platform nor another instance has confirmed it lately";
            let problem = Problem::not_run(Kind::StaleConfiguration, detail);
            return Err(problem.with_addresses(self.other_addresses(customer)).with_retry_after(STALE_RETRY_MS));
        }
        self.check_outage(contract)
    }

    /// Returns an error if the platform is down and the contract refuses work during an
    /// outage.
    fn check_outage(&self, contract: &Contract) -> Result<(), Problem> {
        let age = self.links.config.platform_age();
        let down = age.is_none_or(|age| age > self.settings.outage_after);
        if contract.outage == Outage::Serve || !down {
            return Ok(());
        }
        let detail = "the platform is down and the contract has work refused meanwhile";
        Err(Problem::not_run(Kind::PlatformDown, detail).with_retry_after(STALE_RETRY_MS))
    }

    /// Returns the other instances that a customer's callers may use.
    fn other_addresses(&self, customer: &Customer) -> Vec<Address> {
        let members = self.links.peer.members().borrow().clone();
        let others: Vec<_> = members.others.values().cloned().collect();
        let caller = Caller { customer, session: None, domain: Some(&self.settings.domain), load: self.load(customer) };
        address::list(&self.settings.addresses, &others, &caller).instances.into_iter().map(Address::from).collect()
    }

    /// Estimates a customer's requests in flight over all instances: the local count,
    /// multiplied by the smallest number of instances that the customer uses.
    pub fn load(&self, customer: &Customer) -> f64 {
        let here = self.loads().get(customer).copied().unwrap_or_default();
        let instances = u32::try_from(self.settings.addresses.min).unwrap_or(u32::MAX);
        f64::from(here) * f64::from(instances)
    }

    /// Counts a request as in flight until the returned value is dropped.
    pub fn count_in_flight(self: &Arc<Self>, customer: &Customer) -> InFlight {
        self.in_flight.send_modify(|count| *count += 1);
        *self.loads().entry(customer.clone()).or_default() += 1;
        InFlight { shared: self.clone(), customer: customer.clone() }
    }

    fn loads(&self) -> MutexGuard<'_, HashMap<Customer, u32>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn in_flight(&self) -> watch::Receiver<u64> {
        self.in_flight.subscribe()
    }
}

/// Guard that counts one request as in flight.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    customer: Customer,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Entry::Occupied(mut load) = self.shared.loads().entry(self.customer.clone()) {
            *load.get_mut() -= 1;
            if *load.get() == 0 {
                load.remove();
            }
        }
        self.shared.in_flight.send_modify(|count| *count -= 1);
    }
}
