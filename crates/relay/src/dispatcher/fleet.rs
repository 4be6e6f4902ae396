//! Endpoints, their loads, and how fast and reliable they are.
//!
//! The load of an endpoint is the exact load of this instance's own runs plus
//! the loads that other instances last reported. The expected time to the first
//! byte is learned for each service and model; an endpoint is slow if it takes
//! longer than its peers for the same work. A slow or failing endpoint gets fewer
//! runs and so fewer chances to improve its statistics, so these decay with time.

mod answers;
mod caches;
mod decaying_mean;
mod departures;
mod exclusion;
mod explain;
mod interruptions;
mod limits;
mod memory;
mod notices;
mod output_times;
mod paces;
mod pauses;
mod pool;
mod reachability;
mod registry;
mod rejections;
mod rotation;
mod run;
mod selection;
mod stated;
mod supply;
mod warmup;
mod withdrawals;

use std::{collections::HashMap, sync::Arc, time::Duration};

use route::relay::{
    canary::{self, Baseline},
    engine_memory::MeanRun,
    holders::Prefixes,
    latency,
    notice::Backlog,
    pace::{Learned, Observations},
    placement::Candidate,
    reachability::Reachability,
    throttle::Throttle,
};
use slotmap::SlotMap;
use world::hash;

pub use self::{
    caches::affinity,
    exclusion::Exclusion,
    explain::{Considered, Standing, Survey},
    limits::Limit,
    notices::{Notice, Notices},
    output_times::{ExpectedTimes, Length, OutputKind},
    paces::{PaceReport, assess_regularly},
    rejections::RejectionLimit,
    run::{Run, RunOutcome},
    withdrawals::Withdrawal,
};
use self::{
    decaying_mean::DecayingMean,
    selection::{Selection, job_units},
    stated::Stated,
};
use super::{Dispatcher, State, crashes::UnfinishedRuns, evacuations::Evacuations, rollouts::Arm};
use crate::{
    clock,
    settings::{Capacity, Policies},
    source::Endpoint,
};

slotmap::new_key_type! {
    /// Identifies a known endpoint; an endpoint that restarts gets a new key.
    pub struct Key;
}

/// Minimum number of runs added to the load of an endpoint that was full a moment ago. An
/// endpoint with more slots than this gets the number of its slots added.
const MIN_FULL_RUNS: f64 = 2.0;

/// Initial estimate of the time to read a prompt token in the largest model, in
/// milliseconds.
const INITIAL_TOKEN_MS: f64 = 0.03;

/// Initial estimate of the time to the first byte excluding the reading of the prompt, in
/// milliseconds.
const INITIAL_BASE_MS: f64 = 15.0;

/// Initial estimate of the time to the first byte of a call without a model, in milliseconds.
const INITIAL_CALL_MS: f64 = 50.0;

/// Multiple of the endpoints' mean up to which an endpoint's slowness or failure rate counts
/// as noise.
const NOISE_FACTOR: f64 = 1.6;

/// Known endpoints, and statistics about them.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    servers: SlotMap<Key, Server>,
    by_name: HashMap<String, Key>,
    /// Keys by the hash that identifies an endpoint's start in messages of instances.
    by_hash: HashMap<u32, Key>,
    /// Number of changes to the registered endpoints so far.
    revision: u64,
    /// Pools of endpoints by service.
    pools: HashMap<String, pool::Pool>,
    latencies: HashMap<LatencyKey, latency::Estimate>,
    /// Mean ratio of actual to nominal time to the first byte, by service. The nominal time is
    /// the expected time if no endpoint were late.
    usual_lateness: HashMap<String, f64>,
    /// Usual times of answers.
    baselines: HashMap<BaselineKey, Baseline>,
    /// Endpoints that cache each prompt part.
    holders: Prefixes,
    /// Answers in progress.
    pub(super) answers: answers::Answers,
    limited: limits::LimitedEndpoints,
    fragile: rejections::FragileServices,
    /// Whether this instance reaches the endpoints, by service; services without a failed
    /// connection are missing.
    reachability: HashMap<String, Reachability>,
    withdrawals: withdrawals::Withdrawals,
    /// What endpoints have stated that have no registration now.
    unregistered: stated::Unregistered,
    /// Failure domains whose endpoints get no new requests.
    pub(super) evacuations: Evacuations,
    /// Endpoints that take only a limited rate until they are warm.
    warming: warmup::WarmingEndpoints,
    /// What the capacity of endpoints is taken from.
    capacity: Capacity,
    /// What is known of the endpoints' paces; empty unless capacity is learned.
    paces: paces::Paces,
    /// Mean number of tokens of a run, by service; empty unless capacity is learned.
    mean_runs: HashMap<String, MeanRun>,
    rotations: rotation::Rotations,
    /// Time per output token of recent streams; empty unless the length of responses is considered.
    output_times: route::relay::answer_length::models::ModelTimes,
}

