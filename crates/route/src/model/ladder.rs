//! Enumerates ladders of versions and selects one.
//!
//! A ladder is one to three versions of rising tiers: the next one runs if the previous
//! answer has failed its rating. Each ladder has an expected quality, cost and time. Only
//! ladders on the lower convex hull of cost over quality are worth running, alone or
//! alternating: any other is more expensive than alternating between two hull points at the
//! same average quality. [`LadderSearch::decide`] walks the hull up to the required quality
//! and alternates between the two hull points around it depending on the credit of the
//! account.

use world::{Millis, contract::Objective, money::Amount, request::Repeat};

use super::{
    Inputs, Permits, Rater,
    reason::{Refusal, Rule, Step},
};
use crate::quality::{Account, Cell, Estimate, Prior, Profile, Speed};

/// Maximum number of steps of a ladder.
const MAX_STEPS: usize = 3;
/// Maximum number of tiers considered. Of a model with more tiers, only the
/// cheapest and the most expensive ones are considered, half of each.
const MAX_TIERS: usize = 8;
/// Time to rate an answer while the caller waits, in milliseconds.
const RATING_MS: f64 = 100.0;
/// Assumed share of the requests answered well enough by the first tier that a later tier
/// answers well enough too.
const NESTED_PASS_SHARE: f64 = 0.97;
/// Assumed pass rate of the first tier before any rating.
const PRIOR_FIRST_TIER_RATE: f64 = 0.5;
/// Assumed pass rate of the last tier before any rating.
const PRIOR_LAST_TIER_RATE: f64 = 0.9;
/// Standard deviations subtracted from an estimated pass rate.
const CAUTION_DEVIATIONS: f64 = 0.5;
/// Standard deviations subtracted from an estimated pass rate under
/// [`Objective::Exposure`].
const EXPOSURE_CAUTION_DEVIATIONS: f64 = 2.0;
/// Standard deviations subtracted from the pass rate that a pending answer is
/// recorded with in the account.
const ACCOUNT_CAUTION_DEVIATIONS: f64 = 0.0;
/// Number of passes by which the quality account should stay ahead of the target. One
/// failed answer costs the account less than one pass.
const RESERVE_PASSES: f64 = 1.0;
/// Number of answers within which an account that is below [`RESERVE_PASSES`] catches up.
const CATCH_UP_ANSWERS: f64 = 200.0;
/// Maximum increase of the target while catching up.
const MAX_CATCH_UP: f64 = 0.05;
/// Quality differences up to this value are ignored.
const MIN_QUALITY_DIFFERENCE: f64 = 0.005;
/// Weight of time relative to cost under [`Objective::Latency`].
const LATENCY_WEIGHT: f64 = 0.3;
/// Weight of a run on a version under roll-out relative to cost under
/// [`Objective::Exposure`].
const NEW_VERSION_WEIGHT: f64 = 0.5;

/// The versions that a request may run on and the limits that its ladders must keep.
#[derive(Debug)]
pub(super) struct LadderSearch {
    candidates: Vec<Candidate>,
    max_steps: usize,
    left_ms: f64,
    ceiling: Amount,
}

/// Expected quality, cost and speed of one version for a request.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    permit_index: u8,
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
    pub permit_indices: Vec<u8>,
    /// Expected quality.
    pub quality: Estimate,
    /// Maximum cost.
    pub ceiling: Amount,
    cost: f64,
    time_ms: f64,
}

impl Ladder {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "costs are positive, far below 2^64")]
    pub fn expected_cost(&self) -> Amount {
        Amount(self.cost.round() as u64)
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "times are positive, far below 2^64")]
    pub fn expected_ms(&self) -> Millis {
        self.time_ms.round() as u64
    }
}

/// The selected ladder and the figures behind the selection.
#[derive(Debug)]
pub(super) struct Decision {
    pub ladder: Ladder,
    pub rule: Rule,
    pub required: f64,
    pub credit: f64,
    pub considered: u32,
}

/// A ladder under consideration. Holds no heap data, since thousands are built per second.
#[derive(Debug, Clone, Copy)]
struct Draft {
    /// Indices into [`LadderSearch::candidates`]; only the first `len` are used.
    candidates: [u8; MAX_STEPS],
    len: u8,
    quality: Estimate,
    /// Mean quality minus the standard deviations subtracted as caution.
    lower_bound: f64,
    /// Normalized cost plus the weighted term of the objective; lower is better.
    objective_cost: f64,
    cost: f64,
    time_ms: f64,
    ceiling: Amount,
}

