//! Messages about the configuration that instances exchange.
//!
//! Changes and snapshots are sent in the platform's encoding, so that a change
//! has the same bytes on every path, and a build that does not know a JSON
//! member forwards it unmodified. Fields are added, never reused.

use bytes::Bytes;
use prost::Message;

/// Asks a peer for everything newer than a generation.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Request {
    /// Request id, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The generation in force at the sender.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// Generation of a snapshot of which the sender holds the first entries; 0 for none.
    #[prost(uint64, tag = "3")]
    pub snapshot: u64,
    /// Number of those entries, which the answer skips.
    #[prost(uint64, tag = "4")]
    pub skip: u64,
}

/// Newer changes or a snapshot, sent as an answer or published without a request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct News {
    /// Id of the request that it answers; 0 if published.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Failure domain of the sender.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// The generation in force at the sender.
    #[prost(uint64, tag = "3")]
    pub head: u64,
    /// Milliseconds since the platform last confirmed that generation as the newest.
    #[prost(uint64, optional, tag = "4")]
    pub confirmed_ms: Option<u64>,
    /// Consecutive changes, oldest first.
    #[prost(bytes = "bytes", repeated, tag = "5")]
    pub changes: Vec<Bytes>,
    /// A snapshot or the next part of one, sent when the sender no longer holds all
    /// missing changes; may be empty.
    #[prost(bytes = "bytes", tag = "6")]
    pub snapshot: Bytes,
    /// Number of the snapshot's entries before this part.
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
