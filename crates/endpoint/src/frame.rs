//! Frames: the parts of an answer, in order.

use serde::{Deserialize, Serialize};

/// One part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// A piece of text.
    Token {
        /// Place in the attempt's stream, from 0.
        index: u64,
        /// The piece.
        text: String,
    },
    /// The end of a whole answer.
    Finish {
        /// Place in the attempt's stream.
        index: u64,
        /// Why the engine stopped.
        reason: Reason,
        /// Tokens read and made.
        usage: Usage,
    },
}

impl Frame {
    /// Place in the attempt's stream.
    #[must_use]
    pub fn index(&self) -> u64 {
        match self {
            Self::Token { index, .. } | Self::Finish { index, .. } => *index,
        }
    }
}

/// Why an engine stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The answer is complete.
    Stop,
    /// The limit on tokens was reached.
    Length,
    /// Another reason, as the engine spells it.
    #[serde(untagged)]
    Other(String),
}

impl Reason {
    /// As the chat form spells it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
            Self::Other(text) => text,
        }
    }
}

/// Tokens read and made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Tokens of the prompt that were in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}
