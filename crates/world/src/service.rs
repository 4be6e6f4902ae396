//! Plain services behind the system.

use serde::{Deserialize, Serialize};

use crate::money;

crate::name::name!(
    /// A plain service's name.
    Id
);

/// A plain service as its object states it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that must not be repeated; all others are idempotent.
    #[serde(default)]
    pub not_repeatable: Vec<Call>,
    /// Cost of one call.
    #[serde(default)]
    pub price: Option<Price>,
}

/// A kind of call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method, upper case.
    pub method: String,
    /// Start of the path, `/deposits` say.
    pub path_prefix: String,
}

/// Cost of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Per call.
    pub call: money::Amount,
    /// Of the amount.
    pub currency: money::Currency,
}

impl Service {
    /// Whether a call may be repeated.
    #[must_use]
    pub fn repeatable(&self, method: &str, path: &str) -> bool {
        !self.not_repeatable.iter().any(|call| call.method == method && path.starts_with(&call.path_prefix))
    }
}
