//! Shared in-memory state of an instance.
//!
//! It covers the catalog and access keys ([`Dispatcher::is_fresh`], [`Dispatcher::is_catalog_valid`]),
//! endpoints and their loads ([`fleet`]), other instances ([`peers`]), roll-outs
//! ([`rollouts`]), evacuated failure domains ([`evacuations`]), requests that crash
//! endpoints (`crashes`), the shutdown (`leaving`) and the store's [`era`]. [`synchronization`] keeps
//! the state current through other instances, so that few instances have to watch the store.
//!
//! One thread runs all tasks and the lock is never held across an await, so
//! locking never blocks; the lock only lets tasks share the state without
//! reference cycles.

mod crashes;
pub mod era;
pub mod evacuations;
mod eviction;
pub mod fleet;
mod in_flight;
mod leaving;
pub mod peers;
pub mod rollouts;
mod scratch;
pub mod synchronization;
pub mod watchers;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use route::relay::{
    allowance::{Allowance, Purpose},
    content::Content,
    freshness::{Lease, Proof},
    quarantine::{Finding, Quarantine},
};

use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

pub use self::in_flight::{InFlight, ReadAheadMemory, Reservation};
use self::{era::Era, peers::Phase};
use crate::{
    admission::Gate,
    catalog::Catalog,
    clock,
    connections::Connections,
    dialect::Dialect,
    log_limit::LogLimit,
    memory::Account,
    quarantine,
    settings::{Admission, Settings},
    source::{Kind, Progress},
    uploads::Uploads,
    write_timeout::StalledCallers,
};

/// Longest time after the start for which requests wait until the instance can
/// serve them, unless a call to the store has failed.
///
/// Reading the initial state takes some 50 ms with a healthy store, 250 ms on a
/// busy processor. After a restart of all instances callers come back within
/// milliseconds; without this wait 413 requests were refused in one second.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(500);

/// Time after the start in which an instance waits for the first message of a seed, an
/// instance whose address the settings list.
/// Machines that start together are up within 300 ms of each other.
const SEED_WAIT: Duration = Duration::from_millis(700);

/// Shared state of an instance, and the notifications between its tasks.
#[derive(Debug)]
pub struct Dispatcher {
    /// Settings of this instance.
    pub settings: Settings,
    /// Names of headers and paths on the wire.
    pub dialect: Dialect,
    /// Memory that connections hold.
    pub(crate) account: Arc<Account>,
    /// Open connections of all listeners.
    pub(crate) connections: Arc<Connections>,
    /// Requests whose bodies have not arrived whole.
    pub(crate) uploads: Arc<Uploads>,
    /// Longest pause within a body in milliseconds; 0 if the settings name none.
    max_body_pause_ms: AtomicU64,
    /// Grace period for requests in flight at shutdown, in milliseconds.
    grace_ms: AtomicU64,
    /// Limits the log lines about requests that were refused before they could be sent.
    pub(crate) refusal_log: LogLimit,
    /// Callers that have stopped reading their responses.
    pub(crate) stalled_callers: Arc<StalledCallers>,
    /// Held by the request for which others give way.
    eviction: tokio::sync::Mutex<()>,
    /// Admission control; `None` if the operator has not switched it on.
    pub gate: Option<Arc<Gate>>,
    /// When this value was created, which is the start of the instance.
    created_at: Duration,
    /// Signals progress of the start-up, which early requests wait for.
    startup_progressed: Notify,
    /// Signals that news must be sent to other instances at once instead of at the next
    /// regular time.
    urgent_news: Notify,
    /// Notified when this instance decides to change the stage of a roll-out.
    stage_decided: Notify,
    /// Signals that notices of long prompts are ready to send.
    notices_ready: Notify,
    /// Signals that findings about requests are ready to send.
    findings_ready: Notify,
    /// Signals that quarantine changes are ready to be written to the store.
    quarantine_changes_ready: Notify,
    /// Signals that updates of endpoints' rate limits are ready to send.
    limits_ready: Notify,
    /// Notified when there are withdrawals of endpoints to send.
    withdrawals_ready: Notify,
    /// Signals that another instance has become alive, for the first time or again, and
    /// should be sent news at once.
    peers_to_greet: Notify,
    /// Signals that the registration of an endpoint's start is gone.
    endpoint_removed: Notify,
    /// Signals that a service that could not be reached must be probed.
    probe_wanted: Notify,
    /// Signals that the catalog must be read again.
    catalog_wanted: Notify,
    /// Signals that the endpoints must be read again.
    endpoints_wanted: Notify,
    /// Records when answers of the store about the catalog arrive, partial ones included.
    catalog_progress: Arc<Progress>,
    /// The store's era.
    era: watch::Sender<Era>,
    /// Cancelled when the process is about to exit.
    serving_ended: CancellationToken,
    state: Mutex<State>,
}