/// Service and model whose latency is learned.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LatencyKey {
    service: String,
    model: Option<usize>,
}

/// Service, route and model whose usual time is learned.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct BaselineKey {
    latency: LatencyKey,
    route: String,
}

/// A known endpoint with its load and statistics.
#[derive(Debug, Clone)]
pub(super) struct Server {
    endpoint: Arc<Endpoint>,
    /// Hash that identifies the endpoint's start in messages of instances.
    hash: u32,
    /// Short hash of its service's name.
    service_hash: u32,
    /// Number of this instance's runs there.
    runs: u32,
    /// Prompt reading that is pending for this instance's runs, in milliseconds.
    backlog_ms: f64,
    /// Part of `backlog_ms` that was announced to the other instances by notices.
    announced_ms: f64,
    /// Load that the other instances last reported.
    peer_load: Load,
    /// Prompt reading that notices of other instances announced.
    announced_backlog: Backlog,
    /// Ratio of actual to nominal time to the first byte, relative to the service's mean.
    slowness: DecayingMean,
    /// Share of runs that failed.
    failure_rate: DecayingMean,
    /// Failed connections in a row.
    failed_connections: u32,
    /// End of the backoff after failed connections.
    backoff_until: Duration,
    /// Time until which the endpoint counts as full.
    full_until: Duration,
    /// When a run of this instance last received bytes from the endpoint.
    last_received: Duration,
    /// When its registration was last received.
    last_registered: Duration,
    /// Runs that this instance abandoned without an answer.
    unfinished_runs: UnfinishedRuns,
    /// What the endpoint has stated about itself.
    stated: Stated,
    /// When the endpoint is warm.
    warm_at: Duration,
    /// Rate at which this instance may send requests until then.
    warmup_throttle: Throttle,
    /// This instance's observations of its pace.
    observations: Observations,
    /// What all instances' observations say about it.
    learned: Learned,
    /// Tokens of this instance's runs there.
    memory_tokens: u64,
    rotation: rotation::Place,
}

/// Load of the runs at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Number of runs.
    pub runs: f64,
    /// Prompt reading that is still pending, in milliseconds.
    pub backlog_ms: f64,
}

/// Properties of a request by which an endpoint is chosen for it.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Index of the model in its ladder; `None` for a call without a model.
    pub model: Option<usize>,
    /// Cost of the model as a fraction of the largest model's.
    pub size: f64,
    /// Hash of the model and the longest part of the prompt that is shared with other requests.
    pub affinity: Option<u64>,
    /// Hash of the model and the whole prompt.
    pub whole: Option<u64>,
    /// Number of tokens up to the end of the shared part.
    pub shared_tokens: u32,
    /// Number of tokens after the shared part.
    pub own_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// Key by which requests are assigned to versions: the session's, or the request's own.
    pub session: u64,
    /// Whether `session` stands for a caller's session and not only for this request.
    pub in_session: bool,
    /// Endpoints that were tried already.
    pub tried: &'a [Key],
    /// Endpoints that may not get it, some of those that were tried.
    pub barred: &'a [Key],
    /// Version to stay on, if an endpoint of it is available.
    pub version: Option<&'a str>,
}

