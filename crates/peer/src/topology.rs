//! Plans the links of an instance from the members and its current links. Does
//! no I/O.
//!
//! With at most one instance more than the link limit, the fleet is a full
//! mesh. Above that, each instance keeps its two ring links (to its successor
//! and predecessor in the order of hashed names) and fills the rest of its
//! limit with chords. The ring keeps the graph connected whatever the chords
//! are. The chords shorten the paths and are spread over as many failure
//! domains as possible, so that the loss of a domain disconnects no instance
//! before the ring is repaired.

use std::collections::{BTreeMap, BTreeSet};

use world::{
    domain::Domain,
    hash,
    instance::{Id, Instance},
};

#[cfg(test)]
mod tests;

/// Number of ring links of an instance.
const RING_LINKS: usize = 2;

/// Planned changes to an instance's links.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Members that this instance monitors for silence.
    pub watch: Vec<Id>,
    /// Peers to dial now.
    pub dial: Vec<Id>,
    /// Peers that should dial this instance; to be dialled if they have not done
    /// so after a while.
    pub dial_later: Vec<Id>,
    /// Candidates for one more chord, best first.
    pub chords: Vec<Id>,
    /// Peers whose links to close.
    pub close: Vec<Id>,
}

/// Plans `me`'s links. `others` are the other current members, `linked` the
/// names of the linked peers, oldest link first.
#[must_use]
pub fn plan(me: &Instance, others: &[&Instance], linked: &[Id], limit: usize) -> Plan {
    if others.len() <= limit {
        return plan_mesh(me, others, linked);
    }
    let (successor, predecessor) = ring_neighbours(me, others);
    let neighbours = [successor, predecessor];
    let missing = |id: &Id| !linked.contains(id);
    let mut plan = Plan { watch: linked.to_vec(), ..Plan::default() };
    plan.watch.extend(neighbours.iter().filter(|id| missing(id)).map(|id| (*id).clone()));
    if missing(successor) {
        plan.dial.push(successor.clone());
    }
    if missing(predecessor) {
        plan.dial_later.push(predecessor.clone());
    }

    let chords: Vec<&Id> = linked.iter().filter(|id| !neighbours.contains(id)).collect();
    let max_chords = limit.saturating_sub(RING_LINKS);
    let used = links_per_domain(me, others, linked);
    let max_per_domain = max_per_domain(me, others, limit);
    if chords.len() < max_chords {
        plan.chords = chord_candidates(me, others, linked, neighbours, &used, max_per_domain);
    }
    plan.close = excess_chords(others, chords, max_chords, used, max_per_domain);
    plan
}

/// Returns whether a link dialled by `other` would be kept.
#[must_use]
pub fn has_room(me: &Instance, others: &[&Instance], linked: &[Id], other: &Instance, limit: usize) -> bool {
    if is_neighbour(me, others, &other.id, limit) {
        return true;
    }
    let used = links_per_domain(me, others, linked).get(&other.domain).copied().unwrap_or(0);
    linked.len() < limit && used < max_per_domain(me, others, limit)
}

/// Returns whether `other` is a ring neighbour of `me`, or the fleet is small
/// enough for a full mesh.
#[must_use]
pub fn is_neighbour(me: &Instance, others: &[&Instance], other: &Id, limit: usize) -> bool {
    if others.len() <= limit {
        return true;
    }
    let (successor, predecessor) = ring_neighbours(me, others);
    [successor, predecessor].contains(&other)
}

fn plan_mesh(me: &Instance, others: &[&Instance], linked: &[Id]) -> Plan {
    let watch = others.iter().map(|i| i.id.clone()).collect();
    let missing = others.iter().map(|i| i.id.clone()).filter(|id| !linked.contains(id));
    // The lower name dials, so that a pair does not open two links at once;
    // the higher one dials only if the lower one has not.
    let (dial, dial_later) = missing.partition(|id| me.id < *id);
    Plan { watch, dial, dial_later, ..Plan::default() }
}

fn ring_neighbours<'a>(me: &Instance, others: &[&'a Instance]) -> (&'a Id, &'a Id) {
    let key = |id: &Id| (hash::stable(id.as_str().as_bytes()), id.clone());
    let own_key = key(&me.id);
    let ids = || others.iter().map(|i| &i.id);
    let after = ids().filter(|id| key(id) > own_key).min_by_key(|id| key(id));
    let before = ids().filter(|id| key(id) < own_key).max_by_key(|id| key(id));
    let first = ids().min_by_key(|id| key(id)).unwrap_or(&others[0].id);
    let last = ids().max_by_key(|id| key(id)).unwrap_or(&others[0].id);
    (after.unwrap_or(first), before.unwrap_or(last))
}

/// Returns the number of links per failure domain; this instance itself counts
/// as one in its own.
fn links_per_domain<'a>(me: &'a Instance, others: &[&'a Instance], linked: &[Id]) -> BTreeMap<&'a Domain, usize> {
    let mut domains = BTreeMap::from([(&me.domain, 1)]);
    for instance in others.iter().filter(|i| linked.contains(&i.id)) {
        *domains.entry(&instance.domain).or_default() += 1;
    }
    domains
}

/// Returns the maximum number of links to one failure domain: twice an even
/// share. Instances that choose last find most others full. Without this limit
/// they would take all their links in a domain that still has room, and lose
/// them all with that domain.
fn max_per_domain(me: &Instance, others: &[&Instance], limit: usize) -> usize {
    let domains: BTreeSet<_> = others.iter().map(|i| &i.domain).chain([&me.domain]).collect();
    2 * limit.div_ceil(domains.len())
}

fn chord_candidates(
    me: &Instance,
    others: &[&Instance],
    linked: &[Id],
    neighbours: [&Id; RING_LINKS],
    used: &BTreeMap<&Domain, usize>,
    max_per_domain: usize,
) -> Vec<Id> {
    let used = |i: &Instance| used.get(&i.domain).copied().unwrap_or(0);
    let is_candidate =
        |i: &&&Instance| !linked.contains(&i.id) && !neighbours.contains(&&i.id) && used(i) < max_per_domain;
    let mut candidates: Vec<&Instance> = others.iter().filter(is_candidate).copied().collect();
    candidates.sort_by_cached_key(|i| (used(i), u64::MAX - preference(&me.id, &i.id), i.id.clone()));
    candidates.into_iter().map(|i| i.id.clone()).collect()
}

/// Returns the preference of two instances for each other, the same from both
/// sides, so that both pick each other.
fn preference(one: &Id, other: &Id) -> u64 {
    let key = |id: &Id| hash::stable(id.as_str().as_bytes());
    hash::rendezvous(key(one) ^ key(other), b"link")
}

/// Returns the excess chords to close: repeatedly the newest one in the most
/// used domain.
fn excess_chords(
    others: &[&Instance],
    mut chords: Vec<&Id>,
    max_chords: usize,
    mut used: BTreeMap<&Domain, usize>,
    max_per_domain: usize,
) -> Vec<Id> {
    let domain = |id: &Id| others.iter().find(|i| i.id == *id).map(|i| &i.domain);
    let mut close = Vec::new();
    loop {
        let load = |id: &Id| domain(id).and_then(|d| used.get(d)).copied().unwrap_or(usize::MAX);
        let Some(worst) = (0..chords.len()).max_by_key(|index| (load(chords[*index]), *index)) else { break };
        if chords.len() <= max_chords && load(chords[worst]) <= max_per_domain {
            break;
        }
        let id = chords.remove(worst);
        if let Some(count) = domain(id).and_then(|d| used.get_mut(d)) {
            *count -= 1;
        }
        close.push(id.clone());
    }
    close
}
