//! What a shard's log is made of.

use sha2::{Digest as _, Sha256};
use world::{
    contract::Customer,
    instance::{self, Incarnation},
    request,
    session::{self, Pin},
    time::Timestamp,
};

use crate::bill::{Bill, Holder};

/// Short name of a request or session.
///
/// A cut SHA-256: a faster hash would let one customer search for a key that
/// collides with another's, and so block it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub u128);

impl Digest {
    /// Of a request.
    #[must_use]
    pub fn request(id: &request::Id) -> Self {
        Self::of("request", id.customer.as_str(), id.key.as_str())
    }

    /// Of a caller-named session.
    #[must_use]
    pub fn session(customer: &Customer, session: &session::Id) -> Self {
        Self::of("session", customer.as_str(), session.as_str())
    }

    /// The shard it falls into, of `shards`.
    #[must_use]
    pub fn shard(self, shards: u16) -> Shard {
        let index = self.0 % u128::from(shards.max(1));
        Shard(u16::try_from(index).unwrap_or_default())
    }

    fn of(kind: &str, customer: &str, name: &str) -> Self {
        let hash = Sha256::digest(format!("{kind}/{customer}/{name}").as_bytes());
        let (front, _) = hash.split_first_chunk::<16>().expect("a SHA-256 has 32 bytes");
        Self(u128::from_be_bytes(*front))
    }
}

/// Number of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shard(pub u16);

impl std::fmt::Display for Shard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:03}", self.0)
    }
}

/// Place of a segment in its shard's log, from 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Seq(pub u64);

impl Seq {
    /// The next place.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One run of an instance that asks on a caller's behalf.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The instance.
    pub instance: instance::Id,
    /// Which run of it.
    pub incarnation: Incarnation,
}

/// One entry of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A request that must not be repeated is about to run.
    Claim(Claim),
    /// What became of a claim.
    Settle(Settle),
    /// What a request cost.
    Bill(Bill),
    /// Versions of a caller-named session.
    Bind(Bind),
    /// A holder of grants whose bills count no more from here on.
    Close(Close),
    /// A request's standing, in a key chunk.
    Mark(Mark),
}

/// A request that must not be repeated is about to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The request.
    pub digest: Digest,
    /// Tells this claim from every other of the same key.
    pub nonce: u64,
    /// Who runs it.
    pub by: Origin,
    /// When its key was made.
    pub made_at: Timestamp,
    /// Of the body.
    pub fingerprint: u64,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settle {
    /// The request.
    pub digest: Digest,
    /// The claim's.
    pub nonce: u64,
    /// When its key was made.
    pub made_at: Timestamp,
    /// How it ended.
    pub end: End,
}

/// How a claimed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered whole.
    Answered,
    /// Certainly not run; the key may be claimed anew.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Versions of a caller-named session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bind {
    /// The session.
    pub digest: Digest,
    /// Its versions.
    pub pins: Vec<Pin>,
    /// Binding that this one replaces; nothing for a first binding.
    pub replaces: Option<Vec<Pin>>,
    /// When it was last used.
    pub at: Timestamp,
}

/// A settled holder of grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Close {
    /// The holder.
    pub holder: Holder,
    /// When it was closed.
    pub at: Timestamp,
}

/// A request's standing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mark {
    /// The request.
    pub digest: Digest,
    /// How it stands.
    pub standing: Standing,
    /// Of the claim it stands by; 0 without one.
    pub nonce: u64,
    /// Of the body; 0 when unknown.
    pub fingerprint: u64,
    /// When its key was made.
    pub made_at: Timestamp,
    /// Hash of its bill; 0 without one.
    pub billed: u64,
    /// Nonces of other claims of the key that were settled as not run.
    pub dead: Vec<u64>,
}

/// How a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// Claimed, running.
    Running(Origin),
    /// Answered whole.
    Answered,
    /// Certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
}
