//! Steps of a request's life.

use serde::{Deserialize, Serialize};
use world::{
    Millis, endpoint, instance, model,
    model::Version,
    money::{Amount, Currency},
    request, service, session,
};

/// A step of a request's life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// Its head was read and its customer known.
    Received {
        /// The model asked for; nothing for a plain service.
        model: Option<model::Id>,
        /// The plain service asked for.
        service: Option<service::Id>,
        /// Whether it may be repeated.
        repeat: request::Repeat,
        /// Its session, where named.
        session: Option<session::Id>,
    },
    /// It may run.
    Admitted {
        /// Time in the queue, in milliseconds.
        queued_ms: Millis,
    },
    /// Its home holds the claim.
    Claimed {
        /// The home.
        home: instance::Id,
    },
    /// Its key's home was asked for earlier uses of the key.
    Registered {
        /// What the home knew.
        found: Found,
    },
    /// It joined the same request already running.
    Joined {
        /// Where that one runs.
        home: instance::Id,
    },
    /// Version decided.
    Chosen {
        /// The version.
        version: Version,
        /// Its step of the cascade.
        tier: u8,
        /// Why this one.
        reason: String,
    },
    /// Sent to an endpoint.
    Dispatched {
        /// From 1.
        attempt: u32,
        /// The version; nothing for a plain service.
        version: Option<Version>,
        /// The endpoint.
        endpoint: endpoint::Id,
        /// Why this one.
        reason: String,
    },
    /// An attempt's stream broke.
    Broken {
        /// Which attempt.
        attempt: u32,
        /// Frames received so far.
        frames: u64,
        /// What broke it.
        cause: String,
    },
    /// An attempt's stream went on after a break.
    Resumed {
        /// Which attempt.
        attempt: u32,
        /// Frames received before.
        frames: u64,
    },
    /// An attempt ended without an answer.
    Failed {
        /// Which attempt.
        attempt: u32,
        /// Whether it ran.
        ran: Ran,
        /// What failed.
        cause: String,
    },
    /// Its session left a withdrawn version.
    SessionMoved {
        /// The version before.
        from: Version,
        /// The version now.
        to: Version,
    },
    /// The answer was rated.
    Rated {
        /// The version that gave it.
        version: Version,
        /// From 0 to 1.
        score: f64,
    },
    /// The cascade goes a step up.
    Escalated {
        /// The version whose answer fell short.
        from: Version,
        /// The version to run next.
        to: Version,
        /// Why.
        reason: String,
    },
    /// Its bill is durable.
    Billed {
        /// The version that answered; nothing for a plain service.
        version: Option<Version>,
        /// What the customer pays.
        cost: Amount,
        /// Of the cost.
        currency: Currency,
        /// Attempts it took.
        attempts: u32,
    },
    /// The caller got its last frame.
    Finished {
        /// Frames sent.
        frames: u64,
        /// Time since it was received, in milliseconds.
        took_ms: Millis,
    },
    /// The caller got a refusal or failure as its final answer.
    Refused {
        /// Whether it ran; `No` is a promise.
        ran: Ran,
        /// The problem's name.
        problem: String,
        /// Details for people.
        detail: String,
    },
    /// The caller went away before its last frame.
    Abandoned {
        /// Frames sent.
        frames: u64,
    },
}

/// What a key's home knows of earlier uses of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Found {
    /// None.
    Nothing,
    /// One that ended and may have run.
    Ended,
    /// One that runs.
    Running,
    /// One that was answered or claimed.
    Recorded,
    /// Nothing that this request could learn: the home did not answer in time,
    /// or refused.
    NoAnswer,
}

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No endpoint was given it; a promise.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

impl Step {
    pub(super) fn concerns(&self, wanted: &Version) -> bool {
        match self {
            Self::Chosen { version, .. } | Self::Rated { version, .. } => version == wanted,
            Self::Dispatched { version, .. } | Self::Billed { version, .. } => version.as_ref() == Some(wanted),
            Self::SessionMoved { from, to } | Self::Escalated { from, to, .. } => from == wanted || to == wanted,
            _ => false,
        }
    }
}
