//! Identity of a request by its content, independent of its sender and of repeats.
//!
//! Each attempt of a caller has its own id. Attempts with the same customer, method, host,
//! path and body are the same work and have the same effect on the endpoint that runs them.

use std::{fmt, str::FromStr};

use world::hash;

/// Number of hexadecimal digits of the customer's hash in the text form.
const TEAM_DIGITS: usize = 8;

/// Number of hexadecimal digits of the whole text form.
const TOTAL_DIGITS: usize = 24;

/// Identity of the work that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Content {
    /// Hash of the customer's name. It is separate from the rest, so that no customer can
    /// craft a request that is mistaken for another customer's.
    pub team: u32,
    /// Hash of method, host, path and body.
    pub work: u64,
}

impl Content {
    /// Computes the identity of a request. `team` is the customer's name.
    #[must_use]
    pub fn of(team: Option<&str>, method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let target = hash::stable(format!("{method}\0{host}\0{path}").as_bytes());
        let team = team.map_or(0, |team| hash::stable(team.as_bytes()) & u64::from(u32::MAX));
        Self { team: u32::try_from(team).unwrap_or_default(), work: hash::rendezvous(target, body) }
    }
}

impl FromStr for Content {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_hex = text.len() == TOTAL_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let (team, work) = text.split_at_checked(TEAM_DIGITS).filter(|_| is_hex).ok_or(ParseError)?;
        let team = u32::from_str_radix(team, 16).map_err(|_| ParseError)?;
        let work = u64::from_str_radix(work, 16).map_err(|_| ParseError)?;
        Ok(Self { team, work })
    }
}

/// Error for a text that is not the text form of a [`Content`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a content is {TOTAL_DIGITS} hexadecimal digits")
    }
}

impl std::error::Error for ParseError {}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}{:016x}", self.team, self.work)
    }
}
