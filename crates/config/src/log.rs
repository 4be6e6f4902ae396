//! The log in the platform: entries, snapshots, cut-off.

use serde::de::DeserializeOwned;
use store::{Item, Priority, Write};

use crate::{
    error::Error,
    record::{Change, Entry, Snapshot},
    settings::Keep,
    state::State,
};

/// Keys of changes, by generation.
pub(crate) const CHANGES: &str = "config/change/";
/// Keys of snapshots, by generation.
const SNAPSHOTS: &str = "config/snapshot/";
/// Keys of what does not fit into a snapshot's own value.
const PARTS: &str = "config/part/";
/// Bytes of entries in one value; the platform takes up to a megabyte.
const PART_SIZE: usize = 768 * 1024;
/// Snapshots kept; a reader that has just found one gets time to read it.
const SNAPSHOTS_KEPT: usize = 2;
/// Tries to read a snapshot and what follows while others cut off.
const SNAPSHOT_TRIES: u32 = 8;
/// Most old changes deleted after one snapshot.
const CUT_BATCH: usize = 512;
/// Keys read to find the newest snapshot.
const SNAPSHOT_KEYS: usize = 1_000;
/// What every call here is for.
const PRIORITY: Priority = Priority::Config;

/// The log in the platform.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    platform: store::Handle,
    keep: Keep,
}

/// What a reading of the log brought: everything after the generation asked for.
#[derive(Debug)]
pub(crate) struct Found {
    /// A state to start from, where changes alone do not connect.
    pub(crate) snapshot: Option<Snapshot>,
    /// The changes after that, by generation.
    pub(crate) changes: Vec<Change>,
    /// The store's version from which a watch misses nothing.
    pub(crate) version: u64,
}

impl Log {
    pub(crate) fn new(platform: store::Handle, keep: Keep) -> Self {
        Self { platform, keep }
    }

    /// The same log with another deadline per call.
    pub(crate) fn within(&self, deadline: std::time::Duration) -> Self {
        Self { platform: self.platform.within(deadline), keep: self.keep }
    }

    pub(crate) fn watch(&self, version: u64) -> store::Watch {
        self.platform.watch(PRIORITY, CHANGES, version)
    }

    /// Everything after a generation; one read when changes connect.
    pub(crate) async fn read_after(&self, generation: u64) -> Result<Found, Error> {
        if generation > 0 {
            let found = self.changes_after(generation).await?;
            if found.connects(generation, self.keep.changes) {
                return Ok(found);
            }
        }
        for _ in 0..SNAPSHOT_TRIES {
            // Not found: cut off between two reads, and a newer one stands there.
            let newest = self.newest_snapshot().await?.unwrap_or(0);
            let snapshot = if newest == 0 { None } else { self.snapshot(newest).await? };
            if snapshot.is_some() || newest == 0 {
                let found = self.changes_after(newest).await?;
                // Nothing above the newest snapshot has ever been cut off.
                if found.connects(newest, u64::MAX) {
                    return Ok(Found { snapshot, ..found });
                }
            }
        }
        Err(Error::Busy)
    }

    /// One change; nothing when it is cut off or never was.
    pub(crate) async fn change(&self, generation: u64) -> Result<Option<Change>, Error> {
        let item = self.platform.get(PRIORITY, &change_key(generation)).await?;
        item.map(|item| read(generation, &item)).transpose()
    }

    /// Makes a change the next one; the create decides every race.
    pub(crate) async fn append(&self, change: &Change) -> Result<Write, store::Error> {
        self.platform.create(PRIORITY, &change_key(change.generation()), change).await
    }

    /// Takes an entry away again.
    pub(crate) async fn retract(&self, item: &Item) -> Result<(), store::Error> {
        self.platform.delete(PRIORITY, item).await.map(drop)
    }

    /// Generation of the newest snapshot.
    pub(crate) async fn newest_snapshot(&self) -> Result<Option<u64>, Error> {
        let keys = self.platform.keys(PRIORITY, SNAPSHOTS, "", SNAPSHOT_KEYS).await?;
        Ok(keys.iter().filter_map(|key| generation_of(SNAPSHOTS, key)).max())
    }

    /// Writes a state's snapshot. Parts go first, under keys of their own, and
    /// the snapshot names them: whoever creates that key has made the
    /// snapshot, and a writer that stops half-way leaves nothing that reads.
    pub(crate) async fn write_snapshot(&self, state: &State) -> Result<Write, store::Error> {
        let mut snapshot = state.to_snapshot();
        let mut parts = split(std::mem::take(&mut snapshot.entries));
        snapshot.entries = parts.pop().unwrap_or_default();
        for (number, entries) in parts.iter().enumerate() {
            let writer = self.platform.settings().writer.replace('/', ".");
            let key = format!("{PARTS}{:016}/{writer}/{number}", snapshot.generation);
            self.platform.create(PRIORITY, &key, entries).await?;
            snapshot.parts.push(key);
        }
        self.platform.create(PRIORITY, &snapshot_key(snapshot.generation), &snapshot).await
    }

