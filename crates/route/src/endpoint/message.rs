//! What a fleet is told and asked, and what it answers.

use std::fmt;

use serde::{Deserialize, Serialize};
use world::{Millis, Timestamp, domain::Domain, endpoint, instance, model::Version, service};

use super::{Key, health::Failure};

/// What endpoints are asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A model's version.
    Version(Version),
    /// A plain service.
    Service(service::Id),
}

/// A run that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// What it runs on.
    pub target: &'a Target,
    /// Hash of the prompt's prefix; nothing where no cache helps.
    pub prefix: Option<u64>,
    /// Endpoints that have failed it already.
    pub avoid: &'a [Key],
    /// A number drawn for this attempt; its hash will do.
    pub draw: u64,
}

/// An endpoint chosen, and why.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The endpoint.
    #[serde(skip)]
    pub key: Key,
    /// What settled it.
    pub rule: Rule,
    /// Its estimated load, as a share of its slots.
    pub load: f64,
    /// Mean of the same over the endpoints weighed.
    pub mean: f64,
    /// Endpoints weighed.
    pub considered: u32,
}

/// What settled a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Holds the prompt's prefix, by its cache events.
    Holder,
    /// The prefix's preferred one.
    Preferred,
    /// The less loaded of two drawn.
    LessLoaded,
    /// The only one left.
    Only,
}

/// No endpoint takes the run; nothing has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No pool serves it, or none of its endpoints is in this instance's subset.
    NoPool,
    /// All its endpoints are leaving, do not have it loaded, or have failed this request.
    NoneLeft,
}

/// A load report of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report<'a> {
    /// When it held.
    pub as_of: Timestamp,
    /// Runs in the batch.
    pub running: u32,
    /// Runs waiting.
    pub queued: u32,
    /// Runs it can batch.
    pub slots: u32,
    /// Versions it has loaded; nothing when it does not say.
    pub loaded: Option<&'a [Version]>,
}

/// What has happened to an endpoint.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// A run was sent to it.
    Dispatched(Key),
    /// A run ended well.
    Finished {
        /// Where.
        key: Key,
        /// What was run.
        target: &'a Target,
        /// How long it took.
        millis: Millis,
        /// Output tokens; 1 for a plain service.
        tokens: u32,
    },
    /// A run ended otherwise.
    Failed {
        /// Where.
        key: Key,
        /// What was run.
        target: &'a Target,
        /// How.
        failure: Failure,
    },
    /// A run was cancelled by us; says nothing about the endpoint.
    Cancelled(Key),
    /// A report came in.
    Load {
        /// Whose.
        endpoint: &'a endpoint::Id,
        /// What it says.
        report: Report<'a>,
    },
    /// A prefix entered its cache.
    Stored {
        /// Whose.
        endpoint: &'a endpoint::Id,
        /// The prefix's hash.
        prefix: u64,
    },
    /// A prefix left its cache.
    Evicted {
        /// Whose.
        endpoint: &'a endpoint::Id,
        /// The prefix's hash.
        prefix: u64,
    },
    /// It is leaving, or back.
    Leaving {
        /// Which.
        endpoint: &'a endpoint::Id,
        /// Whether it takes no new work.
        leaving: bool,
    },
}

/// An instance as the subsets need to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub id: instance::Id,
    /// Where it stands.
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
