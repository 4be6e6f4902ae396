//! Errors of reading and changing the configuration.

use std::fmt;

use world::{catalog::Fault, object::Key};

use crate::{edit::Expected, state::Revision};

/// Reason why a change was not accepted or the log could not be read.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// The objects are inconsistent with each other; nothing was changed.
    Invalid(Vec<Fault>),
    /// Another change of the same object came first; nothing was changed.
    Conflict(Box<Conflict>),
    /// The change contains two edits of one object; nothing was changed.
    DuplicateObject(Key),
    /// Other changes came first until the deadline, or others truncated the log during
    /// every attempt to read it; nothing was changed.
    Busy,
    /// The change is too large for one entry of the log; nothing was changed.
    TooLarge {
        /// Size of the change in bytes.
        bytes: usize,
    },
    /// The platform is unavailable; nothing was changed.
    Down(store::Error),
    /// The change may or may not have been accepted.
    Unknown {
        /// The generation that contains the change if it was accepted.
        generation: u64,
    },
    /// This build cannot decode an entry of the log.
    Unreadable {
        /// Generation of the entry.
        generation: u64,
        /// The parser's message.
        message: String,
    },
    /// This instance is shutting down; nothing was changed.
    Closed,
}

/// A mismatch between the expected and the current state of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Key of the object.
    pub object: Key,
    /// The condition that the operator gave.
    pub expected: Expected,
    /// The object's last change; `None` if it never existed or its deletion is no longer kept.
    pub found: Option<Revision>,
    /// Whether the object exists now.
    pub exists: bool,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(faults) => {
                write!(f, "the objects do not fit; correct them and apply again:")?;
                faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
            }
            Self::Conflict(conflict) => conflict.fmt(f),
            Self::DuplicateObject(key) => write!(f, "{key} stands twice in this change; keep one"),
            Self::Busy => f.write_str("other changes came first every time; nothing was changed, apply again"),
            Self::TooLarge { bytes } => write!(
                f,
                "the change has {bytes} bytes, {} at most; nothing was changed, apply it in several files",
                store::MAX_VALUE
            ),
            Self::Down(error) => write!(f, "nothing was changed: {error}"),
            Self::Unknown { generation } => write!(
                f,
                "the change may have been accepted as generation {generation}; look at `arbutuslug history` before applying again"
            ),
            Self::Unreadable { generation, message } => {
                write!(f, "generation {generation} cannot be read by this build ({message}); upgrade this instance")
            }
            Self::Closed => f.write_str("this instance shuts down; nothing was changed, apply at another"),
        }
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(found) = &self.found else {
            return write!(f, "{} does not exist; nothing was changed, apply it without a revision", self.object);
        };
        let what = if self.exists { "changed" } else { "deleted" };
        write!(
            f,
            "{} was {what} in generation {} by {} ({} ms since 1970, at {}); nothing was changed, read it again and apply anew",
            self.object, found.generation, found.author, found.at.0, found.instance
        )
    }
}

impl From<store::Error> for Error {
    fn from(error: store::Error) -> Self {
        match error {
            store::Error::TooLarge { bytes, .. } => Self::TooLarge { bytes },
            error => Self::Down(error),
        }
    }
}
