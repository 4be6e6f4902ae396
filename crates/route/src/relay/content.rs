//! What a request asks for, whoever carries it and however often it comes.
//!
//! Each attempt of a caller has its own id. Attempts with the same team, method,
//! host, path and body are the same work, and do the same to whatever runs them.

use std::fmt;

use world::hash;

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

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}{:016x}", self.team, self.work)
    }
}
