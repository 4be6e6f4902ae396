//! Which endpoint runs a request.
//!
//! The load pattern: prompts share long parts, an endpoint keeps the parts it
//! has read, and reading one again costs as much as hundreds of generated
//! tokens. Rendezvous hashing of the longest shared part gives every instance
//! the same preferred endpoint without a word between them. It is taken unless
//! waiting there would cost more than reading the part again at the least
//! loaded of a few others; so hot parts spread over further endpoints just as
//! far as that pays, and requests without a shared part go where of a few
//! endpoints the wait is least.
//!
//! Why a few and not all: loads that other instances put on an endpoint are
//! known as of a moment ago, up to 1.25 s with 74 instances, which is longer
//! than most runs take. The one endpoint that looked least loaded was chosen by
//! all instances until their next news, and the crowd moved on with it. The
//! better of two drawn at random stays close to even with news of any age
//! (Mitzenmacher, "How useful is old information?", 2000). On a heavy day of 74
//! instances callers were given 0.831 of what they were owed in place of 0.802,
//! and the worst two seconds 0.59 in place of 0.48 (one simulated day each).

use world::hash;

/// Wait that a run in excess of the slots adds, in milliseconds: about a run's
/// decoding time over the slots that may come free meanwhile.
const QUEUED_MS: f64 = 150.0;

/// Wait that each run on an endpoint adds by making its steps longer, in
/// milliseconds over a typical first step.
const SHARED_MS: f64 = 3.0;

/// Added for an endpoint of another failure domain, in milliseconds: the way
/// there, and the bytes that are paid for.
const REMOTE_MS: f64 = 4.0;

/// Added for certain failure, in milliseconds: what a failed try costs a caller.
const FAILURE_MS: f64 = 3_000.0;

/// Preferred endpoints of a shared part that are tried in order. When the first
/// is lost or overloaded, all instances go on to the same next ones, which keep
/// their copies warm; what spills over to endpoints drawn at random is read
/// again by each of them and found by nobody.
const PREFERRED: usize = 4;

/// Endpoints drawn of each group, those nearby and all. What they have to read
/// is known as of now, so many may be compared by it; of two and two drawn, one
/// request in eight found all of them reading on a heavy day.
const DRAWN: usize = 6;

/// Endpoints that are compared by what news of a while ago tells as well.
const LISTED: usize = 4;

/// Part of the cost of reading a shared part again that is staked on an
/// endpoint of which only the part's hash speaks.
const UNSURE: f64 = 0.25;

/// What reading a shared part again counts as, over the time that it takes the
/// request itself: the other runs on the endpoint wait for it as well. With 3
/// in place of 1, callers of a heavy day with 74 instances were given 0.840 of
/// what they were owed in place of 0.831, and 0.846 in place of 0.825 with other
/// draws (one simulated day each).
const READ_AGAIN: f64 = 3.0;

/// What reading one token of a shared part again counts as besides, in
/// milliseconds of waiting, whatever the model. A small model reads ten times
/// faster than the largest, so time alone let six of ten of its requests stray
/// from what was read for them, each of them displacing other parts from an
/// endpoint's memory. Together with four preferred endpoints it lowered the
/// tokens that were read again on heavy days of 61 and 74 instances by a fifth
/// and a quarter (one simulated day each).
const READ_AGAIN_TOKEN_MS: f64 = 0.05;

/// An endpoint as the decision sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its name.
    pub id: &'a str,
    /// Runs it takes at a time.
    pub slots: u32,
    /// Runs under way there, of all instances.
    pub runs: f64,
    /// Prompt reading still owed there, in milliseconds, as far as this instance
    /// put it there or was told at once.
    pub backlog_ms: f64,
    /// The same, as news of other instances told a while ago.
    pub told_ms: f64,
    /// Its time over the time that others take for the same, 1 if alike.
    pub slowness: f64,
    /// Share of its runs that fail in excess of its peers'.
    pub failing: f64,
    /// Whether it stands in this instance's failure domain.
    pub local: bool,
    /// Whether it is believed to keep the shared part.
    pub holds: bool,
}

/// What is to be run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Wanted {
    /// Hash of the longest shared part of the prompt and its model.
    pub affinity: Option<u64>,
    /// Time to read that part again, in milliseconds.
    pub reread_ms: f64,
    /// Tokens of the prompt up to the end of that part.
    pub shared_tokens: u32,
    /// Time the request itself takes an idle endpoint until its first byte, in
    /// milliseconds.
    pub first_ms: f64,
}

/// The endpoint chosen, by its index among the candidates, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index among the candidates.
    pub index: usize,
    /// Wait expected there before the first byte, in milliseconds.
    pub wait_ms: f64,
    /// Whether it is a preferred one.
    pub preferred: bool,
}

