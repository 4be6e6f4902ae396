//! Requests as callers name them.

use serde::{Deserialize, Serialize};

use crate::{
    contract::Customer,
    hash,
    time::{Millis, Timestamp},
};

crate::name::name!(
    /// A request class, named by the caller; quality is learned per class.
    Class
);

crate::name::name!(
    /// An idempotency key's text, unique within its customer.
    Key
);

/// A customer's request: what claims and bills are about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Whose request.
    pub customer: Customer,
    /// Its idempotency key.
    pub key: Key,
}

impl Id {
    /// Hash that decides the request's home, the same at every instance.
    #[must_use]
    pub fn hash(&self) -> u64 {
        hash::stable(format!("{}/{}", self.customer, self.key).as_bytes())
    }
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.customer, self.key)
    }
}

/// Longest time a key is remembered, in milliseconds.
pub const KEY_WINDOW: Millis = 24 * 60 * 60 * 1_000;

/// Milliseconds a caller's clock may run ahead of ours.
pub const KEY_SKEW: Millis = 5 * 60 * 1_000;

impl Key {
    /// When the key was made, read from a `UUIDv7`; nothing for other texts.
    #[must_use]
    pub fn made_at(&self) -> Option<Timestamp> {
        let id = uuid::Uuid::try_parse(self.as_str()).ok()?;
        let (seconds, nanos) = id.get_timestamp().filter(|_| id.get_version_num() == 7)?.to_unix();
        Some(Timestamp(seconds * 1_000 + u64::from(nanos) / 1_000_000))
    }
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it twice does no harm beyond its cost.
    Idempotent,
    /// Runs at most once.
    Never,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Still on its way.
    Running,
    /// Its answer is whole and billed.
    Answered,
    /// Nothing was run; a promise.
    NotRun,
    /// It may have run.
    Unknown,
}