impl LadderSearch {
    pub fn new(inputs: &Inputs<'_>, cell: Cell, permits: &Permits) -> Self {
        let mut candidates: Vec<_> =
            considered_tiers(permits.as_slice().len()).map(|i| candidate(inputs, cell, permits, i)).collect();
        infer_first_pass_rates(&mut candidates);
        let cascades = inputs.repeat == Repeat::Idempotent && inputs.rater == Rater::Available;
        #[expect(clippy::cast_precision_loss, reason = "a deadline is far below 2^52 milliseconds")]
        let left_ms = inputs.left_ms as f64;
        Self { candidates, max_steps: if cascades { MAX_STEPS } else { 1 }, left_ms, ceiling: inputs.ceiling }
    }

    pub fn decide(&self, target: f64, account: Account, objective: Objective) -> Result<Decision, Refusal> {
        let drafts = self.drafts(objective);
        if drafts.is_empty() {
            return Err(self.refusal());
        }
        let credit = account.credit();
        let required = target + ((RESERVE_PASSES - credit) / CATCH_UP_ANSWERS).clamp(0.0, MAX_CATCH_UP);
        let (draft, rule) = select_on_hull(&drafts, required, credit);
        let considered = u32::try_from(drafts.len()).unwrap_or(u32::MAX);
        Ok(Decision { ladder: self.ladder(&draft), rule, required, credit, considered })
    }

    pub fn describe(&self, permit_indices: &[u8], permits: &Permits) -> Vec<Step> {
        let candidates = permit_indices.iter().filter_map(|permit_index| {
            self.candidates.iter().find(|candidate| candidate.permit_index == *permit_index)
        });
        let step = |candidate: &Candidate| {
            let permit = &permits.as_slice()[usize::from(candidate.permit_index)];
            Step {
                version: permit.version().clone(),
                quality: candidate.first,
                pinned: permit.pinned(),
                new: candidate.new,
            }
        };
        candidates.map(step).collect()
    }

    /// Returns, for each step, the expected pass rate of the rest of the ladder.
    pub fn expected_pass_rates(&self, permit_indices: &[u8], ladder: &Ladder) -> Vec<f64> {
        let mut fail_rate = 1.0;
        let mut expected_pass_rates = Vec::with_capacity(permit_indices.len());
        for permit_index in permit_indices.iter().rev() {
            let escalated = self
                .candidates
                .iter()
                .find(|candidate| candidate.permit_index == *permit_index)
                .map(|candidate| candidate.escalated.lower_bound(ACCOUNT_CAUTION_DEVIATIONS));
            fail_rate *= 1.0 - escalated.unwrap_or_default();
            expected_pass_rates.push(1.0 - fail_rate);
        }
        expected_pass_rates.reverse();
        if let Some(first) = expected_pass_rates.first_mut() {
            *first = ladder.quality.lower_bound(ACCOUNT_CAUTION_DEVIATIONS);
        }
        expected_pass_rates
    }

    /// Returns every ladder within the deadline and the price ceiling.
    fn drafts(&self, objective: Objective) -> Vec<Draft> {
        let mut drafts = Vec::with_capacity(32);
        let Some(scale) = self.scale() else { return drafts };
        let mut stack = Vec::with_capacity(32);
        stack.extend((0..self.candidates.len()).map(single_step));
        while let Some((candidates, len)) = stack.pop() {
            let last = usize::from(candidates[len - 1]);
            if let Some(draft) = self.draft(candidates, len, objective, scale) {
                drafts.push(draft);
                if len < self.max_steps {
                    stack.extend((last + 1..self.candidates.len()).map(|next| extended(candidates, len, next)));
                }
            }
        }
        drafts
    }