/// Chooses an endpoint; nothing when there is no candidate.
#[must_use]
pub fn choose(candidates: &[Candidate<'_>], wanted: Wanted, tie: u64) -> Option<Choice> {
    let weighed = |index: usize| (index, wait_ms(&candidates[index], wanted));
    let (least, wait_ms) =
        shortlist(candidates, wanted, tie).into_iter().map(weighed).min_by(|a, b| a.1.total_cmp(&b.1))?;
    let other = Choice { index: least, wait_ms, preferred: false };
    let Some(key) = wanted.affinity else { return Some(other) };
    let again_ms = READ_AGAIN * wanted.reread_ms + READ_AGAIN_TOKEN_MS * f64::from(wanted.shared_tokens);
    let holders = (0..candidates.len()).filter(|&index| candidates[index].holds).map(weighed);
    let holder = holders.min_by(|a, b| a.1.total_cmp(&b.1)).filter(|(_, wait)| *wait <= wait_ms + again_ms);
    let unsure = wait_ms + UNSURE * again_ms;
    let by_hash = || preferred(candidates, key).into_iter().flatten().map(weighed).find(|(_, wait)| *wait <= unsure);
    let preferred = holder.or_else(by_hash);
    Some(preferred.map_or(other, |(index, wait_ms)| Choice { index, wait_ms, preferred: true }))
}

/// Endpoints drawn at random, some of those nearby and some of all; of these
/// the few that have least to read, as far as that is known as of now.
fn shortlist(candidates: &[Candidate<'_>], wanted: Wanted, tie: u64) -> Vec<usize> {
    let near: Vec<usize> = (0..candidates.len()).filter(|&index| candidates[index].local).collect();
    let draw = hash::stable(&tie.to_le_bytes());
    let of_all = spread(candidates.len(), draw.rotate_left(32));
    let mut of_near = spread(near.len(), draw).map(|place| near[place]);
    let mut drawn: Vec<usize> = Vec::with_capacity(2 * DRAWN);
    for index in of_all {
        drawn.extend(of_near.next());
        drawn.push(index);
    }
    let known_ms = |index: &usize| known_wait_ms(&candidates[*index], wanted);
    // Stable: those that are alike stay in the order they were drawn in.
    drawn.sort_by(|a, b| known_ms(a).total_cmp(&known_ms(b)));
    drawn.truncate(LISTED);
    drawn
}

/// Wait before the first byte at an endpoint that is known as of now, in
/// milliseconds.
fn known_wait_ms(candidate: &Candidate<'_>, wanted: Wanted) -> f64 {
    (candidate.backlog_ms + wanted.first_ms) * candidate.slowness.max(1.0) + candidate.failing * FAILURE_MS
}

/// Different places of so many, by a random number.
fn spread(count: usize, draw: u64) -> impl Iterator<Item = usize> {
    let of = u64::try_from(count).unwrap_or(u64::MAX);
    let place = move |number: u64| usize::try_from(number).unwrap_or_default();
    let first = draw.checked_rem(of).unwrap_or_default();
    // With a step prime to none of the usual counts a place may come twice,
    // which only makes the draw smaller.
    let step = 1 + (draw >> 16).checked_rem(of.saturating_sub(1)).unwrap_or_default();
    (0..DRAWN.min(count) as u64).map(move |number| (first + number * step) % of.max(1)).map(place)
}

/// Wait before the first byte at an endpoint, in milliseconds.
fn wait_ms(candidate: &Candidate<'_>, wanted: Wanted) -> f64 {
    let over = (candidate.runs + 1.0 - f64::from(candidate.slots)).max(0.0);
    let queue = candidate.backlog_ms + candidate.told_ms + candidate.runs * SHARED_MS + over * QUEUED_MS;
    let remote = if candidate.local { 0.0 } else { REMOTE_MS };
    (queue + wanted.first_ms) * candidate.slowness.max(1.0) - wanted.first_ms + remote + candidate.failing * FAILURE_MS
}

/// The endpoints with the highest rendezvous weights, best first.
fn preferred(candidates: &[Candidate<'_>], key: u64) -> [Option<usize>; PREFERRED] {
    let mut best: [Option<(u64, usize)>; PREFERRED] = [None; PREFERRED];
    for (index, candidate) in candidates.iter().enumerate() {
        let mut entry = Some((hash::rendezvous(key, candidate.id.as_bytes()), index));
        for place in &mut best {
            if entry > *place {
                std::mem::swap(&mut entry, place);
            }
        }
    }
    best.map(|place| place.map(|(_, index)| index))
}
