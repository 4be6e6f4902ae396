//! Paces of endpoints, learned from the runs of all instances.
//!
//! An endpoint's own observations and what was learned of it belong to its entry among the
//! known endpoints. They are discarded when it restarts, since a restarted endpoint gets a new
//! entry, and reports about its earlier start have another hash.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IteratorRandom;
use route::relay::pace::{self, Assessment, Learned, Member, Noise, Observations, Usual};

use super::{BaselineKey, Fleet, Key, Server};
use crate::{clock, dispatcher::Dispatcher, settings::Capacity};

/// Time between assessments. Reports of other instances arrive at the same pause.
const ASSESSMENT_INTERVAL: Duration = Duration::from_millis(250);

/// Number of reports after which an assessment lets other tasks run. A fleet of 300 instances and 60
/// endpoints has 18,000 of them.
const REPORTS_PER_STEP: usize = 2_000;

/// Prompt processing that is pending at an endpoint, as a multiple of the run's own time, above
/// which the run's time shows the wait rather than the endpoint's pace.
const MAX_BACKLOG_SHARE: f64 = 0.25;

/// Number of observations from which an endpoint is reported to other instances.
const MIN_REPORTED_COUNT: f64 = 0.1;

/// Maximum number of usual ratios by team; further teams share one for each kind of run.
const MAX_USUAL_RATIOS: usize = 1_024;

/// Multiple of the expected time from which a run without an answer shows that its endpoint is
/// slow. One that breaks off sooner shows a fault.
const MIN_MISSING_RATIO: f64 = 3.0;

/// Ratios are limited to this factor, so that a run of no measurable time is no outlier.
const MAX_RATIO: f64 = 20.0;

/// What is known of the endpoints' paces, besides what belongs to a single endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Paces {
    usual: HashMap<UsualKey, Usual>,
    services: HashMap<String, ServicePaces>,
    /// Observations that other instances reported, by the hashes of the endpoint's start and of
    /// the instance.
    reports: HashMap<u32, HashMap<u32, Observations>>,
}

/// Kind of run whose usual ratio is learned.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct UsualKey {
    kind: BaselineKey,
    /// Hash of the team's name; `None` for all teams that have no ratio of their own. One team
    /// may always send more work than it declares, and to the same endpoint.
    team: Option<u32>,
}

#[derive(Debug, Clone, Default)]
struct ServicePaces {
    noise: Noise,
    differs: bool,
}

/// What a run's time is compared with to learn the endpoint's pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PaceReference {
    /// Pace of the endpoint by which the run was placed.
    pub pace: f64,
    /// Expected time at an average endpoint, in milliseconds.
    expected_ms: f64,
    /// Number of runs at the endpoint, this one included, as a fraction of its declared slots.
    load: f64,
    /// Whether the run was expected to wait, so that its time does not show the pace.
    waits: bool,
    /// Whether the run counts already, as one without an answer.
    pub is_counted: bool,
}

/// An instance's observations of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceReport {
    /// Hash of the endpoint's name and start.
    pub start: u32,
    /// The observations.
    pub observations: Observations,
}

impl Server {
    /// Returns what a run that is placed now is compared with. `expected_ms` is its expected time
    /// at an average endpoint, and `first_byte_ms` that at an idle one.
    pub(super) fn pace_reference(&self, expected_ms: f64, first_byte_ms: f64, now: Duration) -> PaceReference {
        let backlog_ms = self.backlog_ms + self.announced_backlog.left_ms(now) + self.peer_load.backlog_ms;
        let load = (f64::from(self.runs) + self.peer_load.runs + 1.0) / f64::from(self.endpoint.slots.max(1));
        let waits = load > 1.0 || self.full_until > now || backlog_ms > MAX_BACKLOG_SHARE * first_byte_ms;
        PaceReference { pace: self.learned.pace.unwrap_or(1.0), expected_ms, load, waits, is_counted: false }
    }

    /// Returns the number of runs that the endpoint serves in the time of an average one's run.
    pub(super) fn effective_slots(&self) -> f64 {
        pace::effective_slots(self.endpoint.slots, self.learned.pace, self.learned.room)
    }

    /// Returns the number of average engines that process prompts as fast as this one.
    pub(super) fn effective_engines(&self) -> f64 {
        1.0 / self.learned.pace.unwrap_or(1.0)
    }
}

impl Fleet {
    /// Whether capacity is learned.
    pub(super) fn learns_capacity(&self) -> bool {
        self.capacity == Capacity::Learned
    }