    fn draft(&self, candidates: [u8; MAX_STEPS], len: usize, objective: Objective, scale: Scale) -> Option<Draft> {
        let steps = || candidates[..len].iter().map(|i| &self.candidates[usize::from(*i)]);
        let ceiling = steps().fold(Amount::ZERO, |sum, candidate| sum.saturating_add(candidate.ceiling));
        if ceiling > self.ceiling {
            return None;
        }
        let mut draft = Draft {
            candidates,
            len: u8::try_from(len).unwrap_or(u8::MAX),
            quality: Estimate { mean: 0.0, deviation: 0.0 },
            lower_bound: 0.0,
            objective_cost: 0.0,
            cost: 0.0,
            time_ms: 0.0,
            ceiling,
        };
        let (mut reach_probability, mut variance, mut total_ms, mut time_variance) = (1.0, 0.0, 0.0, 0.0);
        let mut best_step: Option<Estimate> = None;
        let mut new_runs = 0.0;
        for (index, candidate) in steps().enumerate() {
            let pass_rate = if index == 0 { candidate.first } else { candidate.escalated };
            // Every answer except that of the last step waits for its rating, whether it passes or not.
            let rating_ms = if index + 1 < len { RATING_MS } else { 0.0 };
            draft.cost += reach_probability * candidate.cost;
            draft.time_ms += reach_probability * (candidate.speed.mean_ms() + rating_ms);
            draft.quality.mean += reach_probability * pass_rate.mean;
            variance = variance * (1.0 - pass_rate.mean).powi(2) + (reach_probability * pass_rate.deviation).powi(2);
            total_ms += candidate.speed.mean_ms() + rating_ms;
            time_variance += candidate.speed.deviation_ms().powi(2);
            new_runs += reach_probability * f64::from(u8::from(candidate.new));
            reach_probability *= 1.0 - pass_rate.mean;
            best_step = best_step.filter(|b| b.mean >= candidate.first.mean).or(Some(candidate.first));
        }
        // A single step is allowed if it can possibly end in time. A longer ladder
        // must be nearly certain to end in time, otherwise the escalation costs
        // money and its answer arrives too late.
        let needed_ms =
            if len == 1 { steps().next()?.speed.plausible_min_ms() } else { total_ms + 2.0 * f64::sqrt(time_variance) };
        if needed_ms > self.left_ms {
            return None;
        }
        draft.quality.deviation = variance.sqrt();
        let caution = if objective == Objective::Exposure { EXPOSURE_CAUTION_DEVIATIONS } else { CAUTION_DEVIATIONS };
        draft.lower_bound = draft.quality.lower_bound(caution);
        // A failed answer escalates, so a request that any one step passes is
        // passed by the ladder too: its quality is at least that of its best step.
        if let Some(best_step) = best_step {
            if best_step.mean > draft.quality.mean {
                draft.quality = best_step;
            }
            draft.lower_bound = draft.lower_bound.max(best_step.lower_bound(caution));
        }
        draft.objective_cost = draft.cost / scale.cost
            + match objective {
                Objective::Cost => 0.0,
                Objective::Latency => LATENCY_WEIGHT * draft.time_ms / scale.time_ms,
                Objective::Exposure => NEW_VERSION_WEIGHT * new_runs,
            };
        Some(draft)
    }

    fn scale(&self) -> Option<Scale> {
        let most_expensive = self.candidates.iter().max_by(|a, b| a.cost.total_cmp(&b.cost))?;
        Some(Scale { cost: most_expensive.cost.max(1.0), time_ms: most_expensive.speed.mean_ms().max(1.0) })
    }

    fn ladder(&self, draft: &Draft) -> Ladder {
        let permit_indices = draft.candidates[..usize::from(draft.len)]
            .iter()
            .map(|i| self.candidates[usize::from(*i)].permit_index)
            .collect();
        Ladder {
            permit_indices,
            quality: draft.quality,
            ceiling: draft.ceiling,
            cost: draft.cost,
            time_ms: draft.time_ms,
        }
    }

    /// Returns the reason why no single version fits.
    fn refusal(&self) -> Refusal {
        let cheapest = self.candidates.iter().map(|candidate| candidate.ceiling).min().unwrap_or_default();
        if cheapest > self.ceiling {
            return Refusal::Budget { needed: cheapest, left: self.ceiling };
        }
        let affordable = self.candidates.iter().filter(|candidate| candidate.ceiling <= self.ceiling);
        let fastest = affordable.map(|candidate| candidate.speed.plausible_min_ms()).fold(f64::INFINITY, f64::min);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "times are positive, below 2^52")]
        Refusal::Deadline { needed_ms: fastest.ceil() as u64, left_ms: self.left_ms as u64 }
    }
}

/// Cost and time of the most expensive version, used to normalize those of ladders.
#[derive(Debug, Clone, Copy)]
struct Scale {
    cost: f64,
    time_ms: f64,
}

