//! The daemon's settings file, checked whole before anything starts.
//!
//! [`Settings::load`] reads a YAML file into values that need no further
//! checks: ranges hold, listeners do not overlap, secrets are read. Every
//! fault names its line, its field and what to write instead.

mod check;
mod error;
mod file;
pub mod relay;
mod scalar;
mod secret;

use std::{net::SocketAddr, path::Path};

pub use error::{Error, Fault};
pub use relay::Relay;
pub use secret::{MIN_SECRET_LEN, Secret};
use world::{Millis, domain::Domain, instance};

/// Everything a daemon is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's name, unique over the fleet.
    pub instance: instance::Id,
    /// The failure domain it stands in.
    pub domain: Domain,
    /// Every failure domain of the site, the own included. While the platform
    /// is down, instances in step with more than half of them take new work.
    pub domains: Vec<Domain>,
    /// Where it listens.
    pub listeners: Listeners,
    /// The platform's object API.
    pub platform: Platform,
    /// The other instances.
    pub peers: Peers,
    /// Keys that open the operators' listener and sign sessions.
    pub keys: Keys,
    /// The rating service; without one nothing is rated.
    pub ratings: Option<SocketAddr>,
    /// Bounds on what callers may use.
    pub limits: Limits,
    /// Spans of time.
    pub timing: Timing,
    /// Bounds on repeated attempts.
    pub retries: Retries,
    /// Events kept for `arbutuslug timeline`.
    pub timeline: Timeline,
    /// Filter of log lines, `info` or `info,timeline=warn` say.
    pub log: String,
}

/// Where a daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listeners {
    /// Callers' HTTP.
    pub callers: Listener,
    /// Links from other instances.
    pub peers: Listener,
    /// Operators' service, health, metrics.
    pub operators: Listener,
}

/// One listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listener {
    /// The address to bind; port 0 takes a free port.
    pub bind: SocketAddr,
    /// The address told to others; the bound one when none is given.
    pub advertise: Option<SocketAddr>,
}

/// The platform's object API and this instance's part of its rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// Reads a second this instance may make.
    pub reads_per_s: u32,
    /// Writes a second this instance may make.
    pub writes_per_s: u32,
    /// Time limit of one call, in milliseconds.
    pub timeout_ms: Millis,
}

/// How to find and trust the other instances.
#[derive(Debug, Clone)]
pub struct Peers {
    /// Peer addresses to try first; a few suffice.
    pub seeds: Vec<SocketAddr>,
    /// The key all instances share.
    pub key: Secret,
}

/// Keys of the other listeners.
#[derive(Debug, Clone)]
pub struct Keys {
    /// Operators' bearer key.
    pub operators: Secret,
    /// Signs session handles; all instances share it.
    pub sessions: Secret,
}

/// Bounds on what callers may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Callers' connections at a time.
    pub connections: usize,
}

/// Spans of time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Oldest configuration that new work may start on.
    pub freshness_ms: Millis,
    /// How long callers may keep an answer about addresses.
    pub keep_ms: Millis,
    /// Longest wait for requests in flight when leaving; 0 waits for all.
    pub drain_ms: Millis,
}

/// Bounds on repeated attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retries {
    /// Retries per first try of a customer, from 0 to 1.
    pub share: f64,
    /// Attempts at one request, the first included.
    pub attempts: u32,
}

/// Events kept in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeline {
    /// Steps of requests.
    pub requests: usize,
    /// All other events.
    pub others: usize,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] when the file cannot be read or is not valid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::Unreadable { path: path.to_owned(), cause: error.to_string() })?;
        Self::parse(&text)
    }

    /// Reads settings from YAML, and secrets from where it says.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every fault found.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let file = file::read(text).map_err(|fault| Error::Invalid { faults: vec![fault] })?;
        check::check(file).map_err(|faults| Error::Invalid { faults })
    }

    /// Settings of an instance on the loopback address with free ports, for
    /// trials and tests; all such instances share their keys.
    #[must_use]
    pub fn local(instance: instance::Id, domain: Domain, platform: SocketAddr) -> Self {
        let listener = Listener { bind: SocketAddr::from(([127, 0, 0, 1], 0)), advertise: None };
        Self {
            instance,
            domains: vec![domain.clone()],
            domain,
            listeners: Listeners { callers: listener, peers: listener, operators: listener },
            platform: Platform { address: platform, ..check::default_platform(platform) },
            peers: Peers { seeds: Vec::new(), key: Secret::new("local-peer-key-for-trials") },
            keys: Keys {
                operators: Secret::new("local-operator-key-for-trials"),
                sessions: Secret::new("local-session-key-for-trials"),
            },
            ratings: None,
            limits: Limits::default(),
            timing: Timing::default(),
            retries: Retries::default(),
            timeline: Timeline::default(),
            log: check::DEFAULT_LOG.into(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { body_bytes: 4 << 20, header_bytes: 16 << 10, connections: 8_192 }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self { freshness_ms: 10_000, keep_ms: 5_000, drain_ms: 0 }
    }
}

impl Default for Retries {
    fn default() -> Self {
        Self { share: 0.1, attempts: 3 }
    }
}

impl Default for Timeline {
    fn default() -> Self {
        Self { requests: 60_000, others: 8_000 }
    }
}
