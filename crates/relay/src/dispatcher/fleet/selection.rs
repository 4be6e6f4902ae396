//! Selects the endpoint for a job and estimates the time to its first byte.

use std::{net::SocketAddr, time::Duration};

use route::relay::{
    canary, latency,
    placement::{self, Candidate, Choice, Request},
};

use super::{
    Fleet, Job, Key, LatencyKey, Server, State,
    caches::part_hash,
    explain::Observed,
    initial_latency,
    notices::MIN_ANNOUNCED_PART_TOKENS,
    rotation::{NextTurn, Task},
};
use crate::{
    clock,
    dispatcher::{
        Dispatcher,
        rollouts::{self, Arm, Assignment},
    },
    settings::{Placement, Settings},
};

/// Number of preceding tokens at which reading a token takes twice as long as at the start
/// of the text, because of the share of attention in the work of dense models of about
/// 70 billion parameters.
const READING_TIME_DOUBLING_TOKENS: f64 = 54_000.0;

/// The endpoint selected for a job.
pub(super) struct Selection {
    pub key: Key,
    pub arm: Arm,
    pub choice: Choice,
    pub latency: latency::Estimate,
    /// Usual ratio of actual to nominal time to the first byte in the service, at least 1.
    /// When all endpoints are late, the expected time has to increase, or waiting requests
    /// would count as lost and be sent again, which adds to the load.
    pub usual_lateness: f64,
    /// Prompt reading to do, in units of [`reading_units`]. Includes the shared part unless
    /// it is cached or copied.
    pub units: f64,
    /// Address of the endpoint from which to copy the shared part.
    pub source: Option<SocketAddr>,
    /// Wait for the runs on the endpoint if it is as fast as its peers, in milliseconds.
    pub queue_ms: f64,
    /// Tokens that the run takes of the engine's memory; 0 unless that is limited.
    pub memory_tokens: u64,
    /// Expected time to the first byte if the endpoint had no runs but the prompt backlog that is
    /// known up to date, in milliseconds.
    pub idle_ms: f64,
    /// The rotation after this job, if the endpoint was chosen in turn.
    pub turn: Option<NextTurn>,
}

impl Selection {
    /// Returns the expected time to the first byte if the endpoint is as fast as its peers, in
    /// milliseconds. Unlike the wait by which endpoints are compared, it does not grow with
    /// what was observed of the endpoint, which would excuse a slow version.
    pub fn reference_ms(&self) -> f64 {
        self.queue_ms + self.latency.first_byte_ms(self.units)
    }

    /// Returns the expected time to the first byte if no endpoint were late, in milliseconds.
    pub fn nominal_ms(&self) -> f64 {
        (self.choice.wait_ms + self.latency.first_byte_ms(self.units)).max(0.0)
    }

    /// Returns the expected time to the first byte, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.nominal_ms() * self.usual_lateness
    }
}

impl State {
    /// Selects an endpoint for a job, or returns `None` if none may run it.
    pub(super) fn select_endpoint(&self, job: &Job<'_>, now: Duration, settings: &Settings) -> Option<Selection> {
        self.select_observed(job, now, settings, None)
    }

