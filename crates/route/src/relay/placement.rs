//! Selects the endpoint that runs a request.
//!
//! Prompts share long prefixes, an endpoint caches the prefixes it has processed, and
//! processing one again costs as much as hundreds of generated tokens. If the holders of a
//! prefix are known, the request goes to the least busy holder, or to another endpoint if
//! waiting for a holder costs more than copying the prefix. Frequently used prefixes thus
//! spread to further endpoints only as far as that is worthwhile. A prefix without a known
//! holder goes where the wait is shortest, with a preference for the endpoint selected by
//! rendezvous hashing: a notice that it holds the prefix may have been lost, and every
//! instance selects the same endpoint without communication.
//!
//! Only a few endpoints are compared. The load that other instances put on an endpoint is
//! partly known from updates that are up to 1.25 s old with 74 instances, longer than most
//! runs take. If all endpoints were compared, all instances would choose the same least
//! loaded one until their next update and then move on together. The better of two
//! endpoints drawn at random keeps loads nearly even with information of any age
//! (Mitzenmacher, "How useful is old information?", 2000). Up-to-date information, such as
//! notices of long prompts, causes no herding and may narrow a larger random draw.

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

/// The same where the endpoints were drawn by their pace. If more were compared, the division by
/// pace would count for less than loads that are out of date.
const MAX_SHORTLIST_BY_PACE: usize = 2;

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

/// Odd number that spreads the places of endpoints over all bits of a random number.
const PLACE_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// State of an endpoint as input to the decision.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the endpoint.
    pub id: &'a str,
    /// Number of runs that it executes at a time.
    pub slots: u32,
    /// Number of its active runs, of all instances.
    pub runs: f64,
    /// Outstanding prompt processing in milliseconds that this instance sent there or
    /// received a notice of.
    pub backlog_ms: f64,
    /// Outstanding prompt processing in milliseconds that is known only from earlier load
    /// updates of other instances.
    pub reported_backlog_ms: f64,
    /// Its latency relative to other endpoints for the same work; 1 if equal.
    pub slowness: f64,
    /// Its pace, if it was learned from the runs of all instances: the time of a run relative to
    /// other endpoints; 1 if equal or not known, below 1 if it is faster.
    pub pace: f64,
    /// Share of its runs that fail in excess of its peers' share.
    pub excess_failure_rate: f64,
    /// Whether it is in this instance's failure domain.
    pub local: bool,
    /// Whether it is assumed to have the shared prefix in its cache.
    pub holds_prefix: bool,
    /// Whether it is assumed to have the whole prompt in its cache.
    pub holds_prompt: bool,
}

/// Properties of the run to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Hash of the prompt's longest shared prefix and its model.
    pub affinity: Option<u64>,
    /// Time to process that prefix again, in milliseconds.
    pub reprocess_ms: f64,
    /// Number of tokens of the prompt up to the end of that prefix.
    pub shared_tokens: u32,
    /// Time that an idle endpoint needs until the request's first byte, in milliseconds.
    pub first_byte_ms: f64,
}

/// The chosen endpoint and the reasons for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the endpoint among the candidates.
    pub index: usize,
    /// Expected wait there before the first byte, in milliseconds.
    pub wait_ms: f64,
    /// Whether it was chosen as a holder of the prompt or prefix, or by the prefix's hash.
    pub preferred: bool,
    /// Index of the candidate to copy the shared prefix from.
    pub source: Option<usize>,
}