/// The mutable part of the state.
#[derive(Debug, Clone)]
struct State {
    catalog: Option<Arc<Catalog>>,
    /// Lease on the access keys in the catalog.
    lease: Lease,
    /// Limits on retries and escalations, by service.
    allowances: HashMap<String, Allowance>,
    fleet: fleet::Fleet,
    notices: fleet::Notices,
    quarantine: Quarantine,
    /// Findings that were not sent to other instances yet.
    findings: Vec<Finding>,
    /// Quarantine changes that were not written to the store yet.
    unwritten_changes: VecDeque<quarantine::Change>,
    /// Quarantined requests and parts that the store is known to hold.
    stored_quarantine: HashSet<Content>,
    peers: peers::Peers,
    rollouts: rollouts::Rollouts,
    synchronization: synchronization::Synchronization,
    /// Progress of the start-up.
    knowledge: Knowledge,
    /// Whether this instance's last call to the store succeeded.
    last_store_call_succeeded: bool,
    /// Whether this instance's link is too slow to read the catalog after each watch.
    is_narrow: bool,
    /// Whether a call to the store has ever failed.
    store_failed_once: bool,
    /// When this instance began to leave.
    draining_since: Option<Duration>,
    /// Number of requests without a complete answer.
    in_flight: usize,
    /// Time for which a session lasts after its latest request.
    session_lifetime: Duration,
    /// Part of the memory for bodies that streams occupy which are received ahead of their callers, in
    /// bytes.
    read_ahead_bytes: usize,
}

/// What an instance has learned about endpoints since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Knowledge {
    /// Nothing yet.
    Nothing,
    /// The registered endpoints and all roll-outs.
    Endpoints,
    /// The contents of the engines' caches too, of all engines that answered in time.
    Caches,
}

impl Dispatcher {
    /// Creates the state of an instance that has just started.
    #[must_use]
    pub fn new(settings: Settings, dialect: Dialect) -> Arc<Self> {
        let state = State {
            catalog: None,
            lease: Lease::new(settings.revocation_bound),
            allowances: HashMap::new(),
            fleet: fleet::Fleet::new(&settings.policies),
            notices: fleet::Notices::new(clock::now()),
            quarantine: Quarantine::default(),
            findings: Vec::new(),
            unwritten_changes: VecDeque::new(),
            stored_quarantine: HashSet::new(),
            peers: peers::Peers::default(),
            rollouts: rollouts::Rollouts::default(),
            synchronization: synchronization::Synchronization::new(settings.replacement_bound),
            knowledge: Knowledge::Nothing,
            last_store_call_succeeded: false,
            is_narrow: false,
            store_failed_once: false,
            draining_since: None,
            in_flight: 0,
            session_lifetime: settings.max_session_pause,
            read_ahead_bytes: 0,
        };
        let is_fair = settings.policies.admission == Admission::Fair;
        let gate = is_fair.then(|| Gate::new(settings.seeds.len()));
        let account = Arc::new(Account::new(settings.memory_bounds()));
        let dispatcher = Arc::new(Self {
            connections: Connections::new(Arc::clone(&account), &settings.connections),
            uploads: Arc::default(),
            max_body_pause_ms: AtomicU64::default(),
            grace_ms: AtomicU64::default(),
            refusal_log: LogLimit::default(),
            account,
            settings,
            dialect,
            stalled_callers: Arc::default(),
            eviction: tokio::sync::Mutex::default(),
            gate,
            created_at: clock::now(),
            startup_progressed: Notify::new(),
            urgent_news: Notify::new(),
            stage_decided: Notify::new(),
            notices_ready: Notify::new(),
            findings_ready: Notify::new(),
            limits_ready: Notify::new(),
            withdrawals_ready: Notify::new(),
            quarantine_changes_ready: Notify::new(),
            peers_to_greet: Notify::new(),
            endpoint_removed: Notify::new(),
            probe_wanted: Notify::new(),
            catalog_wanted: Notify::new(),
            endpoints_wanted: Notify::new(),
            catalog_progress: Arc::default(),
            era: watch::Sender::default(),
            serving_ended: CancellationToken::new(),
            state: Mutex::new(state),
        });
        dispatcher.reload(&dispatcher.settings);
        dispatcher
    }

