//! Who meets a version under roll-out, and what the roll-out does next.
//!
//! Exposure is decided per session by a hash salted with the version: every
//! instance decides alike, a session exposed at a small share stays exposed
//! at every larger one, and two roll-outs do not meet the same sessions
//! first. A stop heard from a peer counts like a withdrawal before the
//! configuration says so.

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

/// What exposure is decided by: a session, or a request without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Unit(pub u64);

impl Unit {
    /// The unit of a caller's session.
    #[must_use]
    pub fn session(customer: &Customer, session: &session::Id) -> Self {
        Self(hash::stable(format!("session/{customer}/{session}").as_bytes()))
    }

    /// The unit of a request without a session.
    #[must_use]
    pub fn request(id: &request::Id) -> Self {
        Self(id.hash())
    }

    /// Where the unit lies from 0 to 1 for a version.
    fn fraction(self, version: &Version) -> f64 {
        let salted = hash::rendezvous(self.0, version.model.as_str().as_bytes());
        let mixed = hash::rendezvous(salted, version.number.as_str().as_bytes());
        #[expect(clippy::cast_precision_loss, reason = "53 bits fill an f64's mantissa exactly")]
        let fraction = (mixed >> 11) as f64 / (1u64 << 53) as f64;
        fraction
    }
}

/// Versions stopped by evidence, whatever the catalog still says.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Stops(BTreeMap<Version, Stop>);

/// One stopped version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// The stopped version.
    pub version: Version,
    /// Its roll-out.
    pub rollout: rollout::Id,
    /// Why, for people.
    pub reason: String,
}

impl Stops {
    /// Whether a version is stopped.
    #[must_use]
    pub fn contains(&self, version: &Version) -> bool {
        self.0.contains_key(version)
    }

    /// Adds a stop; false when the version is stopped already.
    pub fn insert(&mut self, stop: Stop) -> bool {
        if self.contains(&stop.version) {
            return false;
        }
        self.0.insert(stop.version.clone(), stop);
        true
    }

    /// Every stop.
    pub fn iter(&self) -> impl Iterator<Item = &Stop> {
        self.0.values()
    }

    /// Drops the stops that the catalog has taken over or whose roll-out is
    /// gone from it.
    pub fn settle(&mut self, catalog: &Catalog) {
        self.0.retain(|version, stop| {
            let running = catalog.rollouts().get(&stop.rollout).is_some_and(|r| r.version == *version);
            running && !matches!(catalog.standing(version), Standing::Withdrawn | Standing::Unknown)
        });
    }
}

/// Versions of a model that a new session may start on.
///
/// Each tier's predecessor is replaced by the version under roll-out for the
/// sessions that meet it, and for all once it is promoted.
#[must_use]
pub fn open(catalog: &Catalog, stops: &Stops, contract: &Contract, model: &model::Id, unit: Unit) -> Vec<Version> {
    let Some(spec) = catalog.model(model) else { return Vec::new() };
    let versions = spec.versions.iter().map(|r| Version { model: model.clone(), number: r.version.clone() });
    versions
        .filter(|version| takes(catalog, stops, contract, version, unit))
        .filter(|version| !replaced(catalog, stops, contract, version, unit))
        .collect()
}

/// Whether a session pinned to a version may go on with it.
#[must_use]
pub fn keeps(catalog: &Catalog, stops: &Stops, contract: &Contract, version: &Version) -> bool {
    let gone = matches!(catalog.standing(version), Standing::Withdrawn | Standing::Unknown);
    allowed(contract, version) && !gone && !stops.contains(version)
}

/// Whether a new session meets a version that is under roll-out.
#[must_use]
pub fn exposed(catalog: &Catalog, stops: &Stops, contract: &Contract, version: &Version, unit: Unit) -> bool {
    match catalog.standing(version) {
        Standing::Exposed { share, .. } => {
            keeps(catalog, stops, contract, version) && unit.fraction(version) < limited(share, contract)
        }
        Standing::Serving | Standing::Held { .. } | Standing::Withdrawn | Standing::Unknown => false,
    }
}

