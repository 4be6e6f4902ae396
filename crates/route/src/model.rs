//! Chooses the version that a request starts on and the versions it may escalate to.
//!
//! A ladder is a sequence of versions of rising tiers: the next one runs only if
//! the previous answer fails its rating. [`choose`] selects the cheapest ladder
//! whose expected quality meets the customer's target within the deadline and the
//! price ceiling. The contract's objective decides between ladders that meet the
//! target.
//!
//! Types enforce the limits of contract, configuration and session: a [`Choice`]
//! holds [`Permit`]s, and only [`Permits::resolve`] issues those, from a catalog,
//! a contract and a session. [`Permit::renew`] checks a permit against a later
//! catalog before each dispatch, so that a version withdrawn between two steps of
//! a ladder receives no work.

mod ladder;
mod permit;
mod reason;

use world::{
    Catalog, Millis, Timestamp,
    contract::{Customer, Objective},
    model,
    money::Amount,
    request::{Class, Repeat},
    session::{Pin, Session},
};

use crate::{
    quality::{Cell, Estimates},
    rollout::{Stops, Unit},
};
use ladder::{Ladder, LadderSearch};
pub use permit::{Permit, Permits};
pub use reason::{Reason, Refusal, Rule, Step};

/// Availability of the rating service while the caller waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rater {
    /// Rates answers without delay.
    Available,
    /// Slow or down: an answer cannot be rated in time to decide on escalation.
    Unavailable,
}

/// Inputs of [`choose`].
#[derive(Debug, Clone, Copy)]
pub struct Inputs<'a> {
    /// Catalog of the configuration in force.
    pub catalog: &'a Catalog,
    /// Customer that sent the request.
    pub customer: &'a Customer,
    /// Model that the request names.
    pub model: &'a model::Id,
    /// Class of the request.
    pub class: &'a Class,
    /// Session that the request belongs to, if any.
    pub session: Option<&'a Session>,
    /// Unit of exposure to roll-outs: the session, or the request if it has none.
    /// Identical at every instance.
    pub unit: Unit,
    /// Versions stopped by evidence that the configuration does not reflect yet.
    pub stops: &'a Stops,
    /// Whether the request may run twice.
    pub repeat: Repeat,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens that the caller accepts.
    pub max_tokens: Option<u32>,
    /// Current time.
    pub now: Timestamp,
    /// Time left until the deadline of the request, in milliseconds.
    pub left_ms: Millis,
    /// Maximum total cost of all steps.
    pub ceiling: Amount,
    /// Availability of the rating service.
    pub rater: Rater,
    /// Learned quality and speed of the versions.
    pub quality: &'a Estimates,
}

/// Versions that a request may run on, in the order in which they are tried.
#[derive(Debug, Clone)]
pub struct Choice {
    steps: Vec<Permit>,
    expected_pass_rates: Vec<f64>,
    ceiling: Amount,
    reason: Reason,
}

/// Chooses the start version and the escalation steps of a request.
///
/// # Errors
///
/// Returns a [`Refusal`] if no version may run. Nothing has run in that case.
pub fn choose(inputs: &Inputs<'_>) -> Result<Choice, Refusal> {
    let contract = inputs.catalog.contract(inputs.customer).ok_or(Refusal::NoContract)?;
    let permits =
        Permits::resolve(inputs.catalog, inputs.stops, inputs.customer, inputs.model, inputs.session, inputs.unit)?;
    let cell = Cell::new(inputs.customer, inputs.class);
    let search = LadderSearch::new(inputs, cell, &permits);
    let account = inputs.quality.account(cell);
    let decision = search.decide(contract.quality.target, account, contract.objective)?;
    Ok(Choice::new(inputs, &permits, &search, &decision, contract.quality.target, contract.objective))
}

impl Choice {
    fn new(
        inputs: &Inputs<'_>,
        permits: &Permits,
        search: &LadderSearch,
        decision: &ladder::Decision,
        target: f64,
        objective: Objective,
    ) -> Self {
        let Ladder { ref permit_indices, .. } = decision.ladder;
        let steps: Vec<_> =
            permit_indices.iter().map(|permit_index| permits.as_slice()[usize::from(*permit_index)].clone()).collect();
        // A pin of a tier that the ladder doesn't use is not reported as moved:
        // no other version has replaced it yet.
        let is_replaced = |pin: &&Pin| steps.iter().any(|step| step.tier() == pin.tier);
        let moved = permits.invalid_pins().iter().filter(is_replaced).map(|pin| pin.version.clone()).collect();
        let reason = Reason {
            generation: inputs.catalog.generation(),
            objective,
            target,
            required: decision.required,
            credit: decision.credit,
            rule: decision.rule,
            quality: decision.ladder.quality,
            expected_cost: decision.ladder.expected_cost(),
            expected_ms: decision.ladder.expected_ms(),
            steps: search.describe(permit_indices, permits),
            considered: decision.considered,
            moved,
        };
        let expected_pass_rates = search.expected_pass_rates(permit_indices, &decision.ladder);
        Self { steps, expected_pass_rates, ceiling: decision.ladder.ceiling, reason }
    }

    /// Returns the permit of the version to start on.
    #[must_use]
    pub fn start(&self) -> &Permit {
        &self.steps[0]
    }

    /// Returns all steps including the start. Never empty; a request that must
    /// not run twice has exactly one step.
    #[must_use]
    pub fn steps(&self) -> &[Permit] {
        &self.steps
    }

    /// Returns the maximum total cost of all steps, which is the amount to reserve.
    #[must_use]
    pub fn ceiling(&self) -> Amount {
        self.ceiling
    }

    /// Returns the expected pass rate of the request once it has reached `step`,
    /// for [`Estimates::add_pending`] and [`Estimates::update_pending`]. Zero past the last step.
    #[must_use]
    pub fn expected_pass_rate(&self, step: usize) -> f64 {
        self.expected_pass_rates.get(step).copied().unwrap_or_default()
    }

    /// Returns the reason for the choice.
    #[must_use]
    pub fn reason(&self) -> &Reason {
        &self.reason
    }

    /// Returns the pins of a session after this choice: the versions of the steps,
    /// and the previous pins of all other tiers and models.
    #[must_use]
    pub fn pins(&self, session: Option<&Session>) -> Vec<Pin> {
        let mut pins: Vec<Pin> = session.map(|s| s.pins.clone()).unwrap_or_default();
        for step in &self.steps {
            pins.retain(|pin| pin.tier != step.tier() || pin.version.model != step.version().model);
            pins.push(Pin { tier: step.tier(), version: step.version().clone(), left: None });
        }
        pins
    }
}
