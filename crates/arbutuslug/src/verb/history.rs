//! `history KIND NAME`

use operator::Revision;
use serde::Serialize;
use world::{Timestamp, object::Key};

use crate::{console::Console, describe, exit::Failure, fleet::Fleet, table::table};

pub(crate) async fn run(fleet: Fleet<'_>, key: &Key, limit: u32, console: &mut Console<'_>) -> Result<(), Failure> {
    let revisions = fleet.read(async |client| client.history(key, limit).await).await?;
    if revisions.is_empty() {
        return Err(Failure::Refused(format!(
            "no {key} was ever made; `arbutuslug get {}` lists those there are",
            key.kind
        )));
    }
    let shown: Vec<_> = revisions.iter().map(Shown::from).collect();
    console.show(&shown, |shown| rows(shown))
}

/// A change as programs see it.
#[derive(Serialize)]
struct Shown {
    generation: u64,
    at: Timestamp,
    author: String,
    change: String,
    deleted: bool,
    spec: Option<serde_json::Value>,
}

impl From<&Revision> for Shown {
    fn from(revision: &Revision) -> Self {
        Self {
            generation: revision.generation,
            at: revision.at,
            author: revision.author.clone(),
            change: revision.change.clone(),
            deleted: revision.object.is_none(),
            spec: revision.object.as_ref().map(|object| object.to_json()["spec"].take()),
        }
    }
}

fn rows(shown: &[Shown]) -> String {
    let rows = shown.iter().map(|revision| {
        let what = if revision.deleted { "deleted" } else { "put" };
        [
            revision.generation.to_string(),
            describe::time(revision.at),
            revision.author.clone(),
            what.into(),
            revision.change.clone(),
        ]
    });
    table(["GENERATION", "TIME", "AUTHOR", "WHAT", "CHANGE"], rows)
}
