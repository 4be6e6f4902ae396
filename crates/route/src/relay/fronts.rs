//! Which instances a caller is told of when there are more than an answer holds.
//!
//! The load pattern: hundreds of instances, unlike in size, before callers who
//! each hear of some dozens. Told of the same ones, all callers crowd at a sixth
//! of the fleet and the rest idles; the loss of those is a loss of all.
//!
//! Half of an answer stands in the caller's own failure domain, the rest in turn
//! in the others, so that the loss of a domain leaves its callers half of their
//! instances. Within a domain the order is a weighted rendezvous hash of caller
//! and instance: larger instances are in more answers, and an instance that comes
//! or goes changes one place of an answer. Callers close connections to whom a new
//! answer lacks, so answers must be steady.

use std::collections::BTreeMap;

use world::hash;

/// An instance that takes requests.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Hash of its name.
    pub hash: u64,
    /// The failure domain it stands in.
    pub domain: &'a str,
    /// What it can do, in processor cores; only ratios count.
    pub cores: f64,
}

/// Who asks.
#[derive(Debug, Clone, Copy)]
pub struct Caller<'a> {
    /// Its failure domain, if it says.
    pub domain: Option<&'a str>,
    /// The same with each of its questions.
    pub hash: u64,
}

/// Chooses at most `most` candidates for a caller; their indices, in no order
/// that means anything.
#[must_use]
pub fn choose(candidates: &[Candidate<'_>], caller: Caller<'_>, most: usize) -> Vec<usize> {
    if candidates.len() <= most {
        return (0..candidates.len()).collect();
    }
    let mut domains = ranked(candidates, caller.hash);
    let mut own = caller.domain.and_then(|near| domains.remove(near)).unwrap_or_default().into_iter();
    let mut chosen: Vec<usize> = own.by_ref().take(most.div_ceil(2)).collect();
    let mut others: Vec<_> = domains.into_values().map(Vec::into_iter).collect();
    while chosen.len() < most && others.iter().any(|domain| domain.len() > 0) {
        let places = most - chosen.len();
        chosen.extend(others.iter_mut().filter_map(Iterator::next).take(places));
    }
    let places = most - chosen.len();
    chosen.extend(own.take(places));
    chosen
}

/// Indices of the candidates of each domain, those that come first ahead.
fn ranked<'a>(candidates: &[Candidate<'a>], caller: u64) -> BTreeMap<&'a str, Vec<usize>> {
    let mut domains: BTreeMap<&str, Vec<(f64, usize)>> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        domains.entry(candidate.domain).or_default().push((distance(candidate, caller), index));
    }
    let in_order = |mut domain: Vec<(f64, usize)>| {
        domain.sort_by(|a, b| a.0.total_cmp(&b.0));
        domain.into_iter().map(|(_, index)| index).collect()
    };
    domains.into_iter().map(|(name, domain)| (name, in_order(domain))).collect()
}

/// Exponentially distributed with the candidate's size as its rate: the least of
/// several falls to each in proportion to its size.
#[expect(clippy::cast_precision_loss, reason = "a draw needs no more than a float's 53 bits")]
fn distance(candidate: &Candidate<'_>, caller: u64) -> f64 {
    let draw = (hash::rendezvous(caller, &candidate.hash.to_le_bytes()) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -draw.ln() / candidate.cores.max(f64::MIN_POSITIVE)
}
