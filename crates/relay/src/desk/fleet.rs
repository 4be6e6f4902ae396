//! Endpoints, their loads and how they have been doing.
//!
//! Loads are this instance's own runs, exact, plus what other instances last
//! said of theirs. How long a run should take to its first byte is learned
//! for each model; an endpoint is slow if it takes longer than its peers for
//! the same. A slow or failing endpoint gets less, which keeps its record from
//! mending, so records fade with time.

mod notices;
mod record;
mod run;

use std::{collections::HashMap, sync::Arc, time::Duration};

use route::relay::{
    canary::{self, Lateness},
    holders::Holders,
    notice::Backlog,
    pace::Pace,
    placement::{self, Candidate, Choice, Wanted},
};
use slotmap::SlotMap;
use world::hash;

use self::record::Record;
pub use self::{
    notices::{Notice, Notices},
    run::{Ended, Run},
};
use super::{
    Desk, State,
    trials::{Arm, Deal, Dealt},
};
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

/// Length of text before a token at which reading it takes twice as long as
/// at the start: attention's part of the work in dense models of about 70
/// billion parameters.
const DOUBLES_AT: f64 = 54_000.0;

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
    paces: HashMap<Work, Pace>,
    usual: HashMap<String, f64>,
    holders: Holders,
}

/// What a pace was learned of: a service and a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Work {
    service: String,
    model: Option<usize>,
}

#[derive(Debug)]
struct Server {
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
    /// Takes an endpoint's registration in.
    pub fn enlist(&self, endpoint: Endpoint) {
        let mut state = self.lock();
        let now = clock::now();
        state.trials.sight(&endpoint.service, &endpoint.version, now);
        let fleet = &mut state.fleet;
        if let Some(server) = fleet.by_name.get(&endpoint.id).and_then(|key| fleet.servers.get_mut(*key)) {
            server.registered = now;
            if *server.endpoint != endpoint {
                tracing::info!(endpoint = endpoint.id, draining = endpoint.draining, "endpoint changed");
                server.endpoint = Arc::new(endpoint);
            }
            return;
        }
        tracing::info!(endpoint = endpoint.id, service = endpoint.service, version = endpoint.version, address = %endpoint.address, "endpoint found");
        let name = endpoint.id.clone();
        let key = fleet.servers.insert(Server::new(endpoint, now));
        fleet.by_name.insert(name, key);
    }

    /// Forgets an endpoint whose registration is gone.
    pub fn delist(&self, id: &str) {
        let fleet = &mut self.lock().fleet;
        if let Some(key) = fleet.by_name.remove(id) {
            fleet.servers.remove(key);
            tracing::info!(endpoint = id, "endpoint gone");
        }
    }

    /// Forgets an endpoint that has not registered since a moment; whether it
    /// did.
    ///
    /// After an outage its registration may come by way of another instance,
    /// while this one still waits for it at the store: to give it up then would
    /// take a living endpoint out of use until it changes once more.
    pub fn delist_lapsed(&self, id: &str, since: Duration) -> bool {
        let is_back = {
            let fleet = &self.lock().fleet;
            let server = fleet.by_name.get(id).and_then(|key| fleet.servers.get(*key));
            server.is_none_or(|server| server.registered > since)
        };
        if !is_back {
            self.delist(id);
        }
        !is_back
    }

    /// Names of all known endpoints.
    #[must_use]
    pub fn enlisted(&self) -> Vec<String> {
        self.lock().fleet.by_name.keys().cloned().collect()
    }

