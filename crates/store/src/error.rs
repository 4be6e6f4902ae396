//! Why a call to the platform failed.

use std::fmt;

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The platform was out of reach until the deadline; a write was certainly not done.
    Down {
        /// Last fault.
        cause: String,
    },
    /// The answer to a write was lost, and the object could not be read back in time.
    Unknown {
        /// The key written.
        key: String,
    },
    /// The platform rejected the call and would reject it again.
    Refused {
        /// The platform's message.
        message: String,
    },
    /// The value is longer than [`crate::MAX_VALUE`]; nothing was sent.
    TooLarge {
        /// The key to be written.
        key: String,
        /// Its size in bytes, including the envelope.
        bytes: usize,
    },
    /// The value cannot be decoded as the requested type.
    Malformed {
        /// The key read.
        key: String,
        /// The parser's message.
        message: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down { cause } => {
                write!(f, "the platform is out of reach ({cause}); nothing was changed, try again when it is back")
            }
            Self::Unknown { key } => {
                write!(f, "the change of `{key}` may or may not be done; read it again when the platform is back")
            }
            Self::Refused { message } => {
                write!(f, "the platform refused the call: {message}; check both ends' versions")
            }
            Self::TooLarge { key, bytes } => write!(
                f,
                "the value of `{key}` has {bytes} bytes, {} at most; split it over several keys",
                crate::MAX_VALUE
            ),
            Self::Malformed { key, message } => {
                write!(f, "the value of `{key}` does not read: {message}; check who writes this key")
            }
        }
    }
}

impl std::error::Error for Error {}
