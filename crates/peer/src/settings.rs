//! Settings for [`spawn`](crate::spawn).

use std::{fmt, net::SocketAddr, time::Duration};

use subtle::ConstantTimeEq;
use timeline::Recorder;
use world::{Millis, instance::Instance};

/// Settings of an instance's peer links.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance; if the port of `peers` is 0, it is replaced by the bound port.
    pub me: Instance,
    /// Address to listen on for peers.
    pub listen: SocketAddr,
    /// Addresses to dial to find the first peers.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all instances.
    pub key: Key,
    /// Intervals and timeouts of membership.
    pub timing: Timing,
    /// Bounds on links and queues.
    pub limits: Limits,
    /// Recorder whose hybrid logical clock stamps sent messages and advances
    /// with received ones.
    pub recorder: Option<Recorder>,
}

impl Settings {
    /// Creates settings with the default timing and limits.
    #[must_use]
    pub fn new(me: Instance, listen: SocketAddr, seeds: Vec<SocketAddr>, key: Key) -> Self {
        Self { me, listen, seeds, key, timing: Timing::default(), limits: Limits::default(), recorder: None }
    }
}

/// Secret shared by all instances.
#[derive(Clone)]
pub struct Key(String);

impl Key {
    /// Creates a key from the text, which is not trimmed. An empty key gives no
    /// protection and is meant only for trials.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    pub(crate) fn text(&self) -> &str {
        &self.0
    }

    /// Compares in constant time; otherwise an attacker could find the key byte
    /// by byte from the response times.
    pub(crate) fn matches(&self, offered: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(offered).into()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Intervals and timeouts of membership, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two heartbeats on a link.
    pub heartbeat: Millis,
    /// Time without a frame after which a peer is suspected.
    pub silence: Millis,
    /// Time from suspicion to removal, unless refuted.
    pub suspicion: Millis,
    /// Time for which a removed member is remembered.
    pub forget: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self { heartbeat: 1_000, silence: 3_500, suspicion: 3_000, forget: 600_000 }
    }
}

impl Timing {
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat)
    }

    /// Timeout for connecting and greeting; a peer that takes longer counts as silent.
    pub(crate) fn dial_timeout(&self) -> Duration {
        Duration::from_millis(self.silence / 2)
    }
}

/// Bounds on links and queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of links of an instance, at least 3. Fleets of up to
    /// `links + 1` instances form a full mesh.
    pub links: usize,
    /// Queue length in frames of each link; further frames for it are dropped.
    pub frames: usize,
    /// Queue length in messages for the topic owners; further calls are
    /// refused with an error that says that they were not run.
    pub inbound: usize,
    /// Number of chunks of one stream that the sending instance buffers.
    pub chunks: usize,
    /// Maximum size of a body in bytes.
    pub body: usize,
    /// News items accepted per second on one link; further ones are dropped.
    pub news: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { links: 12, frames: 256, inbound: 1_024, chunks: 16, body: 4 << 20, news: 200 }
    }
}
