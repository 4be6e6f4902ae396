//! What all requests of this instance share.

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
    desk,
    held::Held,
    problem::{Address, Kind, Problem},
    session::Keys,
};

/// Milliseconds after which an instance with old configuration is asked again.
const STALE_RETRY_MS: Millis = 1_000;
/// Most requests that go on after their callers were told how they ended.
const MOST_LATE: usize = 256;
/// Most answers remembered as having told of a move; past it they are asked for
/// again.
const MOST_CONFIRMED: usize = 4_096;

/// How callers are served.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub instance: instance::Id,
    /// Where it stands.
    pub domain: Domain,
    /// Keys that session handles are signed with.
    pub session_keys: Keys,
    /// Most bytes of a body.
    pub max_body: usize,
    /// Most bytes of a request's headers.
    pub max_headers: usize,
    /// Longest time for a body to arrive.
    pub body_timeout: Duration,
    /// Most connections at a time.
    pub max_connections: usize,
    /// How address lists are cut, and how long callers may keep them.
    pub addresses: route::address::Policy,
    /// What retries may cost.
    pub retry: route::retry::Policy,
    /// Whether there is a rating service.
    pub rated: bool,
    /// Time without a word from the platform that counts as its outage.
    pub outage_after: Duration,
}

impl Settings {
    /// The defaults for one instance.
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
            rated: false,
            outage_after: Duration::from_millis(3_500),
        }
    }
}

/// What a request is served with.
#[derive(Debug, Clone)]
pub struct Links {
    /// The configuration in force.
    pub config: config::Handle,
    /// Claims, bills, sessions.
    pub journal: journal::Handle,
    /// Budget grants.
    pub budget: budget::Handle,
    /// The other instances.
    pub peer: peer::Handle,
    /// Engines, plain services, the rating service.
    pub endpoint: endpoint::Handle,
    /// The version guard.
    pub control: control::Handle,
    /// Endpoints that the platform's list calls leaving.
    pub leaving: watch::Receiver<Vec<world_endpoint::Id>>,
    /// The time line.
    pub recorder: Recorder,
}

/// Shared by all requests.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: Settings,
    pub links: Links,
    pub desk: desk::Handle,
    pub held: Held,
    /// Set once callers have had time to hear that this instance leaves.
    pub closed: AtomicBool,
    /// When an instance was last seen to be lost; 0 for never.
    pub lost: AtomicU64,
    /// Leaves to go on with a request after its caller was told how it ended.
    pub late: Arc<Semaphore>,
    in_flight: watch::Sender<u64>,
    loads: Mutex<HashMap<Customer, u32>>,
    /// Answers that told of a session's move and whose instance was there later.
    confirmed: Mutex<HashSet<request::Id>>,
}

impl Shared {
    pub fn new(settings: Settings, links: Links, desk: desk::Handle) -> Arc<Self> {
        let (in_flight, _) = watch::channel(0);
        Arc::new(Self {
            settings,
            links,
            desk,
            held: Held::default(),
            closed: AtomicBool::new(false),
            lost: AtomicU64::new(0),
            late: Arc::new(Semaphore::new(MOST_LATE)),
            in_flight,
            loads: Mutex::default(),
            confirmed: Mutex::default(),
        })
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.links.config.current()
    }

    /// Whether an answer is known to have told of its session's move.
    pub fn is_confirmed(&self, answer: &request::Id) -> bool {
        self.confirmed.lock().unwrap_or_else(PoisonError::into_inner).contains(answer)
    }

    /// Notes that an answer has told of its session's move.
    pub fn confirm(&self, answer: request::Id) {
        let mut confirmed = self.confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        if confirmed.len() >= MOST_CONFIRMED {
            confirmed.clear();
        }
        confirmed.insert(answer);
    }

    /// Records a step of a request.
    pub fn note(&self, request: &request::Id, step: Step) {
        self.links.recorder.record(Event::Request { request: request.clone(), step });
    }

    /// Refuses new work that must not start here now.
    pub fn may_start(&self, customer: &Customer, contract: &Contract) -> Result<(), Problem> {
        if self.closed.load(Ordering::Acquire) {
            let detail = "this instance finishes its work and takes no more";
            return Err(Problem::not_run(Kind::Leaving, detail).elsewhere(self.elsewhere(customer)).after(0));
        }
        // With a configuration that may be old a withdrawal could be missed,
        // and a version that harms people would go on answering here.
        if !self.links.config.fresh() {
            let detail = "neither the platform nor another instance has confirmed it lately";
            let problem = Problem::not_run(Kind::StaleConfiguration, detail);
            return Err(problem.elsewhere(self.elsewhere(customer)).after(STALE_RETRY_MS));
        }
        self.check_outage(contract)
    }

    /// Refuses work whose contract does not want it run during an outage.
    fn check_outage(&self, contract: &Contract) -> Result<(), Problem> {
        let age = self.links.config.platform_age();
        let down = age.is_none_or(|age| age > self.settings.outage_after);
        if contract.outage == Outage::Serve || !down {
            return Ok(());
        }
        let detail = "the platform is down and the contract has work refused meanwhile";
        Err(Problem::not_run(Kind::PlatformDown, detail).after(STALE_RETRY_MS))
    }

    /// The other instances that a customer's callers may use.
    fn elsewhere(&self, customer: &Customer) -> Vec<Address> {
        let members = self.links.peer.members().borrow().clone();
        let others: Vec<_> = members.others.values().cloned().collect();
        let caller = Caller { customer, session: None, domain: Some(&self.settings.domain), load: self.load(customer) };
        address::list(&self.settings.addresses, &others, &caller).instances.into_iter().map(Address::from).collect()
    }

    /// A customer's requests in flight over all instances, as far as it can
    /// be told from here: as many at each instance of its smallest set.
    pub fn load(&self, customer: &Customer) -> f64 {
        let here = self.loads().get(customer).copied().unwrap_or_default();
        let instances = u32::try_from(self.settings.addresses.min).unwrap_or(u32::MAX);
        f64::from(here) * f64::from(instances)
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>, customer: &Customer) -> InFlight {
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

/// One request in flight.
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
