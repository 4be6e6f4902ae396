//! Endpoints, their loads and how they have been doing.
//!
//! Loads are this instance's own runs, exact, plus what other instances last
//! said of theirs. How long a run should take to its first byte is learned
//! for each model; an endpoint is slow if it takes longer than its peers for
//! the same. A slow or failing endpoint gets less, which keeps its record from
//! mending, so records fade with time.

mod caches;
mod limits;
mod notices;
mod pool;
mod record;
mod registry;
mod run;
mod weigh;

use std::{collections::HashMap, sync::Arc, time::Duration};

use route::relay::{
    canary::{self, Lateness},
    holders::Holders,
    notice::Backlog,
    pace::Pace,
    placement::Candidate,
    throttle::Throttle,
};
use slotmap::SlotMap;
use world::hash;

pub use self::{
    caches::affinity,
    limits::{Limit, Said},
    notices::{Notice, Notices},
    run::{Ended, Run},
};
use self::{
    record::Record,
    weigh::{Weighed, job_units},
};
use super::{Desk, State, crashes::Unfinished, trials::Arm};
use crate::{clock, source::Endpoint};

slotmap::new_key_type! {
    /// A known endpoint.
    pub struct Key;
}

/// Runs added to the load of an endpoint that was full.
const FULL_RUNS: f64 = 2.0;

/// First guess of a prompt token's reading time in the largest model, in
/// milliseconds.
const TOKEN_MS: f64 = 0.03;

/// First guess of the time to a first byte besides reading, in milliseconds.
const BASE_MS: f64 = 15.0;

/// First guess of a plain call's time, in milliseconds.
const CALL_MS: f64 = 50.0;

/// Part of an endpoint's record, times the endpoints' mean, that is noise.
const NOISE: f64 = 1.6;

/// Endpoints and what was learned of them.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: SlotMap<Key, Server>,
    by_name: HashMap<String, Key>,
    /// By the hash that news and notices name them by.
    by_hash: HashMap<u32, Key>,
    /// Counts endpoints that have come or gone.
    revision: u64,
    pools: HashMap<String, pool::Pool>,
    paces: HashMap<Work, Pace>,
    usual: HashMap<String, f64>,
    holders: Holders,
    limited: limits::Limited,
}

/// What a pace was learned of: a service and a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Work {
    service: String,
    model: Option<usize>,
}

#[derive(Debug)]
pub(super) struct Server {
    endpoint: Arc<Endpoint>,
    hash: u32,
    runs: u32,
    backlog_ms: f64,
    /// Part of it that the other instances were told of at once.
    told_ms: f64,
    others: Load,
    /// What notices of other instances amount to.
    noticed: Backlog,
    slowness: Record,
    failing: Record,
    misses: u32,
    rests_until: Duration,
    full_until: Duration,
    heard: Duration,
    /// When a registration of it last came.
    registered: Duration,
    /// Runs that were left there without an answer.
    unfinished: Unfinished,
    /// What may be sent there, if it names a limit.
    throttle: Throttle,
}

/// Runs under way at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Their number.
    pub runs: f64,
    /// Prompt reading still owed, in milliseconds.
    pub backlog_ms: f64,
}

/// What is to be run, for choosing an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// The service's name.
    pub service: &'a str,
    /// Index of the model in its ladder.
    pub model: Option<usize>,
    /// That model's cost over the largest one's.
    pub size: f64,
    /// Hash of the longest shared part and the model.
    pub affinity: Option<u64>,
    /// The same of the whole prompt.
    pub whole: Option<u64>,
    /// Tokens up to the end of that part.
    pub shared_tokens: u32,
    /// Further tokens of the prompt.
    pub own_tokens: u32,
    /// What dealing to versions goes by.
    pub session: u64,
    /// Whether that is a caller's session, not just this request.
    pub in_session: bool,
    /// Endpoints tried already.
    pub tried: &'a [Key],
    /// Version to stay on, if any endpoint has it.
    pub version: Option<&'a str>,
}

