//! What instances tell each other about the configuration.
//!
//! Changes and snapshots travel as the platform keeps them, so that a change
//! is the same bytes whichever way it came, and a build that does not know a
//! member passes it on unharmed. Fields are added, never reused.

use bytes::Bytes;
use prost::Message;

/// Asks a peer for whatever is newer.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Want {
    /// Comes back in the answer.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The generation in force at the asker.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// The generation of a state that the asker has the first part of.
    #[prost(uint64, tag = "3")]
    pub snapshot: u64,
    /// How many entries of it.
    #[prost(uint64, tag = "4")]
    pub skip: u64,
}

/// Tells what is newer: an answer, or published of its own accord.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct News {
    /// The want it answers; 0 when published.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Failure domain of the teller.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// The generation in force at the teller.
    #[prost(uint64, tag = "3")]
    pub head: u64,
    /// How long ago the platform confirmed that, in milliseconds.
    #[prost(uint64, optional, tag = "4")]
    pub confirmed_ms: Option<u64>,
    /// Changes that follow each other.
    #[prost(bytes = "bytes", repeated, tag = "5")]
    pub changes: Vec<Bytes>,
    /// A whole state instead, where changes alone would not do, or the next
    /// part of one; may be empty.
    #[prost(bytes = "bytes", tag = "6")]
    pub snapshot: Bytes,
    /// Entries of the state before this part.
    #[prost(uint64, tag = "7")]
    pub skip: u64,
    /// Whether further parts follow.
    #[prost(bool, tag = "8")]
    pub more: bool,
}

/// Encodes a message.
#[must_use]
pub fn encode(message: &impl Message) -> Bytes {
    message.encode_to_vec().into()
}
