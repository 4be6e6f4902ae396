//! `get KIND [NAME]`

use operator::Stored;
use serde::Serialize;
use world::{
    model,
    object::{Key, Kind, Object},
    pool::Serves,
};

use crate::{
    console::{Console, Format, yaml},
    exit::Failure,
    fleet::Fleet,
    table::table,
    verb::objects::READ_AT,
};

pub(crate) async fn run(
    fleet: Fleet<'_>,
    kind: Kind,
    name: Option<&str>,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let stored = fleet.read(async |client| client.get(Some(kind), name).await).await?;
    if let (true, Some(name)) = (stored.is_empty(), name) {
        return Err(Failure::Refused(format!("no {kind} {name}; `arbutuslug get {kind}` lists those there are")));
    }
    match console.format() {
        Format::Table => console.print(&rows(&stored)),
        Format::Yaml => console.print(&documents(&stored)?),
        Format::Json => console.show(&stored.iter().map(Shown::from).collect::<Vec<_>>(), |_| String::new()),
    }
}

/// An object as programs see it.
#[derive(Serialize)]
struct Shown {
    #[serde(flatten)]
    key: Key,
    generation: u64,
    spec: serde_json::Value,
}

impl From<&Stored> for Shown {
    fn from(stored: &Stored) -> Self {
        let spec = stored.object.to_json()["spec"].take();
        Self { key: stored.object.key(), generation: stored.generation, spec }
    }
}

/// A file that `apply` takes, with the generation it was read at.
fn documents(stored: &[Stored]) -> Result<String, Failure> {
    let read_at = stored.iter().map(|stored| stored.generation).max().unwrap_or(0);
    let mut documents = vec![format!("{READ_AT} {read_at}\n")];
    for (index, stored) in stored.iter().enumerate() {
        if index > 0 {
            documents.push("---\n".into());
        }
        documents.push(yaml(&stored.object.to_json())?);
    }
    Ok(documents.concat())
}

fn rows(stored: &[Stored]) -> String {
    let rows =
        stored.iter().map(|stored| [stored.object.key().name, stored.generation.to_string(), summary(&stored.object)]);
    table(["NAME", "GENERATION", "SUMMARY"], rows)
}

/// What an operator looks for first.
fn summary(object: &Object) -> String {
    match object {
        Object::Contract(_, contract) => {
            let models: Vec<_> = contract.models.iter().map(|allowed| allowed.model.to_string()).collect();
            let budget = contract.budget;
            let period = format!("{:?}", budget.period).to_lowercase();
            format!("{} {} a {period}; models {}", budget.amount, budget.currency, models.join(", "))
        }
        Object::Model(_, model) => {
            let versions: Vec<_> = model.versions.iter().map(release).collect();
            versions.join(", ")
        }
        Object::Rollout(_, rollout) => {
            let state = format!("{:?}", rollout.state).to_lowercase();
            let share = rollout.steps.get(rollout.step).copied().unwrap_or_default();
            let reason = rollout.reason.as_deref().map(|reason| format!(": {reason}")).unwrap_or_default();
            format!("{} over {}, {state} at share {share}{reason}", rollout.version, rollout.predecessor)
        }
        Object::Pool(_, pool) => {
            let serves = match &pool.serves {
                Serves::Versions(versions) => versions.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "),
                Serves::Service(service) => format!("service {service}"),
            };
            format!("{}: {} endpoints for {serves}", pool.domain, pool.endpoints.len())
        }
        Object::Service(_, service) => format!("{} calls not repeatable", service.not_repeatable.len()),
    }
}

fn release(release: &model::Release) -> String {
    match release.state {
        model::State::Serving => format!("{} (tier {})", release.version, release.tier),
        model::State::Withdrawn => format!("{} (withdrawn)", release.version),
    }
}
