//! Roll-outs: a version's way to its tier's traffic, step by step.

use serde::{Deserialize, Serialize};

use crate::{model, time::Millis};

crate::name::name!(
    /// A roll-out's name.
    Id
);

/// A roll-out as its object states it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The new version.
    pub version: model::Version,
    /// The version of the same tier it replaces.
    pub predecessor: model::Number,
    /// Share of sessions at each step, rising, from 0 to 1.
    #[serde(default = "default_steps")]
    pub steps: Vec<f64>,
    /// Least time at one step, in milliseconds.
    #[serde(default = "default_step_ms")]
    pub step_ms: Millis,
    /// The step now in force.
    #[serde(default)]
    pub step: usize,
    /// Where it stands.
    #[serde(default)]
    pub state: State,
    /// Why it stands there, for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

fn default_steps() -> Vec<f64> {
    vec![0.01, 0.05, 0.2, 0.5, 1.0]
}

fn default_step_ms() -> Millis {
    60_000
}

/// Where a roll-out stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Endpoints load the version; no traffic yet.
    #[default]
    Loading,
    /// Takes its step's share.
    Exposing,
    /// Keeps the sessions it has, takes no new ones.
    Paused,
    /// Replaced its predecessor.
    Promoted,
    /// Stopped for good; takes no new work.
    Withdrawn,
}

impl Rollout {
    /// A roll-out at its start, with the usual steps.
    #[must_use]
    pub fn new(version: model::Version, predecessor: model::Number) -> Self {
        let (steps, step_ms) = (default_steps(), default_step_ms());
        Self { version, predecessor, steps, step_ms, step: 0, state: State::default(), reason: None }
    }
}