    /// Deletes what is no longer needed: all but the newest snapshots, parts
    /// older than those, and changes up to a generation.
    pub(crate) async fn cut(&self, up_to: u64) -> Result<(), store::Error> {
        let snapshots = self.platform.list_page(PRIORITY, SNAPSHOTS, "", SNAPSHOT_KEYS).await?.items;
        let (old, kept) = snapshots.split_at(snapshots.len().saturating_sub(SNAPSHOTS_KEPT));
        self.delete_all(old).await?;
        let oldest = kept.first().and_then(|item| generation_of(SNAPSHOTS, &item.key)).unwrap_or(0);
        let parts = self.platform.list_page(PRIORITY, PARTS, "", CUT_BATCH).await?.items;
        let parts: Vec<_> = parts.into_iter().take_while(|item| item.key < part_key(oldest)).collect();
        self.delete_all(&parts).await?;
        let changes = self.platform.list_page(PRIORITY, CHANGES, "", CUT_BATCH).await?.items;
        let changes: Vec<_> = changes.into_iter().take_while(|item| item.key <= change_key(up_to)).collect();
        self.delete_all(&changes).await
    }

    async fn delete_all(&self, items: &[Item]) -> Result<(), store::Error> {
        for item in items {
            // Lost: another cuts at the same time.
            self.platform.delete(Priority::Statistics, item).await?;
        }
        Ok(())
    }

    async fn changes_after(&self, generation: u64) -> Result<Found, Error> {
        let listing = self.platform.list_after(PRIORITY, CHANGES, &change_key(generation)).await?;
        let changes = listing.items.iter().filter_map(parse_change).collect::<Result<_, _>>()?;
        Ok(Found { snapshot: None, changes, version: listing.version })
    }

    async fn snapshot(&self, generation: u64) -> Result<Option<Snapshot>, Error> {
        let Some(item) = self.platform.get(PRIORITY, &snapshot_key(generation)).await? else {
            return Ok(None);
        };
        let mut snapshot: Snapshot = read(generation, &item)?;
        for key in std::mem::take(&mut snapshot.parts) {
            let Some(item) = self.platform.get(PRIORITY, &key).await? else {
                return Ok(None);
            };
            snapshot.entries.extend(read::<Vec<Entry>>(generation, &item)?);
        }
        Ok(Some(snapshot))
    }
}

impl Found {
    /// Changes alone, for instance from a watch.
    pub(crate) fn changes(changes: Vec<Change>) -> Self {
        Self { snapshot: None, changes, version: 0 }
    }

    /// The newest generation in here.
    pub(crate) fn head(&self) -> u64 {
        let snapshot = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.generation);
        self.changes.last().map_or(snapshot, |change| change.generation().max(snapshot))
    }

    /// Whether the changes may be taken after a generation.
    ///
    /// An instance paused for long may have made a stray entry in the place of
    /// one that was cut off. Taken for the next change by a reader that stands
    /// right before it, it would part that reader's state from everyone's. A
    /// stray is at least `kept` generations below the newest snapshot, so it
    /// either has a hole above it or that many entries.
    fn connects(&self, generation: u64, kept: u64) -> bool {
        if u64::try_from(self.changes.len()).is_ok_and(|len| len >= kept) {
            return false;
        }
        self.changes.iter().zip(generation + 1..).all(|(change, expected)| change.generation() == expected)
    }
}

/// Reads an entry of the log; nothing for a key of another form.
pub(crate) fn parse_change(item: &Item) -> Option<Result<Change, Error>> {
    let generation = generation_of(CHANGES, &item.key)?;
    Some(read(generation, item))
}

/// Wide enough for every generation, so that keys sort as numbers do.
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

fn read<T: DeserializeOwned>(generation: u64, item: &Item) -> Result<T, Error> {
    item.read().map_err(|error| Error::Unreadable { generation, message: error.to_string() })
}

/// Entries in groups that fit into one value each; at least one group.
fn split(entries: Vec<Entry>) -> Vec<Vec<Entry>> {
    let mut groups = vec![Vec::new()];
    let mut size = 0;
    for entry in entries {
        let bytes = serde_json::to_vec(&entry).map_or(0, |json| json.len() + 1);
        if size + bytes > PART_SIZE && size > 0 {
            groups.push(Vec::new());
            size = 0;
        }
        size += bytes;
        groups.last_mut().expect("starts with one group").push(entry);
    }
    groups
}
