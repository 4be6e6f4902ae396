//! What goes wrong between operator and instance.

use std::{fmt, net::SocketAddr};

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection was made: nothing was asked.
    Unreachable {
        /// Which instance.
        address: SocketAddr,
        /// The system's words.
        cause: String,
    },
    /// The instance refused: nothing was done.
    Refused {
        /// Its words, remedy included.
        message: String,
    },
    /// The call was sent and its answer lost.
    Lost {
        /// Which instance.
        address: SocketAddr,
        /// What happened to it.
        cause: String,
    },
    /// The answer makes no sense to this build.
    Malformed(Malformed),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { address, cause } => {
                write!(f, "cannot reach {address}: {cause}; name an instance that runs with --address")
            }
            Self::Refused { message } => f.write_str(message),
            Self::Lost { address, cause } => {
                write!(f, "the answer of {address} was lost: {cause}; ask another instance with --address")
            }
            Self::Malformed(malformed) => write!(f, "{malformed}; use a tool of the instances' version"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Malformed> for Error {
    fn from(malformed: Malformed) -> Self {
        Self::Malformed(malformed)
    }
}

/// A message that does not hold what it must.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    /// Which field.
    pub field: &'static str,
    /// What is wrong with it.
    pub message: String,
}

impl Malformed {
    pub(crate) fn new(field: &'static str, message: &impl ToString) -> Self {
        Self { field, message: message.to_string() }
    }

    pub(crate) fn missing(field: &'static str) -> Self {
        Self::new(field, &"is missing")
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field `{}`: {}", self.field, self.message)
    }
}

impl std::error::Error for Malformed {}
