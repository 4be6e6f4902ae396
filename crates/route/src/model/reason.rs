//! Reasons of choices and refusals.

use std::fmt;

use serde::{Deserialize, Serialize};
use world::{Millis, contract::Objective, model::Version, money::Amount};

use crate::quality::Estimate;

/// Reason why a ladder was chosen; printed by `arbutuslug explain`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reason {
    /// Configuration generation that the choice was made under.
    pub generation: u64,
    /// Objective of the contract.
    pub objective: Objective,
    /// Quality target of the contract.
    pub target: f64,
    /// Quality required of this choice: the target, raised while the account catches up.
    pub required: f64,
    /// Passes by which the account is ahead of the target, less a margin for unrated answers.
    pub credit: f64,
    /// Rule that decided.
    pub rule: Rule,
    /// Expected quality of the ladder.
    pub quality: Estimate,
    /// Expected cost of the ladder.
    pub expected_cost: Amount,
    /// Expected time of the ladder, in milliseconds.
    pub expected_ms: Millis,
    /// Steps of the ladder.
    pub steps: Vec<Step>,
    /// Number of ladders considered.
    pub considered: u32,
    /// Versions that the session was pinned to and had to leave.
    #[serde(default)]
    pub moved: Vec<Version>,
}

/// One step of the ladder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Version of the step.
    pub version: Version,
    /// Expected quality of its answer if it runs first.
    pub quality: Estimate,
    /// Whether the session was pinned to it.
    pub pinned: bool,
    /// Whether it is under roll-out.
    pub new: bool,
}

/// Rule that decided a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// No other ladder may run.
    Only,
    /// The best ladder by the objective among those that meet the target.
    MeetsTarget,
    /// A cheaper ladder than the target requires, because the account is ahead.
    AheadOfTarget,
    /// No ladder meets the target with enough certainty: the best quality available.
    BestEffort,
}

/// Reason why no version may run. Nothing has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// There is no contract for the customer.
    NoContract,
    /// The contract does not allow the model.
    ModelNotAllowed,
    /// Every allowed version is withdrawn, held back or not yet exposed to this session.
    NoVersion,
    /// No version can answer in time.
    Deadline {
        /// Time that the fastest affordable version needs, in milliseconds.
        needed_ms: Millis,
        /// Time left until the deadline, in milliseconds.
        left_ms: Millis,
    },
    /// No version fits the price ceiling.
    Budget {
        /// Maximum cost of the cheapest version.
        needed: Amount,
        /// Amount that may be spent.
        left: Amount,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.iter().enumerate() {
            if index > 0 {
                f.write_str(", then if its rating fails ")?;
            }
            write!(f, "{step}")?;
        }
        write!(f, ": {}", self.rule)?;
        write!(
            f,
            "; expected quality {:.3} ± {:.3} for a target of {:.3} (asked {:.3}, account {:+.1})",
            self.quality.mean, self.quality.deviation, self.target, self.required, self.credit
        )?;
        write!(f, "; expected cost {}, expected time {} ms", self.expected_cost, self.expected_ms)?;
        write!(
            f,
            "; objective {}; {} ladders weighed; generation {}",
            objective(self.objective),
            self.considered,
            self.generation
        )?;
        for version in &self.moved {
            write!(f, "; the session left {version}, which takes no more work")?;
        }
        Ok(())
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let note = match (self.pinned, self.new) {
            (true, _) => ", the session's",
            (false, true) => ", under roll-out",
            (false, false) => "",
        };
        write!(f, "{} (quality {:.3} ± {:.3}{note})", self.version, self.quality.mean, self.quality.deviation)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Only => "nothing else may run",
            Self::MeetsTarget => "best by the objective among those that meet the target",
            Self::AheadOfTarget => "the account is ahead of the target",
            Self::BestEffort => "nothing is sure to meet the target, so the best quality",
        })
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoContract => f.write_str("no contract names this customer; ask the operator to apply one"),
            Self::ModelNotAllowed => {
                f.write_str("the contract does not allow this model; name another or have it added to the contract")
            }
            Self::NoVersion => f.write_str(
                "every version the contract allows is withdrawn or held back; have a serving one added to the contract",
            ),
            Self::Deadline { needed_ms, left_ms } => {
                write!(f, "the fastest version needs {needed_ms} ms and {left_ms} ms are left; allow more time")
            }
            Self::Budget { needed, left } => write!(
                f,
                "the cheapest version may cost {needed} and {left} may be spent; ask for fewer tokens or raise the budget"
            ),
        }
    }
}

impl std::error::Error for Refusal {}

fn objective(objective: Objective) -> &'static str {
    match objective {
        Objective::Cost => "cost",
        Objective::Latency => "latency",
        Objective::Exposure => "exposure",
    }
}
