//! What an instance believes, in one place.
//!
//! One thread runs everything, and the lock is never held across an await, so
//! it is never waited for; it only lets tasks share the state without
//! reference cycles. Every belief has a source and an age: the catalog and
//! access keys ([`Desk::fresh`], [`Desk::catalog_holds`]), endpoints and their loads ([`fleet`]), other
//! instances ([`peers`]), roll-outs ([`trials`]), requests under which endpoints
//! crash (`crashes`); [`track`] keeps them in step
//! through other instances.

mod crashes;
pub mod fleet;
mod flight;
pub mod peers;
pub mod track;
pub mod trials;
pub mod watchers;

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use route::relay::{
    allowance::{Allowance, Purpose},
    freshness::{Freshness, Proof},
    quarantine::{Finding, Quarantine},
};

use tokio::sync::Notify;

pub use self::flight::{Flight, Held};
use self::peers::Phase;
use crate::{
    catalog::Catalog,
    clock,
    dialect::Dialect,
    quarantine,
    settings::Settings,
    source::{Kind, Progress},
};

/// Part of the grace in which callers may not have heard of the leave.
const UNHEARD: f64 = 0.3;

/// Part of the grace within which requests end; the rest is for the process.
const SERVED: f64 = 0.9;

/// Time from its start in which an instance reads what it needs to serve: some
/// 50 ms while the store is well, 250 on a processor that others use too. A
/// request that comes meanwhile waits and is not refused, unless a call to the
/// store has failed. When all instances are back at once, callers come within
/// milliseconds: 413 requests in one such second were sent away before.
const STARTING: Duration = Duration::from_millis(500);

/// Time from its start in which an instance expects to hear of a seed: machines that
/// start together do so within 300 ms.
const FIRST_WORD: Duration = Duration::from_millis(700);

/// What an instance believes.
#[derive(Debug)]
pub struct Desk {
    /// What it was told at its start.
    pub settings: Settings,
    /// Names of the wire.
    pub dialect: Dialect,
    opened: Duration,
    /// Something that a request at the start waits for is known.
    learned: Notify,
    urgent: Notify,
    /// There are notices to send.
    noticed: Notify,
    /// There are findings about requests to tell.
    found: Notify,
    /// There are refused requests to write or to take back.
    unwritten: Notify,
    /// There is word of endpoints' limits to tell.
    limited: Notify,
    /// An instance was heard for the first time, or again.
    greeting: Notify,
    catalog_wanted: Notify,
    endpoints_wanted: Notify,
    /// What the store last answered about the catalog.
    catalog_progress: Arc<Progress>,
    state: Mutex<State>,
}

/// Everything that changes.
#[derive(Debug)]
struct State {
    catalog: Option<Arc<Catalog>>,
    freshness: Freshness,
    allowances: HashMap<String, Allowance>,
    fleet: fleet::Fleet,
    notices: fleet::Notices,
    quarantine: Quarantine,
    /// Findings that were not sent yet.
    findings: Vec<Finding>,
    /// What the store was not told yet.
    unwritten: VecDeque<quarantine::Change>,
    peers: peers::Peers,
    trials: trials::Trials,
    track: track::Track,
    known: Known,
    in_touch: bool,
    /// Whether the catalog takes too long to come in to be read after each watch.
    is_narrow: bool,
    /// Whether a call to the store has ever failed.
    lost_once: bool,
    /// When this instance began to leave.
    draining: Option<Duration>,
    in_flight: usize,
    /// How long after a request its session goes on.
    session: Duration,
    held: usize,
}

/// What an instance has learned of endpoints since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Known {
    /// Nothing yet.
    Nothing,
    /// Which there are, and all roll-outs.
    Endpoints,
    /// What engines keep as well, as far as they have said.
    Caches,
}

