//! Time lines of the requests that a failed check is about.
//!
//! What an instance recorded is gone with it: one that was killed or has left
//! is missing here.

use operator::{Client, Target};
use timeline::{Filter, Page, Record, Subject, merge::Timeline};
use world::request;

use crate::{
    caller::{End, Sent},
    check::{Breach, request_id},
    traffic::Traffic,
};

/// Requests of the scripts that a breach names, and those without a whole answer.
fn concerned(traffic: &Traffic, breaches: &[Breach]) -> Vec<request::Id> {
    let texts: Vec<String> = breaches.iter().map(|breach| format!("{breach:?}")).collect();
    let is_named = |sent: &&Sent| texts.iter().any(|text| text.contains(&sent.tag) || text.contains(&sent.key));
    let mut requests = Vec::new();
    for played in &traffic.played {
        let all: Vec<&Sent> = played.sent.iter().flatten().collect();
        let whole_script = all.iter().any(is_named);
        let wanted = all.into_iter().filter(|sent| whole_script || !matches!(sent.end, End::Whole(_)));
        for id in wanted.map(|sent| request_id(&played.script.customer, sent)) {
            if !requests.contains(&id) {
                requests.push(id);
            }
        }
    }
    requests
}

/// What the instances recorded of the requests that are [`concerned`].
pub(crate) async fn of(targets: &[Target], traffic: &Traffic, breaches: &[Breach]) -> Vec<String> {
    let mut traces = Vec::new();
    for id in concerned(traffic, breaches) {
        traces.extend(lines(targets, &id).await);
    }
    traces
}

/// What the instances recorded of a request, a line for each step.
async fn lines(targets: &[Target], id: &request::Id) -> Vec<String> {
    let mut lines = vec![format!("time line of {id}")];
    let mut pages = Vec::new();
    for target in targets {
        match read(target, id).await {
            Ok(read) => pages.extend(read),
            Err(error) => lines.push(format!("missing: {error}")),
        }
    }
    lines.extend(Timeline::merge(pages, Vec::new()).records.iter().map(line));
    lines
}

fn line(record: &Record) -> String {
    format!("{} {} {:?}", record.at.timestamp().0, record.source.instance, record.event)
}

async fn read(target: &Target, id: &request::Id) -> Result<Vec<Page>, operator::Error> {
    let subject = Subject { customer: Some(id.customer.clone()), key: id.key.clone() };
    let filter = Filter { request: Some(subject), ..Filter::default() };
    let mut events = Client::connect(target).await?.timeline(&filter).await?;
    let mut pages = Vec::new();
    while let Some(events) = events.next().await? {
        pages.push(events.page);
    }
    Ok(pages)
}
