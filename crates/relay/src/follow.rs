//! Synchronizes this instance's state with the store.
//!
//! Each kind of record is listed, then watched from the revision of the listing. A
//! call that stays silent for too long is cancelled, since a dead connection may
//! never report an error. After any failure the kind is listed again, because an
//! interrupted watch may have missed changes.
//!
//! A successful call for the catalog is also a proof of its access keys: a read proves
//! that they were in force when it was requested, a watch without changes that they were
//! a second before. Access keys are accepted only while the last proof is recent
//! ([`route::relay::freshness`]).
//!
//! While another instance keeps this one synchronized ([`crate::dispatcher::synchronization`]), the
//! store is called only for what that instance cannot provide.

mod calls;
mod intake;
mod lapses;

use std::{sync::Arc, time::Duration};

use route::relay::freshness::Schedule;
use tokio::time::{sleep, timeout};

use self::lapses::Lapses;
use crate::{
    clock,
    dispatcher::{Dispatcher, era::REWRITE_TIME},
    share,
    source::{Fault, Kind, Progress, Read, Revision, Source},
};

/// Longest wait of a watch on the catalog. It also bounds the age of the proof of access
/// keys while the store answers.
const CATALOG_WATCH_WAIT: Duration = Duration::from_millis(900);

/// Longest wait of a watch on a catalog that takes too long to be read after each watch.
/// The proof of a watch is a second older than that of a read; the shorter wait makes up
/// for half of it.
const LONG_CATALOG_WATCH_WAIT: Duration = Duration::from_millis(450);

/// Longest wait of a watch on endpoints. A watch that hangs must be noticed before the
/// time at which a leaving endpoint may get no more requests.
const ENDPOINTS_WATCH_WAIT: Duration = Duration::from_millis(1_200);

/// Longest wait of a watch on the other kinds; other instances announce rollouts sooner.
const OTHER_WATCH_WAIT: Duration = Duration::from_secs(4);

/// Longest wait of a watch on evacuations, as a share of the time within which one has to be
/// in force. The rest is for noticing a watch that hangs, listing anew and notifying the
/// other instances.
const EVACUATIONS_WAIT_SHARE: f64 = 0.3;

/// First and longest backoff after failed calls.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));

/// Longest backoff of an instance that watches the store after calls that the store has not answered.
/// How soon it sees the store's return decides whether callers with keys are refused: keys are
/// confirmed again only some time after it.
const WATCHER_BACKOFF: Duration = Duration::from_millis(200);

/// Pause between probes of an unreachable store by an instance that other instances will
/// notify when the store is back. Every instance probes, and each call is paid for.
const PROBE_PAUSE: Duration = Duration::from_millis(1_500);

/// Probe pause per instance of the fleet: in a large fleet the pause grows with the number
/// of instances, which bounds the rate of all probes together. The instances that probe
/// first announce the store's return sooner than a probe would find it.
const PROBE_PAUSE_PER_INSTANCE: Duration = Duration::from_millis(20);

/// Pause between probes of an unreachable store while another instance keeps this one
/// synchronized.
const SYNCED_PROBE_PAUSE: Duration = Duration::from_secs(4);

/// Length of a store outage after which the registration of a missing endpoint may merely
/// have expired.
const LONG_OUTAGE: Duration = Duration::from_secs(1);

/// Pause after a watch that returned changes to endpoints, so that the next call collects
/// several. Dozens of endpoints may start, crash or leave within seconds and each call is
/// paid for, while a leaving endpoint may get requests for some seconds.
const ENDPOINT_CHANGES_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait of a watch on endpoints while lapsed endpoints may register again.
const LAPSED_WATCH_WAIT: Duration = Duration::from_millis(300);

