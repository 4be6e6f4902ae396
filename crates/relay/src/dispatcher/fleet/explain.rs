//! What is known of the endpoints of a service when one is selected, and what became of each.

use std::{sync::Arc, time::Duration};

use route::relay::placement::{self, Candidate, Request};

use super::{Exclusion, Job, Key, Run, Server};
use crate::{
    dispatcher::{Dispatcher, rollouts::Assignment},
    source::Endpoint,
};

/// An endpoint, and what is known of it.
#[derive(Debug, Clone)]
pub struct Considered {
    /// Its registration.
    pub endpoint: Arc<Endpoint>,
    /// Number of this instance's runs there.
    pub own_runs: u32,
    /// Number of runs that other instances have reported.
    pub reported_runs: f64,
    /// Mean age of these reports; `None` if there are none.
    pub report_age: Option<Duration>,
    /// Outstanding prompt processing by up-to-date information and by reports, in milliseconds.
    pub backlog_ms: f64,
    /// Number of runs up to which more do not make all of them slower.
    pub room: u32,
    /// Learned time of a run relative to other endpoints; `None` if they are alike or nothing is learned.
    pub pace: Option<f64>,
    /// Whether it is assumed to hold the shared part of the prompt, and the whole prompt.
    pub holds_part: bool,
    /// Whether it is assumed to hold the whole prompt.
    pub holds_prompt: bool,
    /// Time until it is warm; `None` if it is.
    pub warm_in: Option<Duration>,
    /// What became of it.
    pub standing: Standing,
}

/// What became of an endpoint at a selection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// It takes no requests from this instance now.
    Excluded(Exclusion),
    /// It is in backoff after failed connections, for a time.
    InBackoff(Duration),
    /// It has a version to which the request is not assigned.
    OtherVersion,
    /// Its memory has no room for the request, and another engine's has.
    NoMemory,
    /// It is not among those drawn from a large service.
    NotSampled,
    /// It was a candidate.
    Candidate {
        /// Wait by which candidates are compared, in milliseconds.
        cost_ms: f64,
        /// Whether it was compared by all that is known; otherwise it counts only as a holder or by
        /// the hash of a shared part.
        is_compared: bool,
    },
}

/// What becomes of the endpoints of a service at a selection.
#[derive(Debug, Default)]
pub struct Survey {
    /// The endpoints, by name.
    pub endpoints: Vec<Considered>,
    /// Whether the candidates were drawn at random from a large service.
    pub is_sampled: bool,
}

/// What a selection has considered.
#[derive(Debug, Default)]
pub(super) struct Observed {
    /// Whether the eligible endpoints were drawn from a large service.
    pub is_sampled: bool,
    assignment: Option<Assignment>,
    /// Endpoints that may run the job, before a look at their memory.
    eligible: Vec<Key>,
    candidates: Vec<Weighed>,
}

#[derive(Debug)]
struct Weighed {
    key: Key,
    cost_ms: f64,
    is_compared: bool,
}

impl Observed {
    /// Records to which version the request is assigned, and the endpoints that may run it.
    pub fn record_eligible(&mut self, assignment: Assignment, eligible: &[(Key, &Server)]) {
        self.assignment = Some(assignment);
        self.eligible = eligible.iter().map(|(key, _)| *key).collect();
    }

    /// Records the candidates with their costs.
    pub fn record_candidates(&mut self, chosen: &[(Key, &Server)], candidates: &[Candidate<'_>], request: Request) {
        let weigh = |((key, _), candidate): (&(Key, &Server), &Candidate<'_>)| Weighed {
            key: *key,
            cost_ms: placement::cost_ms(candidate, request),
            is_compared: false,
        };
        self.candidates = chosen.iter().zip(candidates).map(weigh).collect();
    }

    /// Records the places of the candidates that were compared.
    pub fn mark_compared(&mut self, places: &[usize]) {
        for place in places {
            self.candidates[*place].is_compared = true;
        }
    }

    /// Returns what became of an endpoint that takes requests. In backoff it takes part only if all
    /// endpoints are.
    fn standing(&self, key: Key, server: &Server, now: Duration) -> Standing {
        if let Some(weighed) = self.candidates.iter().find(|weighed| weighed.key == key) {
            return Standing::Candidate { cost_ms: weighed.cost_ms, is_compared: weighed.is_compared };
        }
        if self.eligible.contains(&key) {
            return Standing::NoMemory;
        }
        if server.backoff_until > now {
            return Standing::InBackoff(server.backoff_until.saturating_sub(now));
        }
        let is_assigned = self.assignment.as_ref().is_none_or(|assignment| assignment.allows(&server.endpoint.version));
        if is_assigned { Standing::NotSampled } else { Standing::OtherVersion }
    }
}

impl Run {
    /// Returns when the run was placed.
    pub(crate) fn started(&self) -> Duration {
        self.started
    }
}

impl Dispatcher {
    /// Returns the endpoints of a job's service, by name, and what becomes of each if
    /// [`Dispatcher::place`] is called at a moment. What is out of date is recomputed first, so this is
    /// called for a copy of the state.
    pub(crate) fn considered_endpoints(&self, job: &Job<'_>, now: Duration) -> Survey {
        let mut state = self.lock();
        self.update_shares(&mut state, now);
        state.fleet.refresh_pool(job.service, &self.settings.domain, now);
        let mut observed = Observed::default();
        let _ = state.select_observed(job, now, &self.settings, Some(&mut observed));
        let fleet = &state.fleet;
        let (holders, holders_of_whole) = (fleet.holders_of(job.affinity, now), fleet.holders_of(job.whole, now));
        let consider = |(key, server): (Key, &Server)| {
            let exclusion = fleet.exclusion(server, now);
            Considered {
                endpoint: server.endpoint(),
                own_runs: server.runs,
                reported_runs: server.peer_load.runs,
                report_age: server.rotation.reported_at.map(|at| now.saturating_sub(at)),
                backlog_ms: server.backlog_ms + server.announced_backlog.left_ms(now) + server.peer_load.backlog_ms,
                room: server.learned.room.unwrap_or(server.endpoint.slots),
                pace: server.learned.pace,
                holds_part: holders.contains(&server.hash),
                holds_prompt: holders_of_whole.contains(&server.hash),
                warm_in: Some(server.warm_at.saturating_sub(now)).filter(|left| !left.is_zero()),
                standing: exclusion.map_or_else(|| observed.standing(key, server, now), Standing::Excluded),
            }
        };
        let of_service = fleet.servers.iter().filter(|(_, server)| server.endpoint.service == job.service);
        let mut endpoints: Vec<Considered> = of_service.map(consider).collect();
        endpoints.sort_by(|a, b| a.endpoint.id.cmp(&b.endpoint.id));
        Survey { endpoints, is_sampled: observed.is_sampled }
    }
}
