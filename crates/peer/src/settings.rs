//! What a [`spawn`](crate::spawn) needs.

use std::{fmt, net::SocketAddr, time::Duration};

use subtle::ConstantTimeEq;
use timeline::Recorder;
use world::{Millis, instance::Instance};

/// How an instance takes part.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance; `peers` is replaced by the bound address when its port is 0.
    pub me: Instance,
    /// Where to listen for peers.
    pub listen: SocketAddr,
    /// Where to look for peers before any is known.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all instances share.
    pub key: Key,
    /// Spans of membership.
    pub timing: Timing,
    /// Bounds on links and queues.
    pub limits: Limits,
    /// Whose clock goes with each message and follows the senders'.
    pub recorder: Option<Recorder>,
}

impl Settings {
    /// Settings with the usual spans and bounds.
    #[must_use]
    pub fn new(me: Instance, listen: SocketAddr, seeds: Vec<SocketAddr>, key: Key) -> Self {
        Self { me, listen, seeds, key, timing: Timing::default(), limits: Limits::default(), recorder: None }
    }
}

/// The secret that all instances share.
#[derive(Clone)]
pub struct Key(String);

impl Key {
    /// Takes the text as it is; empty is allowed for trials only.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    pub(crate) fn text(&self) -> &str {
        &self.0
    }

    /// Compares in a time that does not tell how much was right: otherwise a
    /// guesser finds the key byte by byte.
    pub(crate) fn is(&self, offered: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(offered).into()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Spans of membership, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats on a link.
    pub heartbeat: Millis,
    /// Without a heartbeat until a peer is suspected.
    pub silence: Millis,
    /// From suspicion to removal, unless refuted.
    pub suspicion: Millis,
    /// How long a removed member is remembered.
    pub forget: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self { heartbeat: 1_000, silence: 3_500, suspicion: 3_000, forget: 600_000 }
    }
}

impl Timing {
    pub(crate) fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat)
    }

    /// For connecting and greeting: a peer that takes longer is silent.
    pub(crate) fn dial(&self) -> Duration {
        Duration::from_millis(self.silence / 2)
    }
}

/// Bounds on links and queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most links an instance keeps; up to one more instance than that, all
    /// are linked with all. At least 3.
    pub links: usize,
    /// Frames waiting for one link; further ones are dropped for it alone.
    pub frames: usize,
    /// Messages waiting for their owner; further calls are refused as not run.
    pub inbound: usize,
    /// Chunks of one stream on their way, each side.
    pub chunks: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// News taken from one link per second; more is dropped.
    pub news: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { links: 12, frames: 256, inbound: 1_024, chunks: 16, body: 4 << 20, news: 200 }
    }
}
