//! `drain INSTANCE`

use operator::{Client, Error};
use world::instance::{self, State};

use crate::{console::Console, exit::Failure, fleet::Fleet};

/// Asks the instance itself, found through any other.
pub(crate) async fn run(fleet: Fleet<'_>, instance: &instance::Id, console: &mut Console<'_>) -> Result<(), Failure> {
    let status = fleet.read(async |client| client.status().await).await?;
    let Some(member) = status.instances.iter().find(|member| member.id == *instance) else {
        return Err(Failure::Refused(format!("no instance {instance}; `arbutuslug status` lists them")));
    };
    if member.state == State::Gone {
        return console.print(&format!("{instance} is gone"));
    }
    let target = fleet.target(member.operators).ok_or(Failure::Closed)?;
    let mut client = Client::connect(&target).await?;
    let mut messages = match client.drain(instance.as_str()).await {
        Ok(messages) => messages,
        Err(error @ Error::Lost { .. }) => return Err(unknown(instance, &error)),
        Err(error) => return Err(error.into()),
    };
    let mut told = None;
    loop {
        match messages.next().await {
            Ok(Some(draining)) if draining.done => return console.print(&format!("{instance} has finished and goes")),
            Ok(Some(draining)) => {
                if told != Some(draining.in_flight) {
                    told = Some(draining.in_flight);
                    console.note(&format!("{instance}: {} requests in flight", draining.in_flight));
                }
            }
            Ok(None) => return Err(unknown(instance, &"the instance ended its answer early")),
            Err(error) => return Err(unknown(instance, &error)),
        }
    }
}

fn unknown(instance: &instance::Id, cause: &dyn std::fmt::Display) -> Failure {
    Failure::Unknown(format!(
        "it is not known whether {instance} finished its work ({cause}); \
         see `arbutuslug status` and `arbutuslug timeline --kind lifecycle,membership`"
    ))
}
