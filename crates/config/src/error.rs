//! Why a change was not accepted.

use std::fmt;

use world::{catalog::Fault, object::Key};

use crate::{edit::Expected, state::Revision};

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// The objects do not fit each other; nothing was changed.
    Invalid(Vec<Fault>),
    /// Another change of the same object came first; nothing was changed.
    Conflict(Box<Conflict>),
    /// Two edits of one object; nothing was changed.
    Twice(Key),
    /// Other changes came first until the deadline; nothing was changed.
    Busy,
    /// More than one entry of the log holds; nothing was changed.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
    },
    /// The platform is out of reach; nothing was changed.
    Down(store::Error),
    /// The change may or may not have been accepted.
    Unknown {
        /// The generation that holds it if it was.
        generation: u64,
    },
    /// An entry of the log that this build cannot read.
    Unreadable {
        /// Its generation.
        generation: u64,
        /// The parser's message.
        message: String,
    },
    /// This instance shuts down; nothing was changed.
    Closed,
}

/// A lost race on one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The object.
    pub object: Key,
    /// What the operator believed to stand there.
    pub expected: Expected,
    /// The change that stands there; nothing when the object never was.
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
            Self::Twice(key) => write!(f, "{key} stands twice in this change; keep one"),
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
