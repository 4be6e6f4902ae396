//! What is recorded.

mod kind;
mod step;

use std::fmt;

use serde::{Deserialize, Serialize};
use world::{
    Millis,
    contract::Customer,
    endpoint, instance,
    model::Version,
    money::{Amount, Currency},
    object, request, rollout,
};

pub use kind::{Kind, UnknownKind};
pub use step::{Found, Ran, Step};

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
        /// The version it is about.
        version: Version,
        /// What the engine is to do with it.
        wanted: Wanted,
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

/// What an engine is to do with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wanted {
    /// Hold it.
    Loaded,
    /// Hold it no longer.
    Dropped,
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
