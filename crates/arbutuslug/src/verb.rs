//! What each verb does.

mod apply;
mod bills;
mod check;
mod delete;
mod drain;
mod explain;
mod follow;
mod force;
mod get;
mod history;
mod objects;
mod rollout;
mod status;
mod submit;
mod timeline;

use crate::{
    command::command,
    console::Console,
    exit::Failure,
    fleet::Fleet,
    invocation::{Invocation, Verb},
};

/// Does it.
pub(crate) async fn run(invocation: &Invocation, console: &mut Console<'_>) -> Result<(), Failure> {
    let fleet = Fleet::new(&invocation.targets);
    let author = &invocation.author;
    match &invocation.verb {
        Verb::Check(file) => check::run(fleet, file, console).await,
        Verb::Apply { file, read_at, wait } => apply::run(fleet, author, file, *read_at, *wait, console).await,
        Verb::Get { kind, name } => get::run(fleet, *kind, name.as_deref(), console).await,
        Verb::Delete { key, wait } => delete::run(fleet, author, key, *wait, console).await,
        Verb::History { key, limit } => history::run(fleet, key, *limit, console).await,
        Verb::Rollout { name, action, wait } => rollout::run(fleet, author, name, action, *wait, console).await,
        Verb::Status => status::run(fleet, console).await,
        Verb::Wait { generation, wait } => force::run(fleet, *generation, *wait, console).await,
        Verb::Drain(instance) => drain::run(fleet, instance, console).await,
        Verb::Bills(customer) => bills::run(fleet, customer, console).await,
        Verb::Explain(subject) => explain::run(fleet, subject, console).await,
        Verb::Timeline { filter, follow: false } => timeline::run(fleet, filter, console).await,
        Verb::Timeline { filter, follow: true } => follow::run(fleet, filter, console).await,
        Verb::Completions(shell) => {
            let mut script = Vec::new();
            clap_complete::generate(*shell, &mut command(), "arbutuslug", &mut script);
            console.print(&String::from_utf8_lossy(&script))
        }
    }
}
