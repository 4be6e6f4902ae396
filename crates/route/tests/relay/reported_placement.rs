//! Decisions by reported loads, as they were before endpoints could be chosen in turns. The
//! decisions with `placement: reported` are compared with these.

use route::relay::placement::{Candidate, Choice, Request};
use world::hash;

/// Wait added by each run in excess of the slots, in milliseconds: about the decoding time
/// of a run divided by the slots that may become free meanwhile.
const QUEUED_RUN_MS: f64 = 150.0;

/// Wait added by each active run on an endpoint, in milliseconds. Each run makes the engine
/// step that produces the first byte longer.
const ACTIVE_RUN_MS: f64 = 3.0;

/// Penalty for an endpoint in another failure domain, in milliseconds. It covers the
/// network latency and the cost of traffic between failure domains.
const REMOTE_PENALTY_MS: f64 = 15.0;

/// Penalty for an endpoint that is certain to fail, in milliseconds: the cost of a failed
/// attempt to a caller.
const FAILURE_PENALTY_MS: f64 = 3_000.0;

/// Number of endpoints that are tried in order for a shared prefix. If the first is lost or
/// overloaded, all instances use the same next ones, which keep their copies in cache. A
/// prefix that goes to randomly drawn endpoints instead is processed again by each of them,
/// and no other instance finds it there.
const MAX_PREFERRED: usize = 4;

/// Number of endpoints drawn at random from each group, the local ones and all. They are
/// compared by their prompt backlog, which is up to date, so drawing many causes no
/// herding. If engines process prompts for six tenths of the time, one request in eight
/// would find every endpoint busy when two are drawn from each group.
const DRAWN_PER_GROUP: usize = 6;

/// Number of drawn endpoints that are also compared by older load updates.
const MAX_SHORTLIST: usize = 4;

/// Additional wait that is accepted at an endpoint selected only by the prefix's hash, as a
/// fraction of the cost of processing the prefix again.
const HASH_PREFERENCE: f64 = 0.25;

/// Cost of processing a shared prefix again, as a multiple of the time that it takes the
/// request itself. Other runs on the endpoint wait for it as well.
const REPROCESSING_FACTOR: f64 = 3.0;

/// Additional cost of processing one token of a shared prefix again, in milliseconds of
/// waiting, for any model. A small model processes tokens ten times faster than the
/// largest. With time as the only cost, six in ten of its requests left the endpoints that
/// hold their prefix, and each evicted other prefixes from an endpoint's memory.
const REPROCESSING_TOKEN_MS: f64 = 0.05;

/// Cost of copying one token of a shared prefix from its holder, in milliseconds of
/// waiting. The copy itself takes a twelfth of the largest model's prompt processing. The
/// rest accounts for the transferred bytes, at about two thirds of
/// [`REPROCESSING_TOKEN_MS`].
const COPY_TOKEN_MS: f64 = 0.035;