impl Desk {
    /// Chooses an endpoint and counts the run there; nothing when none takes it.
    #[must_use]
    pub fn place(self: &Arc<Self>, job: &Job<'_>) -> Option<Run> {
        let now = clock::now();
        let mut state = self.lock();
        state.share_limits(now);
        state.fleet.refresh(job.service, &self.settings.domain, now);
        let weighed = state.weigh(job, now, self.settings.exposure)?;
        let (alone_ms, expected_ms) = (weighed.alone_ms(), weighed.expected_ms());
        let Weighed { key, arm, choice, pace, units, source, .. } = weighed;
        let server = state.fleet.servers.get_mut(key)?;
        let backlog_ms = pace.reading_ms(units);
        server.runs += 1;
        server.throttle.spend(now);
        server.backlog_ms += backlog_ms;
        let endpoint = Arc::clone(&server.endpoint);
        let is_told = state.tell(key, job, backlog_ms, now);
        if is_told {
            self.noticed.notify_one();
        }
        if job.in_session && arm == Arm::Old && canary::tries_versions(job.session, self.settings.exposure) {
            state.trials.settle(job.session, now, self.settings.session);
        }
        let work = Work { service: job.service.to_owned(), model: job.model };
        Some(Run {
            desk: Arc::clone(self),
            key,
            endpoint,
            source,
            arm,
            choice,
            backlog_ms,
            told_ms: if is_told { backlog_ms } else { 0.0 },
            alone_ms,
            expected_ms,
            work,
            units,
            lateness: Lateness::default(),
            started: now,
            content: None,
        })
    }

    /// Time that a run would take to its first byte if it were placed now, in
    /// milliseconds; nothing when no endpoint takes it.
    #[must_use]
    pub fn expect(&self, job: &Job<'_>) -> Option<f64> {
        let now = clock::now();
        let mut state = self.lock();
        state.share_limits(now);
        state.fleet.refresh(job.service, &self.settings.domain, now);
        Some(state.weigh(job, now, self.settings.exposure)?.expected_ms())
    }

    /// Time that a run takes an idle endpoint to its first byte, in milliseconds.
    #[must_use]
    pub fn expect_idle(&self, job: &Job<'_>) -> f64 {
        self.lock().fleet.pace(job).job_ms(job_units(job))
    }

    /// Loads this instance puts on endpoints, by the hash of their names, but
    /// for the reading that the others were told of at once.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(u32, Load)> {
        let state = self.lock();
        let busy = state.fleet.servers.values().filter(|server| server.runs > 0);
        let untold = |s: &Server| Load { runs: f64::from(s.runs), backlog_ms: (s.backlog_ms - s.told_ms).max(0.0) };
        busy.map(|s| (s.hash, untold(s))).collect()
    }
}

impl Server {
    fn new(endpoint: Endpoint, others: Load, now: Duration) -> Self {
        Self {
            hash: start_hash(&endpoint),
            endpoint: Arc::new(endpoint),
            runs: 0,
            backlog_ms: 0.0,
            told_ms: 0.0,
            others,
            noticed: Backlog::default(),
            slowness: Record { value: 1.0, at: now },
            failing: Record { value: 0.0, at: now },
            misses: 0,
            rests_until: Duration::ZERO,
            full_until: Duration::ZERO,
            heard: Duration::ZERO,
            registered: now,
            unfinished: Unfinished::default(),
            throttle: Throttle::default(),
        }
    }

    /// Hash of its name and start.
    pub(super) fn hash(&self) -> u32 {
        self.hash
    }

    /// As it has registered.
    pub(super) fn endpoint(&self) -> Arc<Endpoint> {
        Arc::clone(&self.endpoint)
    }

    /// Runs that were left there without an answer.
    pub(super) fn unfinished(&mut self) -> &mut Unfinished {
        &mut self.unfinished
    }

    fn candidate(&self, domain: &str, slow: f64, failing: f64, now: Duration) -> Candidate<'_> {
        let full = if self.full_until > now { f64::from(self.endpoint.slots).max(FULL_RUNS) } else { 0.0 };
        let slowness = self.slowness.now(1.0, now) / slow;
        Candidate {
            id: &self.endpoint.id,
            slots: self.endpoint.slots,
            runs: f64::from(self.runs) + self.others.runs + full,
            backlog_ms: self.backlog_ms + self.noticed.left_ms(now),
            old_news_ms: self.others.backlog_ms,
            slowness: if slowness > NOISE { slowness } else { 1.0 },
            failing: (self.failing.now(0.0, now) - NOISE * failing).max(0.0),
            local: self.endpoint.domain == domain,
            holds: false,
            holds_whole: false,
        }
    }
}

fn first_guess(model: Option<usize>) -> Pace {
    if model.is_some() { Pace::new(BASE_MS, TOKEN_MS) } else { Pace::new(CALL_MS, 0.0) }
}

/// How an endpoint travels in news: each of its starts by another number, so that
/// what others say of an earlier one is not taken for this one's.
#[must_use]
pub fn start_hash(endpoint: &Endpoint) -> u32 {
    match endpoint.born {
        None => short_hash(&endpoint.id),
        Some(born) => short_hash(&format!("{}/{born}", endpoint.id)),
    }
}

/// How a name travels in news.
#[must_use]
pub fn short_hash(name: &str) -> u32 {
    u32::try_from(hash::stable(name.as_bytes()) & u64::from(u32::MAX)).unwrap_or_default()
}