    /// All known endpoints.
    #[must_use]
    pub fn known_endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.lock().fleet.servers.values().map(|server| Arc::clone(&server.endpoint)).collect()
    }

    /// Chooses an endpoint and counts the run there; nothing when none takes it.
    #[must_use]
    pub fn place(self: &Arc<Self>, job: &Job<'_>) -> Option<Run> {
        let now = clock::now();
        let mut state = self.lock();
        let Weighed { key, arm, choice, pace, slow } = state.weigh(job, now, self.settings.exposure)?;
        let units = job_units(job);
        let server = state.fleet.servers.get_mut(key)?;
        let backlog_ms = pace.reading_ms(units);
        server.runs += 1;
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
            arm,
            choice,
            backlog_ms,
            told_ms: if is_told { backlog_ms } else { 0.0 },
            alone_ms: choice.wait_ms.max(0.0) + pace.job_ms(units),
            expected_ms: (choice.wait_ms.max(0.0) + pace.job_ms(units)) * slow,
            work,
            units,
            lateness: Lateness::default(),
            started: now,
        })
    }

    /// Time that a run would take to its first byte if it were placed now, in
    /// milliseconds; nothing when no endpoint takes it.
    #[must_use]
    pub fn expect(&self, job: &Job<'_>) -> Option<f64> {
        let Weighed { choice, pace, slow, .. } = self.lock().weigh(job, clock::now(), self.settings.exposure)?;
        Some((choice.wait_ms.max(0.0) + pace.job_ms(job_units(job))) * slow)
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

impl Job<'_> {
    /// How its shared part is named in notices.
    fn part(&self) -> Option<u32> {
        self.affinity.map(|affinity| u32::try_from(affinity >> 32).unwrap_or_default())
    }
}

/// Where a job would go.
struct Weighed {
    key: Key,
    arm: Arm,
    choice: Choice,
    pace: Pace,
    /// Times of late over those expected, over the service, at least 1: when
    /// all endpoints fall behind, what is expected has to follow, or waiting
    /// requests would be taken for lost ones and sent again on top.
    slow: f64,
}

impl State {
    /// Sums other instances' loads up anew.
    pub(super) fn settle_loads(&mut self, now: Duration) {
        for server in self.fleet.servers.values_mut() {
            server.others = self.peers.load(server.hash, now);
        }
    }

    fn weigh(&self, job: &Job<'_>, now: Duration, exposure: f64) -> Option<Weighed> {
        let pace = self.fleet.pace(job);
        let settled = || {
            let (session, lasts) = (job.session, self.session);
            self.trials.settled(session, now, lasts) || self.peers.settled(session, now, lasts)
        };
        let settled = job.in_session && canary::tries_versions(job.session, exposure) && settled();
        let deal = self.trials.deal(job.service, Dealt { session: job.session, settled, exposure }, now);
        let chosen = self.fleet.eligible(job, &deal, now);
        let mean = |value: &dyn Fn(&Server) -> f64| {
            #[expect(clippy::cast_precision_loss, reason = "endpoints are far fewer than 2^53")]
            let count = chosen.len().max(1) as f64;
            chosen.iter().map(|(_, server)| value(server)).sum::<f64>() / count
        };
        let slow = mean(&|server| server.slowness.now(1.0, now)).max(0.05);
        let late = self.fleet.usual.get(job.service).copied().unwrap_or(1.0);
        let failing = mean(&|server| server.failing.now(0.0, now));
        let holders: Vec<u32> = job.part().map(|part| self.fleet.holders.of(part, now).collect()).unwrap_or_default();
        let mut candidates = Vec::with_capacity(chosen.len());
        for (_, server) in &chosen {
            let holds = holders.contains(&server.hash);
            candidates.push(Candidate { holds, ..server.candidate(&self.peers.domain, slow, failing, now) });
        }
        let wanted = Wanted {
            affinity: job.affinity,
            reread_ms: pace.reading_ms(reading(job, job.shared_tokens, 0)),
            shared_tokens: job.shared_tokens,
            first_ms: pace.job_ms(job_units(job)),
        };
        let choice = placement::choose(&candidates, wanted, job.session ^ u64::try_from(now.as_nanos()).unwrap_or(0))?;
        let (key, server) = chosen[choice.index];
        let arm = deal.arm(&server.endpoint.version);
        Some(Weighed { key, arm, choice, pace, slow: late.max(1.0) })
    }
}

/// Units of reading in a job.
fn job_units(job: &Job<'_>) -> f64 {
    reading(job, job.own_tokens, job.shared_tokens)
}

