//! Errors of reservations.

use std::fmt;

use world::time::Timestamp;

/// Why a reservation failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The remaining budget of the period does not cover the request.
    Exhausted {
        /// End of the period, when the next budget starts.
        until: Timestamp,
    },
    /// This instance's grant does not cover the request and the platform
    /// cannot be reached to extend it.
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
