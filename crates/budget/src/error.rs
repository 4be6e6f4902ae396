//! Why nothing was reserved.

use std::fmt;

use world::time::Timestamp;

/// Why nothing was reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The budget does not cover the request before its period ends.
    Exhausted {
        /// End of the period.
        until: Timestamp,
    },
    /// The grant at hand does not cover it and the platform does not answer.
    Unavailable,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exhausted { .. } => {
                f.write_str("the budget is used up; raise it in the contract or wait for the next period")
            }
            Self::Unavailable => f.write_str("the budget cannot be asked now; try again when the platform is back"),
        }
    }
}

impl std::error::Error for Error {}