/// Time after the first listing in which an instance waits to discover others that keep it
/// synchronized: with 74 instances it takes 1.25 s to send news to all of them, and questions
/// are 0.35 s apart.
/// Without the wait, half of the store calls of a starting fleet come from instances that
/// watch the store by themselves until then.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Discovery time of an instance that is one of those that watch the store, as far as it
/// knows. Every instance assumes so until it has received news from the others.
const WATCHER_DISCOVERY_TIME: Duration = Duration::from_millis(700);

/// Pause between checks whether another instance still keeps this one synchronized.
const SYNCED_CHECK_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a read of the store that another instance's message triggered.
const TRIGGERED_READ_PAUSE: Duration = Duration::from_millis(300);

/// Keeps one kind of record synchronized; never returns.
pub async fn follow(dispatcher: Arc<Dispatcher>, source: Arc<dyn Source>, kind: Kind) {
    let progress = if kind == Kind::Catalog { dispatcher.catalog_progress() } else { Arc::default() };
    let mut follower = Follower {
        dispatcher,
        source,
        kind,
        progress,
        schedule: Schedule::default(),
        revision: None,
        relist_at: None,
        has_listed: false,
        lost_since: None,
        last_failure: Duration::ZERO,
        failures: 0,
        lapses: Lapses::default(),
        first_listed: None,
        pause: None,
        has_deferred_probe: false,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    dispatcher: Arc<Dispatcher>,
    source: Arc<dyn Source>,
    kind: Kind,
    progress: Arc<Progress>,
    /// Decides when the catalog may be read again.
    schedule: Schedule,
    /// Revision to watch from; `None` if the kind has to be listed.
    revision: Option<Revision>,
    /// When the kind has to be listed again, since the store lacked records at the last listing.
    relist_at: Option<Duration>,
    has_listed: bool,
    /// Start of the first failed call of the current outage, if there is one.
    lost_since: Option<Duration>,
    last_failure: Duration,
    /// Number of consecutive failed calls.
    failures: u32,
    lapses: Lapses,
    /// Time of the first listing.
    first_listed: Option<Duration>,
    /// Pause before the next store call.
    pause: Option<Duration>,
    /// Whether the first probe of a store that others seem to have lost was deferred.
    has_deferred_probe: bool,
}

impl Follower {
    /// Makes one call to the store, or waits if none is due.
    async fn step(&mut self) {
        if self.has_listed && self.dispatcher.is_synchronized() {
            self.wait_synchronized().await;
            return;
        }
        if self.has_listed && (self.is_discovering() || self.defers_to_catalog()) {
            self.expire_lapses();
            if self.kind == Kind::Catalog {
                // The last read proves little by now; list the catalog again after the wait.
                self.revision = None;
            }
            sleep(SYNCED_CHECK_PAUSE).await;
            return;
        }
        if self.defers_first_probe() {
            self.expire_lapses();
            sleep(PROBE_PAUSE.mul_f64(rand::random())).await;
            return;
        }
        if let Some(pause) = self.pause.take() {
            sleep(pause).await;
        }
        let asked = clock::now();
        if self.relist_at.is_some_and(|at| at <= asked) {
            self.revision = None;
        }
        let result = match self.revision {
            None => self.list(self.read_mode(), asked).await,
            Some(from) => self.watch(from, asked).await,
        };
        self.expire_lapses();
        let Err(fault) = result else {
            self.record_contact(true);
            self.record_success();
            return;
        };
        self.record_contact(false);
        self.revision = None;
        if matches!(fault, Fault::Compacted | Fault::Restored | Fault::Unreadable) {
            tracing::info!(kind = ?self.kind, %fault, "listing all records again");
            return;
        }
        if self.lost_since.is_none() {
            tracing::warn!(kind = ?self.kind, %fault, "store lost");
            self.lost_since = Some(asked);
        }
        let wait = if self.dispatcher.probes_store_often() {
            self.backoff(if matches!(fault, Fault::Lost(_)) { WATCHER_BACKOFF } else { BACKOFF.1 })
        } else {
            PROBE_PAUSE.max(
                PROBE_PAUSE_PER_INSTANCE * u32::try_from(self.dispatcher.live_instance_count()).unwrap_or(u32::MAX),
            )
        };
        self.record_failure(clock::now());
        sleep(wait.mul_f64(0.7 + 0.6 * rand::random::<f64>())).await;
    }

    /// Returns the backoff for the current number of consecutive failed calls.
    fn backoff(&self, longest: Duration) -> Duration {
        BACKOFF.0.saturating_mul(2_u32.saturating_pow(self.failures.min(8))).min(longest)
    }

    /// Returns whether it is too early after the start to know which instances watch the
    /// store and keep the others synchronized.
    fn is_discovering(&self) -> bool {
        let Some(since) = self.first_listed.map(|first| clock::now().saturating_sub(first)) else { return false };
        since < WATCHER_DISCOVERY_TIME || (since < DISCOVERY_TIME && !self.dispatcher.watches_store())
    }

    /// Returns whether to leave probing of an unreachable store to the catalog's follower:
    /// all kinds are lost and regained together, and each probe is paid for.
    fn defers_to_catalog(&self) -> bool {
        let is_lost = self.lost_since.is_some() && !self.dispatcher.last_store_call_succeeded();
        self.kind != Kind::Catalog && (is_lost || self.dispatcher.suspects_store_outage())
    }

    /// Returns whether to wait before probing a store that others seem to have lost. The
    /// whole fleet learns of it at once, and usually the store is lost to all instances.
    fn defers_first_probe(&mut self) -> bool {
        let suspects_outage = self.kind == Kind::Catalog
            && self.dispatcher.suspects_store_outage()
            && !self.dispatcher.probes_store_often();
        let is_first = suspects_outage && !self.has_deferred_probe;
        self.has_deferred_probe = suspects_outage;
        is_first
    }

    /// Waits while another instance keeps this one synchronized, and reads from the store
    /// only what that instance cannot provide.
    async fn wait_synchronized(&mut self) {
        self.revision = None;
        self.expire_lapses();
        self.lapses.clear_removals();
        let asked_for = timeout(SYNCED_CHECK_PAUSE, self.dispatcher.wait_for_refresh(self.kind)).await.is_ok();
        let wanted = asked_for && (self.kind != Kind::Catalog || self.dispatcher.is_behind());
        let asked = clock::now();
        let probe = self.kind == Kind::Catalog
            && !self.dispatcher.last_store_call_succeeded()
            && asked > self.last_failure + SYNCED_PROBE_PAUSE;
        // The store may reject this instance and serve all others, which then announce the
        // newer catalog sixteen times a second. Without a wait, each announcement causes two
        // more rejected calls, which made up a quarter of the cost of a day's calls.
        let is_backing_off = self.failures > 0 && asked < self.last_failure + self.backoff(PROBE_PAUSE);
        if is_backing_off && wanted && self.kind == Kind::Catalog {
            self.copy_catalog().await;
            sleep(TRIGGERED_READ_PAUSE).await;
            return;
        }
        if is_backing_off || (!wanted && !probe) {
            if asked > self.last_failure + REWRITE_TIME {
                self.lost_since = None;
            }
            return;
        }
        if wanted && self.kind == Kind::Catalog {
            self.catch_up(asked).await;
        } else {
            self.read_latest(asked).await;
        }
        // If several versions follow in quick succession, only the last of them is read.
        sleep(TRIGGERED_READ_PAUSE).await;
    }

    /// Copies a newer catalog from an instance that announced it; returns whether it was
    /// installed.
    ///
    /// This helps when the store rejects this instance and serves the others. The store is
    /// still asked first, because callers are directed to instances in contact with it.
    async fn copy_catalog(&self) -> bool {
        let Some(peer) = self.dispatcher.newer_catalog_peer() else { return false };
        match share::fetch(&*self.dispatcher.settings.network, peer).await {
            Ok(catalog) => self.dispatcher.install(catalog),
            Err(cause) => {
                tracing::info!(teller = %peer, cause, "copying the catalog from another instance failed");
                false
            }
        }
    }

    /// Gets a newer catalog that another instance announced.
    ///
    /// Every instance of the fleet reads each change. A listing of any age costs a tenth of
    /// a linearizable one and proves nothing about access keys; with 74 instances it is
    /// recent enough in two of three cases. If it shows nothing new, the catalog is copied
    /// from the other instance, or else read with a linearizable call. A catalog that takes
    /// long to transfer is not read twice: that would delay the change by half a second and
    /// fill the link.
    async fn catch_up(&mut self, asked: Duration) {
        if self.schedule.was_last_read_long() {
            self.read_latest(asked).await;
            if self.failures > 0 {
                self.copy_catalog().await;
            }
            return;
        }
        let version = |dispatcher: &Dispatcher| dispatcher.catalog().map(|catalog| catalog.version);
        let before = version(&self.dispatcher);
        match self.list(Read::AnyAge, asked).await {
            Err(fault) => {
                self.record_failed_read(asked, &fault);
                self.copy_catalog().await;
            }
            Ok(()) if version(&self.dispatcher) == before => {
                if !self.copy_catalog().await {
                    self.read_latest(clock::now()).await;
                }
            }
            Ok(()) => self.record_success(),
        }
    }

    /// Lists the kind with a linearizable read.
    async fn read_latest(&mut self, asked: Duration) {
        match self.list(Read::Latest, asked).await {
            Ok(()) => {
                self.record_contact(true);
                self.record_success();
            }
            Err(fault) => self.record_failed_read(asked, &fault),
        }
    }

    /// Logs and records a read that failed.
    fn record_failed_read(&mut self, asked: Duration, fault: &Fault) {
        tracing::info!(kind = ?self.kind, %fault, failures = self.failures, "store not read");
        self.record_contact(false);
        self.record_failure(asked);
    }

    /// Records a failed call at time `at`.
    fn record_failure(&mut self, at: Duration) {
        self.last_failure = at;
        self.failures += 1;
    }

    /// Records whether this instance's calls to the store succeed. Only the catalog's
    /// follower does so, on behalf of all kinds.
    fn record_contact(&self, succeeded: bool) {
        if self.kind == Kind::Catalog {
            self.dispatcher.record_store_call(succeeded);
        }
    }

    /// Returns how long the store may hold back its answer to a watch that starts at `asked`.
    fn watch_wait(&self, asked: Duration) -> Duration {
        match self.kind {
            Kind::Catalog if !self.schedule.is_due(asked + CATALOG_WATCH_WAIT) => LONG_CATALOG_WATCH_WAIT,
            Kind::Catalog => CATALOG_WATCH_WAIT,
            Kind::Endpoints if self.lapses.has_lapses() => LAPSED_WATCH_WAIT,
            Kind::Endpoints => ENDPOINTS_WATCH_WAIT,
            Kind::Evacuations => self
                .dispatcher
                .settings
                .evacuation_bound
                .map_or(OTHER_WATCH_WAIT, |bound| bound.mul_f64(EVACUATIONS_WAIT_SHARE)),
            Kind::Rollouts | Kind::Instances | Kind::Quarantine => OTHER_WATCH_WAIT,
        }
    }

    /// Records a successful call, and logs it if the store was lost before.
    fn record_success(&mut self) {
        self.failures = 0;
        if let Some(since) = self.lost_since.take() {
            tracing::info!(kind = ?self.kind, after_ms = clock::millis(clock::now().saturating_sub(since)), "store regained");
        }
    }

    /// Removes lapsed endpoints that did not register again in time.
    fn expire_lapses(&mut self) {
        for lapse in self.lapses.expire(clock::now()) {
            if self.dispatcher.remove_lapsed_endpoint(&lapse.id, lapse.since) {
                self.lapses.record_removed(lapse.id);
            }
        }
    }
}
