//! `delete KIND NAME`

use std::time::Duration;

use operator::{Change, Edit, What};
use world::object::Key;

use crate::{
    console::Console,
    exit::Failure,
    fleet::Fleet,
    verb::{force, submit},
};

pub(crate) async fn run(
    fleet: Fleet<'_>,
    author: &str,
    key: &Key,
    wait: Duration,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let stored = fleet.read(async |client| client.get(Some(key.kind), Some(&key.name)).await).await?;
    let Some(stored) = stored.first() else {
        return Err(Failure::Refused(format!("no {key}; `arbutuslug get {}` lists those there are", key.kind)));
    };
    let edit = Edit { expected: Some(stored.generation), what: What::Delete(key.clone()) };
    let change = Change { id: submit::new_id(), author: author.into(), edits: vec![edit] };
    let applied = submit::change(fleet, &change.id, key, async |client| client.apply(&change).await, console).await?;
    submit::tell(&applied, console)?;
    force::until(fleet, applied.generation, wait, console).await
}
