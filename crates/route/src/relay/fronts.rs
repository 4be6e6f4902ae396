//! Selects the instances that are listed to a caller when an answer cannot hold all of
//! them.
//!
//! Fleets have hundreds of instances of different sizes, and each answer lists some dozens.
//! If all callers got the same list, they would overload a sixth of the fleet while the
//! rest is idle, and the loss of those instances would affect every caller.
//!
//! Half of an answer comes from the caller's own failure domain, the rest from the others
//! in turn, so that callers keep half of their instances when a domain is lost. Within a
//! domain the order is a weighted rendezvous hash of caller and instance. Larger instances
//! appear in more answers, and an instance that joins or leaves changes one entry of an
//! answer. Answers must be stable because callers close connections to instances that a new
//! answer omits.

use std::collections::BTreeMap;

use world::hash;

/// An instance that accepts requests.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Hash of the instance's name.
    pub hash: u64,
    /// Failure domain of the instance.
    pub domain: &'a str,
    /// Capacity in processor cores. Only ratios matter.
    pub cores: f64,
}

/// The caller that asks for instances.
#[derive(Debug, Clone, Copy)]
pub struct Caller<'a> {
    /// Failure domain of the caller, if it is known.
    pub domain: Option<&'a str>,
    /// Hash that identifies the caller, the same in each of its requests.
    pub hash: u64,
}

/// Selects at most `limit` candidates for a caller and returns their indices in no
/// particular order.
#[must_use]
pub fn choose(candidates: &[Candidate<'_>], caller: Caller<'_>, limit: usize) -> Vec<usize> {
    if candidates.len() <= limit {
        return (0..candidates.len()).collect();
    }
    let mut domains = rank_by_domain(candidates, caller.hash);
    let mut own = caller.domain.and_then(|own_domain| domains.remove(own_domain)).unwrap_or_default().into_iter();
    let mut chosen: Vec<usize> = own.by_ref().take(limit.div_ceil(2)).collect();
    let mut others: Vec<_> = domains.into_values().map(Vec::into_iter).collect();
    while chosen.len() < limit && others.iter().any(|domain| domain.len() > 0) {
        let remaining = limit - chosen.len();
        chosen.extend(others.iter_mut().filter_map(Iterator::next).take(remaining));
    }
    let remaining = limit - chosen.len();
    chosen.extend(own.take(remaining));
    chosen
}

/// Returns the indices of each domain's candidates, in order of preference.
fn rank_by_domain<'a>(candidates: &[Candidate<'a>], caller: u64) -> BTreeMap<&'a str, Vec<usize>> {
    let mut domains: BTreeMap<&str, Vec<(f64, usize)>> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        domains.entry(candidate.domain).or_default().push((weighted_draw(candidate, caller), index));
    }
    let in_order = |mut domain: Vec<(f64, usize)>| {
        domain.sort_by(|a, b| a.0.total_cmp(&b.0));
        domain.into_iter().map(|(_, index)| index).collect()
    };
    domains.into_iter().map(|(name, domain)| (name, in_order(domain))).collect()
}

/// Returns a draw from an exponential distribution whose rate is the candidate's capacity.
/// The probability that a candidate has the smallest draw is proportional to its capacity.
#[expect(clippy::cast_precision_loss, reason = "a draw needs no more than a float's 53 bits")]
fn weighted_draw(candidate: &Candidate<'_>, caller: u64) -> f64 {
    let draw = (hash::rendezvous(caller, &candidate.hash.to_le_bytes()) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -draw.ln() / candidate.cores.max(f64::MIN_POSITIVE)
}
