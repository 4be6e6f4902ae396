//! What a request asks for, whoever carries it and however often it comes.
//!
//! Each attempt of a caller has its own id. Attempts with the same team, method,
//! host, path and body are the same work, and do the same to whatever runs them.

use std::{fmt, str::FromStr};

use world::hash;

/// Digits of a team's hash as text.
const TEAM_TEXT: usize = 8;

/// Digits of a content as text.
const TEXT: usize = 24;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Content {
    /// Hash of the team's name. Apart from the rest, so that no team can make up a
    /// request that is taken for another team's.
    pub team: u32,
    /// Hash of method, host, path and body.
    pub work: u64,
}

impl Content {
    /// The content of a request.
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
        let is_hex = text.len() == TEXT && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let (team, work) = text.split_at_checked(TEAM_TEXT).filter(|_| is_hex).ok_or(ParseError)?;
        let team = u32::from_str_radix(team, 16).map_err(|_| ParseError)?;
        let work = u64::from_str_radix(work, 16).map_err(|_| ParseError)?;
        Ok(Self { team, work })
    }
}

/// A text that names no content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a content is {TEXT} hexadecimal digits")
    }
}

impl std::error::Error for ParseError {}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}{:016x}", self.team, self.work)
    }
}
