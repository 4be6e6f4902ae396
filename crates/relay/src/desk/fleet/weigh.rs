//! Selects the endpoint for a job and estimates the time to its first byte.

use std::{net::SocketAddr, time::Duration};

use route::relay::{
    canary,
    pace::Pace,
    placement::{self, Candidate, Choice, Wanted},
};

use super::{Fleet, Job, Key, Server, State, Work, caches::part_of, first_guess, notices::WORTH_KEEPING};
use crate::desk::trials::{Arm, Deal, Dealt};

/// Number of preceding tokens at which reading a token takes twice as long as at the start
/// of the text, because of the share of attention in the work of dense models of about
/// 70 billion parameters.
const DOUBLES_AT: f64 = 54_000.0;

/// The endpoint selected for a job.
pub(super) struct Weighed {
    pub key: Key,
    pub arm: Arm,
    pub choice: Choice,
    pub pace: Pace,
    /// Usual ratio of actual to expected time over the service, at least 1. When all
    /// endpoints are late, the expected time has to follow, or waiting requests would
    /// count as lost and be sent again on top.
    pub slow: f64,
    /// Units of reading, including the shared part unless it is cached or copied.
    pub units: f64,
    /// Address of the endpoint from which to copy the shared part.
    pub source: Option<SocketAddr>,
}

impl Weighed {
    /// Returns the expected time to the first byte if no endpoint were late, in milliseconds.
    pub fn alone_ms(&self) -> f64 {
        self.choice.wait_ms.max(0.0) + self.pace.job_ms(self.units)
    }

    /// Returns the expected time to the first byte, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.alone_ms() * self.slow
    }
}

impl State {
    /// Selects an endpoint for a job, or returns `None` if none may run it.
    pub(super) fn weigh(&self, job: &Job<'_>, now: Duration, exposure: f64) -> Option<Weighed> {
        let pace = self.fleet.pace(job);
        let settled = || {
            let (session, lasts) = (job.session, self.session);
            self.trials.settled(session, now, lasts) || self.peers.settled(session, now, lasts)
        };
        let settled = job.in_session && canary::tries_versions(job.session, exposure) && settled();
        let deal = self.trials.deal(job.service, Dealt { session: job.session, settled, exposure }, now);
        let (chosen, slow, failing) = if let Some((pool, chosen)) = self.fleet.sample(job, &deal, now) {
            (chosen, pool.slow, pool.failing)
        } else {
            let chosen = self.fleet.eligible(job, &deal, now);
            let slow = mean(&chosen, &|server| server.slowness.now(1.0, now));
            let failing = mean(&chosen, &|server| server.failing.now(0.0, now));
            (chosen, slow, failing)
        };
        let slow = slow.max(0.05);
        let late = self.fleet.usual.get(job.service).copied().unwrap_or(1.0);
        let holders = self.fleet.holders_of(job.affinity, now);
        let holders_of_whole = self.fleet.holders_of(job.whole, now);
        let mut candidates = Vec::with_capacity(chosen.len());
        for (_, server) in &chosen {
            let (holds, holds_whole) = (holders.contains(&server.hash), holders_of_whole.contains(&server.hash));
            candidates.push(Candidate {
                holds,
                holds_whole,
                ..server.candidate(&self.peers.domain, slow, failing, now)
            });
        }
        let wanted = Wanted {
            affinity: job.affinity,
            reread_ms: pace.reading_ms(reading(job, job.shared_tokens, 0)),
            shared_tokens: job.shared_tokens,
            first_ms: pace.job_ms(job_units(job)),
        };
        let mut choice =
            placement::choose(&candidates, wanted, job.session ^ u64::try_from(now.as_nanos()).unwrap_or(0))?;
        let (key, server) = chosen[choice.index];
        let arm = deal.arm(&server.endpoint.version);
        // A prompt cache of another version does not fit this version's weights.
        let is_same = |index: &usize| chosen[*index].1.endpoint.version == server.endpoint.version;
        choice.source = choice.source.filter(is_same);
        let source = choice.source.map(|index| chosen[index].1.endpoint.address);
        let Candidate { holds, holds_whole, .. } = candidates[choice.index];
        let is_kept = holds || source.is_some() || job.shared_tokens < WORTH_KEEPING;
        let units = match (holds_whole, is_kept) {
            (true, _) => 0.0,
            (false, true) => job_units(job),
            (false, false) => job_units(job) + reading(job, job.shared_tokens, 0),
        };
        Some(Weighed { key, arm, choice, pace, slow: late.max(1.0), units, source })
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
    reading(job, job.own_tokens, job.shared_tokens)
}

/// Returns the units of reading `tokens` tokens that follow `after` others: one for each
/// token, scaled by the model's size and growing with the number of preceding tokens.
fn reading(job: &Job<'_>, tokens: u32, after: u32) -> f64 {
    if job.model.is_none() {
        return 0.0;
    }
    let tokens = f64::from(tokens);
    let before = f64::from(after) + tokens / 2.0;
    tokens * (1.0 + before / DOUBLES_AT) * job.size.max(0.01)
}

impl Fleet {
    /// Returns the endpoints that may run a job: untried ones of the version it is to stay
    /// on, or else of an assigned version; if there are none, tried ones of an assigned
    /// version; if there are none, any whose version is tolerated.
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

    /// Returns the endpoints of a service that are not leaving and whose rate limit allows
    /// a request. Those in backoff after a failed connection are left out, unless all
    /// of them are.
    pub(super) fn awake(&self, service: &str, now: Duration) -> Vec<(Key, &Server)> {
        let takes = |server: &Server| {
            server.endpoint.service == service && !server.endpoint.draining && server.throttle.takes(now)
        };
        let all = || self.servers.iter().filter(|(_, server)| takes(server));
        let awake: Vec<_> = all().filter(|(_, server)| server.rests_until <= now).collect();
        if awake.is_empty() { all().collect() } else { awake }
    }

    /// Returns the learned pace for a job's service and model, or the initial estimate.
    pub(super) fn pace(&self, job: &Job<'_>) -> Pace {
        let work = Work { service: job.service.to_owned(), model: job.model };
        self.paces.get(&work).copied().unwrap_or_else(|| first_guess(job.model))
    }
}

impl Job<'_> {
    /// Returns the short hash of the job's shared part.
    pub(super) fn part(&self) -> Option<u32> {
        self.affinity.map(part_of)
    }
}
