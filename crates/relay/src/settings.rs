//! What the relay is told at its start.

use std::{net::SocketAddr, time::Duration};

use route::relay::allowance;

/// Everything the relay is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's name.
    pub instance: String,
    /// The failure domain it stands in.
    pub domain: String,
    /// Where it listens.
    pub listeners: Listeners,
    /// Addresses at which other instances may hear news.
    pub seeds: Vec<SocketAddr>,
    /// Longest time that a withdrawn key may go on working; nothing where
    /// withdrawal has no strict bound.
    pub revoke: Option<Duration>,
    /// Longest time that a catalog may be served by after the operator's
    /// confirmation of a newer one; nothing where that has no bound.
    pub replace: Option<Duration>,
    /// Bound on repeated dispatches.
    pub allowance: allowance::Policy,
    /// Share of a service's requests that a bad version may get.
    pub exposure: f64,
    /// Longest pause between two requests of a session.
    pub session: Duration,
    /// Longest time that requests in flight get when leaving.
    pub grace: Duration,
    /// Longest time that callers keep an answer about addresses.
    pub keep_addresses: Duration,
    /// Processor that this instance has.
    pub cores: Cores,
    /// Memory that waiting bodies may take, in bytes.
    pub body_memory: usize,
}

/// Processor that an instance has, in hundredths of a core, as news carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cores(pub u32);

impl Cores {
    /// So many cores.
    #[must_use]
    pub fn new(cores: f64) -> Self {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the type's range")]
        let hundredths = (cores * 100.0).round().clamp(0.0, f64::from(u32::MAX)) as u32;
        Self(hundredths)
    }

    /// The same in cores.
    #[must_use]
    pub fn get(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl Default for Cores {
    /// Instances of which nothing is said count as alike.
    fn default() -> Self {
        Self(100)
    }
}

/// Where the relay listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listeners {
    /// Requests.
    pub front: SocketAddr,
    /// The question whether it takes requests.
    pub ready: SocketAddr,
    /// Questions for addresses.
    pub directory: SocketAddr,
    /// News of other instances, datagrams; and copies of the catalog, connections.
    pub news: SocketAddr,
}
