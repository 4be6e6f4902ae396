//! Contracts: one for each customer; every limit follows from it.

use std::{collections::BTreeSet, fmt::Write};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{model, money, service, time::Millis};

crate::name::name!(
    /// A customer, named by its contract.
    Customer
);

/// What a customer may use and spend, and how its work ranks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Callers' keys, hashed.
    pub keys: Vec<Key>,
    /// Models and versions it may use; nothing else runs.
    #[serde(default)]
    pub models: Vec<Allowed>,
    /// Plain services it may call.
    #[serde(default)]
    pub services: BTreeSet<service::Id>,
    /// What quality its answers must meet.
    #[serde(default)]
    pub quality: Quality,
    /// What to weigh first where the target leaves a choice.
    #[serde(default)]
    pub objective: Objective,
    /// What it may spend.
    pub budget: Budget,
    /// How its work ranks against others'.
    #[serde(default)]
    pub rank: Rank,
    /// How much of a new version it takes.
    #[serde(default)]
    pub exposure: Exposure,
    /// What to do while the platform is down.
    #[serde(default)]
    pub outage: Outage,
}

/// A caller's key, kept only as its hash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Hex SHA-256 of the key.
    pub sha256: String,
}

impl Key {
    /// What is kept of a secret.
    #[must_use]
    pub fn of(secret: &str) -> Self {
        let digest = Sha256::digest(secret.as_bytes());
        let mut sha256 = String::with_capacity(2 * digest.len());
        for byte in digest {
            let _ = write!(sha256, "{byte:02x}");
        }
        Self { sha256 }
    }
}

/// A model a contract allows, with the versions it allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowed {
    /// The model.
    pub model: model::Id,
    /// Its allowed versions.
    pub versions: BTreeSet<model::Number>,
}

/// Target share of answers that pass rating.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quality {
    /// From 0 to 1.
    pub target: f64,
}

impl Default for Quality {
    fn default() -> Self {
        Self { target: 0.9 }
    }
}

/// What a customer weighs first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Least cost at the quality target.
    #[default]
    Cost,
    /// Least time at the quality target.
    Latency,
    /// Least contact with new versions.
    Exposure,
}

/// Spending limit per period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Limit for one period.
    pub amount: money::Amount,
    /// Of the amount; prices of allowed models must match.
    pub currency: money::Currency,
    /// When the limit starts anew.
    pub period: Period,
}

/// Budget period, in UTC.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Period {
    /// From midnight.
    Day,
    /// From the first of the month.
    Month,
    /// From the first of January.
    Year,
}

/// How work ranks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rank {
    /// Share under contention, relative to other customers'.
    pub weight: u32,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: Millis,
}

impl Default for Rank {
    fn default() -> Self {
        Self { weight: 1, deadline_ms: 30_000 }
    }
}

/// Limit on new versions.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exposure {
    /// Largest share of sessions on a version under roll-out, from 0 to 1.
    pub new_version_share: f64,
}

impl Default for Exposure {
    fn default() -> Self {
        Self { new_version_share: 1.0 }
    }
}

/// Behaviour while the platform is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Serve idempotent requests; bills wait on two instances.
    #[default]
    Serve,
    /// Refuse with "not run".
    Refuse,
}
