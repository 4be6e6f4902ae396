//! Sessions: a caller's requests that stay on one version.

use serde::{Deserialize, Serialize};

use crate::{contract::Customer, model};

crate::name::name!(
    /// A session's name, given by the caller.
    Id
);

/// The versions a session is pinned to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Whose session.
    pub customer: Customer,
    /// Its pins, one per model and tier.
    pub pins: Vec<Pin>,
}

/// One pinned version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The step of the cascade.
    pub tier: u8,
    /// The version of that step.
    pub version: model::Version,
}
