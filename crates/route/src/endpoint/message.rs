//! Input and result types of [`Fleet`](super::Fleet).

use std::fmt;

use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp, domain::Domain, endpoint, instance, model::Version, service};

use super::{Key, health::Failure};

/// A version or service that a run needs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A version of a model.
    Version(Version),
    /// A plain service.
    Service(service::Id),
}

/// Properties of a run that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct RunRequest<'a> {
    /// Version or service that the run needs.
    pub target: &'a Target,
    /// Hash of the prompt's prefix, or `None` if caching does not help.
    pub prefix: Option<u64>,
    /// Endpoints that already failed this request.
    pub excluded: &'a [Key],
    /// Random number for this attempt. A hash of the attempt is sufficient.
    pub draw: u64,
}

/// The chosen endpoint and the reason for it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Key of the chosen endpoint.
    #[serde(skip)]
    pub key: Key,
    /// Rule that decided the choice.
    pub rule: Rule,
    /// Estimated load of the endpoint, as a fraction of its slots.
    pub load: f64,
    /// Mean estimated load of the endpoints considered.
    pub mean: f64,
    /// Number of endpoints considered.
    pub considered: u32,
}

/// Rule that decided a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The endpoint holds the prompt's prefix according to its cache events.
    Holder,
    /// The endpoint is the first in the order of the prompt's prefix that is not loaded
    /// above the mean, or of which most slots are free.
    Preferred,
    /// The endpoint is the less loaded of two randomly drawn ones.
    LessLoaded,
    /// The endpoint is the only one available.
    Only,
}

/// Reason why no endpoint accepts a run. Nothing has been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No pool serves the target, or none of its endpoints is in this instance's subset.
    NoPool,
    /// All endpoints of the target are leaving, ejected or without the version, or already
    /// failed this request.
    NoneLeft,
}

/// Load report of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report<'a> {
    /// Time that the report describes.
    pub as_of: Timestamp,
    /// Number of runs in the batch.
    pub running: u32,
    /// Number of runs in the engine's queue.
    pub queued: u32,
    /// Maximum number of runs in the batch.
    pub slots: u32,
    /// Versions that the engine has loaded, or `None` if it does not report them.
    pub loaded: Option<&'a [Version]>,
}

/// Event that concerns an endpoint.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// A run was sent to the endpoint.
    Dispatched(Key),
    /// A run completed successfully.
    Finished {
        /// Endpoint that executed the run.
        key: Key,
        /// Version or service that was run.
        target: &'a Target,
        /// Duration of the run in milliseconds.
        millis: Millis,
        /// Number of output tokens; 1 for a plain service.
        tokens: u32,
    },
    /// A run failed.
    Failed {
        /// Endpoint that the run was sent to.
        key: Key,
        /// Version or service that was run.
        target: &'a Target,
        /// Kind of failure.
        failure: Failure,
    },
    /// A run was cancelled by this instance. Does not affect the endpoint's health.
    Cancelled(Key),
    /// A load report arrived.
    Load {
        /// Endpoint that sent the report.
        endpoint: &'a endpoint::Id,
        /// Content of the report.
        report: Report<'a>,
    },
    /// A prefix was added to the endpoint's cache.
    Stored {
        /// Endpoint that stores the prefix.
        endpoint: &'a endpoint::Id,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// A prefix was evicted from the endpoint's cache.
    Evicted {
        /// Endpoint that evicted the prefix.
        endpoint: &'a endpoint::Id,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// The endpoint is leaving, or is no longer leaving.
    Leaving {
        /// Endpoint whose state changed.
        endpoint: &'a endpoint::Id,
        /// Whether the endpoint accepts no new work.
        leaving: bool,
    },
}

/// Name and failure domain of an instance, from which subsets are computed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub id: instance::Id,
    /// Failure domain of the instance.
    pub domain: Domain,
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rule = match self.rule {
            Rule::Holder => "its cache holds the prompt's prefix",
            Rule::Preferred => "the prefix's preferred one, not above the mean load",
            Rule::LessLoaded => "the less loaded of two drawn",
            Rule::Only => "the only one left",
        };
        write!(f, "{rule}; load {:.2} of its slots, mean {:.2} of {} weighed", self.load, self.mean, self.considered)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoPool => "no pool serves it; have one added",
            Self::NoneLeft => "all its endpoints are leaving, failing or without the version; come back later",
        })
    }
}

impl std::error::Error for Refusal {}