    /// Adds a run of a team that took `took_ms` milliseconds to the observations of its
    /// endpoint.
    pub(super) fn observe_pace(
        &mut self,
        key: Key,
        reference: &PaceReference,
        kind: BaselineKey,
        team: u32,
        took_ms: f64,
        now: Duration,
    ) {
        if !self.learns_capacity() {
            return;
        }
        let Some(server) = self.servers.get_mut(key) else { return };
        if reference.waits {
            server.observations.hold(now);
            return;
        }
        let ratio_log = (took_ms / reference.expected_ms.max(1.0)).clamp(MAX_RATIO.recip(), MAX_RATIO).ln();
        let service = kind.latency.service.clone();
        let log = self.paces.usual(kind, team).observe(ratio_log, server.learned.log);
        self.paces.services.entry(service).or_default().noise.observe(log, server.learned.log);
        server.observations.observe(log, reference.load, now);
    }
}

impl Fleet {
    /// Adds a run that ended without an answer after `took_ms` milliseconds, if that is several
    /// times as long as expected.
    ///
    /// The run of an endpoint that is many times slower is given up before its answer begins, so
    /// that without these runs the slowest endpoints would be the only ones whose pace is not
    /// learned.
    pub(super) fn observe_missing_answer(
        &mut self,
        key: Key,
        reference: &PaceReference,
        kind: BaselineKey,
        team: u32,
        took_ms: f64,
        now: Duration,
    ) {
        if took_ms > MIN_MISSING_RATIO * reference.expected_ms * reference.pace {
            self.observe_pace(key, reference, kind, team, took_ms, now);
        }
    }
}

impl Paces {
    /// Returns the usual ratio of a team's runs of a kind.
    fn usual(&mut self, kind: BaselineKey, team: u32) -> &mut Usual {
        let key = UsualKey { kind, team: Some(team) };
        let is_full = self.usual.len() >= MAX_USUAL_RATIOS && !self.usual.contains_key(&key);
        let key = if is_full { UsualKey { team: None, ..key } } else { key };
        self.usual.entry(key).or_default()
    }

    /// Returns the pooled observations of an endpoint. Forgets reports that count no more.
    fn pool(&mut self, own: &Observations, start: u32, now: Duration) -> Observations {
        let Some(reports) = self.reports.get_mut(&start) else { return own.at(now) };
        reports.retain(|_, report| {
            *report = report.at(now);
            is_relevant(report)
        });
        let reports: Vec<Observations> = reports.values().copied().collect();
        own.pooled(&reports, now)
    }
}

/// Assesses the endpoints' paces at regular intervals; never returns. A task of its own, since a
/// request must not wait until the reports of all instances are pooled, and since an instance
/// without requests must forget reports as well.
pub async fn assess_regularly(dispatcher: Arc<Dispatcher>) {
    loop {
        dispatcher.assess_paces().await;
        tokio::time::sleep(ASSESSMENT_INTERVAL).await;
    }
}

impl Fleet {
    /// Forgets reports on endpoints that are not known any more, and returns the known ones by
    /// service.
    fn begin_assessment(&mut self) -> Vec<(String, Vec<Key>)> {
        let Self { by_hash, paces, servers, .. } = self;
        paces.reports.retain(|start, _| by_hash.contains_key(start));
        let mut services: HashMap<&str, Vec<Key>> = HashMap::new();
        for (key, server) in &*servers {
            services.entry(&server.endpoint.service).or_default().push(key);
        }
        services.into_iter().map(|(service, keys)| (service.to_owned(), keys)).collect()
    }

    /// Pools the observations of the first of the endpoints, and returns them and the others.
    fn pool_some<'a>(&mut self, keys: &'a [Key], now: Duration) -> (Vec<(Key, Member)>, &'a [Key]) {
        let (mut members, mut pooled) = (Vec::new(), 0);
        for (index, key) in keys.iter().enumerate() {
            if pooled >= REPORTS_PER_STEP {
                return (members, &keys[index..]);
            }
            let Some(server) = self.servers.get(*key) else { continue };
            pooled += 1 + self.paces.reports.get(&server.hash).map_or(0, HashMap::len);
            let observations = self.paces.pool(&server.observations, server.hash, now);
            members.push((*key, Member { observations, slots: server.endpoint.slots }));
        }
        (members, &[])
    }

    /// Assesses the endpoints of a service by their pooled observations.
    fn assess_service(&mut self, service: &str, members: Vec<(Key, Member)>) {
        let (keys, members): (Vec<Key>, Vec<Member>) = members.into_iter().unzip();
        let paces = self.paces.services.entry(service.to_owned()).or_default();
        let Assessment { differs, learned } = pace::assess(&members, paces.noise.variance(), paces.differs);
        if differs != paces.differs {
            paces.differs = differs;
            let (fastest, slowest) = range(&learned);
            if differs {
                tracing::info!(service, fastest, slowest, "endpoints differ in pace, requests are divided by it");
            } else {
                tracing::info!(service, fastest, slowest, "endpoints no longer differ in pace");
            }
        }
        record_metrics(service, &learned);
        for (key, learned) in keys.iter().zip(learned) {
            if let Some(server) = self.servers.get_mut(*key) {
                let (before, pace) = (server.learned.pace.unwrap_or(1.0), learned.pace.unwrap_or(1.0));
                server.slowness.value = pace::unexplained_slowness(server.slowness.value, before, pace);
                server.learned = learned;
            }
        }
    }
}

