//! Cut-off: a state and its bills go into chunks, so that slots may be reused.
//!
//! The manifest's conditional update is the one moment at which chunks come
//! to count. A home that was replaced meanwhile may still bring it about:
//! that does no harm, since what it covers is a part of the log that nobody
//! can change any more. The new home's own update then fails, and it reads
//! the manifest again.

use store::{Item, Priority, Write};
use world::time::Timestamp;

use crate::{
    Bill,
    load::bare,
    object::{Chunk, Keys, Manifest, chunks, unseal},
    record::{Record, Seq},
};

/// Bytes of records in a chunk; base64 and envelope keep it under a megabyte.
const CHUNK_BYTES: usize = 600_000;

/// What is to be covered.
#[derive(Debug)]
pub(crate) struct Job {
    pub keys: Keys,
    /// Makes the chunks' names unique.
    pub token: u64,
    pub now: Timestamp,
    /// First segment not covered.
    pub floor: Seq,
    /// The state before it.
    pub records: Vec<Record>,
    /// Bills of the segments covered.
    pub bills: Vec<Bill>,
    pub manifest: Manifest,
    pub manifest_item: Option<Item>,
}

/// How it ended.
#[derive(Debug)]
pub(crate) enum Done {
    /// The chunks count.
    Covered { floor: Seq, manifest: Manifest, item: Item },
    /// Another manifest stands there; it covers up to its floor.
    Moved { floor: Seq, manifest: Manifest, item: Item },
    /// The platform failed; later again.
    Failed,
}

/// Writes the chunks, then the manifest, then removes what counts no more.
pub(crate) async fn run(platform: store::Handle, job: Job) -> Done {
    match cover(&platform, &job).await {
        Ok(done) => done,
        Err(error) => {
            tracing::warn!(%error, floor = job.floor.0, "shard not cut off, will try again");
            Done::Failed
        }
    }
}

async fn cover(platform: &store::Handle, job: &Job) -> Result<Done, store::Error> {
    let keys = write_chunks(platform, job, &job.keys.key_chunks(), &job.records).await?;
    let tail = read_tail(platform, job).await?;
    let bills = if job.bills.is_empty() {
        job.manifest.bills.clone()
    } else {
        let records: Vec<_> = tail.into_iter().chain(job.bills.iter().cloned().map(Record::Bill)).collect();
        write_chunks(platform, job, &job.keys.bill_chunks(), &records).await?.pop()
    };
    let manifest = Manifest { floor: job.floor.0, keys, bills };
    let write = match &job.manifest_item {
        None => platform.create(Priority::Claim, &job.keys.manifest(), &manifest).await?,
        Some(item) => platform.update(Priority::Claim, item, &manifest).await?,
    };
    match write {
        Write::Done(item) => {
            clean(platform, job, &manifest).await;
            Ok(Done::Covered { floor: job.floor, manifest, item: bare(item) })
        }
        Write::Lost { .. } => reread(platform, job).await,
    }
}

/// Bills of the last chunk where it is small enough to be written anew.
async fn read_tail(platform: &store::Handle, job: &Job) -> Result<Vec<Record>, store::Error> {
    let Some(name) = job.manifest.bills.as_ref().filter(|_| !job.bills.is_empty()) else {
        return Ok(Vec::new());
    };
    let key = format!("{}{name}", job.keys.bill_chunks());
    let Some(item) = platform.get(Priority::Bill, &key).await? else {
        return Ok(Vec::new());
    };
    let chunk: Chunk = item.read()?;
    if chunk.data.len() > CHUNK_BYTES {
        return Ok(Vec::new());
    }
    unseal(&chunk.data).map_err(|invalid| store::Error::Malformed { key, message: invalid.to_string() })
}

async fn write_chunks(
    platform: &store::Handle,
    job: &Job,
    prefix: &str,
    records: &[Record],
) -> Result<Vec<String>, store::Error> {
    let mut names = Vec::new();
    for (index, chunk) in chunks(records, CHUNK_BYTES, job.now).into_iter().enumerate() {
        let name = format!("{:016}-{:016x}-{index:04}", job.floor.0, job.token);
        // Names are drawn once: an existing one is this very chunk.
        platform.create(Priority::Bill, &format!("{prefix}{name}"), &chunk).await?;
        names.push(name);
    }
    Ok(names)
}

async fn reread(platform: &store::Handle, job: &Job) -> Result<Done, store::Error> {
    match platform.get(Priority::Claim, &job.keys.manifest()).await? {
        Some(item) => {
            let manifest: Manifest = item.read()?;
            Ok(Done::Moved { floor: Seq(manifest.floor), manifest, item: bare(item) })
        }
        None => Ok(Done::Failed),
    }
}

/// Removes key chunks that the manifest does not name, and the bill chunk
/// that was written anew. Nobody can make them count any more: that would
/// need the manifest that this one replaced. What is left over by a failure
/// goes at the next cut-off.
async fn clean(platform: &store::Handle, job: &Job, manifest: &Manifest) {
    let prefix = job.keys.key_chunks();
    let Ok(names) = platform.keys(Priority::Statistics, &prefix, "", usize::from(u16::MAX)).await else {
        return;
    };
    let stale = names.iter().filter(|key| !manifest.keys.iter().any(|name| key.ends_with(name.as_str())));
    for key in stale {
        remove(platform, key).await;
    }
    let rewritten = job.manifest.bills.as_ref().filter(|name| manifest.bills.as_ref() != Some(name));
    if let Some(name) = rewritten {
        remove_rewritten(platform, job, name).await;
    }
}

/// Removes a bill chunk once all its bills stand in a later one.
async fn remove_rewritten(platform: &store::Handle, job: &Job, name: &str) {
    let key = format!("{}{name}", job.keys.bill_chunks());
    let Ok(Some(item)) = platform.get(Priority::Statistics, &key).await else {
        return;
    };
    let copied = item.read::<Chunk>().is_ok_and(|chunk| chunk.data.len() <= CHUNK_BYTES);
    if copied {
        let _ = platform.delete(Priority::Statistics, &item).await;
    }
}

async fn remove(platform: &store::Handle, key: &str) {
    if let Ok(Some(item)) = platform.get(Priority::Statistics, key).await {
        let _ = platform.delete(Priority::Statistics, &item).await;
    }
}
