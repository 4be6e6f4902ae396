//! What peers send, for the owners of the topics.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use world::instance::Id;

use crate::topic::Topic;

/// One message from a peer.
#[derive(Debug)]
pub enum Inbound {
    /// A question; dropping `reply` makes the caller's outcome unknown.
    Call {
        /// Who asks.
        from: Id,
        /// What about.
        topic: Topic,
        /// The owner's bytes.
        body: Bytes,
        /// Takes the answer; closed when the caller has given up.
        reply: oneshot::Sender<Bytes>,
    },
    /// A question with many answers; the stream ends when `sink` is dropped.
    Stream {
        /// Who asks.
        from: Id,
        /// What about.
        topic: Topic,
        /// The owner's bytes.
        body: Bytes,
        /// Takes the answers; `send` waits while the caller is slow.
        sink: mpsc::Sender<Bytes>,
    },
    /// News that somebody published; each comes once, in no promised order.
    News {
        /// The neighbour it came from.
        from: Id,
        /// Who published it.
        origin: Id,
        /// What about.
        topic: Topic,
        /// The owner's bytes.
        body: Bytes,
    },
    /// A neighbour's digest changed: its owner may hold what ours missed.
    Digest {
        /// The neighbour.
        from: Id,
        /// What about.
        topic: Topic,
        /// The neighbour's value.
        value: Bytes,
    },
}
