//! The log in the platform: reading and writing entries and snapshots, and truncation.

use serde::de::DeserializeOwned;
use store::{Item, Priority, Write};

use crate::{
    error::Error,
    record::{Change, Entry, Snapshot},
    settings::Keep,
    state::State,
};

/// Key prefix of changes, followed by the generation.
pub(crate) const CHANGES: &str = "config/change/";
/// Key prefix of snapshots, followed by the generation.
const SNAPSHOTS: &str = "config/snapshot/";
/// Key prefix of the entries that do not fit into a snapshot's own value.
const PARTS: &str = "config/part/";
/// Largest size of the entries in one value, in bytes; the platform accepts up to a megabyte.
const MAX_PART_BYTES: usize = 768 * 1024;
/// Number of snapshots kept; the older one gives a reader that just found it time to read it.
const KEPT_SNAPSHOTS: usize = 2;
/// Attempts to read a snapshot and the changes after it while others truncate the log.
const MAX_SNAPSHOT_ATTEMPTS: u32 = 8;
/// Maximum number of old changes, and of old parts, deleted after one snapshot.
const TRUNCATE_BATCH: usize = 512;
/// Maximum number of snapshot keys listed at once.
const SNAPSHOT_PAGE_SIZE: usize = 1_000;
/// Priority of all platform calls here except deletions during truncation.
const PRIORITY: Priority = Priority::Config;

/// Access to the log in the platform.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    platform: store::Handle,
    keep: Keep,
}

/// Everything in the log after a generation.
#[derive(Debug)]
pub(crate) struct Tail {
    /// The state to start from if the changes do not directly follow the generation.
    pub(crate) snapshot: Option<Snapshot>,
    /// The changes after that, in order of generation.
    pub(crate) changes: Vec<Change>,
    /// The store version from which a watch must start to miss no change.
    pub(crate) version: u64,
}

impl Log {
    pub(crate) fn new(platform: store::Handle, keep: Keep) -> Self {
        Self { platform, keep }
    }

    /// Returns the same log with another deadline per call.
    pub(crate) fn with_deadline(&self, deadline: std::time::Duration) -> Self {
        Self { platform: self.platform.within(deadline), keep: self.keep }
    }

    pub(crate) fn watch(&self, version: u64) -> store::Watch {
        self.platform.watch(PRIORITY, CHANGES, version)
    }

    /// Reads everything after a generation; takes one read if the changes directly follow it.
    pub(crate) async fn read_after(&self, generation: u64) -> Result<Tail, Error> {
        if generation > 0 {
            let tail = self.changes_after(generation).await?;
            if tail.directly_follows(generation, self.keep.changes) {
                return Ok(tail);
            }
        }
        for _ in 0..MAX_SNAPSHOT_ATTEMPTS {
            // If it is missing, it was truncated between two reads and a newer one exists.
            let newest = self.newest_snapshot().await?.unwrap_or(0);
            let snapshot = if newest == 0 { None } else { self.snapshot(newest).await? };
            if snapshot.is_some() || newest == 0 {
                let tail = self.changes_after(newest).await?;
                // Nothing above the newest snapshot is ever truncated, so no stray entry can
                // be there, however many changes follow.
                if tail.directly_follows(newest, u64::MAX) {
                    return Ok(Tail { snapshot, ..tail });
                }
            }
        }
        Err(Error::Busy)
    }

    /// Reads one change; returns `None` if it was truncated or never existed.
    pub(crate) async fn change(&self, generation: u64) -> Result<Option<Change>, Error> {
        let item = self.platform.get(PRIORITY, &change_key(generation)).await?;
        item.map(|item| decode(generation, &item)).transpose()
    }

    /// Creates the entry of a change; the create decides every race for its generation.
    pub(crate) async fn append(&self, change: &Change) -> Result<Write, store::Error> {
        self.platform.create(PRIORITY, &change_key(change.generation()), change).await
    }

    /// Deletes an entry that this instance has just created.
    pub(crate) async fn retract(&self, item: &Item) -> Result<(), store::Error> {
        self.platform.delete(PRIORITY, item).await.map(drop)
    }

    /// Returns the generation of the newest snapshot.
    pub(crate) async fn newest_snapshot(&self) -> Result<Option<u64>, Error> {
        let keys = self.platform.keys(PRIORITY, SNAPSHOTS, "", SNAPSHOT_PAGE_SIZE).await?;
        Ok(keys.iter().filter_map(|key| generation_of(SNAPSHOTS, key)).max())
    }

    /// Writes a snapshot of a state.
    ///
    /// Parts are written first under their own keys, and the snapshot lists them.
    /// Creating the snapshot's key completes it, so a writer that stops half-way
    /// leaves no snapshot that readers could find.
    pub(crate) async fn write_snapshot(&self, state: &State) -> Result<Write, store::Error> {
        let mut snapshot = state.to_snapshot();
        let mut parts = split_into_parts(std::mem::take(&mut snapshot.entries));
        snapshot.entries = parts.pop().unwrap_or_default();
        for (number, entries) in parts.iter().enumerate() {
            let writer = self.platform.settings().writer.replace('/', ".");
            let key = format!("{PARTS}{:016}/{writer}/{number}", snapshot.generation);
            self.platform.create(PRIORITY, &key, entries).await?;
            snapshot.parts.push(key);
        }
        self.platform.create(PRIORITY, &snapshot_key(snapshot.generation), &snapshot).await
    }

