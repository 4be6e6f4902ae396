//! `rollout start|pause|resume|promote|withdraw`

use std::time::Duration;

use operator::{Action, Change};
use world::{
    object::{Key, Kind},
    rollout,
};

use crate::{
    console::Console,
    exit::Failure,
    fleet::Fleet,
    verb::{force, submit},
};

pub(crate) async fn run(
    fleet: Fleet<'_>,
    author: &str,
    name: &rollout::Id,
    action: &Action,
    wait: Duration,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let change = Change { id: submit::new_id(), author: author.into(), edits: Vec::new() };
    let key = Key { kind: Kind::Rollout, name: name.to_string() };
    let send = async |client: &mut operator::Client| client.rollout(name, action, &change).await;
    let applied = submit::change(fleet, &change.id, &key, send, console).await?;
    submit::tell(&applied, console)?;
    force::until(fleet, applied.generation, wait, console).await
}