impl Dispatcher {
    /// Assesses the endpoints' paces by the observations of all instances. Other tasks run
    /// between its steps.
    pub async fn assess_paces(&self) {
        if self.settings.policies.capacity != Capacity::Learned {
            return;
        }
        let services = self.lock().fleet.begin_assessment();
        for (service, keys) in services {
            let (mut members, mut rest) = (Vec::with_capacity(keys.len()), keys.as_slice());
            while !rest.is_empty() {
                let pooled = self.lock().fleet.pool_some(rest, clock::now());
                members.extend(pooled.0);
                rest = pooled.1;
                tokio::task::yield_now().await;
            }
            self.lock().fleet.assess_service(&service, members);
        }
    }

    /// Returns the number of runs that an endpoint serves in the time of an average one's run: its
    /// slots, or fewer where more only make all of them slower, by its pace. Without learned
    /// capacity these are its declared slots. 0 if the endpoint is not known.
    #[must_use]
    pub fn effective_slots(&self, key: Key) -> f64 {
        self.lock().fleet.servers.get(key).map_or(0.0, Server::effective_slots)
    }

    /// Returns the sum of [`Dispatcher::effective_slots`] over the endpoints of a service that are
    /// in service.
    #[must_use]
    pub fn service_slots(&self, service: &str) -> f64 {
        let now = clock::now();
        let state = self.lock();
        state.fleet.in_service(service, now).map(Server::effective_slots).sum()
    }

    /// Returns this instance's observations of up to `max` endpoints, drawn at random if it has
    /// observed more recently. Empty unless capacity is learned.
    #[must_use]
    pub fn own_paces(&self, max: usize) -> Vec<PaceReport> {
        if self.settings.policies.capacity != Capacity::Learned {
            return Vec::new();
        }
        let now = clock::now();
        let state = self.lock();
        let report = |server: &Server| PaceReport { start: server.hash, observations: server.observations.at(now) };
        let reports = state.fleet.servers.values().map(report).filter(|report| is_relevant(&report.observations));
        reports.choose_multiple(&mut rand::rng(), max)
    }

    /// Whether endpoints of any service are known to differ in pace.
    #[must_use]
    pub fn are_paces_in_effect(&self) -> bool {
        self.lock().fleet.servers.values().any(|server| server.learned.pace.is_some())
    }

    /// Applies the observations of another instance, given by the hash of its name and the
    /// address that sent them. Those of instances that are not known to be alive are ignored:
    /// a sender that changes its name would count several times.
    pub fn apply_paces(&self, instance: u32, from: SocketAddr, reports: impl IntoIterator<Item = PaceReport>) {
        let now = clock::now();
        let mut state = self.lock();
        if !state.fleet.learns_capacity() || !state.peers.is_live_at(instance, from, now) {
            return;
        }
        let Fleet { by_hash, paces, .. } = &mut state.fleet;
        for PaceReport { start, observations } in
            reports.into_iter().filter(|report| by_hash.contains_key(&report.start))
        {
            let observations = Observations { updated_at: now, ..observations };
            paces.reports.entry(start).or_default().insert(instance, observations);
        }
    }
}

/// Whether observations still count.
fn is_relevant(observations: &Observations) -> bool {
    observations.pace.count >= MIN_REPORTED_COUNT
        || observations.bands.iter().any(|band| band.count >= MIN_REPORTED_COUNT)
}

/// Returns the fastest and the slowest pace.
fn range(learned: &[Learned]) -> (f64, f64) {
    let paces = learned.iter().map(|learned| learned.log.exp());
    paces.fold((f64::INFINITY, 0.0), |(fastest, slowest), pace| (pace.min(fastest), pace.max(slowest)))
}

fn record_metrics(service: &str, learned: &[Learned]) {
    let in_effect: Vec<f64> = learned.iter().filter_map(|learned| learned.pace).collect();
    let slowest = in_effect.iter().copied().fold(1.0, f64::max);
    let fastest = in_effect.iter().copied().fold(1.0, f64::min);
    #[expect(clippy::cast_precision_loss, reason = "endpoints are far fewer than 2^53")]
    let reduced = learned.iter().filter(|learned| learned.room.is_some()).count() as f64;
    metrics::gauge!("relay_slowest_pace", "service" => service.to_owned()).set(slowest);
    metrics::gauge!("relay_fastest_pace", "service" => service.to_owned()).set(fastest);
    metrics::gauge!("relay_reduced_rooms", "service" => service.to_owned()).set(reduced);
}
