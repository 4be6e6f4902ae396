//! Decides which sessions are exposed to a version under roll-out, and the next
//! move of a roll-out.
//!
//! Exposure is decided per session by a hash salted with the version. So every
//! instance decides the same, a session exposed at a small share stays exposed at
//! every larger one, and two roll-outs don't start with the same sessions. A stop
//! received from a peer counts as a withdrawal even before the configuration
//! contains it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use world::{
    Catalog, Millis,
    catalog::Standing,
    contract::{Contract, Customer, Objective},
    hash,
    model::{self, Version},
    request,
    rollout::{self, Rollout, State},
    session,
};

use crate::guard::{Reason, Verdict};

/// Unit of exposure: the hash of a session, or of a request without a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Unit(pub u64);

impl Unit {
    /// Returns the unit of a customer's session.
    #[must_use]
    pub fn session(customer: &Customer, session: &session::Id) -> Self {
        Self(hash::stable(format!("session/{customer}/{session}").as_bytes()))
    }

    /// Returns the unit of a request without a session.
    #[must_use]
    pub fn request(id: &request::Id) -> Self {
        Self(id.hash())
    }

    /// Returns a uniformly distributed number from 0 to 1, determined by the unit and a
    /// version.
    fn fraction(self, version: &Version) -> f64 {
        let salted = hash::rendezvous(self.0, version.model.as_str().as_bytes());
        let mixed = hash::rendezvous(salted, version.number.as_str().as_bytes());
        #[expect(clippy::cast_precision_loss, reason = "53 bits fill an f64's mantissa exactly")]
        let fraction = (mixed >> 11) as f64 / (1u64 << 53) as f64;
        fraction
    }
}

/// Versions stopped by evidence, even if the catalog still exposes them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Stops(BTreeMap<Version, Stop>);

/// The stop of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// Stopped version.
    pub version: Version,
    /// Roll-out of the version.
    pub rollout: rollout::Id,
    /// Reason as text for operators.
    pub reason: String,
}

impl Stops {
    /// Returns whether a version is stopped.
    #[must_use]
    pub fn contains(&self, version: &Version) -> bool {
        self.0.contains_key(version)
    }

    /// Adds a stop. Returns false if the version is already stopped.
    pub fn insert(&mut self, stop: Stop) -> bool {
        if self.contains(&stop.version) {
            return false;
        }
        self.0.insert(stop.version.clone(), stop);
        true
    }

    /// Iterates over all stops.
    pub fn iter(&self) -> impl Iterator<Item = &Stop> {
        self.0.values()
    }

    /// Removes the stops of versions that the catalog has withdrawn, and of
    /// roll-outs that it no longer contains.
    pub fn prune(&mut self, catalog: &Catalog) {
        self.0.retain(|version, stop| {
            let running = catalog.rollouts().get(&stop.rollout).is_some_and(|r| r.version == *version);
            running && !matches!(catalog.standing(version), Standing::Withdrawn | Standing::Unknown)
        });
    }
}

/// Returns the versions of a model that a new session may start on.
///
/// A version under roll-out replaces its predecessor for the sessions exposed to
/// it, and for all sessions once it is promoted.
#[must_use]
pub fn startable_versions(
    catalog: &Catalog,
    stops: &Stops,
    contract: &Contract,
    model: &model::Id,
    unit: Unit,
) -> Vec<Version> {
    let Some(spec) = catalog.model(model) else { return Vec::new() };
    let versions = spec.versions.iter().map(|r| Version { model: model.clone(), number: r.version.clone() });
    versions
        .filter(|version| accepts_new_session(catalog, stops, contract, version, unit))
        .filter(|version| !is_replaced(catalog, stops, contract, version, unit))
        .collect()
}

/// Returns whether a session pinned to a version may continue on it.
#[must_use]
pub fn may_continue(catalog: &Catalog, stops: &Stops, contract: &Contract, version: &Version) -> bool {
    let is_unavailable = matches!(catalog.standing(version), Standing::Withdrawn | Standing::Unknown);
    is_allowed(contract, version) && !is_unavailable && !stops.contains(version)
}

/// Returns whether a new session is exposed to a version under roll-out.
#[must_use]
pub fn is_exposed(catalog: &Catalog, stops: &Stops, contract: &Contract, version: &Version, unit: Unit) -> bool {
    match catalog.standing(version) {
        Standing::Exposed { share, .. } => {
            may_continue(catalog, stops, contract, version) && unit.fraction(version) < capped_share(share, contract)
        }
        Standing::Serving | Standing::Held { .. } | Standing::Withdrawn | Standing::Unknown => false,
    }
}

/// Arm of the comparison that the answers of a session count for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// Exposed to the new version.
    New,
    /// Control group, on the predecessor.
    Control,
    /// Not part of the comparison.
    Outside,
}

/// Maximum number of control sessions per exposed session.
const MAX_CONTROL_RATIO: f64 = 30.0;