/// Chooses an endpoint, or returns `None` if there is no candidate.
///
/// `seed` is a random number that determines which endpoints are compared.
#[must_use]
pub fn choose(candidates: &[Candidate<'_>], request: Request, seed: u64) -> Option<Choice> {
    let cost = |index: &usize| cost_ms(&candidates[*index], request);
    let best = shortlist(candidates, request, seed).into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    Some(choose_beside(candidates, request, best))
}

/// Chooses between an endpoint for requests without a shared prefix and the endpoints that hold
/// the prompt or prefix or are selected by the prefix's hash.
pub(super) fn choose_beside(candidates: &[Candidate<'_>], request: Request, best_index: usize) -> Choice {
    let with_cost = |index: usize| (index, cost_ms(&candidates[index], request));
    let (_, best_ms) = with_cost(best_index);
    let choice = |index: usize, preferred: bool| {
        let wait_ms = wait_ms(&candidates[index], request);
        Choice { index, wait_ms, preferred, source: None }
    };
    let other = choice(best_index, false);
    let least_busy = |is_holder: fn(&Candidate<'_>) -> bool| {
        let holders = (0..candidates.len()).filter(|&index| is_holder(&candidates[index])).map(with_cost);
        holders.min_by(|a, b| a.1.total_cmp(&b.1))
    };
    let reprocessing_ms =
        REPROCESSING_FACTOR * request.reprocess_ms + REPROCESSING_TOKEN_MS * f64::from(request.shared_tokens);
    let copy_ms = reprocessing_ms.min(COPY_TOKEN_MS * f64::from(request.shared_tokens));
    if let Some((holder, holder_ms)) = least_busy(|candidate| candidate.holds_prompt)
        && holder_ms <= best_ms + request.first_byte_ms + copy_ms
    {
        return choice(holder, true);
    }
    let Some(key) = request.affinity else { return other };
    if let Some((holder, holder_ms)) = least_busy(|candidate| candidate.holds_prefix) {
        if holder_ms <= best_ms + copy_ms {
            return choice(holder, true);
        }
        return Choice { source: Some(holder), ..other };
    }
    let max_hash_ms = best_ms + HASH_PREFERENCE * reprocessing_ms;
    let preferred = preferred_by_hash(key, candidates.iter().map(|candidate| candidate.id));
    let by_hash = preferred.into_iter().map(with_cost).find(|(_, cost)| *cost <= max_hash_ms);
    by_hash.map_or(other, |(index, _)| choice(index, true))
}

/// Returns the choice of an endpoint for no preference of the request.
pub(super) fn choice_of(candidates: &[Candidate<'_>], request: Request, index: usize) -> Choice {
    Choice { index, wait_ms: wait_ms(&candidates[index], request), preferred: false, source: None }
}

/// Returns the indices of the candidates that [`choose`] compares for the same `seed`, beside those
/// that hold the prompt or prefix or are selected by the prefix's hash.
#[must_use]
pub fn compared(candidates: &[Candidate<'_>], request: Request, seed: u64) -> Vec<usize> {
    shortlist(candidates, request, seed)
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
    thin_out_slow(&mut drawn, candidates, draw);
    let known_ms = |index: &usize| known_wait_ms(&candidates[*index], request);
    // The sort is stable: equal endpoints stay in the order in which they were drawn.
    drawn.sort_by(|a, b| known_ms(a).total_cmp(&known_ms(b)));
    let has_paces = drawn.iter().any(|index| (candidates[*index].pace - 1.0).abs() > f64::EPSILON);
    drawn.truncate(if has_paces { MAX_SHORTLIST_BY_PACE } else { MAX_SHORTLIST });
    drawn
}

/// Removes slow endpoints from those drawn, so that an endpoint is left with a probability in
/// proportion to the requests that it completes in a given time.
///
/// Loads of plain services are out of date before they arrive, since dozens of runs begin
/// at an endpoint between two updates. If they alone decided, endpoints would get equal numbers
/// of requests: the slow ones would have queues while the fast ones had free slots.
fn thin_out_slow(drawn: &mut Vec<usize>, candidates: &[Candidate<'_>], draw: u64) {
    let fastest = drawn.iter().map(|index| candidates[*index].pace).fold(f64::INFINITY, f64::min);
    drawn.retain(|&index| {
        let place = u64::try_from(index).unwrap_or_default();
        let fraction = hash::stable(&(draw ^ place.wrapping_mul(PLACE_FACTOR)).to_le_bytes()) >> 32;
        #[expect(clippy::cast_precision_loss, reason = "32 bits are left")]
        let fraction = fraction as f64 / f64::from(u32::MAX);
        candidates[index].pace * fraction <= fastest
    });
}

/// Returns the time that the runs on an endpoint make another one wait, in milliseconds, if
/// it is as fast as its peers.
#[must_use]
pub fn queue_ms(candidate: &Candidate<'_>) -> f64 {
    let excess = (candidate.runs + 1.0 - f64::from(candidate.slots)).max(0.0);
    candidate.backlog_ms + candidate.reported_backlog_ms + candidate.runs * ACTIVE_RUN_MS + excess * QUEUED_RUN_MS
}

/// Returns the wait before the first byte by up-to-date information only, in milliseconds.
fn known_wait_ms(candidate: &Candidate<'_>, request: Request) -> f64 {
    (candidate.backlog_ms * candidate.pace + request.first_byte_ms) * candidate.slowness.max(1.0)
        + candidate.excess_failure_rate * FAILURE_PENALTY_MS
}

/// Draws up to `wanted` different indices below `count` for which `fits` returns true.
/// `draw` is a random number.
///
/// Examines at most a few times as many indices as are wanted, whatever the count. If few
/// fit, fewer are returned.
pub fn sample(count: usize, wanted: usize, draw: u64, mut fits: impl FnMut(usize) -> bool) -> Vec<usize> {
    const EXAMINED_PER_WANTED: usize = 4;
    let places = permuted_indices(count, draw).take((EXAMINED_PER_WANTED * wanted).min(count));
    places.filter(|place| fits(*place)).take(wanted).collect()
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
#[must_use]
pub fn preferred_by_hash<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Vec<usize> {
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

/// Returns the cost by which endpoints are compared, in milliseconds: the wait before the first
/// byte, without the time that the run itself takes longer there.
///
/// Otherwise a fast endpoint with a queue would be preferred to a slow one with free slots, by
/// all instances at the same time.
#[must_use]
pub fn cost_ms(candidate: &Candidate<'_>, request: Request) -> f64 {
    let queue = queue_ms(candidate) * candidate.pace;
    let remote = if candidate.local { 0.0 } else { REMOTE_PENALTY_MS };
    (queue + request.first_byte_ms) * candidate.slowness.max(1.0) - request.first_byte_ms
        + remote
        + candidate.excess_failure_rate * FAILURE_PENALTY_MS
}

/// Returns the wait before the first byte at an endpoint, in milliseconds; negative if it is so
/// fast that the first byte comes sooner than from an idle endpoint of average pace.
fn wait_ms(candidate: &Candidate<'_>, request: Request) -> f64 {
    cost_ms(candidate, request) + request.first_byte_ms * (candidate.pace - 1.0)
}
