//! `apply FILE`

use std::{collections::BTreeMap, path::Path, time::Duration};

use operator::{Change, Client, Conflict, Edit, Revision, Stored, What};
use world::object::{Key, Object};

use crate::{
    console::Console,
    exit::Failure,
    fleet::Fleet,
    verb::{force, objects, submit},
};

/// Most objects that are asked for one by one.
const ONE_BY_ONE: usize = 8;

/// Applies a file's objects, each on the condition that it is as it was read.
pub(crate) async fn run(
    fleet: Fleet<'_>,
    author: &str,
    path: &Path,
    read_at: Option<u64>,
    wait: Duration,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let file = objects::read(path)?;
    let read_at = read_at.or(file.read_at);
    let stored = stored(fleet, &file.objects).await?;
    if let Some(read_at) = read_at {
        let missing = file.objects.iter().map(Object::key).filter(|key| !stored.contains_key(key));
        refuse_deleted(fleet, missing, read_at).await?;
    }
    let edits: Vec<_> = file.objects.into_iter().filter_map(|object| edit(object, &stored, read_at)).collect();
    if edits.is_empty() {
        return console.print("unchanged: every object is in force as the file has it");
    }
    let change = Change { id: submit::new_id(), author: author.into(), edits };
    let keys: Vec<_> = change.edits.iter().map(Edit::key).collect();
    let applied =
        submit::change(fleet, &change.id, &keys[0], async |client| client.apply(&change).await, console).await?;
    submit::tell(&applied, console)?;
    force::until(fleet, applied.generation, wait, console).await
}

/// The file's objects as they are in force. A few are asked for one by one:
/// a large site's whole configuration is megabytes.
async fn stored(fleet: Fleet<'_>, objects: &[Object]) -> Result<BTreeMap<Key, Stored>, Failure> {
    let keys: Vec<_> = objects.iter().map(Object::key).collect();
    let stored = if keys.len() > ONE_BY_ONE {
        fleet.read(async |client| client.get(None, None).await).await?
    } else {
        let one_by_one = async |client: &mut Client| {
            let mut stored = Vec::new();
            for key in &keys {
                stored.extend(client.get(Some(key.kind), Some(&key.name)).await?);
            }
            Ok(stored)
        };
        fleet.read(one_by_one).await?
    };
    Ok(stored.into_iter().map(|stored| (stored.object.key(), stored)).collect())
}

/// Refuses objects that were deleted after the file was read: applying the
/// file would bring back unseen what another operator took away.
async fn refuse_deleted(fleet: Fleet<'_>, missing: impl Iterator<Item = Key>, read_at: u64) -> Result<(), Failure> {
    for object in missing {
        let history = fleet.read(async |client| client.history(&object, 1).await).await?;
        let Some(deletion) = history.into_iter().next().filter(|latest| latest.generation > read_at) else {
            continue;
        };
        let Revision { author, at, .. } = deletion;
        return Err(Failure::of_conflict(&Conflict { object, expected: read_at, found: 0, author, at }));
    }
    Ok(())
}

/// The edit an object needs; nothing when it is in force already.
///
/// An object that changed after the file was read keeps the generation the
/// file was read at as its condition: the instance then refuses and names the
/// other change, where the newer generation would overwrite it unseen.
fn edit(object: Object, stored: &BTreeMap<Key, Stored>, read_at: Option<u64>) -> Option<Edit> {
    let old = stored.get(&object.key());
    if old.is_some_and(|old| old.object == object) {
        return None;
    }
    let found = old.map_or(0, |old| old.generation);
    let expected = read_at.map_or(found, |read_at| found.min(read_at));
    Some(Edit { expected: Some(expected), what: What::Put(object) })
}
