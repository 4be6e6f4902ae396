//! Errors of calls and streams, which say whether the peer may have received
//! the request.

use std::fmt;

use tonic::{ConnectError, Status};
use world::instance::Id;

/// Metadata key that the server sets on a status when the call was never
/// handed to the topic owner.
pub(crate) const NOT_RUN: &str = "arbutuslug-not-run";

/// Why a call or stream failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No current member has this name; nothing was sent.
    Unknown(Id),
    /// No connection could be made; nothing was sent.
    Unreachable(Id),
    /// The peer refused the call without handing it to the topic owner.
    Refused(Id, String),
    /// The call was sent but no response arrived, so it may have been run.
    Lost(Id, String),
    /// The body exceeds the size limit; nothing was sent.
    TooLarge {
        /// Size of the body in bytes.
        size: usize,
        /// Largest allowed size in bytes.
        limit: usize,
    },
    /// The links of this instance are closed.
    Closed,
}

impl Error {
    /// Returns whether the topic owner at the peer may have received the call.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Lost(..))
    }

    pub(crate) fn from_status(id: &Id, status: &Status) -> Self {
        if status.metadata().contains_key(NOT_RUN) {
            return Self::Refused(id.clone(), status.message().into());
        }
        // A transport error does not say whether the peer received the call,
        // unless the connection was never established.
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
