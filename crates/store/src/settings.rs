//! How an instance uses the platform.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// How an instance uses the platform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where the object API listens.
    pub address: SocketAddr,
    /// Who writes: instance and incarnation. Must differ between any two
    /// processes, since nonces are drawn from it.
    pub writer: String,
    /// This instance's share of writes, per second.
    pub writes_per_s: f64,
    /// This instance's share of reads, per second; a waiting watch is one.
    pub reads_per_s: f64,
    /// Wait for the first answer; a write not answered by then counts as lost.
    /// Doubles with each lost answer.
    pub call_timeout: Duration,
    /// Longest wait for one operation, retries and waiting for budget included.
    pub deadline: Duration,
    /// How long the platform holds a watch without news.
    pub watch_wait: Duration,
    /// First ceiling of the backoff between tries.
    pub backoff_min: Duration,
    /// Last ceiling of the backoff between tries.
    pub backoff_max: Duration,
    /// Seed of nonces and jitter; drawn from the system when absent.
    pub seed: Option<u64>,
}

impl Settings {
    /// Settings for one instance, with the defaults.
    #[must_use]
    pub fn new(address: SocketAddr, writer: impl Into<String>) -> Self {
        Self { address, writer: writer.into(), ..Self::default() }
    }

    /// Settings for a test: no address, a fixed seed, ample budget.
    #[must_use]
    pub fn fake(writer: impl Into<String>, seed: u64) -> Self {
        Self {
            writer: writer.into(),
            seed: Some(seed),
            writes_per_s: 10_000.0,
            reads_per_s: 10_000.0,
            ..Self::default()
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            writer: String::new(),
            // Seven instances' shares of 300 writes and 2,000 reads a second.
            writes_per_s: 40.0,
            reads_per_s: 280.0,
            call_timeout: Duration::from_secs(2),
            deadline: Duration::from_secs(10),
            watch_wait: Duration::from_secs(10),
            backoff_min: Duration::from_millis(20),
            backoff_max: Duration::from_secs(2),
            seed: None,
        }
    }
}
