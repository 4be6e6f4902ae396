//! What is put around every value so that its write can be asked about later.
//!
//! A nonce alone tells who made the value that stands now. That is enough for
//! a key that is only ever created. For an updated key it is not: when the
//! answer to an update is lost and another's value stands there, either ours
//! never happened (lost the race) or it did and the other came after (done,
//! and already replaced). The caller must hear the right one: told "lost" it
//! would do a grant's or lease's change twice, told "done" it would rely on a
//! change that never was.
//!
//! So each value keeps the nonces of its last [`TRAIL`] writes. An update
//! names the value it replaces, thus its trail holds the replaced value's
//! newest nonce, the *base*. Reading back finds one of:
//!
//! - our nonce in the trail: done, whoever wrote since;
//! - not ours, but the base: all writes since the base are in sight and ours
//!   is not among them: lost the race;
//! - neither: more than `TRAIL` writes went by, or the key was deleted
//!   between. What became of our write cannot be told: unknown.
//!
//! A retry carries the same nonce and the same base version, so that a first
//! try that takes effect late and the second try can never both count.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Nonces kept with a value, newest first.
pub const TRAIL: usize = 8;

/// Marks one write; the same over all tries of it.
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

/// A value with its marks.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope<B> {
    /// Nonces of the last writes, newest first.
    pub nonces: Vec<Nonce>,
    /// Who wrote it last.
    pub writer: String,
    /// The value itself.
    pub body: B,
}

/// What a value read back says about a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It was done.
    Done,
    /// Another write came in its place.
    Lost,
    /// Cannot be told from this value.
    Unknown,
}

/// A value's nonces with a further one in front.
#[must_use]
pub fn extend(trail: &[Nonce], nonce: Nonce) -> Vec<Nonce> {
    std::iter::once(nonce).chain(trail.iter().copied()).take(TRAIL).collect()
}

/// Reads a write's fate from the trail that stands now.
///
/// `base` is the newest nonce of the value the write meant to replace.
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

/// Parts a stored value into its marks and its body; a value that another
/// program wrote has no marks and is its own body.
#[must_use]
pub fn open(value: &[u8]) -> Option<Envelope<Box<RawValue>>> {
    if let Ok(envelope) = serde_json::from_slice(value) {
        return Some(envelope);
    }
    let body: Box<RawValue> = serde_json::from_slice(value).ok()?;
    Some(Envelope { nonces: Vec::new(), writer: String::new(), body })
}
