//! Sessions: a caller's requests that stay on one version.

use serde::{Deserialize, Serialize};

use crate::{contract::Customer, model, request};

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
    /// The version that was left for this one, where the journal keeps the pin.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<Left>,
}

/// A version that a session was moved off.
///
/// The move is bound before the request that caused it is answered. If that
/// answer is lost, the caller still believes the session to be on the old
/// version; so whoever serves it next has to tell, until an answer has told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Left {
    /// The old version.
    pub version: model::Version,
    /// The request that moved the session.
    pub by: request::Key,
    /// Whether an answer has told the caller.
    pub told: bool,
}

impl Left {
    /// Whether the answer to a request has to tell of the move.
    ///
    /// A repeat of the request that moved the session is told again: its first
    /// answer may have been lost after it was noted as told.
    #[must_use]
    pub fn concerns(&self, request: &request::Key) -> bool {
        !self.told || self.by == *request
    }
}

/// Notes on `pins` which of the versions `before` they replace, and for whom.
#[must_use]
pub fn replace(pins: Vec<Pin>, before: &[Pin], by: &request::Key) -> Vec<Pin> {
    let note = |mut pin: Pin| {
        let same = |old: &&Pin| old.tier == pin.tier && old.version.model == pin.version.model;
        let Some(old) = before.iter().find(same) else { return pin };
        pin.left = if old.version == pin.version {
            old.left.clone()
        } else {
            Some(Left { version: old.version.clone(), by: by.clone(), told: false })
        };
        pin
    };
    pins.into_iter().map(note).collect()
}