/// Units of reading tokens after others: as many as the tokens, times the
/// model's size, and more the longer the text before each is.
fn reading(job: &Job<'_>, tokens: u32, after: u32) -> f64 {
    if job.model.is_none() {
        return 0.0;
    }
    let tokens = f64::from(tokens);
    let before = f64::from(after) + tokens / 2.0;
    tokens * (1.0 + before / DOUBLES_AT) * job.size.max(0.01)
}

impl Fleet {
    /// Endpoints that may take a job: those not tried yet, on the version it is
    /// to stay on or was dealt; failing that, tried ones; failing that, any
    /// version but one that must not be met.
    fn eligible(&self, job: &Job<'_>, deal: &Deal, now: Duration) -> Vec<(Key, &Server)> {
        let pool = self.awake(job.service, now);
        let among = |wanted: &dyn Fn(&str) -> bool, untried: bool| -> Vec<(Key, &Server)> {
            let skipped = |key: &Key| untried && job.tried.contains(key);
            pool.iter().filter(|(key, s)| wanted(&s.endpoint.version) && !skipped(key)).copied().collect()
        };
        let mut found = among(&|version| job.version == Some(version) && deal.tolerates(version), true);
        if found.is_empty() {
            found = among(&|version| deal.allows(version), true);
        }
        if found.is_empty() {
            found = among(&|version| deal.allows(version), false);
        }
        if found.is_empty() {
            found = among(&|version| deal.tolerates(version), false);
        }
        found
    }

    /// Endpoints of a service that are not leaving: those that do not rest
    /// after a failure to connect, or all if each of them does.
    fn awake(&self, service: &str, now: Duration) -> Vec<(Key, &Server)> {
        let takes = |server: &Server| server.endpoint.service == service && !server.endpoint.draining;
        let all = || self.servers.iter().filter(|(_, server)| takes(server));
        let awake: Vec<_> = all().filter(|(_, server)| server.rests_until <= now).collect();
        if awake.is_empty() { all().collect() } else { awake }
    }

    fn pace(&self, job: &Job<'_>) -> Pace {
        let work = Work { service: job.service.to_owned(), model: job.model };
        self.paces.get(&work).copied().unwrap_or_else(|| first_guess(job.model))
    }
}

impl Server {
    fn new(endpoint: Endpoint, now: Duration) -> Self {
        let hash = short_hash(&endpoint.id);
        Self {
            endpoint: Arc::new(endpoint),
            hash,
            runs: 0,
            backlog_ms: 0.0,
            told_ms: 0.0,
            others: Load::default(),
            noticed: Backlog::default(),
            slowness: Record { value: 1.0, at: now },
            failing: Record { value: 0.0, at: now },
            misses: 0,
            rests_until: Duration::ZERO,
            full_until: Duration::ZERO,
            heard: Duration::ZERO,
            registered: now,
        }
    }

    fn candidate(&self, domain: &str, slow: f64, failing: f64, now: Duration) -> Candidate<'_> {
        let full = if self.full_until > now { f64::from(self.endpoint.slots).max(FULL_RUNS) } else { 0.0 };
        let slowness = self.slowness.now(1.0, now) / slow;
        Candidate {
            id: &self.endpoint.id,
            slots: self.endpoint.slots,
            runs: f64::from(self.runs) + self.others.runs + full,
            backlog_ms: self.backlog_ms + self.noticed.left_ms(now),
            told_ms: self.others.backlog_ms,
            slowness: if slowness > NOISE { slowness } else { 1.0 },
            failing: (self.failing.now(0.0, now) - NOISE * failing).max(0.0),
            local: self.endpoint.domain == domain,
            holds: false,
        }
    }
}

fn first_guess(model: Option<usize>) -> Pace {
    if model.is_some() { Pace::new(BASE_MS, TOKEN_MS) } else { Pace::new(CALL_MS, 0.0) }
}

/// How an endpoint's name travels in news.
#[must_use]
pub fn short_hash(name: &str) -> u32 {
    u32::try_from(hash::stable(name.as_bytes()) & u64::from(u32::MAX)).unwrap_or_default()
}
