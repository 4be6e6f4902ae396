//! Why the journal did not do as asked, and whether it may have recorded it.
//!
//! The two kinds are apart because callers act on them differently: after
//! [`Error::NotRecorded`] a refusal may truthfully say "not run"; after
//! [`Error::Unknown`] only a later question to the journal can tell.

use std::{fmt, time::Duration};

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// Certainly nothing was recorded.
    NotRecorded(Reason),
    /// It may have been recorded; ask for the outcome, do not assume.
    Unknown,
}

/// Why nothing was recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The platform does not answer.
    PlatformDown,
    /// The same, and the key's home, which knows no record of the key, could
    /// not prove that it still is the home.
    Unproved,
    /// Too many calls wait already, or too many keys are remembered.
    Full,
    /// No live home was reached before the deadline.
    NoHome,
    /// The key was made longer ago than keys are remembered.
    KeyTooOld,
    /// The key was made in the future.
    KeyTooNew,
    /// The same key came with another body before.
    OtherBody,
    /// The grant the bill names has been settled.
    GrantClosed,
}

impl Reason {
    /// How long to wait before asking again; nothing when asking again as is cannot help.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::PlatformDown | Self::Unproved => Some(Duration::from_secs(2)),
            Self::Full | Self::NoHome => Some(Duration::from_millis(500)),
            Self::KeyTooOld | Self::KeyTooNew | Self::OtherBody | Self::GrantClosed => None,
        }
    }
}

impl Reason {
    /// Whether it also tells of earlier tries under the same nonce: it was
    /// decided on what is recorded of the key.
    pub(crate) fn is_conclusive(self) -> bool {
        matches!(self, Self::OtherBody | Self::GrantClosed)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::PlatformDown | Self::Unproved => "the platform does not answer; try again when it is back",
            Self::Full => "the journal is full; try again later or add instances",
            Self::NoHome => "the key's home was not reached in time; try again",
            Self::KeyTooOld => "the key is older than keys are remembered; use a new key for a new request",
            Self::KeyTooNew => "the key's time lies in the future; correct the caller's clock",
            Self::OtherBody => "the key was used with another body; use a new key for another request",
            Self::GrantClosed => "the budget grant was settled; reserve again before billing",
        })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRecorded(reason) => write!(f, "not recorded: {reason}"),
            Self::Unknown => f.write_str("may have been recorded; ask for the request's outcome"),
        }
    }
}

impl std::error::Error for Error {}