/// Returns the number of control sessions per exposed session at the share of a step.
#[must_use]
pub fn control_ratio(share: f64) -> f64 {
    if share > 0.0 { ((1.0 - share) / share).min(MAX_CONTROL_RATIO) } else { MAX_CONTROL_RATIO }
}

/// Returns whether the share of a step leaves too few control sessions for a comparison.
#[must_use]
pub fn lacks_control(share: f64) -> bool {
    control_ratio(share) < MIN_CONTROL_RATIO
}

/// Minimum number of control sessions per exposed session for a comparison.
const MIN_CONTROL_RATIO: f64 = 0.25;

/// Returns the arm of a customer's session at the share of a step.
///
/// The ratio of control sessions to exposed sessions is the same for every
/// customer. If all sessions on the predecessor counted as control, the arms would
/// contain different mixes of customers wherever contracts cap exposure, and a
/// version could look bad only because cautious customers are not exposed to it.
#[must_use]
pub fn arm(share: f64, contract: &Contract, version: &Version, unit: Unit) -> Arm {
    let exposed_share = capped_share(share, contract);
    let ratio = control_ratio(share);
    let position = unit.fraction(version);
    if position < exposed_share {
        return Arm::New;
    }
    if position >= 1.0 - exposed_share * ratio { Arm::Control } else { Arm::Outside }
}

/// Returns the share of a step as limited by a contract.
fn capped_share(share: f64, contract: &Contract) -> f64 {
    // Customers with `Objective::Exposure` are exposed late: the square of the share is
    // close to 0 at the first steps and 1 at the last.
    let share = if contract.objective == Objective::Exposure { share * share } else { share };
    share.min(contract.exposure.new_version_share)
}

fn is_allowed(contract: &Contract, version: &Version) -> bool {
    let model = contract.models.iter().find(|a| a.model == version.model);
    model.is_some_and(|a| a.versions.contains(&version.number))
}

/// Returns whether a version accepts a new session, regardless of its successors.
fn accepts_new_session(catalog: &Catalog, stops: &Stops, contract: &Contract, version: &Version, unit: Unit) -> bool {
    match catalog.standing(version) {
        Standing::Serving => may_continue(catalog, stops, contract, version),
        Standing::Exposed { .. } => is_exposed(catalog, stops, contract, version, unit),
        Standing::Held { .. } | Standing::Withdrawn | Standing::Unknown => false,
    }
}

/// Returns whether a successor takes over the new sessions of a version.
fn is_replaced(catalog: &Catalog, stops: &Stops, contract: &Contract, version: &Version, unit: Unit) -> bool {
    catalog.rollouts().values().any(|rollout| {
        let successor = rollout.version.model == version.model && rollout.predecessor == version.number;
        let active = matches!(rollout.state, State::Exposing | State::Promoted);
        successor && active && accepts_new_session(catalog, stops, contract, &rollout.version, unit)
    })
}

/// Progress of a roll-out in its current state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Time since the current step was first observed to be in force, in milliseconds.
    pub at_step_ms: Millis,
    /// Number of endpoints that have the version loaded.
    pub loaded: usize,
    /// Number of endpoints that must have it loaded for the current step.
    pub wanted: usize,
}

/// Next move of a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub enum Plan {
    /// Stay in the current state.
    Wait(Waiting),
    /// Start the first step.
    Expose,
    /// Go to the step with this index.
    Step(usize),
    /// Replace the predecessor.
    Promote,
    /// Withdraw the version permanently.
    Withdraw(Reason),
}

/// Condition that a roll-out waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// More endpoints that have loaded the version.
    Load,
    /// Minimum duration of the step.
    Time,
    /// More answers to compare.
    Evidence,
    /// An operator, to resume or withdraw it.
    Operator,
    /// Nothing: the roll-out has ended.
    End,
}

/// Returns the next move of a roll-out.
#[must_use]
pub fn plan(rollout: &Rollout, verdict: &Verdict, progress: &Progress) -> Plan {
    let ended = matches!(rollout.state, State::Promoted | State::Withdrawn);
    if ended {
        return Plan::Wait(Waiting::End);
    }
    // A stop takes effect in every state that may have sessions, including paused.
    if let Verdict::Stop(reason) = verdict {
        return Plan::Withdraw(reason.clone());
    }
    match rollout.state {
        State::Paused => Plan::Wait(Waiting::Operator),
        _ if progress.loaded < progress.wanted => Plan::Wait(Waiting::Load),
        State::Loading => Plan::Expose,
        _ => advance(rollout, verdict, progress),
    }
}

fn advance(rollout: &Rollout, verdict: &Verdict, progress: &Progress) -> Plan {
    if progress.at_step_ms < rollout.step_ms {
        return Plan::Wait(Waiting::Time);
    }
    if !matches!(verdict, Verdict::Advance) {
        return Plan::Wait(Waiting::Evidence);
    }
    if rollout.step + 1 < rollout.steps.len() {
        return Plan::Step(rollout.step + 1);
    }
    Plan::Promote
}
