//! `status`

use operator::{Member, Status};
use world::instance::State;

use crate::{
    console::Console,
    exit::Failure,
    fleet::Fleet,
    table::{or_dash, table},
};

pub(crate) async fn run(fleet: Fleet<'_>, console: &mut Console<'_>) -> Result<(), Failure> {
    let status = fleet.read(async |client| client.status().await).await?;
    console.show(&status, rows)?;
    let behind: Vec<_> = status.instances.iter().filter(|member| member.lags(status.generation)).collect();
    if !behind.is_empty() {
        let names: Vec<_> = behind.iter().map(|member| member.id.as_str()).collect();
        console.note(&format!("behind generation {}: {}", status.generation, names.join(", ")));
    }
    Ok(())
}

fn rows(status: &Status) -> String {
    let rows = status.instances.iter().map(|member| {
        [
            member.id.to_string(),
            member.domain.to_string(),
            format!("{:?}", member.state).to_lowercase(),
            or_dash(member.generation),
            member.in_flight.to_string(),
            member.operators.to_string(),
            remark(member, status.generation),
        ]
    });
    let head = ["INSTANCE", "DOMAIN", "STATE", "GENERATION", "IN FLIGHT", "OPERATORS", "REMARK"];
    format!("{}\ngeneration {}, as {} knows it", table(head, rows), status.generation, status.answered_by)
}

fn remark(member: &Member, generation: u64) -> String {
    match &member.silent {
        Some(cause) => format!("does not answer: {cause}"),
        None if member.state == State::Gone => String::new(),
        None if !member.fresh => format!("no news for {} ms, takes no new work", member.age_ms),
        None if member.lags(generation) => "behind".into(),
        None => String::new(),
    }
}
