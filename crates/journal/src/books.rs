//! Reading all durable bills while homes go on writing.

use store::{Item, Priority};

use crate::{
    Bill, audit,
    object::Keys,
    record::{Seq, Shard},
};

/// Reads of one shard that is cut off meanwhile, before giving up for now.
const TRIES: usize = 20;

/// Every durable bill of all shards, each once.
///
/// # Errors
///
/// The platform's; a value that does not read is one.
pub(crate) async fn read(platform: &store::Handle, shards: u16, ring: u64) -> Result<Vec<Bill>, store::Error> {
    let mut items = Vec::new();
    for shard in (0..shards).map(Shard) {
        items.append(&mut shard_items(platform, Keys::new(shard, ring)).await?);
    }
    let objects = items.iter().map(|item| (item.key.as_str(), item.body.get().as_bytes()));
    let malformed = |invalid: crate::wire::Invalid| store::Error::Malformed {
        key: crate::object::PREFIX.into(),
        message: invalid.to_string(),
    };
    audit::bills(objects).map_err(malformed)
}

/// One shard's bill chunks and segments, read at one manifest.
///
/// Chunks are read before segments. Without the check, a cut-off between the
/// two would move bills into a chunk that was not there yet and let their
/// slots be reused: bills would be missing, and a budget would take them for
/// unspent money.
async fn shard_items(platform: &store::Handle, keys: Keys) -> Result<Vec<Item>, store::Error> {
    let mut before = manifest(platform, keys).await?;
    for _ in 0..TRIES {
        let mut items = platform.list(Priority::Statistics, &keys.bill_chunks()).await?.items;
        items.append(&mut platform.list(Priority::Statistics, &keys.segments()).await?.items);
        let after = manifest(platform, keys).await?;
        if before == after {
            return Ok(items);
        }
        before = after;
    }
    let cause = format!("`{}` changed too often while it was read", keys.manifest());
    Err(store::Error::Down { cause })
}

async fn manifest(platform: &store::Handle, keys: Keys) -> Result<Seq, store::Error> {
    let item = platform.get(Priority::Statistics, &keys.manifest()).await?;
    Ok(Seq(item.map_or(0, |item| item.version)))
}
