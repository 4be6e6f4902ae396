//! Ladders of versions, weighed against each other.
//!
//! A ladder is one to three versions of rising tiers: the next runs when the
//! answer before has failed its rating. Each has an expected quality, cost
//! and time. Those on the lower convex hull of cost over quality are the only
//! ones worth running, alone or in turns; [`Market::decide`] walks that hull
//! up to the required quality and uses the account to take turns between the
//! hull's two points around it.

use world::{Millis, contract::Objective, money::Amount, request::Repeat};

use super::{
    Inputs, Permits, Rater,
    reason::{Refusal, Rule, Step},
};
use crate::quality::{Account, Cell, Estimate, Guess, Profile, Speed};

/// Longest ladder.
const MAX_STEPS: usize = 3;
/// Tiers weighed; a model with more has its cheapest and dearest weighed.
const MAX_TIERS: usize = 8;
/// Time to rate an answer while the caller waits, in milliseconds.
const RATING_MS: f64 = 100.0;
/// Share of what an earlier tier passes that a later one passes too.
const NESTED: f64 = 0.97;
/// Pass rate of the first tier while nobody has rated it.
const BLANK_FIRST: f64 = 0.5;
/// Pass rate of the last tier while nobody has rated it.
const BLANK_LAST: f64 = 0.9;
/// Standard deviations taken off an estimated rate.
const CAUTION: f64 = 0.5;
/// The same where contact with unproven versions weighs most.
const EXPOSURE_CAUTION: f64 = 2.0;
/// Standard deviations taken off the rate an answer is entered with.
const EXPECTED_CAUTION: f64 = 0.0;
/// Passes the account keeps ahead; one failed answer costs less than this.
const RESERVE: f64 = 1.0;
/// Answers over which an account behind its reserve is to catch up.
const HORIZON: f64 = 200.0;
/// Most that catching up adds to the target.
const MAX_CATCH_UP: f64 = 0.05;
/// Quality differences below this are none.
const SAME_QUALITY: f64 = 0.005;
/// Weight of time against cost by objective.
const LATENCY_WEIGHT: f64 = 0.3;
/// Weight of a version under roll-out against cost, objective exposure.
const NEW_WEIGHT: f64 = 0.5;

/// What each permitted version offers this request.
#[derive(Debug)]
pub(super) struct Market {
    offers: Vec<Offer>,
    max_steps: usize,
    left_ms: f64,
    ceiling: Amount,
}

/// One version's figures for this request.
#[derive(Debug, Clone, Copy)]
struct Offer {
    permit: u8,
    cost: f64,
    ceiling: Amount,
    speed: Speed,
    first: Estimate,
    escalated: Estimate,
    new: bool,
}

/// A ladder and what to expect of it.
#[derive(Debug, Clone)]
pub(super) struct Ladder {
    /// Positions in the permits.
    pub rungs: Vec<u8>,
    /// Expected quality.
    pub quality: Estimate,
    /// Most it can cost.
    pub ceiling: Amount,
    cost: f64,
    millis: f64,
}

impl Ladder {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "costs are positive, far below 2^64")]
    pub fn expected_cost(&self) -> Amount {
        Amount(self.cost.round() as u64)
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "times are positive, far below 2^64")]
    pub fn expected_ms(&self) -> Millis {
        self.millis.round() as u64
    }
}

/// The ladder decided on.
#[derive(Debug)]
pub(super) struct Decided {
    pub ladder: Ladder,
    pub rule: Rule,
    pub required: f64,
    pub credit: f64,
    pub considered: u32,
}

/// A ladder before it is chosen: no allocation, thousands a second.
#[derive(Debug, Clone, Copy)]
struct Draft {
    offers: [u8; MAX_STEPS],
    len: u8,
    quality: Estimate,
    lower: f64,
    value: f64,
    cost: f64,
    millis: f64,
    ceiling: Amount,
}

