//! What a version answers to a prompt: fixed, so that a check can tell a
//! whole answer from a short, foreign or mended one.

use serde::{Deserialize, Serialize};
use world::{Millis, hash};

/// Fewest tokens of an answer.
const MIN_TOKENS: u64 = 4;
/// Answers have up to this many tokens more.
const MORE_TOKENS: u64 = 24;
/// First token of an answer by a version that was made bad.
pub const BAD: &str = "wrong ";
/// Bytes of the messages that make their prefix.
const PREFIX_BYTES: usize = 256;

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// The prompt a chat makes.
#[must_use]
pub fn prompt(messages: &[Message]) -> String {
    let line = |message: &Message| [&message.role, ": ", &message.content, "\n"].concat();
    messages.iter().map(line).collect()
}

/// Hash of a prompt's prefix, as cache events name it; `messages` is the
/// member of the body as it was sent.
#[must_use]
pub fn prefix(messages: &str) -> u64 {
    hash::stable(&messages.as_bytes()[..messages.len().min(PREFIX_BYTES)])
}

/// Parts a chat that ends in a broken answer, to be gone on with, from it.
#[must_use]
pub fn continued(messages: &[Message]) -> (&[Message], &str) {
    match messages {
        [asked @ .., last] if last.role == "assistant" && !asked.is_empty() => (asked, &last.content),
        all => (all, ""),
    }
}

/// How many of an answer's tokens the part given so far covers.
#[must_use]
pub fn covered(tokens: &[String], given: &str) -> usize {
    let mut rest = given;
    tokens.iter().take_while(|token| rest.strip_prefix(token.as_str()).map(|left| rest = left).is_some()).count()
}

/// Tokens of a prompt.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}

/// Tokens of the answer of a version (`model@number`) to a prompt, uncapped.
#[must_use]
pub fn tokens(version: &str, prompt: &str) -> Vec<String> {
    let seed = hash::stable(format!("{version}\n{prompt}").as_bytes());
    let count = MIN_TOKENS + seed % MORE_TOKENS;
    (0..count).map(|index| format!("{:06x} ", hash::rendezvous(seed, &index.to_le_bytes()) & 0xff_ffff)).collect()
}

/// The whole answer of a version to a prompt, capped at `max_tokens`.
#[must_use]
pub fn text(version: &str, prompt: &str, max_tokens: Option<u64>) -> String {
    let max = max_tokens.map_or(usize::MAX, |max| usize::try_from(max).unwrap_or(usize::MAX));
    tokens(version, prompt).into_iter().take(max).collect()
}

/// Time from the start of a run to its first token and between tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Pace {
    pub(crate) first: Millis,
    pub(crate) next: Millis,
}