impl Dispatcher {
    /// Chooses an endpoint and counts a run there. Returns `None` if no endpoint accepts the job.
    #[must_use]
    pub fn place(self: &Arc<Self>, job: &Job<'_>) -> Option<Run> {
        let now = clock::now();
        let mut state = self.lock();
        self.update_shares(&mut state, now);
        state.fleet.refresh_pool(job.service, &self.settings.domain, now);
        let selection = state.select_endpoint(job, now, &self.settings)?;
        let (nominal_ms, expected_ms) = (selection.nominal_ms(), selection.expected_ms());
        let reference_ms = selection.reference_ms();
        let Selection { key, arm, choice, latency, units, idle_ms, source, turn, memory_tokens, .. } = selection;
        state.observe_tokens(job, memory_tokens);
        if let Some(turn) = turn {
            state.fleet.take_turn(job.service, &turn);
        }
        let server = state.fleet.servers.get_mut(key)?;
        let backlog_ms = latency.processing_ms(units);
        let first_byte_ms = latency.first_byte_ms(units);
        let pace =
            server.pace_reference(if job.model.is_some() { reference_ms } else { first_byte_ms }, first_byte_ms, now);
        server.memory_tokens += memory_tokens;
        server.stated.guard.record_send(now);
        if server.runs == 0 {
            server.rotation.busy_since = now;
        }
        server.runs += 1;
        server.stated.throttle.take_token(now);
        server.take_token_while_warming(now);
        server.take_token_while_returning(now);
        server.backlog_ms += backlog_ms;
        let endpoint = Arc::clone(&server.endpoint);
        let is_announced = state.queue_notice(key, job, backlog_ms, now);
        if is_announced {
            self.notices_ready.notify_one();
        }
        let is_in_trial_group = || canary::is_in_trial_group(job.session, self.settings.max_exposure.max_trial_share());
        let old_session = (job.in_session && arm == Arm::Old && is_in_trial_group()).then_some(job.session);
        if let Some(session) = old_session {
            state.rollouts.begin_old_run(session, now, self.settings.max_session_pause);
        }
        let latency_key = LatencyKey { service: job.service.to_owned(), model: job.model };
        Some(Run {
            dispatcher: Arc::clone(self),
            key,
            endpoint,
            source,
            arm,
            old_session,
            choice,
            backlog_ms,
            announced_ms: if is_announced { backlog_ms } else { 0.0 },
            nominal_ms,
            idle_ms,
            expected_ms,
            latency_key,
            units,
            reference_ms,
            route: job.route.to_owned(),
            is_verdict_due: false,
            started: now,
            began_at: None,
            answer: None,
            shows_sound_parts: false,
            was_interrupted: false,
            work: None,
            pace,
            memory_tokens,
        })
    }

    /// Returns the expected time to the first byte if the job were placed now, in
    /// milliseconds, or `None` if no endpoint accepts it.
    #[must_use]
    pub fn expected_ms(&self, job: &Job<'_>) -> Option<f64> {
        let now = clock::now();
        let mut state = self.lock();
        self.update_shares(&mut state, now);
        state.fleet.refresh_pool(job.service, &self.settings.domain, now);
        Some(state.select_endpoint(job, now, &self.settings)?.expected_ms())
    }

    /// Recomputes this instance's shares of endpoints' rates if they are out of date.
    fn update_shares(&self, state: &mut State, now: Duration) {
        state.update_limit_shares(now);
        state.update_rejection_shares(now);
        state.update_warmups(&self.settings, self.created_at, now);
    }

    /// Returns the expected time to the first byte at an idle endpoint, in milliseconds.
    #[must_use]
    pub fn expected_idle_ms(&self, job: &Job<'_>) -> f64 {
        self.lock().fleet.latency(job).first_byte_ms(job_units(job))
    }

    /// Returns this instance's load on each endpoint, by the hash of the endpoint's start,
    /// without the reading that notices have already announced.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(u32, Load)> {
        let state = self.lock();
        let busy = state.fleet.servers.values().filter(|server| server.runs > 0);
        let unannounced =
            |s: &Server| Load { runs: f64::from(s.runs), backlog_ms: (s.backlog_ms - s.announced_ms).max(0.0) };
        busy.map(|s| (s.hash, unannounced(s))).collect()
    }
}