impl Market {
    pub fn open(inputs: &Inputs<'_>, cell: Cell, permits: &Permits) -> Self {
        let mut offers: Vec<_> = weighed(permits.as_slice().len()).map(|i| offer(inputs, cell, permits, i)).collect();
        imply_first(&mut offers);
        let cascades = inputs.repeat == Repeat::Idempotent && inputs.rater == Rater::Up;
        #[expect(clippy::cast_precision_loss, reason = "a deadline is far below 2^52 milliseconds")]
        let left_ms = inputs.left_ms as f64;
        Self { offers, max_steps: if cascades { MAX_STEPS } else { 1 }, left_ms, ceiling: inputs.ceiling }
    }

    pub fn decide(&self, target: f64, account: Account, objective: Objective) -> Result<Decided, Refusal> {
        let drafts = self.drafts(objective);
        if drafts.is_empty() {
            return Err(self.refusal());
        }
        let credit = account.credit();
        let required = target + ((RESERVE - credit) / HORIZON).clamp(0.0, MAX_CATCH_UP);
        let (draft, rule) = pick(&drafts, required, credit);
        let considered = u32::try_from(drafts.len()).unwrap_or(u32::MAX);
        Ok(Decided { ladder: self.ladder(&draft), rule, required, credit, considered })
    }

    pub fn describe(&self, rungs: &[u8], permits: &Permits) -> Vec<Step> {
        let offers = rungs.iter().filter_map(|rung| self.offers.iter().find(|offer| offer.permit == *rung));
        let step = |offer: &Offer| {
            let permit = &permits.as_slice()[usize::from(offer.permit)];
            Step { version: permit.version().clone(), quality: offer.first, pinned: permit.pinned(), new: offer.new }
        };
        offers.map(step).collect()
    }

    /// Expected quality of what is left of a ladder at each step, with caution.
    pub fn expected(&self, rungs: &[u8], ladder: &Ladder) -> Vec<f64> {
        let mut left = 1.0;
        let mut expected = Vec::with_capacity(rungs.len());
        for rung in rungs.iter().rev() {
            let escalated = self
                .offers
                .iter()
                .find(|offer| offer.permit == *rung)
                .map(|offer| offer.escalated.lower(EXPECTED_CAUTION));
            left *= 1.0 - escalated.unwrap_or_default();
            expected.push(1.0 - left);
        }
        expected.reverse();
        if let Some(first) = expected.first_mut() {
            *first = ladder.quality.lower(EXPECTED_CAUTION);
        }
        expected
    }

    /// Every ladder inside deadline and ceiling.
    fn drafts(&self, objective: Objective) -> Vec<Draft> {
        let mut drafts = Vec::with_capacity(32);
        let Some(scale) = self.scale() else { return drafts };
        let mut open = Vec::with_capacity(32);
        open.extend((0..self.offers.len()).map(single));
        while let Some((offers, len)) = open.pop() {
            let last = usize::from(offers[len - 1]);
            if let Some(draft) = self.draft(offers, len, objective, scale) {
                drafts.push(draft);
                if len < self.max_steps {
                    open.extend((last + 1..self.offers.len()).map(|next| extended(offers, len, next)));
                }
            }
        }
        drafts
    }