/// Which arm of the comparison a session's answers count for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// Meets the new version.
    New,
    /// Counts for the predecessor.
    Control,
    /// Counts for neither.
    Outside,
}

/// Most control sessions to one exposed session.
const CONTROL_RATIO: f64 = 30.0;

/// Control sessions to one exposed session at a step's share.
#[must_use]
pub fn control_ratio(share: f64) -> f64 {
    if share > 0.0 { ((1.0 - share) / share).min(CONTROL_RATIO) } else { CONTROL_RATIO }
}

/// Whether a step's share leaves too few to compare with.
#[must_use]
pub fn thin(share: f64) -> bool {
    control_ratio(share) < THIN_RATIO
}

/// Fewest control sessions to one exposed session that make a comparison.
const THIN_RATIO: f64 = 0.25;

/// The arm of a customer's session at a step's share.
///
/// The control group is as many times larger than the exposed one for every
/// customer. Counting all of the predecessor's sessions would compare two
/// mixes of customers wherever contracts cap exposure, and a version could
/// look bad only because careful customers do not meet it.
#[must_use]
pub fn arm(share: f64, contract: &Contract, version: &Version, unit: Unit) -> Arm {
    let own = limited(share, contract);
    let ratio = control_ratio(share);
    let place = unit.fraction(version);
    if place < own {
        return Arm::New;
    }
    if place >= 1.0 - own * ratio { Arm::Control } else { Arm::Outside }
}

/// A step's share as a contract takes it.
fn limited(share: f64, contract: &Contract) -> f64 {
    // Customers that ask for least contact come late: the square is nearly
    // nothing at the first steps and everything at the last.
    let share = if contract.objective == Objective::Exposure { share * share } else { share };
    share.min(contract.exposure.new_version_share)
}

fn allowed(contract: &Contract, version: &Version) -> bool {
    let model = contract.models.iter().find(|a| a.model == version.model);
    model.is_some_and(|a| a.versions.contains(&version.number))
}

/// Whether a version takes a new session, its successors aside.
fn takes(catalog: &Catalog, stops: &Stops, contract: &Contract, version: &Version, unit: Unit) -> bool {
    match catalog.standing(version) {
        Standing::Serving => keeps(catalog, stops, contract, version),
        Standing::Exposed { .. } => exposed(catalog, stops, contract, version, unit),
        Standing::Held { .. } | Standing::Withdrawn | Standing::Unknown => false,
    }
}

/// Whether a successor takes a version's new sessions from it.
fn replaced(catalog: &Catalog, stops: &Stops, contract: &Contract, version: &Version, unit: Unit) -> bool {
    catalog.rollouts().values().any(|rollout| {
        let successor = rollout.version.model == version.model && rollout.predecessor == version.number;
        let active = matches!(rollout.state, State::Exposing | State::Promoted);
        successor && active && takes(catalog, stops, contract, &rollout.version, unit)
    })
}

/// How far a roll-out's present state has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Time since the present step was seen in force, in milliseconds.
    pub at_step_ms: Millis,
    /// Endpoints that hold the version.
    pub loaded: usize,
    /// Endpoints that must hold it for the present step.
    pub wanted: usize,
}

/// What a roll-out does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Plan {
    /// Nothing yet.
    Wait(Waiting),
    /// Begin the first step.
    Expose,
    /// Go to this step.
    Step(usize),
    /// Replace the predecessor.
    Promote,
    /// Stop for good.
    Withdraw(Reason),
}

/// What a roll-out waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// Endpoints that load the version.
    Load,
    /// The step's least time.
    Time,
    /// More answers to compare.
    Evidence,
    /// An operator, to resume or withdraw.
    Operator,
    /// Nothing; it has ended.
    End,
}

/// Plans a roll-out's next move.
#[must_use]
pub fn plan(rollout: &Rollout, verdict: &Verdict, progress: &Progress) -> Plan {
    let ended = matches!(rollout.state, State::Promoted | State::Withdrawn);
    if ended {
        return Plan::Wait(Waiting::End);
    }
    // A stop counts in every state that has sessions, paused ones too.
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
