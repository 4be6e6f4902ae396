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
    /// Memory that waiting bodies may take, in bytes.
    pub body_memory: usize,
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
    /// News of other instances, datagrams.
    pub news: SocketAddr,
}