    /// Puts the limits on what connections hold and the grace period in force. What is held beyond lower
    /// limits is released as connections give way and requests end.
    pub fn reload(&self, settings: &Settings) {
        self.grace_ms.store(u64::try_from(settings.grace.as_millis()).unwrap_or(u64::MAX), Ordering::Relaxed);
        self.account.set_bounds(settings.memory_bounds());
        self.connections.set_limits(&settings.connections);
        let max_body_pause_ms = settings.connections.max_body_pause.map_or(0, |pause| pause.as_millis());
        self.max_body_pause_ms.store(u64::try_from(max_body_pause_ms).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Returns the longest time for which nothing of an awaited body may arrive: as long as the operator
    /// lets callers be idle, unless the settings name another one.
    #[must_use]
    pub fn max_body_pause(&self) -> Duration {
        match self.max_body_pause_ms.load(Ordering::Relaxed) {
            0 => self.catalog().map(|catalog| catalog.limits).unwrap_or_default().idle_time,
            millis => Duration::from_millis(millis),
        }
    }

    /// Returns the catalog in force, or `None` before the first one was read.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.lock().catalog.clone()
    }

    /// Installs a catalog if it is newer than the one in force, and returns whether it did.
    ///
    /// A stale answer must not restore what an operator has removed.
    pub fn install(&self, catalog: Catalog) -> bool {
        let mut state = self.lock();
        if state.catalog.as_ref().is_some_and(|current| current.version >= catalog.version) {
            return false;
        }
        tracing::info!(
            version = catalog.version,
            routes = catalog.hosts.values().map(Vec::len).sum::<usize>(),
            "catalog in force"
        );
        state.synchronization.announced_catalogs.install(catalog.version);
        state.fleet.forget_output_times(&catalog);
        state.catalog = Some(Arc::new(catalog));
        self.startup_progressed.notify_waiters();
        true
    }

    /// Waits until a message of another instance requires that objects of `kind` are read again.
    pub async fn wait_for_refresh(&self, kind: Kind) {
        match kind {
            Kind::Catalog => self.catalog_wanted.notified().await,
            Kind::Endpoints => self.endpoints_wanted.notified().await,
            Kind::Rollouts | Kind::Instances | Kind::Quarantine | Kind::Evacuations => std::future::pending().await,
        }
    }

    /// Returns the record in which calls for the catalog note the progress of their answers.
    #[must_use]
    pub fn catalog_progress(&self) -> Arc<Progress> {
        Arc::clone(&self.catalog_progress)
    }

    /// Renews the lease on access keys with an answer of the store that proves them current.
    /// The store was asked for it at `requested_at`.
    pub fn renew(&self, requested_at: Duration, proof: Proof) {
        // Looked at under the lock: another task may learn of a restore and discard the lease meanwhile.
        let mut state = self.lock();
        if self.complete_after(requested_at).is_none() {
            state.lease.renew(requested_at, proof);
        }
    }

    /// Whether access keys and the rest of the catalog are fresh enough to serve requests.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let now = clock::now();
        let state = self.lock();
        state.lease.is_valid(now) && state.synchronization.announced_catalogs.is_valid(now)
    }

    /// Whether requests may be served by the catalog in force.
    ///
    /// This ends a limited time after another instance has announced a newer catalog.
    #[must_use]
    pub fn is_catalog_valid(&self) -> bool {
        self.lock().synchronization.announced_catalogs.is_valid(clock::now())
    }

    /// Records the outcome of this instance's own latest call to the store.
    pub fn record_store_call(&self, succeeded: bool) {
        let mut state = self.lock();
        state.last_store_call_succeeded = succeeded;
        state.synchronization.doubts_store &= !succeeded;
        state.store_failed_once |= !succeeded;
        drop(state);
        self.startup_progressed.notify_waiters();
    }

    /// Whether this instance's last call to the store succeeded.
    #[must_use]
    pub fn last_store_call_succeeded(&self) -> bool {
        self.lock().last_store_call_succeeded
    }

    /// Whether this instance's link is slow, so that reading the catalog takes long.
    #[must_use]
    pub fn is_narrow(&self) -> bool {
        self.lock().is_narrow
    }

    /// Whether this instance's last call to the store succeeded and its lease on
    /// access keys holds, through its own calls or other instances' proofs.
    #[must_use]
    pub fn is_in_touch_with_store(&self) -> bool {
        let state = self.lock();
        state.last_store_call_succeeded && state.lease.is_valid(clock::now())
    }

