//! Keeping what the instance believes in step with the store.
//!
//! Each kind of record is listed, then watched from the listing's revision.
//! No call may stay silent for long, since a connection may do so for good;
//! after any doubt the kind is listed again, because a watch that was cut may
//! have missed changes.

mod intake;
mod lapses;

use std::{sync::Arc, time::Duration};

use route::relay::freshness::{Cadence, Proof};
use tokio::time::{sleep, timeout};

use self::lapses::{Lapses, RETURN};
use crate::{
    clock,
    desk::Desk,
    share, silence,
    source::{Fault, Kind, Progress, Read, Source},
};

/// Longest wait of a watch on the catalog, and so the oldest that the proof of
/// access keys gets while the store answers.
const CATALOG_WAIT: Duration = Duration::from_millis(900);

/// The same while the catalog is too long to be read after each watch: a watch
/// proves a second less than a reading, and shorter ones make up for half of it.
const PROVING_WAIT: Duration = Duration::from_millis(450);

/// Longest wait of a watch on endpoints: one that went silent must be noticed
/// before a leaving endpoint may get no more work.
const ENDPOINTS_WAIT: Duration = Duration::from_millis(1_200);

/// Longest wait of a watch on roll-outs; other instances tell of them sooner.
const ROLLOUTS_WAIT: Duration = Duration::from_secs(4);

/// First and longest wait after a call that failed.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));

/// Longest wait between looks for a lost store of an instance that will hear
/// of its return from others: each look is paid for, by every instance.
const LOOK: Duration = Duration::from_millis(1_500);

/// Looks for a lost store of a large fleet, over all of it: an instance a pause of this
/// times the instances. Those that look first are heard of sooner than a look brings.
const LOOK_EACH: Duration = Duration::from_millis(20);

/// The same while another instance keeps it in step.
const LED_LOOK: Duration = Duration::from_secs(4);

/// Outage of the store after which a missing endpoint may only have lapsed.
const OUTAGE: Duration = Duration::from_secs(1);

/// Pause after a watch that brought changes to endpoints. Servers start, crash
/// and leave by the dozen within seconds; one call for each of them is paid
/// for, while a leaving one may get work for seconds.
const TOGETHER: Duration = Duration::from_millis(150);

/// Wait of a watch while lapsed endpoints have still to register again.
const LAPSED_WAIT: Duration = Duration::from_millis(300);

/// Time after its first listing in which an instance expects to meet others
/// that keep it in step: at 74 instances a round of news takes 1.25 s, and a
/// question 0.35 s. When a whole fleet starts, each instance watching by itself
/// until then made half of the calls of its start.
const MEETING: Duration = Duration::from_secs(2);

/// The same of an instance that ranks among those that watch the store: until
/// it has heard of others, by a round of greetings, each seems to.
const RANKING: Duration = Duration::from_millis(700);

/// Longest rest before a look whether somebody still keeps this one in step.
const REST: Duration = Duration::from_millis(200);

/// Least time between readings that other instances' word brings about.
const APART: Duration = Duration::from_millis(300);

