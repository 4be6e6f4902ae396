//! Scores the endpoints of a subset for one run.

use world::Timestamp;

use super::{
    Choice, Fleet, Key, Rule, Wanted,
    server::{Field, Seen},
    subset::{self, Subset},
};

/// Load up to which a preferred endpoint is chosen regardless of the mean. While most slots
/// are free, a cache hit saves more than balanced load.
const FREE: f64 = 0.3;
/// Tolerance for rounding of a mean. Without it all of several equal loads might exceed
/// their mean.
const ROUNDING: f64 = 1e-9;
/// Load added to an endpoint of another failure domain, as a fraction of its slots.
const REMOTE: f64 = 0.05;

/// Estimated load of one endpoint for a choice.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: Key,
    affinity: u64,
    seen: Seen,
    load: f64,
    weight: f64,
    remote: f64,
    score: f64,
}

impl Candidate {
    /// Computes the load and the score. The endpoint with the lowest score is the best.
    fn settle(&mut self, field: &Field, now: Timestamp) {
        self.load = (self.seen.own + self.seen.others_now(field, now) + 1.0) / self.seen.slots;
        self.score = self.load / self.weight + self.remote;
    }
}

impl Fleet {
    /// Chooses an endpoint of a subset for a run, or returns `None` if none accepts it.
    pub(super) fn weighed(&self, subset: &Subset, wanted: &Wanted<'_>, now: Timestamp) -> Option<Choice> {
        let usable = subset.members.iter().filter(|member| self.usable(subset, member, wanted, now));
        let mut candidates: Vec<Candidate> = usable.map(|member| self.candidate(member, wanted, now)).collect();
        let considered = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let count = f64::from(considered.max(1));
        let field = Field::of(candidates.iter().map(|c| &c.seen), subset.run_ms(), self.instances);
        for candidate in &mut candidates {
            candidate.settle(&field, now);
        }
        let mean = candidates.iter().map(|c| c.load).sum::<f64>() / count;
        let chosen = |best: &Candidate, rule| Some(Choice { key: best.key, rule, load: best.load, mean, considered });
        if candidates.len() < 2 {
            return candidates.first().and_then(|only| chosen(only, Rule::Only));
        }
        if let Some(prefix) = wanted.prefix {
            let mean = candidates.iter().map(|c| c.score).sum::<f64>() / count;
            let bound = mean.max(FREE) + ROUNDING;
            let within = || candidates.iter().filter(|c| c.score <= bound);
            let holder = self.holders.get(&prefix);
            if let Some(held) = within().find(|c| Some(&c.key) == holder) {
                return chosen(held, Rule::Holder);
            }
            if let Some(preferred) = within().max_by_key(|c| c.affinity) {
                return chosen(preferred, Rule::Preferred);
            }
        }
        let (first, second) = two(wanted.draw, candidates.len());
        let (first, second) = (&candidates[first], &candidates[second]);
        chosen(if second.score < first.score { second } else { first }, Rule::LessLoaded)
    }

    fn candidate(&self, member: &subset::Member, wanted: &Wanted<'_>, now: Timestamp) -> Candidate {
        let server = &self.servers[member.key];
        Candidate {
            key: member.key,
            affinity: wanted.prefix.map_or(0, |prefix| subset::weight(prefix, member.hash)),
            seen: server.seen(),
            load: 0.0,
            weight: server.health.weight(now),
            remote: if member.local { 0.0 } else { REMOTE },
            score: 0.0,
        }
    }

    fn usable(&self, subset: &Subset, member: &subset::Member, wanted: &Wanted<'_>, now: Timestamp) -> bool {
        let Some(server) = self.servers.get(member.key) else { return false };
        !server.leaving
            && !server.health.ejected(now)
            && !subset.is_absent(member.key, now)
            && !wanted.avoid.contains(&member.key)
    }
}

/// Returns two different indices below `len` from one random number. `len` is at least 2.
fn two(draw: u64, len: usize) -> (usize, usize) {
    let len = len as u64;
    let first = (draw >> 32) % len;
    let second = (first + 1 + (draw & 0xffff_ffff) % (len - 1)) % len;
    #[expect(clippy::cast_possible_truncation, reason = "both are below a usize")]
    (first as usize, second as usize)
}