    /// Returns the number of instances that are alive, this one included.
    #[must_use]
    pub fn live_instance_count(&self) -> usize {
        self.lock().update_peer_loads(clock::now()) + 1
    }

    /// Returns the age of the latest proof that the access keys are current.
    #[must_use]
    pub fn keys_age(&self) -> Option<Duration> {
        self.lock().lease.age(clock::now())
    }

    /// Records that endpoints have been listed once.
    pub fn mark_listed(&self) {
        let mut state = self.lock();
        state.knowledge = state.knowledge.max(Knowledge::Endpoints);
        drop(state);
        self.startup_progressed.notify_waiters();
    }

    /// Waits until the instance can serve its first request, a call to the store
    /// has failed, or the time to wait for the start is over.
    pub async fn wait_until_started(&self) {
        let is_decided = |state: &State| state.store_failed_once || self.can_serve(state);
        self.wait_for_startup(is_decided).await;
    }

    /// Whether a first message of a seed may still come, so that other instances
    /// need not be looked up in the store.
    #[must_use]
    pub fn awaits_seeds(&self) -> bool {
        let me = self.settings.listeners.news;
        let has_seeds = self.settings.seeds.iter().any(|seed| *seed != me);
        has_seeds && clock::now() < self.created_at + SEED_WAIT
    }

    /// Records that all engines have listed their caches or missed the time for it.
    pub fn mark_caches_known(&self) {
        self.lock().knowledge = Knowledge::Caches;
        self.startup_progressed.notify_waiters();
    }

    /// Waits until the engines' caches are known or the time to wait for the start is over.
    pub async fn wait_until_caches_known(&self) {
        self.wait_for_startup(|state| state.knowledge == Knowledge::Caches).await;
    }

    /// Waits until `is_enough` is true or the time to wait for the start is over.
    async fn wait_for_startup(&self, is_enough: impl Fn(&State) -> bool) {
        loop {
            // Registered before the check, or a change right after it would be missed.
            let startup_progressed = self.startup_progressed.notified();
            let is_known = is_enough(&self.lock());
            let left = (self.created_at + MAX_STARTUP_WAIT).saturating_sub(clock::now());
            if is_known || left.is_zero() || tokio::time::timeout(left, startup_progressed).await.is_err() {
                return;
            }
        }
    }

    /// Whether this instance can serve callers and is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        self.can_serve(&state) && state.draining_since.is_none()
    }

    /// Whether the instance knows all that it needs to serve its first request.
    fn can_serve(&self, state: &State) -> bool {
        // Without the orders, a version that was reverted would look like any other.
        state.catalog.is_some()
            && state.knowledge >= Knowledge::Endpoints
            && state.synchronization.knows_orders()
            && self.knows_evacuations(state)
    }

    /// Returns this instance's phase of life.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.is_draining() {
            Phase::Leaving
        } else if self.is_ready() {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    /// Waits until there is news that must be sent at once instead of at the next regular time.
    pub async fn wait_for_urgent_news(&self) {
        self.urgent_news.notified().await;
    }

    /// Records a request's first dispatch, which increases the service's allowance for extra
    /// ones.
    pub fn record_first_dispatch(&self, service: &str) {
        self.with_allowance(service, |allowance, _| allowance.record_first_dispatch(clock::now()));
    }

    /// Takes an extra dispatch from the service's allowance, and returns whether there was room.
    pub fn try_extra_dispatch(&self, service: &str, purpose: Purpose) -> bool {
        self.with_allowance(service, |allowance, members| allowance.try_extra_dispatch(clock::now(), members, purpose))
    }

    /// Whether the service's allowance has room for an extra dispatch.
    pub fn allows_extra_dispatch(&self, service: &str, purpose: Purpose) -> bool {
        self.with_allowance(service, |allowance, members| allowance.remaining(clock::now(), members, purpose) >= 1.0)
    }

    /// Calls `apply` with the service's allowance and the number of live instances.
    fn with_allowance<T>(&self, service: &str, apply: impl FnOnce(&mut Allowance, usize) -> T) -> T {
        let mut state = self.lock();
        let members = state.update_peer_loads(clock::now()) + 1;
        if !state.allowances.contains_key(service) {
            state.allowances.insert(service.to_owned(), Allowance::new(self.settings.allowance));
        }
        let allowance = state.allowances.get_mut(service).expect("inserted above if missing");
        apply(allowance, members)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic while the lock was held ends one request. At worst it leaves
        // wrong counts, which is better than ending the process.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