    fn draft(&self, offers: [u8; MAX_STEPS], len: usize, objective: Objective, scale: Scale) -> Option<Draft> {
        let rungs = || offers[..len].iter().map(|i| &self.offers[usize::from(*i)]);
        let ceiling = rungs().fold(Amount::ZERO, |sum, offer| sum.saturating_add(offer.ceiling));
        if ceiling > self.ceiling {
            return None;
        }
        let mut draft = Draft {
            offers,
            len: u8::try_from(len).unwrap_or(u8::MAX),
            quality: Estimate { mean: 0.0, deviation: 0.0 },
            lower: 0.0,
            value: 0.0,
            cost: 0.0,
            millis: 0.0,
            ceiling,
        };
        let (mut reached, mut variance, mut whole_ms, mut spread) = (1.0, 0.0, 0.0, 0.0);
        let mut best: Option<Estimate> = None;
        let mut new = 0.0;
        for (index, offer) in rungs().enumerate() {
            let pass = if index == 0 { offer.first } else { offer.escalated };
            // Every answer but the last step's waits for its rating, passed or not.
            let rating = if index + 1 < len { RATING_MS } else { 0.0 };
            draft.cost += reached * offer.cost;
            draft.millis += reached * (offer.speed.mean_ms() + rating);
            draft.quality.mean += reached * pass.mean;
            variance = variance * (1.0 - pass.mean).powi(2) + (reached * pass.deviation).powi(2);
            whole_ms += offer.speed.mean_ms() + rating;
            spread += offer.speed.deviation_ms().powi(2);
            new += reached * f64::from(u8::from(offer.new));
            reached *= 1.0 - pass.mean;
            best = best.filter(|b| b.mean >= offer.first.mean).or(Some(offer.first));
        }
        // A single step may be tried as long as it is likely to end in time; a
        // ladder must be safe to end in time, or its escalation is paid for nothing.
        let needed = if len == 1 { rungs().next()?.speed.least_ms() } else { whole_ms + 2.0 * f64::sqrt(spread) };
        if needed > self.left_ms {
            return None;
        }
        draft.quality.deviation = variance.sqrt();
        let caution = if objective == Objective::Exposure { EXPOSURE_CAUTION } else { CAUTION };
        draft.lower = draft.quality.lower(caution);
        // What one of its steps would pass alone, the ladder passes too: each
        // answer that fails moves on, so a ladder is never below its best step.
        if let Some(best) = best {
            if best.mean > draft.quality.mean {
                draft.quality = best;
            }
            draft.lower = draft.lower.max(best.lower(caution));
        }
        draft.value = draft.cost / scale.cost
            + match objective {
                Objective::Cost => 0.0,
                Objective::Latency => LATENCY_WEIGHT * draft.millis / scale.millis,
                Objective::Exposure => NEW_WEIGHT * new,
            };
        Some(draft)
    }

    fn scale(&self) -> Option<Scale> {
        let dearest = self.offers.iter().max_by(|a, b| a.cost.total_cmp(&b.cost))?;
        Some(Scale { cost: dearest.cost.max(1.0), millis: dearest.speed.mean_ms().max(1.0) })
    }

    fn ladder(&self, draft: &Draft) -> Ladder {
        let rungs =
            draft.offers[..usize::from(draft.len)].iter().map(|i| self.offers[usize::from(*i)].permit).collect();
        Ladder { rungs, quality: draft.quality, ceiling: draft.ceiling, cost: draft.cost, millis: draft.millis }
    }

    /// Why no single version fits.
    fn refusal(&self) -> Refusal {
        let cheapest = self.offers.iter().map(|offer| offer.ceiling).min().unwrap_or_default();
        if cheapest > self.ceiling {
            return Refusal::Budget { needed: cheapest, left: self.ceiling };
        }
        let affordable = self.offers.iter().filter(|offer| offer.ceiling <= self.ceiling);
        let fastest = affordable.map(|offer| offer.speed.least_ms()).fold(f64::INFINITY, f64::min);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "times are positive, below 2^52")]
        Refusal::Deadline { needed_ms: fastest.ceil() as u64, left_ms: self.left_ms as u64 }
    }
}

/// What cost and time are measured against: the dearest version's.
#[derive(Debug, Clone, Copy)]
struct Scale {
    cost: f64,
    millis: f64,
}