impl Desk {
    /// Beliefs of an instance that has heard nothing yet.
    #[must_use]
    pub fn new(settings: Settings, dialect: Dialect) -> Arc<Self> {
        let state = State {
            catalog: None,
            freshness: Freshness::new(settings.revoke),
            allowances: HashMap::new(),
            fleet: fleet::Fleet::default(),
            notices: fleet::Notices::new(clock::now()),
            quarantine: Quarantine::default(),
            findings: Vec::new(),
            unwritten: VecDeque::new(),
            peers: peers::Peers::default(),
            trials: trials::Trials::default(),
            track: track::Track::new(settings.replace),
            known: Known::Nothing,
            in_touch: false,
            is_narrow: false,
            lost_once: false,
            draining: None,
            in_flight: 0,
            session: settings.session,
            held: 0,
        };
        Arc::new(Self {
            settings,
            dialect,
            opened: clock::now(),
            learned: Notify::new(),
            urgent: Notify::new(),
            noticed: Notify::new(),
            found: Notify::new(),
            limited: Notify::new(),
            unwritten: Notify::new(),
            greeting: Notify::new(),
            catalog_wanted: Notify::new(),
            endpoints_wanted: Notify::new(),
            catalog_progress: Arc::default(),
            state: Mutex::new(state),
        })
    }

