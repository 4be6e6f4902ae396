//! `explain REQUEST`

use operator::{Account, Bill};
use serde::Serialize;
use timeline::{
    Event, Filter, Record, Step, Subject,
    merge::{Gap, Timeline},
};
use world::request;

use crate::{console::Console, describe, exit::Failure, fleet::Fleet, verb::timeline::gather};

/// Why a request went where it went and what it cost.
#[derive(Serialize)]
struct Explanation {
    request: request::Id,
    #[serde(flatten)]
    account: Account,
    records: Vec<Record>,
    gaps: Vec<Gap>,
}

pub(crate) async fn run(fleet: Fleet<'_>, subject: &Subject, console: &mut Console<'_>) -> Result<(), Failure> {
    let filter = Filter { request: Some(subject.clone()), ..Filter::default() };
    let timeline = gather(fleet, &filter).await?;
    let request = identify(subject, &timeline)?;
    let Timeline { records, gaps } = timeline;
    let bill = records.iter().find_map(billed);
    let mut account = fleet.read(async |client| client.explain(&request, bill.is_none()).await).await?;
    account.bill = account.bill.or(bill);
    let explanation = Explanation { request, account, records, gaps };
    console.show(&explanation, text)
}

/// The bill that an event tells of.
fn billed(record: &Record) -> Option<Bill> {
    let Event::Request { request, step: Step::Billed { version, cost, currency, attempts } } = &record.event else {
        return None;
    };
    Some(Bill {
        request: request.clone(),
        version: version.clone(),
        cost: *cost,
        currency: *currency,
        attempts: *attempts,
        at: record.at.timestamp(),
    })
}

/// The one request meant; keys are unique only within a customer.
fn identify(subject: &Subject, timeline: &Timeline) -> Result<request::Id, Failure> {
    if let Some(customer) = &subject.customer {
        return Ok(request::Id { customer: customer.clone(), key: subject.key.clone() });
    }
    let mut found: Vec<_> = timeline.records.iter().filter_map(|record| record.event.request()).collect();
    found.sort();
    found.dedup();
    match found.as_slice() {
        [one] => Ok((*one).clone()),
        [] => {
            let remedy = "give CUSTOMER/KEY to read its outcome and bill from the journal";
            let mut lines = vec![format!("no instance remembers request {}; {remedy}", subject.key)];
            lines.extend(timeline.gaps.iter().map(|gap| format!("gap: {}", describe::gap(gap))));
            Err(Failure::Refused(lines.join("\n")))
        }
        several => {
            let names: Vec<_> = several.iter().map(ToString::to_string).collect();
            Err(Failure::Usage(format!("several customers have this key; give one of {}", names.join(", "))))
        }
    }
}

fn text(explanation: &Explanation) -> String {
    let Explanation { request, account, records, gaps } = explanation;
    let mut lines = vec![format!("request {request}: {}", outcome(account.outcome))];
    match &account.bill {
        Some(bill) => lines.push(format!("cost {} {}, billed {}", bill.cost, bill.currency, describe::time(bill.at))),
        None => lines.push("no bill".into()),
    }
    let start = records.first().map(|record| record.at.timestamp()).unwrap_or_default();
    for record in records {
        let Event::Request { step, .. } = &record.event else { continue };
        let after = record.at.timestamp().since(start);
        lines.push(format!("{after:>7} ms  {:<14}  {}", record.source.instance, describe::step(step)));
    }
    if records.is_empty() {
        lines.push("no instance remembers its steps; look in their log lines".into());
    }
    lines.extend(gaps.iter().map(|gap| format!("gap: {}", describe::gap(gap))));
    lines.join("\n")
}

fn outcome(outcome: request::Outcome) -> &'static str {
    match outcome {
        request::Outcome::Running => "still running",
        request::Outcome::Answered => "answered whole",
        request::Outcome::NotRun => "not run",
        request::Outcome::Unknown => "may have run",
    }
}