/// Walks the hull from the least value to the required quality.
fn pick(drafts: &[Draft], required: f64, credit: f64) -> (Draft, Rule) {
    let least = |a: &&Draft, b: &&Draft| a.value.total_cmp(&b.value).then(b.lower.total_cmp(&a.lower));
    let mut current = *drafts.iter().min_by(least).expect("the caller has checked that there are some");
    let mut below = None;
    if drafts.len() == 1 {
        return (current, Rule::Only);
    }
    while current.lower < required {
        let slope =
            |draft: &Draft| (draft.lower - current.lower) / (draft.value - current.value).max(f64::MIN_POSITIVE);
        let better = drafts.iter().filter(|draft| draft.lower > current.lower + SAME_QUALITY);
        let Some(next) = better.max_by(|a, b| slope(a).total_cmp(&slope(b))) else {
            return (current, Rule::BestEffort);
        };
        below = Some(current);
        current = *next;
    }
    match below {
        Some(below) if credit > RESERVE => (below, Rule::AheadOfTarget),
        _ => (current, Rule::MeetsTarget),
    }
}

/// Positions of the tiers that are weighed.
fn weighed(tiers: usize) -> impl Iterator<Item = usize> {
    let skipped = tiers.saturating_sub(MAX_TIERS);
    let kept = MAX_TIERS / 2;
    (0..tiers).filter(move |i| *i < kept || *i >= kept + skipped)
}

fn offer(inputs: &Inputs<'_>, cell: Cell, permits: &Permits, index: usize) -> Offer {
    let permit = &permits.as_slice()[index];
    let guess = Guess { parent: permit.predecessor(), blank: blank(index, permits.as_slice().len()) };
    let Profile { first, escalated, speed } = inputs.book.profile(cell, permit.version(), guess, inputs.now);
    let most = inputs.max_tokens.unwrap_or(u32::MAX).min(permit.max_output());
    let output = speed.output_tokens().min(f64::from(most));
    let price = permit.price();
    #[expect(clippy::cast_precision_loss, reason = "prices are far below 2^52 nano-units a token")]
    let cost = (price.input.0 as f64 * f64::from(inputs.prompt_tokens) + price.output.0 as f64 * output) / 1e6;
    Offer {
        permit: u8::try_from(index).unwrap_or(u8::MAX),
        cost,
        ceiling: price.cost(u64::from(inputs.prompt_tokens), u64::from(most)),
        speed,
        first,
        escalated,
        new: permit.predecessor().is_some(),
    }
}

/// Pass rate of a version nobody has rated: tiers are put in order by those
/// who know the models, so a class that is new starts at the last.
fn blank(index: usize, tiers: usize) -> f64 {
    let place = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    let last = tiers.saturating_sub(1).max(1);
    (BLANK_LAST - BLANK_FIRST).mul_add(place(index + usize::from(tiers == 1)) / place(last), BLANK_FIRST)
}

/// Learns first answers from escalated ones.
///
/// A cascade that always starts cheap never sees its last version answer
/// first. Without this, an hour without ratings (no cascade then) would find
/// the best version unproven. What the cheap one passes, the better one
/// passes nearly always; of the rest, its escalated rate says.
fn imply_first(offers: &mut [Offer]) {
    let Some((cheap, dearer)) = offers.split_first_mut() else { return };
    for offer in dearer {
        let failed = 1.0 - cheap.first.mean;
        let mean = NESTED.mul_add(cheap.first.mean, failed * offer.escalated.mean);
        let deviation =
            f64::hypot(cheap.first.deviation * (1.0 - offer.escalated.mean), failed * offer.escalated.deviation);
        if deviation < offer.first.deviation {
            offer.first = Estimate { mean, deviation };
        }
    }
}

fn single(first: usize) -> ([u8; MAX_STEPS], usize) {
    let mut offers = [0; MAX_STEPS];
    offers[0] = u8::try_from(first).unwrap_or(u8::MAX);
    (offers, 1)
}

fn extended(mut offers: [u8; MAX_STEPS], len: usize, next: usize) -> ([u8; MAX_STEPS], usize) {
    offers[len] = u8::try_from(next).unwrap_or(u8::MAX);
    (offers, len + 1)
}
