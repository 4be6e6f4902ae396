//! Identity of what an endpoint works on, independent of its sender and of repeats: a request,
//! or a part of a prompt that many requests share.
//!
//! Each attempt of a caller has its own id. Attempts with the same customer, method, host,
//! path and body are the same work and have the same effect on the endpoint that runs them.
//! So do, at times, all requests with one part in their prompts, whoever sends them.

use std::{fmt, str::FromStr, sync::Arc};

use world::hash;

/// Number of hexadecimal digits of the customer's hash in the text form.
const TEAM_DIGITS: usize = 8;

/// Number of hexadecimal digits of the whole text form.
const TOTAL_DIGITS: usize = 24;

/// Value of [`Content::team`] that marks a part of a prompt. No customer has this hash.
const PART_MARK: u32 = u32::MAX;

/// Identity of the work that a request asks for, or of a part of prompts.
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
        Self::of_blocks(team, method, host, path, std::iter::once(body))
    }

    /// Computes the identity of a request whose body is held in blocks.
    #[must_use]
    pub fn of_blocks<'a>(
        team: Option<&str>,
        method: &str,
        host: &str,
        path: &str,
        body: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let target = hash::stable(format!("{method}\0{host}\0{path}").as_bytes());
        let team = team.map_or(0, |team| hash::stable(team.as_bytes()) % u64::from(PART_MARK));
        Self { team: u32::try_from(team).unwrap_or_default(), work: hash::rendezvous_of_parts(target, body) }
    }

    /// Returns the identity of a part of prompts by the part's hash.
    #[must_use]
    pub fn of_part(part: u64) -> Self {
        Self { team: PART_MARK, work: part }
    }

    /// Returns whether this is a part of prompts and not a request.
    #[must_use]
    pub fn is_part(self) -> bool {
        self.team == PART_MARK
    }
}

/// A request, and the parts of its prompt that other requests may have as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Identity of the request.
    pub request: Content,
    /// Identities of the parts.
    pub parts: Arc<[Content]>,
}

impl Work {
    /// Returns the identities of the request and of the parts.
    pub fn contents(&self) -> impl Iterator<Item = Content> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }

    /// Returns the identities of the parts as text for logs.
    #[must_use]
    pub fn parts_text(&self) -> String {
        self.parts.iter().map(Content::to_string).collect::<Vec<_>>().join(",")
    }
}

impl From<Content> for Work {
    /// Converts a request without a prompt.
    fn from(request: Content) -> Self {
        Self { request, parts: Arc::default() }
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
