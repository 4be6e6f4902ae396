//! Settings of the client.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Settings of an instance's client of the platform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Name of the writer: instance and incarnation. Must be unique to the process, since
    /// the seed of its nonces depends on it.
    pub writer: String,
    /// This instance's share of writes, per second.
    pub writes_per_s: f64,
    /// This instance's share of reads, per second; each call of a watch counts as a read.
    pub reads_per_s: f64,
    /// Time to wait for an answer, after which it counts as lost. Doubles with each lost
    /// answer of an operation.
    pub call_timeout: Duration,
    /// Time limit of an operation, including retries and waiting for the budget.
    pub deadline: Duration,
    /// Time for which the platform holds back the answer to a watch without changes.
    pub watch_wait: Duration,
    /// Initial ceiling of the backoff between tries.
    pub backoff_min: Duration,
    /// Highest ceiling of the backoff between tries.
    pub backoff_max: Duration,
    /// Seed of nonces and jitter; drawn from the system if `None`.
    pub seed: Option<u64>,
}

impl Settings {
    /// Returns the default settings for an instance.
    #[must_use]
    pub fn new(address: SocketAddr, writer: impl Into<String>) -> Self {
        Self { address, writer: writer.into(), ..Self::default() }
    }

    /// Returns settings for a test: without an address, with a fixed seed and an ample budget.
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
            // About a seventh each of 300 writes and 2,000 reads a second, the rates of a
            // platform with seven instances.
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
