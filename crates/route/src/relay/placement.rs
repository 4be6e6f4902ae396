//! Which endpoint runs a request.
//!
//! The load pattern: prompts share long parts, an endpoint keeps the parts it
//! has read, and reading one again costs as much as hundreds of generated
//! tokens. Where it is known who keeps a part, the request goes to the freest of
//! these, or anywhere else if waiting there costs more than copying the part; so
//! hot parts spread over further endpoints just as far as that pays. A part that
//! nobody is known to keep goes where the wait is least, with a lean to the
//! endpoint that rendezvous hashing names: word of a reading there may have been
//! lost, and every instance comes to the same one without a word.
//!
//! Why a few endpoints are compared and not all: loads that other instances put
//! on one are known in part as of a moment ago, up to 1.25 s with 74 instances,
//! longer than most runs take. The one endpoint that looked least loaded was
//! chosen by all instances until their next news, and the crowd moved on with it.
//! The better of two drawn at random stays close to even with news of any age
//! (Mitzenmacher, "How useful is old information?", 2000). On a heavy day of 74
//! instances callers were given 0.831 of what they were owed in place of 0.802,
//! and the worst two seconds 0.59 in place of 0.48 (one simulated day each). What
//! is known as of now, of long prompts, makes no crowd and may narrow a wider draw.

use world::hash;

/// Wait that a run in excess of the slots adds, in milliseconds: about a run's
/// decoding time over the slots that may come free meanwhile.
const QUEUED_MS: f64 = 150.0;

/// Wait that each run on an endpoint adds by making its steps longer, in
/// milliseconds over a typical first step.
const SHARED_MS: f64 = 3.0;

/// Added for an endpoint of another failure domain, in milliseconds: the way
/// there, and the bytes that are paid for. With 15 in place of 4, bytes between
/// failure domains fell by an eighth, and no more requests came late (a simulated
/// day of 61 and one of 74 instances).
const REMOTE_MS: f64 = 15.0;

/// Added for certain failure, in milliseconds: what a failed try costs a caller.
const FAILURE_MS: f64 = 3_000.0;

/// Preferred endpoints of a shared part that are tried in order. When the first
/// is lost or overloaded, all instances go on to the same next ones, which keep
/// their copies warm; what spills over to endpoints drawn at random is read
/// again by each of them and found by nobody.
const PREFERRED: usize = 4;

/// Endpoints drawn of each group, those nearby and all. What they have to read
/// is known as of now, so many may be compared by it: with engines that read for
/// six tenths of the time, one request in eight would find all of two and two
/// drawn reading. Late requests of a heavy day with 74 instances fell from 1,278
/// to 998 (one simulated day each, eight drawn).
const DRAWN: usize = 6;

/// Endpoints that are compared by what news of a while ago tells as well.
const LISTED: usize = 4;

/// Part of the cost of reading a shared part again that is staked on an
/// endpoint of which only the part's hash speaks. Callers of a heavy day with 74
/// and one with 61 instances were given 0.927 and 0.906 of what they were owed,
/// with none of it staked, and prompts of 40 ms told as well, 0.921 and 0.900 (one
/// simulated day each).
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

/// What copying one token of a shared part from its holder counts as, in
/// milliseconds of waiting. The copy itself takes a twelfth of the largest
/// model's reading; the rest stands for the bytes moved, at about two thirds of
/// the price at which a token read again by a small model stands above. Late requests of heavy days
/// with 74 and 61 instances fell from 783 to 403 and from 1,713 to 1,491 (one
/// simulated day each, together with the lean to the nearby).
const COPY_TOKEN_MS: f64 = 0.035;

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
    pub old_news_ms: f64,
    /// Its time over the time that others take for the same, 1 if alike.
    pub slowness: f64,
    /// Share of its runs that fail in excess of its peers'.
    pub failing: f64,
    /// Whether it stands in this instance's failure domain.
    pub local: bool,
    /// Whether it is believed to keep the shared part.
    pub holds: bool,
    /// Whether it is believed to keep the whole prompt.
    pub holds_whole: bool,
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
    /// Whom to copy the shared part from, by its index among the candidates.
    pub source: Option<usize>,
}

