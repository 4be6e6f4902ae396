//! What is recorded.

use std::fmt;

use serde::{Deserialize, Serialize};
use world::{
    Millis,
    contract::Customer,
    endpoint, instance, model,
    model::Version,
    money::{Amount, Currency},
    object, request, rollout, service, session,
};

/// One thing that happened at one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Event {
    /// A request went one step on.
    Request {
        /// Which request.
        request: request::Id,
        /// Which step.
        #[serde(flatten)]
        step: Step,
    },
    /// A generation came into force here.
    Configuration {
        /// Which one.
        generation: u64,
    },
    /// An operator's change was accepted here.
    Edit {
        /// The generation it made.
        generation: u64,
        /// The changed objects.
        objects: Vec<object::Key>,
    },
    /// A roll-out went one step on.
    Rollout {
        /// Which roll-out.
        rollout: rollout::Id,
        /// Its version.
        version: Version,
        /// Where it stands now.
        phase: Phase,
        /// Why.
        reason: String,
    },
    /// An order to an engine.
    Order {
        /// The engine.
        endpoint: endpoint::Id,
        /// The version to load.
        version: Version,
        /// The lease's epoch it was sent under.
        epoch: u64,
        /// What the engine answered.
        outcome: String,
    },
    /// A version's exposure was stopped.
    Stop {
        /// Which version.
        version: Version,
        /// Whose evidence stopped it.
        by: instance::Id,
        /// The evidence.
        reason: String,
    },
    /// This instance became the holder.
    TakeOver {
        /// Of what.
        holding: Holding,
        /// Fencing number of the holding.
        epoch: u64,
        /// The holder before, where known.
        from: Option<instance::Id>,
    },
    /// This instance learned that it holds no longer.
    HandOver {
        /// What it held.
        holding: Holding,
        /// Fencing number of the holder after.
        epoch: u64,
        /// Why.
        reason: String,
    },
    /// Another instance's state changed, as seen from here.
    Membership {
        /// Which instance.
        instance: instance::Id,
        /// Which run of it.
        incarnation: instance::Incarnation,
        /// Its state now.
        state: instance::State,
    },
    /// A budget grant changed.
    Grant {
        /// Whose budget.
        customer: Customer,
        /// What happened to it.
        action: GrantMove,
        /// How much.
        amount: Amount,
        /// Of the amount.
        currency: Currency,
    },
    /// The platform went away or came back, as seen from here.
    Outage {
        /// Which of both.
        #[serde(flatten)]
        step: OutageStep,
    },
    /// This instance's configuration became too old for new work, or fresh again.
    Freshness {
        /// Whether new work may start.
        fresh: bool,
        /// Age of the last word from platform or peers, in milliseconds.
        age_ms: Millis,
    },
    /// This instance changed its own state: started, leaving, gone.
    Lifecycle {
        /// The state.
        state: instance::State,
        /// Requests in flight at that time.
        in_flight: u64,
    },
    /// A peer's clock was too far ahead to be followed.
    ClockSkew {
        /// Milliseconds ahead.
        ahead_ms: Millis,
    },
}

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

/// Where a roll-out stands.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Endpoints load the version.
    Loading,
    /// Takes a share of new sessions.
    Exposing {
        /// From 0 to 1.
        share: f64,
    },
    /// Keeps its sessions, takes no new ones.
    Paused,
    /// Replaced its predecessor.
    Promoted,
    /// Takes no new work, for good.
    Withdrawn,
}

/// What one instance at a time holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holding {
    /// A shard of the journal.
    Shard {
        /// The journal's kind: claims, bills.
        journal: String,
        /// Number of the shard.
        shard: u32,
    },
    /// A lease.
    Lease {
        /// Its name.
        name: String,
    },
}

impl fmt::Display for Holding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shard { journal, shard } => write!(f, "shard {journal}/{shard}"),
            Self::Lease { name } => write!(f, "lease {name}"),
        }
    }
}