/// Chooses an endpoint, or returns `None` if there is no candidate.
///
/// `seed` is a random number that determines which endpoints are compared.
pub fn choose(candidates: &[Candidate<'_>], request: Request, seed: u64) -> Option<Choice> {
    let with_wait = |index: usize| (index, wait_ms(&candidates[index], request));
    let (best_index, wait_ms) =
        shortlist(candidates, request, seed).into_iter().map(with_wait).min_by(|a, b| a.1.total_cmp(&b.1))?;
    let other = Choice { index: best_index, wait_ms, preferred: false, source: None };
    let least_busy = |is_holder: fn(&Candidate<'_>) -> bool| {
        let holders = (0..candidates.len()).filter(|&index| is_holder(&candidates[index])).map(with_wait);
        holders.min_by(|a, b| a.1.total_cmp(&b.1))
    };
    let reprocessing_ms =
        REPROCESSING_FACTOR * request.reprocess_ms + REPROCESSING_TOKEN_MS * f64::from(request.shared_tokens);
    let copy_ms = reprocessing_ms.min(COPY_TOKEN_MS * f64::from(request.shared_tokens));
    if let Some((holder, holder_ms)) = least_busy(|candidate| candidate.holds_prompt)
        && holder_ms <= wait_ms + request.first_byte_ms + copy_ms
    {
        return Some(Choice { index: holder, wait_ms: holder_ms, preferred: true, source: None });
    }
    let Some(key) = request.affinity else { return Some(other) };
    if let Some((holder, holder_ms)) = least_busy(|candidate| candidate.holds_prefix) {
        if holder_ms <= wait_ms + copy_ms {
            return Some(Choice { index: holder, wait_ms: holder_ms, preferred: true, source: None });
        }
        return Some(Choice { source: Some(holder), ..other });
    }
    let max_hash_wait_ms = wait_ms + HASH_PREFERENCE * reprocessing_ms;
    let preferred = preferred_by_hash(key, candidates.iter().map(|candidate| candidate.id));
    let by_hash = preferred.into_iter().map(with_wait).find(|(_, wait)| *wait <= max_hash_wait_ms);
    Some(by_hash.map_or(other, |(index, wait_ms)| Choice { index, wait_ms, preferred: true, source: None }))
}

/// Draws local endpoints and endpoints of any domain at random, and returns the few with
/// the shortest wait by up-to-date information.
fn shortlist(candidates: &[Candidate<'_>], request: Request, seed: u64) -> Vec<usize> {
    let local_indices: Vec<usize> = (0..candidates.len()).filter(|&index| candidates[index].local).collect();
    let draw = hash::stable(&seed.to_le_bytes());
    let of_all = draw_indices(candidates.len(), draw.rotate_left(32));
    let mut of_local = draw_indices(local_indices.len(), draw).map(|place| local_indices[place]);
    let mut drawn: Vec<usize> = Vec::with_capacity(2 * DRAWN_PER_GROUP);
    for index in of_all {
        drawn.extend(of_local.next());
        drawn.push(index);
    }
    let known_ms = |index: &usize| known_wait_ms(&candidates[*index], request);
    // The sort is stable: equal endpoints stay in the order in which they were drawn.
    drawn.sort_by(|a, b| known_ms(a).total_cmp(&known_ms(b)));
    drawn.truncate(MAX_SHORTLIST);
    drawn
}

/// Returns the time that the runs on an endpoint make another one wait, in milliseconds, if
/// it is as fast as its peers.
fn queue_ms(candidate: &Candidate<'_>) -> f64 {
    let excess = (candidate.runs + 1.0 - f64::from(candidate.slots)).max(0.0);
    candidate.backlog_ms + candidate.reported_backlog_ms + candidate.runs * ACTIVE_RUN_MS + excess * QUEUED_RUN_MS
}

/// Returns the wait before the first byte by up-to-date information only, in milliseconds.
fn known_wait_ms(candidate: &Candidate<'_>, request: Request) -> f64 {
    (candidate.backlog_ms + request.first_byte_ms) * candidate.slowness.max(1.0)
        + candidate.excess_failure_rate * FAILURE_PENALTY_MS
}

/// Draws different indices below `count` by a random number.
fn draw_indices(count: usize, draw: u64) -> impl Iterator<Item = usize> {
    permuted_indices(count, draw).take(DRAWN_PER_GROUP.min(count))
}

/// Returns all indices below `count` in an order determined by a random number, repeating
/// from the start after the last.
fn permuted_indices(count: usize, draw: u64) -> impl Iterator<Item = usize> {
    let draw = usize::try_from(draw & 0xFFFF_FFFF).unwrap_or_default();
    let (first, mut step) = (draw % count.max(1), 1 + (draw >> 16) % count.max(1));
    // A step that shares a divisor with the count would visit an index twice.
    while gcd(step, count) > 1 {
        step += 1;
    }
    (0..).map(move |number: usize| (first + number * step) % count.max(1))
}

/// Returns the indices of the names with the highest rendezvous weights for a key, best
/// first. These are the endpoints that a shared prefix prefers.
fn preferred_by_hash<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut best: [Option<(u64, usize)>; MAX_PREFERRED] = [None; MAX_PREFERRED];
    for (index, name) in names.enumerate() {
        let mut entry = Some((hash::rendezvous(key, name.as_bytes()), index));
        for place in &mut best {
            if entry > *place {
                std::mem::swap(&mut entry, place);
            }
        }
    }
    best.iter().flatten().map(|(_, index)| *index).collect()
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Returns the wait before the first byte at an endpoint, in milliseconds.
fn wait_ms(candidate: &Candidate<'_>, request: Request) -> f64 {
    let queue = queue_ms(candidate);
    let remote = if candidate.local { 0.0 } else { REMOTE_PENALTY_MS };
    (queue + request.first_byte_ms) * candidate.slowness.max(1.0) - request.first_byte_ms
        + remote
        + candidate.excess_failure_rate * FAILURE_PENALTY_MS
}
