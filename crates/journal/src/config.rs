//! How an instance's part of the journal is set up.

use std::time::Duration;

use world::domain::Domain;

use crate::{clock::Clock, record::Origin, state::Bounds};

/// How an instance's part of the journal is set up.
#[derive(Debug, Clone)]
pub struct Config {
    /// This run of this instance.
    pub origin: Origin,
    /// Where it stands.
    pub domain: Domain,
    /// Number of shards; the same at every instance, for good.
    pub shards: u16,
    /// Slots of a shard's ring; the same at every instance, for good.
    pub ring: u64,
    /// This instance's segments per second, over all its shards.
    pub segments_per_s: f64,
    /// After this long without an answer the platform counts as down: claims
    /// are refused, and bills are held in memory.
    pub patience: Duration,
    /// Longest wait for one answer of a peer.
    pub peer_timeout: Duration,
    /// Most questions that wait at one shard.
    pub queue: usize,
    /// Bounds of a shard's memory.
    pub bounds: Bounds,
    /// Most records that this instance keeps until their home has them.
    pub kept: usize,
    /// What a last frame waits for.
    pub bill_wait: BillWait,
    /// Wall-clock time.
    pub clock: Clock,
    /// Seed of nonces and jitter; drawn from the system when absent.
    pub seed: Option<u64>,
    /// Records which shards this instance becomes and ceases to be the home of.
    pub recorder: Option<timeline::Recorder>,
}

/// What a bill's receipt waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BillWait {
    /// The platform has it; two holders only while the platform is down.
    #[default]
    Durable,
    /// Two instances in different failure domains hold it.
    Holders,
}

impl Config {
    /// Defaults for one instance.
    #[must_use]
    pub fn new(origin: Origin, domain: Domain) -> Self {
        Self {
            origin,
            domain,
            shards: 7,
            ring: 512,
            segments_per_s: 36.0,
            patience: Duration::from_secs(1),
            peer_timeout: Duration::from_secs(3),
            queue: 20_000,
            bounds: Bounds::default(),
            kept: 50_000,
            bill_wait: BillWait::default(),
            clock: Clock::System,
            seed: None,
            recorder: None,
        }
    }
}
