//! `timeline`

use operator::{Client, Error, Member};
use timeline::{
    Filter, Page, Record,
    merge::{Gap, Timeline},
};
use world::instance::State;

use crate::{
    console::{Console, Format},
    describe,
    exit::Failure,
    fleet::Fleet,
};

pub(crate) async fn run(fleet: Fleet<'_>, filter: &Filter, console: &mut Console<'_>) -> Result<(), Failure> {
    let timeline = gather(fleet, filter).await?;
    match console.format() {
        Format::Table => {
            for record in &timeline.records {
                console.print(&line(record))?;
            }
        }
        Format::Json | Format::Yaml => console.show(&timeline, |_| String::new())?,
    }
    for gap in &timeline.gaps {
        console.note(&format!("gap: {}", describe::gap(gap)));
    }
    Ok(())
}

/// Every instance's events, merged; what is missing is named.
pub(crate) async fn gather(fleet: Fleet<'_>, filter: &Filter) -> Result<Timeline, Failure> {
    let status = fleet.read(async |client| client.status().await).await?;
    let answers = status.instances.iter().map(|member| ask(fleet, member, filter));
    let mut pages = Vec::new();
    let mut silent = Vec::new();
    for (member, answer) in status.instances.iter().zip(join(answers).await) {
        match answer {
            Ok(answered) => pages.extend(answered),
            Err(cause) => silent.push(Gap::Silent { instance: member.id.clone(), cause }),
        }
    }
    Ok(Timeline::merge(pages, silent))
}

/// Awaits all at once, since one silent instance takes its whole time limit.
async fn join<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    futures::future::join_all(futures).await
}

async fn ask(fleet: Fleet<'_>, member: &Member, filter: &Filter) -> Result<Vec<Page>, String> {
    if member.state == State::Gone {
        return Err("it is gone".into());
    }
    let target = fleet.target(member.operators).ok_or("no instance is named")?;
    let limit = target.timeout;
    let pages = async {
        let mut client = Client::connect(&target).await?;
        let mut messages = client.timeline(filter).await?;
        let mut pages = Vec::new();
        while let Some(events) = messages.next().await? {
            pages.push(events.page);
        }
        Ok::<_, Error>(pages)
    };
    match tokio::time::timeout(limit, pages).await {
        Ok(Ok(pages)) => Ok(pages),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err(format!("no answer in {} s", limit.as_secs_f64())),
    }
}

/// A record as one line.
pub(crate) fn line(record: &Record) -> String {
    let time = describe::time(record.at.timestamp());
    let (instance, kind) = (record.source.instance.as_str(), record.event.kind().as_str());
    format!("{time}  {instance:<14}  {kind:<13}  {}", describe::event(&record.event))
}