    /// Selects an endpoint for a job and notes in `observed` which ones were considered.
    pub(super) fn select_observed(
        &self,
        job: &Job<'_>,
        now: Duration,
        settings: &Settings,
        mut observed: Option<&mut Observed>,
    ) -> Option<Selection> {
        let bound = settings.max_exposure;
        let latency = self.fleet.latency(job);
        let settled = || {
            let (session, lifetime) = (job.session, self.session_lifetime);
            self.rollouts.ran_on_old_version(session, now, lifetime)
                || self.peers.ran_on_old_version(session, now, lifetime)
        };
        let settled = job.in_session && canary::is_in_trial_group(job.session, bound.max_trial_share()) && settled();
        let assignment =
            self.rollouts.assign(job.service, rollouts::Request { session: job.session, settled, bound }, now);
        let sample = self.fleet.sample_endpoints(job, &assignment, now);
        let is_sampled = sample.is_some();
        let (mut chosen, mean_slowness, mean_failure_rate) = if let Some((pool, chosen)) = sample {
            (chosen, pool.mean_slowness, pool.mean_failure_rate)
        } else {
            let chosen = self.fleet.eligible(job, &assignment, now);
            let mean_slowness = mean(&chosen, &|server| server.slowness.value_at(1.0, now));
            let mean_failure_rate = mean(&chosen, &|server| server.failure_rate.value_at(0.0, now));
            (chosen, mean_slowness, mean_failure_rate)
        };
        let mean_slowness = mean_slowness.max(0.05);
        let usual_lateness = self.fleet.usual_lateness.get(job.service).copied().unwrap_or(1.0);
        let holders = self.fleet.holders_of(job.affinity, now);
        let holders_of_whole = self.fleet.holders_of(job.whole, now);
        let memory = self.memory_check(job, &holders, &holders_of_whole);
        // Before the choice, which is left early if there is no candidate.
        if let Some(observed) = observed.as_deref_mut() {
            observed.is_sampled = is_sampled;
            observed.record_eligible(assignment.clone(), &chosen);
        }
        let full_holders = memory.as_ref().map(|memory| memory.retain_with_room(&mut chosen)).unwrap_or_default();
        let mut candidates = Vec::with_capacity(chosen.len());
        for (_, server) in &chosen {
            let (holds_prefix, holds_prompt) =
                (holders.contains(&server.hash), holders_of_whole.contains(&server.hash));
            candidates.push(Candidate {
                holds_prefix,
                holds_prompt,
                ..server.candidate(&self.peers.domain, mean_slowness, mean_failure_rate, now)
            });
        }
        let request = Request {
            affinity: job.affinity,
            reprocess_ms: latency.processing_ms(reading_units(job, job.shared_tokens, 0)),
            shared_tokens: job.shared_tokens,
            first_byte_ms: latency.first_byte_ms(job_units(job)),
        };
        let seed = job.session ^ u64::try_from(now.as_nanos()).unwrap_or(0);
        let (mut choice, turn) = match settings.policies.placement {
            Placement::Reported => (placement::choose(&candidates, request, seed)?, None),
            Placement::Balanced => {
                let task = Task { service: job.service, request, seed: self.peers.me };
                let chosen = self.fleet.choose_in_turn(&task, &chosen, &mut candidates, now)?;
                (chosen.0, Some(chosen.1))
            }
        };
        if let Some(observed) = observed {
            let compared = match settings.policies.placement {
                Placement::Reported => placement::compared(&candidates, request, seed),
                Placement::Balanced => (0..candidates.len()).collect(),
            };
            observed.record_candidates(&chosen, &candidates, request);
            observed.mark_compared(&compared);
        }
        let (key, server) = chosen[choice.index];
        let arm = assignment.arm(&server.endpoint.version);
        // Cached parts of another version cannot be used with this version's weights.
        let is_same = |index: &usize| chosen[*index].1.endpoint.version == server.endpoint.version;
        choice.source = choice.source.filter(is_same);
        let Candidate { holds_prefix, holds_prompt, backlog_ms, .. } = candidates[choice.index];
        let source = choice.source.map(|index| chosen[index].1);
        let full_holder = || {
            let of_version = |holder: &&Server| holder.endpoint.version == server.endpoint.version;
            full_holders.into_iter().filter(of_version).min_by_key(|holder| holder.runs)
        };
        let source = source.or_else(|| if holds_prefix || holds_prompt { None } else { full_holder() });
        let source = source.map(|holder| holder.endpoint.address);
        let declared = Candidate { slots: server.endpoint.slots, ..candidates[choice.index] };
        let queue_ms = placement::queue_ms(&declared);
        let memory_tokens = memory.map_or(0, |memory| memory.demand(server).added());
        let is_shared_part_available =
            holds_prefix || source.is_some() || job.shared_tokens < MIN_ANNOUNCED_PART_TOKENS;
        let units = match (holds_prompt, is_shared_part_available) {
            (true, _) => 0.0,
            (false, true) => job_units(job),
            (false, false) => job_units(job) + reading_units(job, job.shared_tokens, 0),
        };
        let usual_lateness = usual_lateness.max(1.0);
        let idle_ms = backlog_ms + latency.first_byte_ms(units);
        Some(Selection {
            key,
            arm,
            choice,
            latency,
            usual_lateness,
            units,
            source,
            queue_ms,
            memory_tokens,
            idle_ms,
            turn,
        })
    }
}

impl Dispatcher {
    /// Whether an endpoint has asked for no more requests, for a while or for good.
    #[must_use]
    pub fn has_withdrawn(&self, key: Key) -> bool {
        let now = clock::now();
        let state = self.lock();
        state.fleet.servers.get(key).is_some_and(|server| server.is_leaving(now) || server.is_paused(now))
    }

