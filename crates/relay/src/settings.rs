//! Settings that the relay gets at startup.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use route::relay::{allowance, canary};

use crate::{memory, network::Network};

/// Settings of the relay.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Addresses to listen at.
    pub listeners: Listeners,
    /// Addresses at which other instances receive news; contacted at startup.
    pub seeds: Vec<SocketAddr>,
    /// Longest time for which a revoked access key may still work; `None` if revocation has
    /// no strict bound.
    pub revocation_bound: Option<Duration>,
    /// Longest time for which a catalog may be used after a newer one was confirmed to the
    /// operator; `None` if there is no bound.
    pub replacement_bound: Option<Duration>,
    /// Longest time after the store confirmed the evacuation of a failure domain for which
    /// its endpoints may still get requests; `None` if the platform has no evacuations.
    pub evacuation_bound: Option<Duration>,
    /// Multiple of the rate that a warming endpoint tolerates up to which the operator allows
    /// requests to it.
    pub warmup_excess: f64,
    /// Limit on retries and other extra dispatches.
    pub allowance: allowance::Policy,
    /// Requests of a service that a bad version may get.
    pub max_exposure: canary::Bound,
    /// Longest pause between two requests of one session.
    pub max_session_pause: Duration,
    /// Grace period for requests in flight at shutdown.
    pub grace: Duration,
    /// Longest time that callers may cache a list of addresses.
    pub max_address_cache_time: Duration,
    /// CPU capacity of this instance.
    pub cores: Cores,
    /// Memory that bodies of requests and answers may take in total, in bytes.
    pub body_memory: usize,
    /// Limits on connections.
    pub connections: Connections,
    /// Optional decisions that the operator has switched on.
    pub policies: Policies,
    /// Network over which endpoints and other instances are reached.
    pub network: Arc<dyn Network>,
}

impl Settings {
    /// Returns the bounds of the memory that connections hold.
    #[must_use]
    pub(crate) fn memory_bounds(&self) -> memory::Bounds {
        memory::Bounds { total: self.connections.memory, bodies: self.body_memory }
    }

    /// Whether the platform has evacuations, so that they have to be read.
    #[must_use]
    pub fn follows_evacuations(&self) -> bool {
        self.evacuation_bound.is_some()
    }
}

/// Limits on connections and what they hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connections {
    /// Memory that connections, requests in progress and bodies may take in total, in bytes.
    pub memory: usize,
    /// Connections of callers at a time.
    pub max: usize,
    /// Longest time for which nothing of an awaited body may arrive; `None` if it is that for which the
    /// operator lets callers be idle.
    pub max_body_pause: Option<Duration>,
    /// Longest time for which the rest of a refused request is received.
    pub max_discard: Duration,
}

impl Default for Connections {
    /// Returns limits of a machine with much memory.
    fn default() -> Self {
        Self { memory: 1 << 30, max: 8_192, max_body_pause: None, max_discard: Duration::from_secs(30) }
    }
}

/// Optional decisions under load; the default is that all are off.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policies {
    /// Who may send to a service whose endpoints have too little room.
    pub admission: Admission,
    /// What an endpoint's capacity is taken from.
    pub capacity: Capacity,
    /// How an endpoint is chosen by loads that are out of date.
    pub placement: Placement,
    /// When a larger model is asked.
    pub ladder: Ladder,
    /// Whether the length of a response affects which model is asked.
    pub answer_length: AnswerLength,
}

/// Who may send to a service whose endpoints have too little room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Admission {
    /// Whoever asks first.
    #[default]
    Unordered,
    /// All teams get fair shares over all instances.
    Fair,
}

/// What an endpoint's capacity is taken from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Capacity {
    /// The slots that it declares.
    #[default]
    Declared,
    /// Observations of all instances; the declared slots are the upper limit.
    Learned,
}

/// How an endpoint is chosen by loads that are out of date.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Placement {
    /// The least wait by the loads as last reported.
    #[default]
    Reported,
    /// Reported loads count for less the older they are.
    Balanced,
}

/// When a larger model is asked.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Ladder {
    /// Below fixed confidences.
    #[default]
    Fixed,
    /// When the answer is expected to gain more than it costs.
    ExpectedValue {
        /// Value of a right answer in time as a multiple of the largest model's price for it, by
        /// rank; the last applies to all further ranks. Never empty.
        values: Vec<f64>,
    },
}

/// Whether the length of a response affects which model is asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnswerLength {
    /// It does not.
    #[default]
    Ignored,
    /// Models whose output would end after the deadline, by the length that the caller expects, count as too
    /// late.
    Expected,
}

/// CPU capacity of an instance, in hundredths of a core, as sent in news.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cores(pub u32);

impl Cores {
    /// Converts a number of cores, rounding to hundredths.
    #[must_use]
    pub fn new(cores: f64) -> Self {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the type's range")]
        let hundredths = (cores * 100.0).round().clamp(0.0, f64::from(u32::MAX)) as u32;
        Self(hundredths)
    }

    /// Returns the number of cores.
    #[must_use]
    pub fn get(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl Default for Cores {
    /// Returns one core, so that instances with unknown capacity count as equal.
    fn default() -> Self {
        Self(100)
    }
}

/// Addresses that the relay listens at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listeners {
    /// Callers' requests.
    pub front: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Address requests.
    pub directory: SocketAddr,
    /// News of other instances over UDP, and copies of the catalog over TCP.
    pub news: SocketAddr,
}
