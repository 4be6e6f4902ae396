//! Objects a shard's log is kept in.
//!
//! - `journal/SHARD/s/SLOT`: a ring of segments. Segment `seq` lies in slot
//!   `seq % ring`, made by create-if-absent on the first lap and by
//!   conditional update on the version it replaces on every further lap.
//! - `journal/SHARD/k/NAME`: key chunks, the state at one point of the log.
//! - `journal/SHARD/b/NAME`: bill chunks, kept for good.
//! - `journal/SHARD/manifest`: which chunks count, and the first segment that
//!   they do not cover.
//!
//! Slots are never deleted. Were they, a paused home could wake after its
//! successor had cut the log off, find the key of its next segment free,
//! create it, and answer a claim that is no part of the log: the request
//! would run twice. A slot's version only rises, so its update fails for ever.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};
use world::time::Timestamp;

use crate::{
    record::{Record, Seq, Shard},
    wire,
};

/// Start of all keys of all shards.
pub const PREFIX: &str = "journal/";
/// Key of the [`Layout`].
pub const LAYOUT: &str = "journal/layout";

/// What every instance must agree on for good: with other numbers a key would
/// have a home in another shard, which knows nothing of its claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Number of shards.
    pub shards: u16,
    /// Slots of each shard's ring.
    pub ring: u64,
}

/// A group of records, made at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Its place in the log.
    pub seq: u64,
    /// Tells it from every other that was meant for the place.
    pub token: String,
    /// The home that made it.
    pub home: String,
    /// Its records, base64 of their wire form.
    pub data: String,
}

/// Part of a state, or some bills.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Time of its newest record, milliseconds since the Unix epoch.
    pub newest: u64,
    /// Its records, base64 of their wire form.
    pub data: String,
}

/// What of a shard counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// First segment that the chunks do not cover.
    pub floor: u64,
    /// Names of the key chunks, all of one state.
    pub keys: Vec<String>,
    /// Name of the bill chunk that still takes bills.
    pub bills: Option<String>,
}

/// Keys of one shard.
#[derive(Debug, Clone, Copy)]
pub struct Keys {
    shard: Shard,
    ring: u64,
}

impl Keys {
    /// Keys of a shard with a ring of so many slots.
    #[must_use]
    pub fn new(shard: Shard, ring: u64) -> Self {
        Self { shard, ring }
    }

    /// Slots of the ring.
    #[must_use]
    pub fn ring(self) -> u64 {
        self.ring
    }

    /// Slot of a segment.
    #[must_use]
    pub fn segment(self, seq: Seq) -> String {
        format!("{}{:06}", self.segments(), seq.0 % self.ring)
    }

    /// Start of all slots' keys.
    #[must_use]
    pub fn segments(self) -> String {
        format!("{PREFIX}{}/s/", self.shard)
    }

    /// Start of all key chunks' keys.
    #[must_use]
    pub fn key_chunks(self) -> String {
        format!("{PREFIX}{}/k/", self.shard)
    }

    /// Start of all bill chunks' keys.
    #[must_use]
    pub fn bill_chunks(self) -> String {
        format!("{PREFIX}{}/b/", self.shard)
    }

    /// The manifest.
    #[must_use]
    pub fn manifest(self) -> String {
        format!("{PREFIX}{}/manifest", self.shard)
    }
}

/// Records as they stand in an object.
#[must_use]
pub fn seal(records: &[Record]) -> String {
    STANDARD.encode(wire::encode_records(records))
}

/// Records of an object.
///
/// # Errors
///
/// [`wire::Invalid`] when the text holds no records.
pub fn unseal(data: &str) -> Result<Vec<Record>, wire::Invalid> {
    let bytes = STANDARD.decode(data).map_err(|error| wire::Invalid(error.to_string()))?;
    wire::decode_records(&bytes)
}

/// Records cut into chunks of at most `bytes` each.
#[must_use]
pub fn chunks(records: &[Record], bytes: usize, newest: Timestamp) -> Vec<Chunk> {
    let mut cuts = Vec::new();
    let (mut start, mut size) = (0, 0);
    for (index, record) in records.iter().enumerate() {
        let len = wire::encoded_len(record);
        if size + len > bytes && index > start {
            cuts.push(&records[start..index]);
            (start, size) = (index, 0);
        }
        size += len;
    }
    if start < records.len() {
        cuts.push(&records[start..]);
    }
    cuts.into_iter().map(|part| Chunk { newest: newest.0, data: seal(part) }).collect()
}