/// Walks the convex hull from the ladder of the lowest objective cost up to the required quality.
fn select_on_hull(drafts: &[Draft], required: f64, credit: f64) -> (Draft, Rule) {
    let by_objective = |a: &&Draft, b: &&Draft| {
        a.objective_cost.total_cmp(&b.objective_cost).then(b.lower_bound.total_cmp(&a.lower_bound))
    };
    let mut current = *drafts.iter().min_by(by_objective).expect("the caller has checked that there are some");
    let mut below = None;
    if drafts.len() == 1 {
        return (current, Rule::Only);
    }
    while current.lower_bound < required {
        let slope = |draft: &Draft| {
            (draft.lower_bound - current.lower_bound)
                / (draft.objective_cost - current.objective_cost).max(f64::MIN_POSITIVE)
        };
        let better = drafts.iter().filter(|draft| draft.lower_bound > current.lower_bound + MIN_QUALITY_DIFFERENCE);
        let Some(next) = better.max_by(|a, b| slope(a).total_cmp(&slope(b))) else {
            return (current, Rule::BestEffort);
        };
        below = Some(current);
        current = *next;
    }
    match below {
        Some(below) if credit > RESERVE_PASSES => (below, Rule::AheadOfTarget),
        _ => (current, Rule::MeetsTarget),
    }
}

/// Returns the indices of the tiers to consider.
fn considered_tiers(tiers: usize) -> impl Iterator<Item = usize> {
    let skipped = tiers.saturating_sub(MAX_TIERS);
    let kept = MAX_TIERS / 2;
    (0..tiers).filter(move |i| *i < kept || *i >= kept + skipped)
}

fn candidate(inputs: &Inputs<'_>, cell: Cell, permits: &Permits, index: usize) -> Candidate {
    let permit = &permits.as_slice()[index];
    let prior = Prior { parent: permit.predecessor(), fallback_rate: prior_pass_rate(index, permits.as_slice().len()) };
    let Profile { first, escalated, speed } = inputs.quality.profile(cell, permit.version(), prior, inputs.now);
    let max_output = inputs.max_tokens.unwrap_or(u32::MAX).min(permit.max_output());
    let output = speed.output_tokens().min(f64::from(max_output));
    let price = permit.price();
    #[expect(clippy::cast_precision_loss, reason = "prices are far below 2^52 nano-units a token")]
    let cost = (price.input.0 as f64 * f64::from(inputs.prompt_tokens) + price.output.0 as f64 * output) / 1e6;
    Candidate {
        permit_index: u8::try_from(index).unwrap_or(u8::MAX),
        cost,
        ceiling: price.cost(u64::from(inputs.prompt_tokens), u64::from(max_output)),
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
fn prior_pass_rate(index: usize, tiers: usize) -> f64 {
    let to_f64 = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    let last = tiers.saturating_sub(1).max(1);
    (PRIOR_LAST_TIER_RATE - PRIOR_FIRST_TIER_RATE)
        .mul_add(to_f64(index + usize::from(tiers == 1)) / to_f64(last), PRIOR_FIRST_TIER_RATE)
}

/// Infers the pass rate of first answers from that of escalated answers.
///
/// If requests always start on the cheapest version, the better versions never
/// give a first answer. While the rating service is down there is no escalation,
/// and the best version would then count as unproven. The inference assumes that
/// a better version passes nearly all requests that the cheapest one passes, and
/// the remaining ones at its escalated rate. It replaces the direct estimate only
/// where it has the smaller deviation.
fn infer_first_pass_rates(candidates: &mut [Candidate]) {
    let Some((cheapest_tier, higher_tiers)) = candidates.split_first_mut() else { return };
    for candidate in higher_tiers {
        let failed = 1.0 - cheapest_tier.first.mean;
        let mean = NESTED_PASS_SHARE.mul_add(cheapest_tier.first.mean, failed * candidate.escalated.mean);
        let deviation = f64::hypot(
            cheapest_tier.first.deviation * (1.0 - candidate.escalated.mean),
            failed * candidate.escalated.deviation,
        );
        if deviation < candidate.first.deviation {
            candidate.first = Estimate { mean, deviation };
        }
    }
}

fn single_step(first: usize) -> ([u8; MAX_STEPS], usize) {
    let mut candidates = [0; MAX_STEPS];
    candidates[0] = u8::try_from(first).unwrap_or(u8::MAX);
    (candidates, 1)
}

fn extended(mut candidates: [u8; MAX_STEPS], len: usize, next: usize) -> ([u8; MAX_STEPS], usize) {
    candidates[len] = u8::try_from(next).unwrap_or(u8::MAX);
    (candidates, len + 1)
}
