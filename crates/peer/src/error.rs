//! Why a call or stream failed, and whether it may have been received.

use std::fmt;

use tonic::{ConnectError, Status};
use world::instance::Id;

/// Set on a status by our own server when the owner never saw the call.
pub(crate) const NOT_RUN: &str = "arbutuslug-not-run";

/// Why a call or stream failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No counted member has this name; nothing was sent.
    Unknown(Id),
    /// No connection could be made; nothing was sent.
    Unreachable(Id),
    /// The peer answered that it did not hand the call to its owner.
    Refused(Id, String),
    /// The call went out and its answer did not come: it may have been run.
    Lost(Id, String),
    /// The body is larger than messages may be; nothing was sent.
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The most there may be.
        limit: usize,
    },
    /// The links were closed.
    Closed,
}

impl Error {
    /// Whether the peer's owner may have seen the call.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Lost(..))
    }

    pub(crate) fn from_status(id: &Id, status: &Status) -> Self {
        if status.metadata().contains_key(NOT_RUN) {
            return Self::Refused(id.clone(), status.message().into());
        }
        // A transport's status cannot tell what the peer has seen, except for
        // a connection that was never made.
        let mut source = std::error::Error::source(status);
        while let Some(error) = source {
            if error.is::<ConnectError>() {
                return Self::Unreachable(id.clone());
            }
            source = error.source();
        }
        Self::Lost(id.clone(), status.message().into())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(id) => write!(f, "instance {id} is not counted as a member; choose another one"),
            Self::Unreachable(id) => {
                write!(f, "instance {id} cannot be connected to; nothing was sent, try another one")
            }
            Self::Refused(id, why) => write!(f, "instance {id} refused and did not run the call: {why}"),
            Self::Lost(id, why) => write!(f, "instance {id} may have run the call: {why}; ask for the outcome"),
            Self::TooLarge { size, limit } => {
                write!(f, "a body of {size} bytes is over the limit of {limit}; send it as a stream, in parts")
            }
            Self::Closed => write!(f, "this instance's peer links are closed; it is shutting down"),
        }
    }
}

impl std::error::Error for Error {}
