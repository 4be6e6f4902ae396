//! How a command ends.

use std::{fmt, process::ExitCode};

use operator::{Conflict, Error, Fault};

use crate::console::Console;

/// Exit status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done, and in force where the command waits for that.
    Done = 0,
    /// Nothing was done.
    Refused = 1,
    /// The command line makes no sense.
    Usage = 2,
    /// It may have been done, or is not yet in force everywhere.
    Unknown = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command was not done; the message names the remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The command line makes no sense.
    Usage(String),
    /// Nothing was done.
    Refused(String),
    /// It may have been done.
    Unknown(String),
    /// Nobody reads the output any more.
    Closed,
}

impl Failure {
    /// Tells on standard error.
    pub(crate) fn report(&self, console: &mut Console<'_>) -> Exit {
        if *self != Self::Closed {
            console.note(&format!("error: {self}"));
        }
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Refused(_) => Exit::Refused,
            Self::Unknown(_) => Exit::Unknown,
            Self::Closed => Exit::Done,
        }
    }

    /// Objects that would not fit.
    pub(crate) fn of_faults(faults: &[Fault]) -> Self {
        let lines: Vec<_> = faults.iter().map(|fault| format!("{}: {}", fault.object, fault.message)).collect();
        Self::Refused(format!("nothing was changed\n{}", lines.join("\n")))
    }

    /// A lost race.
    pub(crate) fn of_conflict(conflict: &Conflict) -> Self {
        let Conflict { object, expected, found, author, at } = conflict;
        let when = crate::describe::time(*at);
        let other = if *found == 0 {
            format!("it was deleted by {author} at {when}")
        } else {
            format!("generation {found} was made by {author} at {when}")
        };
        Self::Refused(format!(
            "nothing was changed: {object} was read at generation {expected}, but {other}; \
             see `arbutuslug history {object}`, then read and apply again"
        ))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) | Self::Refused(message) | Self::Unknown(message) => f.write_str(message),
            Self::Closed => f.write_str("nobody reads the output"),
        }
    }
}

impl std::error::Error for Failure {}

impl From<Error> for Failure {
    /// For calls that change nothing: a lost answer is no unknown outcome.
    fn from(error: Error) -> Self {
        Self::Refused(error.to_string())
    }
}