/// Chooses an endpoint; nothing when there is no candidate.
#[must_use]
pub fn choose(candidates: &[Candidate<'_>], wanted: Wanted, tie: u64) -> Option<Choice> {
    let weighed = |index: usize| (index, wait_ms(&candidates[index], wanted));
    let (least, wait_ms) =
        shortlist(candidates, wanted, tie).into_iter().map(weighed).min_by(|a, b| a.1.total_cmp(&b.1))?;
    let other = Choice { index: least, wait_ms, preferred: false, source: None };
    let freest = |is_holder: fn(&Candidate<'_>) -> bool| {
        let holders = (0..candidates.len()).filter(|&index| is_holder(&candidates[index])).map(weighed);
        holders.min_by(|a, b| a.1.total_cmp(&b.1))
    };
    let again_ms = READ_AGAIN * wanted.reread_ms + READ_AGAIN_TOKEN_MS * f64::from(wanted.shared_tokens);
    let copy_ms = again_ms.min(COPY_TOKEN_MS * f64::from(wanted.shared_tokens));
    if let Some((holder, holder_ms)) = freest(|candidate| candidate.holds_whole)
        && holder_ms <= wait_ms + wanted.first_ms + copy_ms
    {
        return Some(Choice { index: holder, wait_ms: holder_ms, preferred: true, source: None });
    }
    let Some(key) = wanted.affinity else { return Some(other) };
    if let Some((holder, holder_ms)) = freest(|candidate| candidate.holds) {
        if holder_ms <= wait_ms + copy_ms {
            return Some(Choice { index: holder, wait_ms: holder_ms, preferred: true, source: None });
        }
        return Some(Choice { source: Some(holder), ..other });
    }
    let unsure = wait_ms + UNSURE * again_ms;
    let preferred = named_by_hash(key, candidates.iter().map(|candidate| candidate.id));
    let by_hash = preferred.into_iter().map(weighed).find(|(_, wait)| *wait <= unsure);
    Some(by_hash.map_or(other, |(index, wait_ms)| Choice { index, wait_ms, preferred: true, source: None }))
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

/// Some different places of so many that fit, by a random number.
///
/// Looks at a few times as many as are wanted, whatever the count: where fewer fit,
/// fewer are found.
pub fn sample(count: usize, wanted: usize, draw: u64, mut fits: impl FnMut(usize) -> bool) -> Vec<usize> {
    const LOOKS: usize = 4;
    let places = spread_over(count, draw).take((LOOKS * wanted).min(count));
    places.filter(|place| fits(*place)).take(wanted).collect()
}

/// Different places of so many, by a random number.
fn spread(count: usize, draw: u64) -> impl Iterator<Item = usize> {
    spread_over(count, draw).take(DRAWN.min(count))
}

/// All places of so many, in an order by a random number; it begins anew at its end.
fn spread_over(count: usize, draw: u64) -> impl Iterator<Item = usize> {
    let draw = usize::try_from(draw & 0xFFFF_FFFF).unwrap_or_default();
    let (first, mut step) = (draw % count.max(1), 1 + (draw >> 16) % count.max(1));
    // A step that shares a divisor with the count would come to a place twice.
    while gcd(step, count) > 1 {
        step += 1;
    }
    (0..).map(move |number: usize| (first + number * step) % count.max(1))
}

/// The names with the highest rendezvous weights for a key, best first, as the
/// indices of the endpoints that a shared part prefers.
#[must_use]
pub fn named_by_hash<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut best: [Option<(u64, usize)>; PREFERRED] = [None; PREFERRED];
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

/// Wait before the first byte at an endpoint, in milliseconds.
fn wait_ms(candidate: &Candidate<'_>, wanted: Wanted) -> f64 {
    let over = (candidate.runs + 1.0 - f64::from(candidate.slots)).max(0.0);
    let queue = candidate.backlog_ms + candidate.old_news_ms + candidate.runs * SHARED_MS + over * QUEUED_MS;
    let remote = if candidate.local { 0.0 } else { REMOTE_MS };
    (queue + wanted.first_ms) * candidate.slowness.max(1.0) - wanted.first_ms + remote + candidate.failing * FAILURE_MS
}
