//! What a new home reads before it answers.

use std::{collections::BTreeMap, fmt};

use serde_json::value::RawValue;
use store::{Item, Priority, Write};

use crate::{
    Bill,
    object::{Chunk, Keys, LAYOUT, Layout, Manifest, Segment, unseal},
    record::{Record, Seq},
    state::State,
    wire,
};

/// Reads of a shard that changes meanwhile, before giving up for now.
const TRIES: usize = 20;

/// A shard as it was read.
#[derive(Debug)]
pub(crate) struct Loaded {
    pub state: State,
    /// Last segment read.
    pub last: Seq,
    /// First segment that no chunk covers.
    pub floor: Seq,
    /// Bills of segments that no chunk covers.
    pub bills: Vec<Bill>,
    /// What stands in each slot, without its value.
    pub slots: BTreeMap<String, Item>,
    pub manifest: Manifest,
    /// The manifest's object, without its value; nothing before the first one.
    pub manifest_item: Option<Item>,
}

/// Why a shard could not be read.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The platform failed.
    Platform(store::Error),
    /// An object does not read.
    Invalid(wire::Invalid),
    /// It kept changing.
    Busy,
    /// The journal was begun with another layout.
    Layout(Layout),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Invalid(invalid) => invalid.fmt(f),
            Self::Layout(Layout { shards, ring }) => write!(
                f,
                "the journal was begun with {shards} shards and rings of {ring}; run a build that has these numbers"
            ),
            Self::Busy => f.write_str("the shard kept changing while it was read"),
        }
    }
}

impl From<store::Error> for Failure {
    fn from(error: store::Error) -> Self {
        Self::Platform(error)
    }
}

impl From<wire::Invalid> for Failure {
    fn from(invalid: wire::Invalid) -> Self {
        Self::Invalid(invalid)
    }
}

/// Reads a shard whole.
pub(crate) async fn load(platform: &store::Handle, keys: Keys, layout: Layout) -> Result<Loaded, Failure> {
    check_layout(platform, layout).await?;
    for _ in 0..TRIES {
        if let Some(loaded) = try_load(platform, keys).await? {
            return Ok(loaded);
        }
    }
    Err(Failure::Busy)
}

async fn check_layout(platform: &store::Handle, own: Layout) -> Result<(), Failure> {
    let found = match platform.get(Priority::Claim, LAYOUT).await? {
        Some(item) => item.read()?,
        None => match platform.create(Priority::Claim, LAYOUT, &own).await? {
            Write::Done(_) => own,
            Write::Lost { .. } => return Err(Failure::Busy),
        },
    };
    if found == own { Ok(()) } else { Err(Failure::Layout(found)) }
}

/// Nothing when the shard changed in a way that leaves a gap.
async fn try_load(platform: &store::Handle, keys: Keys) -> Result<Option<Loaded>, Failure> {
    let before = platform.get(Priority::Claim, &keys.manifest()).await?;
    let manifest: Manifest = before.as_ref().map(Item::read).transpose()?.unwrap_or_default();
    let mut state = State::default();
    let chunks = platform.list(Priority::Claim, &keys.key_chunks()).await?;
    let mut found = 0;
    for item in chunks.items.iter().filter(|item| names(&manifest, item, keys)) {
        let chunk: Chunk = item.read()?;
        for record in unseal(&chunk.data)? {
            state.apply(&record, Seq(manifest.floor.saturating_sub(1)));
        }
        found += 1;
    }
    let mut slots = BTreeMap::new();
    let mut segments = BTreeMap::new();
    for item in platform.list(Priority::Claim, &keys.segments()).await?.items {
        let segment: Segment = item.read()?;
        segments.insert(segment.seq, segment);
        slots.insert(item.key.clone(), bare(item));
    }
    // Chunks are deleted, and slots under the floor overwritten, only after
    // the manifest has moved: the same manifest before and after means that
    // all it names was there.
    let after = platform.get(Priority::Claim, &keys.manifest()).await?;
    let moved = before.as_ref().map(|item| item.version) != after.as_ref().map(|item| item.version);
    let floor = Seq(manifest.floor.max(1));
    let last = Seq(segments.last_key_value().map_or(0, |(seq, _)| *seq).max(floor.0 - 1));
    let whole = (floor.0..=last.0).all(|seq| segments.contains_key(&seq));
    if moved || !whole || found != manifest.keys.len() {
        return Ok(None);
    }
    let mut bills = Vec::new();
    for (seq, segment) in segments.range(floor.0..) {
        for record in unseal(&segment.data)? {
            state.apply(&record, Seq(*seq));
            if let Record::Bill(bill) = record {
                bills.push(bill);
            }
        }
    }
    state.settle_up_to(last);
    Ok(Some(Loaded { state, last, floor, bills, slots, manifest, manifest_item: after.map(bare) }))
}

fn names(manifest: &Manifest, item: &Item, keys: Keys) -> bool {
    let prefix = keys.key_chunks();
    item.key.strip_prefix(&prefix).is_some_and(|name| manifest.keys.iter().any(|key| key == name))
}

/// An item without its value, which only its update needs to name it.
pub(crate) fn bare(mut item: Item) -> Item {
    item.body = Box::<RawValue>::default();
    item
}
