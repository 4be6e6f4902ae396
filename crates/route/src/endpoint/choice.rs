//! Scores the endpoints of a subset for one run.

use world::Timestamp;

use super::{
    Choice, Fleet, Key, Rule, RunRequest,
    server::{LoadEstimator, LoadSnapshot},
    subset::{self, Subset},
};

/// Load up to which a preferred endpoint is chosen regardless of the mean. While most slots
/// are free, a cache hit saves more than balanced load.
const FREE_LOAD: f64 = 0.3;
/// Tolerance for the rounding of a mean. Without it, equal loads might all exceed their
/// mean.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Load added to an endpoint of another failure domain, as a fraction of its slots.
const REMOTE_LOAD: f64 = 0.05;

/// Estimated load of one endpoint for a choice.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: Key,
    affinity: u64,
    snapshot: LoadSnapshot,
    load: f64,
    weight: f64,
    remote: f64,
    score: f64,
}

impl Candidate {
    /// Computes the load and the score. The endpoint with the lowest score is the best.
    fn estimate_load(&mut self, estimator: &LoadEstimator, now: Timestamp) {
        self.load = (self.snapshot.own + self.snapshot.estimate_others(estimator, now) + 1.0) / self.snapshot.slots;
        self.score = self.load / self.weight + self.remote;
    }
}

impl Fleet {
    /// Chooses an endpoint of a subset for a run, or returns `None` if none accepts it.
    pub(super) fn choose_from(&self, subset: &Subset, request: &RunRequest<'_>, now: Timestamp) -> Option<Choice> {
        let usable = subset.members.iter().filter(|member| self.is_usable(subset, member, request, now));
        let mut candidates: Vec<Candidate> = usable.map(|member| self.candidate(member, request, now)).collect();
        let considered = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let count = f64::from(considered.max(1));
        let estimator = LoadEstimator::new(candidates.iter().map(|c| &c.snapshot), subset.run_ms(), self.instances);
        for candidate in &mut candidates {
            candidate.estimate_load(&estimator, now);
        }
        let mean = candidates.iter().map(|c| c.load).sum::<f64>() / count;
        let chosen = |best: &Candidate, rule| Some(Choice { key: best.key, rule, load: best.load, mean, considered });
        if candidates.len() < 2 {
            return candidates.first().and_then(|only| chosen(only, Rule::Only));
        }
        if let Some(prefix) = request.prefix {
            let mean = candidates.iter().map(|c| c.score).sum::<f64>() / count;
            let bound = mean.max(FREE_LOAD) + ROUNDING_TOLERANCE;
            let within = || candidates.iter().filter(|c| c.score <= bound);
            let holder = self.holders.get(&prefix);
            if let Some(cached) = within().find(|c| Some(&c.key) == holder) {
                return chosen(cached, Rule::Holder);
            }
            if let Some(preferred) = within().max_by_key(|c| c.affinity) {
                return chosen(preferred, Rule::Preferred);
            }
        }
        let (first, second) = draw_two(request.draw, candidates.len());
        let (first, second) = (&candidates[first], &candidates[second]);
        chosen(if second.score < first.score { second } else { first }, Rule::LessLoaded)
    }

    fn candidate(&self, member: &subset::Member, request: &RunRequest<'_>, now: Timestamp) -> Candidate {
        let server = &self.servers[member.key];
        Candidate {
            key: member.key,
            affinity: request.prefix.map_or(0, |prefix| subset::rendezvous_weight(prefix, member.hash)),
            snapshot: server.load_snapshot(),
            load: 0.0,
            weight: server.health.weight(now),
            remote: if member.local { 0.0 } else { REMOTE_LOAD },
            score: 0.0,
        }
    }

    fn is_usable(&self, subset: &Subset, member: &subset::Member, request: &RunRequest<'_>, now: Timestamp) -> bool {
        let Some(server) = self.servers.get(member.key) else { return false };
        !server.leaving
            && !server.health.is_ejected(now)
            && !subset.is_absent(member.key, now)
            && !request.excluded.contains(&member.key)
    }
}

/// Returns two different indices below `len` from one random number. `len` is at least 2.
fn draw_two(draw: u64, len: usize) -> (usize, usize) {
    let len = len as u64;
    let first = (draw >> 32) % len;
    let second = (first + 1 + (draw & 0xffff_ffff) % (len - 1)) % len;
    #[expect(clippy::cast_possible_truncation, reason = "both are below `len`, which was a usize")]
    (first as usize, second as usize)
}
