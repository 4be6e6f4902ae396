//! Why a call failed, and above all whether anything may have run.

use std::{fmt, time::Duration};

/// Why a call to an endpoint failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Certainly not run.
    Refused {
        /// What kind of refusal.
        refusal: Refusal,
        /// When to try there again, if the endpoint said so.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Unknown {
        /// What went wrong, for logs and people.
        message: String,
    },
}

/// Why an endpoint certainly ran nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No connection could be made, or no byte of the call was sent.
    Unreachable,
    /// All its slots are taken.
    Full,
    /// It has not loaded the version.
    NotLoaded,
    /// It refused the call for this other HTTP status.
    Status(u16),
}

impl Error {
    /// Whether nothing can have run.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }

    pub(crate) fn unreachable() -> Self {
        Self::Refused { refusal: Refusal::Unreachable, retry_after: None }
    }

    pub(crate) fn unknown(message: impl fmt::Display) -> Self {
        Self::Unknown { message: message.to_string() }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => f.write_str("no connection; check that the endpoint is up"),
            Self::Full => f.write_str("all slots taken; try another endpoint or later"),
            Self::NotLoaded => f.write_str("version not loaded; order the endpoint to load it"),
            Self::Status(status @ 400..=499) => write!(f, "HTTP status {status}; check the request's parameters"),
            Self::Status(status) => write!(f, "HTTP status {status}; check the version and its engines"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { refusal, .. } => write!(f, "refused, not run: {refusal}"),
            Self::Unknown { message } => write!(f, "may have run: {message}; ask for its outcome before a repeat"),
        }
    }
}

impl std::error::Error for Error {}
