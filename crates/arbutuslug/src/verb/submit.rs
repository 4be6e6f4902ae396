//! Makes a change, and finds out what became of it when the answer is lost.

use std::time::Duration;

use operator::{Applied, Client, Error, Outcome};
use tokio::time::Instant;
use world::object::Key;

use crate::{console::Console, exit::Failure, fleet::Fleet};

/// Longest search for a change whose answer was lost, in calls' time limits.
const SEARCH: u32 = 2;

/// Changes of the object that are looked through; ours is among the latest.
const LATEST: u32 = 8;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(250);

/// An id no other change has.
pub(crate) fn new_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Sends a change until its fate is known.
///
/// An answer may be lost after the change was made: telling "failed" would
/// make an operator apply it twice or, worse, believe that a withdrawn
/// version still serves. The history is read for the change's id; a change
/// not found there is sent again. That does no harm: it carries the same id
/// and the same condition, so that at most one of both is made.
pub(crate) async fn change(
    fleet: Fleet<'_>,
    id: &str,
    key: &Key,
    send: impl AsyncFn(&mut Client) -> Result<Outcome, Error>,
    console: &mut Console<'_>,
) -> Result<Applied, Failure> {
    let mut doubt: Option<Doubt> = None;
    loop {
        let attempt = attempt(fleet, &send).await;
        if doubt.is_some()
            && !matches!(attempt, Ok(Outcome::Applied(_)))
            && let Some(applied) = find(fleet, id, key).await
        {
            return Ok(applied);
        }
        let cause = match attempt {
            Ok(Outcome::Applied(applied)) => return Ok(applied),
            Ok(Outcome::Conflict(conflict)) => return Err(Failure::of_conflict(&conflict)),
            Ok(Outcome::Refused(faults)) => return Err(Failure::of_faults(&faults)),
            Ok(Outcome::Unknown { message }) => message,
            Err(error @ Error::Lost { .. }) => error.to_string(),
            // Nothing was sent: it matters only if an earlier attempt was.
            Err(error @ Error::Unreachable { .. }) if doubt.is_some() => error.to_string(),
            Err(error) if doubt.is_some() => return Err(unknown(id, key, &error.to_string())),
            Err(error) => return Err(error.into()),
        };
        let since = doubt.get_or_insert_with(Doubt::begin).since;
        console.note(&format!("outcome not known yet ({cause}); reading back"));
        if let Some(applied) = find(fleet, id, key).await {
            return Ok(applied);
        }
        if since.elapsed() >= fleet.timeout() * SEARCH {
            return Err(unknown(id, key, &cause));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Since when a change may have been made without our knowing.
struct Doubt {
    since: Instant,
}

impl Doubt {
    fn begin() -> Self {
        Self { since: Instant::now() }
    }
}

async fn attempt(
    fleet: Fleet<'_>,
    send: &impl AsyncFn(&mut Client) -> Result<Outcome, Error>,
) -> Result<Outcome, Error> {
    let mut client = fleet.connect().await?;
    send(&mut client).await
}

async fn find(fleet: Fleet<'_>, id: &str, key: &Key) -> Option<Applied> {
    let revisions = fleet.read(async |client| client.history(key, LATEST).await).await.ok()?;
    let revision = revisions.into_iter().find(|revision| revision.change == id)?;
    Some(Applied { generation: revision.generation, changed: vec![key.clone()] })
}

fn unknown(id: &str, key: &Key, cause: &str) -> Failure {
    Failure::Unknown(format!(
        "it is not known whether the change was made ({cause}); \
         look for change {id} in `arbutuslug history {key}`, and apply again if it is not there"
    ))
}

/// Tells what was made.
pub(crate) fn tell(applied: &Applied, console: &mut Console<'_>) -> Result<(), Failure> {
    console.show(applied, |applied| {
        let changed = applied.changed.iter().map(|key| format!("changed {key}\n"));
        format!("{}generation {}", changed.collect::<String>(), applied.generation)
    })
}
