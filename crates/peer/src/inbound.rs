//! Messages from peers, to be handled by the topic owners.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use world::instance::Id;

use crate::topic::Topic;

/// One message from a peer.
#[derive(Debug)]
pub enum Inbound {
    /// A request with one response. If `reply` is dropped, the caller gets an
    /// error that says the call may have been run.
    Call {
        /// Calling instance.
        from: Id,
        /// Topic of the request.
        topic: Topic,
        /// Request body, defined by the topic owner.
        body: Bytes,
        /// Takes the response; closed once the caller stops waiting.
        reply: oneshot::Sender<Bytes>,
    },
    /// A request with a stream of responses, which ends when `sink` is dropped.
    Stream {
        /// Calling instance.
        from: Id,
        /// Topic of the request.
        topic: Topic,
        /// Request body, defined by the topic owner.
        body: Bytes,
        /// Takes the responses; `send` waits while the caller is slow.
        sink: mpsc::Sender<Bytes>,
    },
    /// News published by an instance; each item is delivered at most once, in
    /// no guaranteed order.
    News {
        /// Linked peer that delivered it.
        from: Id,
        /// Instance that published it.
        origin: Id,
        /// Topic of the news.
        topic: Topic,
        /// Body, defined by the topic owner.
        body: Bytes,
    },
    /// A linked peer's digest changed: that peer may hold data that the topic
    /// owner here has missed.
    Digest {
        /// Linked peer that owns the digest.
        from: Id,
        /// Topic of the digest.
        topic: Topic,
        /// New digest value.
        value: Bytes,
    },
}
