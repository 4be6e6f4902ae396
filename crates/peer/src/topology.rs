//! Who is linked with whom: pure, from the members and the links there are.
//!
//! Up to one instance more than the limit, all are linked with all. Above it
//! each instance keeps a ring (its successor and predecessor in the order of
//! hashed names) and fills the rest of its limit with chords. The ring makes
//! one whole of all instances whatever the chords are; the chords make the ways
//! short, and are chosen over as many failure domains as possible, so that a
//! lost domain cuts nobody off until the ring has closed again.

use std::collections::{BTreeMap, BTreeSet};

use world::{
    domain::Domain,
    hash,
    instance::{Id, Instance},
};

#[cfg(test)]
mod tests;

/// Links of an instance that belong to the ring.
const RING: usize = 2;

/// What is to be done about links.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Members that this instance is answerable for noticing as silent.
    pub watch: Vec<Id>,
    /// To be dialled now.
    pub dial: Vec<Id>,
    /// To be dialled when they have not dialled us after a while.
    pub late: Vec<Id>,
    /// Any one of these would make a good chord, the best first.
    pub chords: Vec<Id>,
    /// Links to close.
    pub close: Vec<Id>,
}

/// Plans `me`'s links. `counted` are the others that are counted; `linked` the
/// names of the links there are, oldest first.
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

/// Whether a link that `other` has dialled would be kept.
#[must_use]
pub fn has_room(me: &Instance, counted: &[&Instance], linked: &[Id], other: &Instance, limit: usize) -> bool {
    if is_near(me, counted, &other.id, limit) {
        return true;
    }
    let used = domains(me, counted, linked).get(&other.domain).copied().unwrap_or(0);
    linked.len() < limit && used < share(me, counted, limit)
}

/// Whether `other` stands next to `me` in the ring, or the fleet is small
/// enough for all to be linked.
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
    // the higher one only when that did not work.
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

/// Links per failure domain, our own place counted as one.
fn domains<'a>(me: &'a Instance, counted: &[&'a Instance], linked: &[Id]) -> BTreeMap<&'a Domain, usize> {
    let mut domains = BTreeMap::from([(&me.domain, 1)]);
    for instance in counted.iter().filter(|i| linked.contains(&i.id)) {
        *domains.entry(&instance.domain).or_default() += 1;
    }
    domains
}

/// Most links with one failure domain: twice an even share. The last ones to
/// choose find most others full, and would take all their links where a late
/// domain has room; with it they would lose them all.
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

/// The same from both sides, so that both sides pick each other.
fn liking(one: &Id, other: &Id) -> u64 {
    let place = |id: &Id| hash::stable(id.as_str().as_bytes());
    hash::rendezvous(place(one) ^ place(other), b"link")
}

/// Chords too many: the youngest of the most used domain first.
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