/// Follows one kind for good.
pub async fn follow(desk: Arc<Desk>, source: Arc<dyn Source>, kind: Kind) {
    let progress = if kind == Kind::Catalog { desk.catalog_progress() } else { Arc::default() };
    let mut follower = Follower {
        desk,
        source,
        kind,
        progress,
        cadence: Cadence::default(),
        revision: None,
        listed: false,
        lost_since: None,
        last_lost: Duration::ZERO,
        failures: 0,
        lapses: Lapses::default(),
        first_listed: None,
        pause: None,
        has_left_look: false,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    desk: Arc<Desk>,
    source: Arc<dyn Source>,
    kind: Kind,
    progress: Arc<Progress>,
    /// How often the catalog may be read.
    cadence: Cadence,
    revision: Option<u64>,
    listed: bool,
    lost_since: Option<Duration>,
    last_lost: Duration,
    failures: u32,
    lapses: Lapses,
    first_listed: Option<Duration>,
    /// Pause before the next call.
    pause: Option<Duration>,
    /// Whether the first look for a doubted store was left to others.
    has_left_look: bool,
}

impl Follower {
    async fn step(&mut self) {
        if self.listed && self.desk.led() {
            self.rest().await;
            return;
        }
        if self.listed && (self.meeting() || self.waits_for_catalog()) {
            self.expire();
            if self.kind == Kind::Catalog {
                // What was read before the wait proves little by now.
                self.revision = None;
            }
            sleep(REST).await;
            return;
        }
        if self.leaves_first_look() {
            self.expire();
            sleep(LOOK.mul_f64(rand::random())).await;
            return;
        }
        if let Some(pause) = self.pause.take() {
            sleep(pause).await;
        }
        let asked = clock::now();
        let result = match self.revision {
            None => self.list(self.first_read(), asked).await,
            Some(from) => self.watch(from, asked).await,
        };
        self.expire();
        let Err(fault) = result else {
            self.note_touch(true);
            self.regained();
            return;
        };
        self.note_touch(false);
        self.revision = None;
        if matches!(fault, Fault::Compacted | Fault::Unreadable) {
            tracing::info!(kind = ?self.kind, %fault, "listing again");
            return;
        }
        if self.lost_since.is_none() {
            tracing::warn!(kind = ?self.kind, %fault, "store lost");
            self.lost_since = Some(asked);
        }
        let wait = if self.desk.looks_first() {
            self.backoff(BACKOFF.1)
        } else {
            LOOK.max(LOOK_EACH * u32::try_from(self.desk.members()).unwrap_or(u32::MAX))
        };
        self.note_failed(clock::now());
        sleep(wait.mul_f64(0.7 + 0.6 * rand::random::<f64>())).await;
    }

    /// Wait after the calls that have failed in a row.
    fn backoff(&self, longest: Duration) -> Duration {
        BACKOFF.0.saturating_mul(2_u32.saturating_pow(self.failures.min(8))).min(longest)
    }

    /// Whether others that could keep this instance in step have had no time
    /// to be met, or to see that this one is to keep them in step.
    fn meeting(&self) -> bool {
        let Some(since) = self.first_listed.map(|first| clock::now().saturating_sub(first)) else { return false };
        since < RANKING || (since < MEETING && !self.desk.watches_store())
    }

    /// Whether a store that is lost or doubted is left to the catalog's follower to
    /// look for: the kinds are lost and regained together, and each look is paid for.
    fn waits_for_catalog(&self) -> bool {
        let is_lost = self.lost_since.is_some() && !self.desk.touched();
        self.kind != Kind::Catalog && (is_lost || self.desk.doubts_store())
    }

    /// Whether a store that others seem to have lost is left to them for a moment:
    /// all of a fleet hear of it at once, and mostly it is lost to all.
    fn leaves_first_look(&mut self) -> bool {
        let doubts = self.kind == Kind::Catalog && self.desk.doubts_store() && !self.desk.looks_first();
        let is_first = doubts && !self.has_left_look;
        self.has_left_look = doubts;
        is_first
    }

    /// While another instance keeps this one in step there is nothing to ask
    /// the store, but for what that one cannot tell.
    async fn rest(&mut self) {
        self.revision = None;
        self.expire();
        self.lapses.leave();
        let asked_for = timeout(REST, self.desk.wanted(self.kind)).await.is_ok();
        let wanted = asked_for && (self.kind != Kind::Catalog || self.desk.behind());
        let asked = clock::now();
        let look = self.kind == Kind::Catalog && !self.desk.touched() && asked > self.last_lost + LED_LOOK;
        // A store that turns this instance away may serve all others, whose news
        // tells of the newer catalog sixteen times a second: without a wait each
        // piece made two more refused calls, a quarter of what a day's calls cost.
        let waits = self.failures > 0 && asked < self.last_lost + self.backoff(LOOK);
        if waits && wanted && self.kind == Kind::Catalog {
            self.copy().await;
            sleep(APART).await;
            return;
        }
        if waits || (!wanted && !look) {
            if asked > self.last_lost + RETURN {
                self.lost_since = None;
            }
            return;
        }
        if wanted && self.kind == Kind::Catalog {
            self.catch_up(asked).await;
        } else {
            self.read_latest(asked).await;
        }
        // Versions in quick succession are read once.
        sleep(APART).await;
    }

    /// Takes a newer catalog over from an instance that has told of it; whether it
    /// did.
    ///
    /// A store that turns this instance away may serve the others. It is asked first
    /// all the same: callers are told of instances that are in touch with it.
    async fn copy(&self) -> bool {
        let Some(teller) = self.desk.teller() else { return false };
        match share::fetch(teller).await {
            Ok(catalog) => self.desk.install(catalog),
            Err(cause) => {
                tracing::info!(%teller, cause, "catalog not copied");
                false
            }
        }
    }

    /// Reads a catalog of which another instance has told.
    ///
    /// A change makes each instance of the fleet read it. A listing of any age
    /// costs a tenth, and in two of three cases it was young enough on a day of
    /// 74 instances; where it shows nothing new, the other instance's copy is taken,
    /// or the latest is read. It proves nothing of access keys. A catalog that takes
    /// long to arrive is not read twice: half a second more without the change, and
    /// a full link.
    async fn catch_up(&mut self, asked: Duration) {
        if self.cadence.is_long() {
            self.read_latest(asked).await;
            if self.failures > 0 {
                self.copy().await;
            }
            return;
        }
        let version = |desk: &Desk| desk.catalog().map(|catalog| catalog.version);
        let before = version(&self.desk);
        match self.list(Read::AnyAge, asked).await {
            Err(fault) => {
                self.not_read(asked, &fault);
                self.copy().await;
            }
            Ok(()) if version(&self.desk) == before => {
                if !self.copy().await {
                    self.read_latest(clock::now()).await;
                }
            }
            Ok(()) => self.regained(),
        }
    }

    async fn read_latest(&mut self, asked: Duration) {
        match self.list(Read::Latest, asked).await {
            Ok(()) => {
                self.note_touch(true);
                self.regained();
            }
            Err(fault) => self.not_read(asked, &fault),
        }
    }

    fn not_read(&mut self, asked: Duration, fault: &Fault) {
        tracing::info!(kind = ?self.kind, %fault, failures = self.failures, "store not read");
        self.note_touch(false);
        self.note_failed(asked);
    }

    /// Notes a call that failed, as of a time.
    fn note_failed(&mut self, at: Duration) {
        self.last_lost = at;
        self.failures += 1;
    }

    /// Tells the desk whether the store answers; the catalog's follower speaks
    /// for all.
    fn note_touch(&self, succeeded: bool) {
        if self.kind == Kind::Catalog {
            self.desk.note_touch(succeeded);
        }
    }

    /// A first listing of endpoints may be old: the watch from its revision, or
    /// whoever keeps this instance in step, brings what came after it.
    fn first_read(&self) -> Read {
        if self.kind == Kind::Endpoints && !self.listed { Read::AnyAge } else { Read::Latest }
    }

    async fn list(&mut self, read: Read, asked: Duration) -> Result<(), Fault> {
        let call = self.source.list(self.kind, read, &self.progress);
        let listing = silence::bounded(&self.progress, Duration::ZERO, call).await?;
        // Before the first catalog an empty listing proves that there is none.
        let shows = !listing.records.is_empty() || self.desk.catalog().is_none();
        let proves = self.kind == Kind::Catalog && read == Read::Latest && shows;
        if self.kind == Kind::Catalog {
            self.cadence.note(self.progress.transfer(), clock::now());
            self.desk.note_narrow(self.cadence.is_long());
        }
        self.take_all(listing);
        if proves {
            self.desk.renew(asked, Proof::Read);
        }
        Ok(())
    }

    async fn watch(&mut self, from: u64, asked: Duration) -> Result<(), Fault> {
        let wait = self.watch_wait(asked);
        let call = self.source.watch(self.kind, from, wait, &self.progress);
        let batch = silence::bounded(&self.progress, wait, call).await?;
        self.take_batch(batch);
        if self.kind == Kind::Catalog {
            self.desk.renew(asked, Proof::Quiet);
            // A quiet watch proves little: it may have been deaf. A read after
            // each keeps the proof young enough for callers to be served for
            // three fifths of the bound once the store is lost; where a long
            // catalog is not read after each, a third is left.
            if self.cadence.is_due(clock::now()) {
                self.revision = None;
            }
        }
        Ok(())
    }

    /// How long a watch that begins at `asked` may be quiet.
    fn watch_wait(&self, asked: Duration) -> Duration {
        match self.kind {
            Kind::Catalog if !self.cadence.is_due(asked + CATALOG_WAIT) => PROVING_WAIT,
            Kind::Catalog => CATALOG_WAIT,
            Kind::Endpoints if self.lapses.waits() => LAPSED_WAIT,
            Kind::Endpoints => ENDPOINTS_WAIT,
            Kind::Rollouts | Kind::Instances | Kind::Quarantine => ROLLOUTS_WAIT,
        }
    }

    fn regained(&mut self) {
        self.failures = 0;
        if let Some(since) = self.lost_since.take() {
            tracing::info!(kind = ?self.kind, after_ms = clock::millis(clock::now().saturating_sub(since)), "store regained");
        }
    }

    fn expire(&mut self) {
        for lapse in self.lapses.expire(clock::now()) {
            if self.desk.delist_lapsed(&lapse.id, lapse.since) {
                self.lapses.gone(lapse.id);
            }
        }
    }
}
