//! What instances ask of a shard's home, and its replies.

use world::{
    instance,
    request::Outcome,
    session::Pin,
    time::{Millis, Timestamp},
};

use crate::{
    bill::Bill,
    record::{Bind, Claim, Close, Digest, End, Origin, Settle},
};

/// One question to a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Record a claim.
    Claim(Claim),
    /// Remember in memory that an idempotent request runs.
    Register(Register),
    /// Forget a registered request.
    Release(Release),
    /// Record how a claim ended.
    Settle(Settle),
    /// Record a bill.
    Bill(Bill),
    /// Record a session's versions.
    Bind(Bind),
    /// Tell how a request stands.
    Outcome(Digest),
    /// Take no more bills of a holder of grants.
    Close(Close),
}

/// An idempotent request that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Register {
    /// The request.
    pub digest: Digest,
    /// Tells this run from every other of the same key.
    pub nonce: u64,
    /// Who runs it.
    pub by: Origin,
    /// Of the body.
    pub fingerprint: u64,
    /// When its key was made; nothing when the key does not tell.
    pub made_at: Option<Timestamp>,
    /// How long at most.
    pub lasts_ms: Millis,
}

/// An idempotent request that runs no more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The request.
    pub digest: Digest,
    /// The run's.
    pub nonce: u64,
    /// How it ended.
    pub end: End,
}

/// What a home answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Recorded and durable.
    Done,
    /// The claim is this caller's.
    Claimed,
    /// The request was claimed, or answered, before.
    Known(Known),
    /// Registered; nobody else runs it.
    First,
    /// Registered; nobody else runs it now, but an earlier try may have run.
    Again,
    /// An instance runs it already.
    RunningAt(instance::Id),
    /// Another bill for the same request was recorded first.
    Already,
    /// The home holds the bill in memory; the platform does not answer.
    Held,
    /// The binding that won.
    Bound(Vec<Pin>),
    /// How a request stands; nothing when no record tells.
    Outcome(Option<Outcome>),
    /// Refused, certainly not recorded.
    Refused(crate::Reason),
    /// This instance is not the home, or no longer; nothing was recorded.
    NotHome,
    /// May have been recorded.
    Unknown,
}

/// What is known of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// How it stands.
    pub outcome: Outcome,
    /// Where it runs, or where it was answered and its answer may be held.
    pub at: Option<instance::Id>,
}