    /// Truncates the log: deletes all but the newest snapshots, parts older than
    /// those, and changes up to a generation.
    pub(crate) async fn truncate(&self, up_to: u64) -> Result<(), store::Error> {
        let snapshots = self.platform.list_page(PRIORITY, SNAPSHOTS, "", SNAPSHOT_PAGE_SIZE).await?.items;
        let (old, kept) = snapshots.split_at(snapshots.len().saturating_sub(KEPT_SNAPSHOTS));
        self.delete_all(old).await?;
        let oldest = kept.first().and_then(|item| generation_of(SNAPSHOTS, &item.key)).unwrap_or(0);
        let parts = self.platform.list_page(PRIORITY, PARTS, "", TRUNCATE_BATCH).await?.items;
        let parts: Vec<_> = parts.into_iter().take_while(|item| item.key < part_key(oldest)).collect();
        self.delete_all(&parts).await?;
        let changes = self.platform.list_page(PRIORITY, CHANGES, "", TRUNCATE_BATCH).await?.items;
        let changes: Vec<_> = changes.into_iter().take_while(|item| item.key <= change_key(up_to)).collect();
        self.delete_all(&changes).await
    }

    async fn delete_all(&self, items: &[Item]) -> Result<(), store::Error> {
        for item in items {
            // A lost race means that another instance truncates at the same time.
            self.platform.delete(Priority::Statistics, item).await?;
        }
        Ok(())
    }

    async fn changes_after(&self, generation: u64) -> Result<Tail, Error> {
        let listing = self.platform.list_after(PRIORITY, CHANGES, &change_key(generation)).await?;
        let changes = listing.items.iter().filter_map(parse_change).collect::<Result<_, _>>()?;
        Ok(Tail { snapshot: None, changes, version: listing.version })
    }

    async fn snapshot(&self, generation: u64) -> Result<Option<Snapshot>, Error> {
        let Some(item) = self.platform.get(PRIORITY, &snapshot_key(generation)).await? else {
            return Ok(None);
        };
        let mut snapshot: Snapshot = decode(generation, &item)?;
        for key in std::mem::take(&mut snapshot.parts) {
            let Some(item) = self.platform.get(PRIORITY, &key).await? else {
                return Ok(None);
            };
            snapshot.entries.extend(decode::<Vec<Entry>>(generation, &item)?);
        }
        Ok(Some(snapshot))
    }
}

impl Tail {
    /// Creates a tail without a snapshot, for instance from a watch.
    pub(crate) fn from_changes(changes: Vec<Change>) -> Self {
        Self { snapshot: None, changes, version: 0 }
    }

    /// Returns the newest generation contained.
    pub(crate) fn head(&self) -> u64 {
        let snapshot = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.generation);
        self.changes.last().map_or(snapshot, |change| change.generation().max(snapshot))
    }

    /// Returns whether the changes can be applied directly after a generation.
    ///
    /// An instance that was paused for long may have created a stray entry in
    /// place of a truncated one. A reader at the generation just before it that
    /// applied it as the next change would diverge from all other instances. A
    /// stray is at least `kept` ([`Keep::changes`]) generations below the newest
    /// snapshot, so it is followed either by a gap or by that many entries.
    fn directly_follows(&self, generation: u64, kept: u64) -> bool {
        if u64::try_from(self.changes.len()).is_ok_and(|len| len >= kept) {
            return false;
        }
        self.changes.iter().zip(generation + 1..).all(|(change, expected)| change.generation() == expected)
    }
}

/// Decodes an entry of the log; returns `None` for a key of another form.
pub(crate) fn parse_change(item: &Item) -> Option<Result<Change, Error>> {
    let generation = generation_of(CHANGES, &item.key)?;
    Some(decode(generation, item))
}

/// Returns the key of a change, zero-padded so that keys sort by generation.
pub(crate) fn change_key(generation: u64) -> String {
    format!("{CHANGES}{generation:016}")
}

fn snapshot_key(generation: u64) -> String {
    format!("{SNAPSHOTS}{generation:016}")
}

fn part_key(generation: u64) -> String {
    format!("{PARTS}{generation:016}")
}

fn generation_of(prefix: &str, key: &str) -> Option<u64> {
    key.strip_prefix(prefix)?.parse().ok()
}

fn decode<T: DeserializeOwned>(generation: u64, item: &Item) -> Result<T, Error> {
    item.read().map_err(|error| Error::Unreadable { generation, message: error.to_string() })
}

/// Splits entries into groups that fit into one value each; returns at least one group.
fn split_into_parts(entries: Vec<Entry>) -> Vec<Vec<Entry>> {
    let mut groups = vec![Vec::new()];
    let mut size = 0;
    for entry in entries {
        let bytes = serde_json::to_vec(&entry).map_or(0, |json| json.len() + 1);
        if size + bytes > MAX_PART_BYTES && size > 0 {
            groups.push(Vec::new());
            size = 0;
        }
        size += bytes;
        groups.last_mut().expect("starts with one group").push(entry);
    }
    groups
}