/// What happened to a budget grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantMove {
    /// Cut from the budget for this instance.
    Taken,
    /// Given back unused.
    Returned,
    /// Ended, by its holder or by its bills; the amount is what was spent of it.
    Settled,
    /// Refused; the amount is what was left, too little.
    Exhausted,
}

/// Begin or end of an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum OutageStep {
    /// No answer any more.
    Begun,
    /// Answers again.
    Ended {
        /// How long it lasted, in milliseconds.
        lasted_ms: Millis,
    },
}

/// What an event is about; filters and labels use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// [`Event::Request`].
    Request,
    /// [`Event::Configuration`] and [`Event::Freshness`].
    Configuration,
    /// [`Event::Edit`].
    Edit,
    /// [`Event::Rollout`].
    Rollout,
    /// [`Event::Order`].
    Order,
    /// [`Event::Stop`].
    Stop,
    /// [`Event::TakeOver`] and [`Event::HandOver`].
    TakeOver,
    /// [`Event::Membership`].
    Membership,
    /// [`Event::Grant`].
    Grant,
    /// [`Event::Outage`].
    Outage,
    /// [`Event::Lifecycle`].
    Lifecycle,
    /// [`Event::ClockSkew`].
    Clock,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 12] = [
        Self::Request,
        Self::Configuration,
        Self::Edit,
        Self::Rollout,
        Self::Order,
        Self::Stop,
        Self::TakeOver,
        Self::Membership,
        Self::Grant,
        Self::Outage,
        Self::Lifecycle,
        Self::Clock,
    ];

    /// The kind as commands and labels spell it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Configuration => "configuration",
            Self::Edit => "edit",
            Self::Rollout => "rollout",
            Self::Order => "order",
            Self::Stop => "stop",
            Self::TakeOver => "take_over",
            Self::Membership => "membership",
            Self::Grant => "grant",
            Self::Outage => "outage",
            Self::Lifecycle => "lifecycle",
            Self::Clock => "clock",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text).ok_or_else(|| UnknownKind(text.into()))
    }
}

/// A text that names no kind of event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownKind(pub String);

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known: Vec<_> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
        write!(f, "unknown kind of event `{}`; use one of {}", self.0.escape_debug(), known.join(", "))
    }
}

impl std::error::Error for UnknownKind {}

impl Event {
    /// What it is about.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Request { .. } => Kind::Request,
            Self::Configuration { .. } | Self::Freshness { .. } => Kind::Configuration,
            Self::Edit { .. } => Kind::Edit,
            Self::Rollout { .. } => Kind::Rollout,
            Self::Order { .. } => Kind::Order,
            Self::Stop { .. } => Kind::Stop,
            Self::TakeOver { .. } | Self::HandOver { .. } => Kind::TakeOver,
            Self::Membership { .. } => Kind::Membership,
            Self::Grant { .. } => Kind::Grant,
            Self::Outage { .. } => Kind::Outage,
            Self::Lifecycle { .. } => Kind::Lifecycle,
            Self::ClockSkew { .. } => Kind::Clock,
        }
    }

    /// The request it is about.
    #[must_use]
    pub fn request(&self) -> Option<&request::Id> {
        match self {
            Self::Request { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Whether it is about a version.
    #[must_use]
    pub fn concerns(&self, wanted: &Version) -> bool {
        match self {
            Self::Request { step, .. } => step.concerns(wanted),
            Self::Rollout { version, .. } | Self::Order { version, .. } | Self::Stop { version, .. } => {
                version == wanted
            }
            _ => false,
        }
    }
}

impl Step {
    fn concerns(&self, wanted: &Version) -> bool {
        match self {
            Self::Chosen { version, .. } | Self::Rated { version, .. } => version == wanted,
            Self::Dispatched { version, .. } | Self::Billed { version, .. } => version.as_ref() == Some(wanted),
            Self::SessionMoved { from, to } | Self::Escalated { from, to, .. } => from == wanted || to == wanted,
            _ => false,
        }
    }
}
