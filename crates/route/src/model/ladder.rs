//! Enumerates ladders of versions and selects one.
//!
//! A ladder is one to three versions of rising tiers: the next one runs if the
//! previous answer has failed its rating. Each ladder has an expected quality,
//! cost and time. Only ladders on the lower convex hull of cost over quality are
//! worth running, alone or alternating: any other is more expensive than a mix of
//! two hull points of the same quality. [`Market::decide`] walks the hull up to
//! the required quality and alternates between the two hull points around it
//! depending on the credit of the account.

use world::{Millis, contract::Objective, money::Amount, request::Repeat};

use super::{
    Inputs, Permits, Rater,
    reason::{Refusal, Rule, Step},
};
use crate::quality::{Account, Cell, Estimate, Guess, Profile, Speed};

/// Maximum number of steps of a ladder.
const MAX_STEPS: usize = 3;
/// Maximum number of tiers considered. Of a model with more tiers, only the
/// cheapest and the most expensive ones are considered, half of each.
const MAX_TIERS: usize = 8;
/// Time to rate an answer while the caller waits, in milliseconds.
const RATING_MS: f64 = 100.0;
/// Share of the requests passed by the first tier that a later tier passes too.
const NESTED: f64 = 0.97;
/// Assumed pass rate of the first tier before any rating.
const BLANK_FIRST: f64 = 0.5;
/// Assumed pass rate of the last tier before any rating.
const BLANK_LAST: f64 = 0.9;
/// Standard deviations subtracted from an estimated pass rate.
const CAUTION: f64 = 0.5;
/// Standard deviations subtracted from an estimated pass rate under the
/// objective exposure.
const EXPOSURE_CAUTION: f64 = 2.0;
/// Standard deviations subtracted from the pass rate that a pending answer is
/// recorded with in the account.
const EXPECTED_CAUTION: f64 = 0.0;
/// Passes that the account keeps in reserve. One failed answer costs less.
const RESERVE: f64 = 1.0;
/// Number of answers within which an account below its reserve catches up.
const HORIZON: f64 = 200.0;
/// Maximum increase of the target while catching up.
const MAX_CATCH_UP: f64 = 0.05;
/// Quality differences up to this value are ignored.
const SAME_QUALITY: f64 = 0.005;
/// Weight of time relative to cost under the objective latency.
const LATENCY_WEIGHT: f64 = 0.3;
/// Weight of a run on a version under roll-out relative to cost under the
/// objective exposure.
const NEW_WEIGHT: f64 = 0.5;

/// Permitted versions of a request, with its limits.
#[derive(Debug)]
pub(super) struct Market {
    offers: Vec<Offer>,
    max_steps: usize,
    left_ms: f64,
    ceiling: Amount,
}

/// Expected quality, cost and speed of one version for a request.
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

/// A ladder with its expected quality, cost and time.
#[derive(Debug, Clone)]
pub(super) struct Ladder {
    /// Indices into the permits.
    pub rungs: Vec<u8>,
    /// Expected quality.
    pub quality: Estimate,
    /// Maximum cost.
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

/// The selected ladder and the figures behind the selection.
#[derive(Debug)]
pub(super) struct Decided {
    pub ladder: Ladder,
    pub rule: Rule,
    pub required: f64,
    pub credit: f64,
    pub considered: u32,
}

/// A candidate ladder. Holds no heap data, since thousands are built per second.
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

    /// Returns, for each step, the expected pass rate of the rest of the ladder.
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

    /// Returns every ladder within the deadline and the price ceiling.
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
            // Every answer except that of the last step waits for its rating, whether it passes or not.
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
        // A single step is allowed if it can possibly end in time. A longer ladder
        // must be nearly certain to end in time, otherwise the escalation costs
        // money and its answer arrives too late.
        let needed = if len == 1 { rungs().next()?.speed.least_ms() } else { whole_ms + 2.0 * f64::sqrt(spread) };
        if needed > self.left_ms {
            return None;
        }
        draft.quality.deviation = variance.sqrt();
        let caution = if objective == Objective::Exposure { EXPOSURE_CAUTION } else { CAUTION };
        draft.lower = draft.quality.lower(caution);
        // A failed answer escalates, so a request that any one step passes is
        // passed by the ladder too: its quality is at least that of its best step.
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

    /// Returns the reason why no single version fits.
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

/// Cost and time of the most expensive version, used to normalize those of ladders.
#[derive(Debug, Clone, Copy)]
struct Scale {
    cost: f64,
    millis: f64,
}

/// Walks the convex hull from the ladder of the lowest value up to the required quality.
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

/// Returns the indices of the tiers to consider.
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

/// Returns the assumed pass rate of a version without ratings.
///
/// Rises with the tier, since operators order tiers by quality. A class without
/// ratings therefore starts on the last tier.
fn blank(index: usize, tiers: usize) -> f64 {
    let place = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    let last = tiers.saturating_sub(1).max(1);
    (BLANK_LAST - BLANK_FIRST).mul_add(place(index + usize::from(tiers == 1)) / place(last), BLANK_FIRST)
}

/// Infers the pass rate of first answers from that of escalated answers.
///
/// If requests always start on the cheapest version, the better versions never
/// give a first answer. While the rating service is down there is no escalation,
/// and the best version would then count as unproven. The inference assumes that
/// a better version passes nearly all requests that the cheapest one passes, and
/// the remaining ones at its escalated rate. It replaces the direct estimate only
/// where it has the smaller deviation.
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