    /// The catalog in force; nothing before the first was read.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.lock().catalog.clone()
    }

    /// Takes a catalog in unless it is older than the one in force: stale
    /// answers must not bring back what an operator has taken away.
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
        state.track.succession.install(catalog.version);
        state.catalog = Some(Arc::new(catalog));
        self.learned.notify_waiters();
        true
    }

    /// Waits until another instance has said that a kind must be read anew.
    pub async fn wanted(&self, kind: Kind) {
        match kind {
            Kind::Catalog => self.catalog_wanted.notified().await,
            Kind::Endpoints => self.endpoints_wanted.notified().await,
            Kind::Rollouts | Kind::Instances | Kind::Quarantine => std::future::pending().await,
        }
    }

    /// Where calls about the catalog note what comes of their answers.
    #[must_use]
    pub fn catalog_progress(&self) -> Arc<Progress> {
        Arc::clone(&self.catalog_progress)
    }

    /// Renews the lease on access keys.
    pub fn renew(&self, asked: Duration, proof: Proof) {
        self.lock().freshness.renew(asked, proof);
    }

    /// Whether access keys may be believed, and the rest of the catalog.
    #[must_use]
    pub fn fresh(&self) -> bool {
        let now = clock::now();
        let state = self.lock();
        state.freshness.holds(now) && state.track.succession.holds(now)
    }

    /// Whether requests may be served by the catalog in force: not for long after
    /// another instance has told of a newer one.
    #[must_use]
    pub fn catalog_holds(&self) -> bool {
        self.lock().track.succession.holds(clock::now())
    }

    /// Notes whether this instance's own calls to the store succeed.
    pub fn note_touch(&self, succeeded: bool) {
        let mut state = self.lock();
        state.in_touch = succeeded;
        state.track.doubts_store &= !succeeded;
        state.lost_once |= !succeeded;
        drop(state);
        self.learned.notify_waiters();
    }

    /// Whether this instance's last call to the store succeeded.
    #[must_use]
    pub fn touched(&self) -> bool {
        self.lock().in_touch
    }

    /// Whether the catalog takes long to come in here.
    #[must_use]
    pub fn is_narrow(&self) -> bool {
        self.lock().is_narrow
    }

    /// Whether this instance's own calls to the store succeed, or it has had
    /// no reason to make any.
    #[must_use]
    pub fn in_touch(&self) -> bool {
        let state = self.lock();
        state.in_touch && state.freshness.holds(clock::now())
    }

    /// Instances believed to live, this one included.
    #[must_use]
    pub fn members(&self) -> usize {
        self.lock().settle_peers(clock::now()) + 1
    }

    /// Age of what is known of access keys.
    #[must_use]
    pub fn keys_age(&self) -> Option<Duration> {
        self.lock().freshness.age(clock::now())
    }

    /// Notes that endpoints and roll-outs have been listed once.
    pub fn mark_listed(&self) {
        let mut state = self.lock();
        state.known = state.known.max(Known::Endpoints);
        drop(state);
        self.learned.notify_waiters();
    }

    /// Waits until a request can be served for the first time, or until the
    /// start has taken too long to wait for it.
    pub async fn started(&self) {
        let is_decided =
            |state: &State| state.lost_once || (state.catalog.is_some() && state.known >= Known::Endpoints);
        self.learn(is_decided).await;
    }

    /// Whether a seed may yet be heard for the first time, so that the others need
    /// not be looked for in the store.
    #[must_use]
    pub fn awaits_seeds(&self) -> bool {
        let me = self.settings.listeners.news;
        let has_seeds = self.settings.seeds.iter().any(|seed| *seed != me);
        has_seeds && clock::now() < self.opened + FIRST_WORD
    }

    /// Notes that engines have said what they keep, or did not in time.
    pub fn mark_caches_known(&self) {
        self.lock().known = Known::Caches;
        self.learned.notify_waiters();
    }

    /// Waits until engines have said what they keep, or until the start has taken
    /// too long to wait for it.
    pub async fn caches_known(&self) {
        self.learn(|state| state.known == Known::Caches).await;
    }

    /// Waits until enough is known, or until the start has taken too long.
    async fn learn(&self, is_enough: impl Fn(&State) -> bool) {
        loop {
            // Before the look, or a change right after it would be missed.
            let learned = self.learned.notified();
            let is_known = is_enough(&self.lock());
            let left = (self.opened + STARTING).saturating_sub(clock::now());
            if is_known || left.is_zero() || tokio::time::timeout(left, learned).await.is_err() {
                return;
            }
        }
    }

    /// Whether callers should come here.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.lock();
        state.catalog.is_some() && state.known >= Known::Endpoints && state.draining.is_none()
    }

    /// Where this instance stands between its start and its end.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.draining() {
            Phase::Leaving
        } else if self.ready() {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    /// Whether this instance is leaving.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.lock().draining.is_some()
    }

    /// Whether this instance is leaving and may be gone before a request that
    /// takes `time` could end.
    ///
    /// A run that is cut off at the end helps nobody, while another instance
    /// would serve it at once. In the first part of the grace requests are
    /// taken all the same: most take far less than their longest time, and
    /// callers cannot have heard of the leave yet.
    #[must_use]
    pub fn leaves_within(&self, time: Duration) -> bool {
        let Some(since) = self.lock().draining else { return false };
        let grace = self.settings.grace;
        let passed = clock::now().saturating_sub(since);
        passed > grace.mul_f64(UNHEARD) && passed + time > grace.mul_f64(SERVED)
    }

    /// Starts leaving: no longer ready, connections end with their answers.
    pub fn drain(&self) {
        self.lock().draining.get_or_insert_with(clock::now);
        self.urgent.notify_one();
    }

    /// Waits until there is news that should not wait.
    pub async fn hurry(&self) {
        self.urgent.notified().await;
    }

    /// Counts a request's first dispatch to a service.
    pub fn earn(&self, service: &str) {
        self.with_allowance(service, |allowance, _| allowance.earn(clock::now()));
    }

    /// Counts an extra dispatch to a service if the allowance has room.
    pub fn spend(&self, service: &str, purpose: Purpose) -> bool {
        self.with_allowance(service, |allowance, members| allowance.spend(clock::now(), members, purpose))
    }

    /// Whether the allowance has room for an extra dispatch.
    pub fn affords(&self, service: &str, purpose: Purpose) -> bool {
        self.with_allowance(service, |allowance, members| allowance.left(clock::now(), members, purpose) >= 1.0)
    }

    fn with_allowance<T>(&self, service: &str, apply: impl FnOnce(&mut Allowance, usize) -> T) -> T {
        let mut state = self.lock();
        let members = state.settle_peers(clock::now()) + 1;
        if !state.allowances.contains_key(service) {
            state.allowances.insert(service.to_owned(), Allowance::new(self.settings.allowance));
        }
        let allowance = state.allowances.get_mut(service).expect("it was inserted if it was missing");
        apply(allowance, members)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic while the lock was held ends one request; what it had
        // changed are counts, and going on with them beats ending the process.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
