//! Envelope around every stored value, which shows the outcome of earlier writes.
//!
//! A nonce identifies the write that made the current value. That suffices for objects that
//! are only created. It does not for updates: if the answer to an update is lost and the
//! current value is another writer's, the update either lost the race or was done and then
//! replaced. The caller must learn which: if it took a done update for a lost one, it would
//! change a grant or a lease twice; in the opposite case it would rely on a change that was
//! never made.
//!
//! So each value keeps the nonces of its last [`TRAIL`] writes. An update names the value that
//! it replaces, so its trail contains the newest nonce of that value, the *base*. Reading
//! back finds one of the following in the trail:
//!
//! - the nonce of the write: it was done, even if others followed;
//! - not that nonce, but the base: all writes since the base are known and this one is not
//!   among them, so it lost the race;
//! - neither: more than `TRAIL` writes followed, or the object was deleted meanwhile. The
//!   outcome of the write is unknown.
//!
//! A retry has the same nonce and the same base version, so that a first try that takes
//! effect late and the second one never both count.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Number of nonces kept with a value.
pub const TRAIL: usize = 8;

/// Identifies a write; the same for all its tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Nonce(pub u64);

impl TryFrom<String> for Nonce {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u64::from_str_radix(&text, 16).map(Self)
    }
}

impl From<Nonce> for String {
    fn from(nonce: Nonce) -> Self {
        format!("{:x}", nonce.0)
    }
}

/// A value with the nonces of its last writes.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope<B> {
    /// Nonces of the last writes, newest first.
    pub nonces: Vec<Nonce>,
    /// Writer of the value.
    pub writer: String,
    /// The value.
    pub body: B,
}

/// Outcome of a write, according to a value that was read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// The write was done.
    Done,
    /// Another write was done instead.
    Lost,
    /// The value does not show the outcome.
    Unknown,
}

/// Returns a trail with a further nonce in front.
#[must_use]
pub fn extend(trail: &[Nonce], nonce: Nonce) -> Vec<Nonce> {
    std::iter::once(nonce).chain(trail.iter().copied()).take(TRAIL).collect()
}

/// Determines the outcome of a write from the current trail.
///
/// `base` is the newest nonce of the value that the write was to replace.
#[must_use]
pub fn fate(trail: &[Nonce], own: Nonce, base: Option<Nonce>) -> Fate {
    if trail.contains(&own) {
        return Fate::Done;
    }
    match base {
        Some(base) if trail.contains(&base) => Fate::Lost,
        _ => Fate::Unknown,
    }
}

/// Splits a stored value into its nonces and its body. A value that another program wrote has
/// no nonces, and all of it is the body.
#[must_use]
pub fn open(value: &[u8]) -> Option<Envelope<Box<RawValue>>> {
    if let Ok(envelope) = serde_json::from_slice(value) {
        return Some(envelope);
    }
    let body: Box<RawValue> = serde_json::from_slice(value).ok()?;
    Some(Envelope { nonces: Vec::new(), writer: String::new(), body })
}