impl Fleet {
    /// Creates a fleet without endpoints.
    pub(super) fn new(policies: &Policies) -> Self {
        Self { capacity: policies.capacity, ..Self::default() }
    }
}

impl Server {
    fn new(endpoint: Endpoint, peer_load: Load, stated: Stated, now: Duration) -> Self {
        Self {
            hash: start_hash(&endpoint),
            service_hash: short_hash(&endpoint.service),
            endpoint: Arc::new(endpoint),
            runs: 0,
            backlog_ms: 0.0,
            announced_ms: 0.0,
            peer_load,
            announced_backlog: Backlog::default(),
            slowness: DecayingMean { value: 1.0, updated_at: now },
            failure_rate: DecayingMean { value: 0.0, updated_at: now },
            failed_connections: 0,
            backoff_until: Duration::ZERO,
            full_until: Duration::ZERO,
            last_received: Duration::ZERO,
            last_registered: now,
            unfinished_runs: UnfinishedRuns::default(),
            stated,
            warm_at: Duration::ZERO,
            warmup_throttle: Throttle::default(),
            observations: Observations::default(),
            learned: Learned::default(),
            memory_tokens: 0,
            rotation: rotation::Place::default(),
        }
    }

    /// Returns the hash of the endpoint's name and start.
    pub(super) fn hash(&self) -> u32 {
        self.hash
    }

    /// Returns the endpoint's registration.
    pub(super) fn endpoint(&self) -> Arc<Endpoint> {
        Arc::clone(&self.endpoint)
    }

    /// Returns the runs that this instance abandoned there without an answer.
    pub(super) fn unfinished_runs(&mut self) -> &mut UnfinishedRuns {
        &mut self.unfinished_runs
    }

    /// Describes the endpoint for placement, given the service's mean slowness and failure rate.
    fn candidate(&self, domain: &str, mean_slowness: f64, mean_failure_rate: f64, now: Duration) -> Candidate<'_> {
        let full = if self.full_until > now { f64::from(self.endpoint.slots).max(MIN_FULL_RUNS) } else { 0.0 };
        let slowness = self.slowness.value_at(1.0, now) / mean_slowness;
        Candidate {
            id: &self.endpoint.id,
            slots: self.learned.room.unwrap_or(self.endpoint.slots),
            runs: f64::from(self.runs) + self.peer_load.runs + full,
            backlog_ms: self.backlog_ms + self.announced_backlog.left_ms(now),
            reported_backlog_ms: self.peer_load.backlog_ms,
            slowness: if slowness > NOISE_FACTOR { slowness } else { 1.0 },
            pace: self.learned.pace.unwrap_or(1.0),
            excess_failure_rate: (self.failure_rate.value_at(0.0, now) - NOISE_FACTOR * mean_failure_rate).max(0.0),
            local: self.endpoint.domain == domain,
            holds_prefix: false,
            holds_prompt: false,
        }
    }
}

/// Returns the latency estimate that is assumed before any run was observed.
fn initial_latency(model: Option<usize>) -> latency::Estimate {
    if model.is_some() {
        latency::Estimate::new(INITIAL_BASE_MS, INITIAL_TOKEN_MS)
    } else {
        latency::Estimate::new(INITIAL_CALL_MS, 0.0)
    }
}

/// Returns the hash that identifies an endpoint in messages of instances. It differs for
/// each start of the endpoint, so that reports about an earlier start are not attributed to
/// the current one.
#[must_use]
pub fn start_hash(endpoint: &Endpoint) -> u32 {
    match endpoint.started_at_ms {
        None => short_hash(&endpoint.id),
        Some(born) => short_hash(&format!("{}/{born}", endpoint.id)),
    }
}

/// Returns the short hash that stands for a name in messages of instances.
#[must_use]
pub fn short_hash(name: &str) -> u32 {
    u32::try_from(hash::stable(name.as_bytes()) & u64::from(u32::MAX)).unwrap_or_default()
}