    /// Returns the time until an endpoint of a service accepts a request, if none does now
    /// because of rate limits, warm-ups and pauses; `None` if one accepts a request at once or
    /// none is available.
    #[must_use]
    pub fn capacity_wait(&self, service: &str) -> Option<Duration> {
        let now = clock::now();
        let state = self.lock();
        let mut least = None;
        for server in state.fleet.in_service(service, now) {
            if state.fleet.takes_requests(server, now) {
                return None;
            }
            let wait = server.stated.throttle.wait(now).max(server.warmup_wait(now)).max(server.pause_wait(now));
            least = Some(least.map_or(wait, |least: Duration| least.min(wait)));
        }
        least
    }
}

/// Returns the mean of a value over endpoints.
pub(super) fn mean(servers: &[(Key, &Server)], value: &dyn Fn(&Server) -> f64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "endpoints are far fewer than 2^53")]
    let count = servers.len().max(1) as f64;
    servers.iter().map(|(_, server)| value(server)).sum::<f64>() / count
}

/// Returns the units of reading in a job after its shared part.
pub(super) fn job_units(job: &Job<'_>) -> f64 {
    reading_units(job, job.own_tokens, job.shared_tokens)
}

/// Returns the units of reading `tokens` tokens that follow `after` others: one for each
/// token, scaled by the model's size and growing with the number of preceding tokens.
fn reading_units(job: &Job<'_>, tokens: u32, after: u32) -> f64 {
    if job.model.is_none() {
        return 0.0;
    }
    let tokens = f64::from(tokens);
    let before = f64::from(after) + tokens / 2.0;
    tokens * (1.0 + before / READING_TIME_DOUBLING_TOKENS) * job.size.max(0.01)
}

impl Fleet {
    /// Returns the endpoints that may run a job: untried ones of the version it is to stay
    /// on, or else of an assigned version; if there are none, tried ones of an assigned
    /// version; if there are none, any whose version is tolerated. Never barred ones.
    fn eligible(&self, job: &Job<'_>, assignment: &Assignment, now: Duration) -> Vec<(Key, &Server)> {
        let mut pool = self.available(job.service, now);
        pool.retain(|(key, _)| !job.barred.contains(key));
        let among = |wanted: &dyn Fn(&str) -> bool, untried: bool| -> Vec<(Key, &Server)> {
            let skipped = |key: &Key| untried && job.tried.contains(key);
            pool.iter().filter(|(key, s)| wanted(&s.endpoint.version) && !skipped(key)).copied().collect()
        };
        let mut found = among(&|version| job.version == Some(version) && assignment.tolerates(version), true);
        if found.is_empty() {
            found = among(&|version| assignment.allows(version), true);
        }
        if found.is_empty() {
            found = among(&|version| assignment.allows(version), false);
        }
        if found.is_empty() {
            found = among(&|version| assignment.tolerates(version), false);
        }
        found
    }

    /// Returns the endpoints of a service that may get a request now. Those in backoff after a
    /// failed connection are left out, unless all of them are.
    pub(super) fn available(&self, service: &str, now: Duration) -> Vec<(Key, &Server)> {
        let takes = |server: &Server| server.endpoint.service == service && self.takes_requests(server, now);
        let all = || self.servers.iter().filter(|(_, server)| takes(server));
        let available: Vec<_> = all().filter(|(_, server)| server.backoff_until <= now).collect();
        if available.is_empty() { all().collect() } else { available }
    }

    /// Returns the endpoints of a service that are in service and not in backoff.
    pub(super) fn in_service(&self, service: &str, now: Duration) -> impl Iterator<Item = &Server> {
        let is_up = move |server: &&Server| server.endpoint.service == service && server.backoff_until <= now;
        self.servers.values().filter(is_up).filter(move |server| self.is_in_service(server, now))
    }

    /// Returns the learned latency estimate for a job's service and model, or the initial estimate.
    pub(super) fn latency(&self, job: &Job<'_>) -> latency::Estimate {
        let latency_key = LatencyKey { service: job.service.to_owned(), model: job.model };
        self.latencies.get(&latency_key).copied().unwrap_or_else(|| initial_latency(job.model))
    }
}

impl Job<'_> {
    /// Returns the short hash of the job's shared part.
    pub(super) fn part(&self) -> Option<u32> {
        self.affinity.map(part_hash)
    }
}
