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
const RING: usize = 2;

/// Planned changes to an instance's links.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Members that this instance monitors for silence.
    pub watch: Vec<Id>,
    /// Peers to dial now.
    pub dial: Vec<Id>,
    /// Peers that should dial this instance; to be dialled if they have not done
    /// so after a while.
    pub late: Vec<Id>,
    /// Candidates for one more chord, best first.
    pub chords: Vec<Id>,
    /// Peers whose links to close.
    pub close: Vec<Id>,
}

/// Plans `me`'s links. `counted` are the other current members, `linked` the
/// names of the linked peers, oldest link first.
#[must_use]
pub fn plan(me: &Instance, counted: &[&Instance], linked: &[Id], limit: usize) -> Plan {
    if counted.len() <= limit {
        return mesh(me, counted, linked);
    }
    let (successor, predecessor) = ring(me, counted);
    let near = [successor, predecessor];
    let missing = |id: &Id| !linked.contains(id);
    let mut plan = Plan { watch: linked.to_vec(), ..Plan::default() };
    plan.watch.extend(near.iter().filter(|id| missing(id)).map(|id| (*id).clone()));
    if missing(successor) {
        plan.dial.push(successor.clone());
    }
    if missing(predecessor) {
        plan.late.push(predecessor.clone());
    }

    let chords: Vec<&Id> = linked.iter().filter(|id| !near.contains(id)).collect();
    let room = limit.saturating_sub(RING);
    let used = domains(me, counted, linked);
    let share = share(me, counted, limit);
    if chords.len() < room {
        plan.chords = candidates(me, counted, linked, near, &used, share);
    }
    plan.close = surplus(counted, chords, room, used, share);
    plan
}

/// Returns whether a link dialled by `other` would be kept.
#[must_use]
pub fn has_room(me: &Instance, counted: &[&Instance], linked: &[Id], other: &Instance, limit: usize) -> bool {
    if is_near(me, counted, &other.id, limit) {
        return true;
    }
    let used = domains(me, counted, linked).get(&other.domain).copied().unwrap_or(0);
    linked.len() < limit && used < share(me, counted, limit)
}

/// Returns whether `other` is a ring neighbour of `me`, or the fleet is small
/// enough for a full mesh.
#[must_use]
pub fn is_near(me: &Instance, counted: &[&Instance], other: &Id, limit: usize) -> bool {
    if counted.len() <= limit {
        return true;
    }
    let (successor, predecessor) = ring(me, counted);
    [successor, predecessor].contains(&other)
}

fn mesh(me: &Instance, counted: &[&Instance], linked: &[Id]) -> Plan {
    let watch = counted.iter().map(|i| i.id.clone()).collect();
    let missing = counted.iter().map(|i| i.id.clone()).filter(|id| !linked.contains(id));
    // The lower name dials, so that a pair does not open two links at once;
    // the higher one dials only if the lower one has not.
    let (dial, late) = missing.partition(|id| me.id < *id);
    Plan { watch, dial, late, ..Plan::default() }
}

fn ring<'a>(me: &Instance, counted: &[&'a Instance]) -> (&'a Id, &'a Id) {
    let place = |id: &Id| (hash::stable(id.as_str().as_bytes()), id.clone());
    let mine = place(&me.id);
    let ids = || counted.iter().map(|i| &i.id);
    let after = ids().filter(|id| place(id) > mine).min_by_key(|id| place(id));
    let before = ids().filter(|id| place(id) < mine).max_by_key(|id| place(id));
    let first = ids().min_by_key(|id| place(id)).unwrap_or(&counted[0].id);
    let last = ids().max_by_key(|id| place(id)).unwrap_or(&counted[0].id);
    (after.unwrap_or(first), before.unwrap_or(last))
}

/// Returns the number of links per failure domain; this instance itself counts
/// as one in its own.
fn domains<'a>(me: &'a Instance, counted: &[&'a Instance], linked: &[Id]) -> BTreeMap<&'a Domain, usize> {
    let mut domains = BTreeMap::from([(&me.domain, 1)]);
    for instance in counted.iter().filter(|i| linked.contains(&i.id)) {
        *domains.entry(&instance.domain).or_default() += 1;
    }
    domains
}

/// Returns the maximum number of links to one failure domain: twice an even
/// share. Instances that choose last find most others full. Without this limit
/// they would take all their links in a domain that still has room, and lose
/// them all with that domain.
fn share(me: &Instance, counted: &[&Instance], limit: usize) -> usize {
    let domains: BTreeSet<_> = counted.iter().map(|i| &i.domain).chain([&me.domain]).collect();
    2 * limit.div_ceil(domains.len())
}

fn candidates(
    me: &Instance,
    counted: &[&Instance],
    linked: &[Id],
    near: [&Id; RING],
    used: &BTreeMap<&Domain, usize>,
    share: usize,
) -> Vec<Id> {
    let used = |i: &Instance| used.get(&i.domain).copied().unwrap_or(0);
    let free = |i: &&&Instance| !linked.contains(&i.id) && !near.contains(&&i.id) && used(i) < share;
    let mut free: Vec<&Instance> = counted.iter().filter(free).copied().collect();
    free.sort_by_cached_key(|i| (used(i), u64::MAX - liking(&me.id, &i.id), i.id.clone()));
    free.into_iter().map(|i| i.id.clone()).collect()
}

/// Returns the preference of two instances for each other, the same from both
/// sides, so that both pick each other.
fn liking(one: &Id, other: &Id) -> u64 {
    let place = |id: &Id| hash::stable(id.as_str().as_bytes());
    hash::rendezvous(place(one) ^ place(other), b"link")
}

/// Returns the excess chords to close: repeatedly the newest one in the most
/// used domain.
fn surplus(
    counted: &[&Instance],
    mut chords: Vec<&Id>,
    room: usize,
    mut used: BTreeMap<&Domain, usize>,
    share: usize,
) -> Vec<Id> {
    let domain = |id: &Id| counted.iter().find(|i| i.id == *id).map(|i| &i.domain);
    let mut close = Vec::new();
    loop {
        let load = |id: &Id| domain(id).and_then(|d| used.get(d)).copied().unwrap_or(usize::MAX);
        let Some(worst) = (0..chords.len()).max_by_key(|place| (load(chords[*place]), *place)) else { break };
        if chords.len() <= room && load(chords[worst]) <= share {
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
