//! Which version a request starts on, and which it escalates to.
//!
//! [`choose`] takes the cheapest ladder of versions whose expected quality
//! meets the customer's target, inside the deadline and the price ceiling.
//! What the target leaves open is settled by the contract's objective.
//!
//! The limits of contract, configuration and session are kept by type: a
//! [`Choice`] holds [`Permit`]s, and only [`Permits::resolve`] makes those,
//! from a catalog, a contract and a session. [`Permit::renew`] asks a later
//! catalog again before each dispatch, so that a version withdrawn between
//! two steps of a ladder gets no work.

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
    quality::{Book, Cell},
    rollout::{Stops, Unit},
};
use ladder::{Ladder, Market};
pub use permit::{Permit, Permits};
pub use reason::{Reason, Refusal, Rule, Step};

/// Whether a rating can be had while the caller waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rater {
    /// Answers at once.
    Up,
    /// Slow or down: no cascade can be decided.
    Down,
}

/// All that a choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct Inputs<'a> {
    /// The configuration in force.
    pub catalog: &'a Catalog,
    /// Whose request.
    pub customer: &'a Customer,
    /// The model it names.
    pub model: &'a model::Id,
    /// Its class.
    pub class: &'a Class,
    /// The session it belongs to.
    pub session: Option<&'a Session>,
    /// Its session or else itself, as roll-outs count it; alike at every instance.
    pub unit: Unit,
    /// Versions stopped by evidence that the configuration does not show yet.
    pub stops: &'a Stops,
    /// Whether it may run twice.
    pub repeat: Repeat,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Most tokens the caller takes.
    pub max_tokens: Option<u32>,
    /// The time.
    pub now: Timestamp,
    /// Time left until its deadline.
    pub left_ms: Millis,
    /// Most it may cost, all steps together.
    pub ceiling: Amount,
    /// Whether the rating service answers.
    pub rater: Rater,
    /// What has been learned.
    pub book: &'a Book,
}

/// The versions a request may run on, in the order it tries them.
#[derive(Debug, Clone)]
pub struct Choice {
    steps: Vec<Permit>,
    expected: Vec<f64>,
    ceiling: Amount,
    reason: Reason,
}

/// Chooses start and escalation for a request.
///
/// # Errors
///
/// A [`Refusal`] when nothing may run; nothing has run then.
pub fn choose(inputs: &Inputs<'_>) -> Result<Choice, Refusal> {
    let contract = inputs.catalog.contract(inputs.customer).ok_or(Refusal::NoContract)?;
    let permits =
        Permits::resolve(inputs.catalog, inputs.stops, inputs.customer, inputs.model, inputs.session, inputs.unit)?;
    let cell = Cell::new(inputs.customer, inputs.class);
    let market = Market::open(inputs, cell, &permits);
    let account = inputs.book.account(cell);
    let decided = market.decide(contract.quality.target, account, contract.objective)?;
    Ok(Choice::new(inputs, &permits, &market, &decided, contract.quality.target, contract.objective))
}

impl Choice {
    fn new(
        inputs: &Inputs<'_>,
        permits: &Permits,
        market: &Market,
        decided: &ladder::Decided,
        target: f64,
        objective: Objective,
    ) -> Self {
        let Ladder { ref rungs, .. } = decided.ladder;
        let steps: Vec<_> = rungs.iter().map(|rung| permits.as_slice()[usize::from(*rung)].clone()).collect();
        // A step that the ladder does without is not left yet: nothing takes its
        // place before it is needed again.
        let is_replaced = |pin: &&Pin| steps.iter().any(|step| step.tier() == pin.tier);
        let moved = permits.left().iter().filter(is_replaced).map(|pin| pin.version.clone()).collect();
        let reason = Reason {
            generation: inputs.catalog.generation(),
            objective,
            target,
            required: decided.required,
            credit: decided.credit,
            rule: decided.rule,
            quality: decided.ladder.quality,
            expected_cost: decided.ladder.expected_cost(),
            expected_ms: decided.ladder.expected_ms(),
            steps: market.describe(rungs, permits),
            considered: decided.considered,
            moved,
        };
        let expected = market.expected(rungs, &decided.ladder);
        Self { steps, expected, ceiling: decided.ladder.ceiling, reason }
    }

    /// The version to start on.
    #[must_use]
    pub fn start(&self) -> &Permit {
        &self.steps[0]
    }

    /// Every step, the start included; never empty, and one long for a request
    /// that must not run twice.
    #[must_use]
    pub fn steps(&self) -> &[Permit] {
        &self.steps
    }

    /// Most that all steps together can cost: the amount to reserve.
    #[must_use]
    pub fn ceiling(&self) -> Amount {
        self.ceiling
    }

    /// The rate at which the request is expected to pass once it has come to a
    /// step, with caution: what [`Book::open`] and [`Book::escalated`] are to
    /// be told. Zero past the last step.
    #[must_use]
    pub fn expected(&self, step: usize) -> f64 {
        self.expected.get(step).copied().unwrap_or_default()
    }

    /// Why.
    #[must_use]
    pub fn reason(&self) -> &Reason {
        &self.reason
    }

    /// The pins a session has after this choice: its old ones where they still
    /// hold, and the versions of the steps.
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
