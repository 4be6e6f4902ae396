//! The stand-ins' own records, once they have settled.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use journal::{Bill, audit, record::Record};
use standin::{engine, service};
use tokio::time::Instant;
use world::request;

use crate::{
    caller::End,
    check,
    site::{Error, Site},
    traffic::Traffic,
};

/// Longest wait for the last bills to reach the object API.
const PATIENCE: Duration = Duration::from_secs(20);
/// Between two looks.
const PAUSE: Duration = Duration::from_millis(100);
/// Where the journal keeps its objects.
const JOURNAL: &str = "journal/";

/// The stand-ins' records.
#[derive(Debug, Default)]
pub(crate) struct Books {
    pub(crate) records: Vec<engine::Record>,
    pub(crate) effects: Vec<service::Effect>,
    /// Every unlike bill in the object API, by its request.
    pub(crate) bills: BTreeMap<request::Id, Vec<Bill>>,
}

/// The records once each whole answer has a bill, or when that takes too long.
pub(crate) async fn settled(site: &Site, traffic: &Traffic) -> Result<Books, Error> {
    let owed = owed(traffic);
    let deadline = Instant::now() + PATIENCE;
    loop {
        let bills = bills(site)?;
        let missing = owed.iter().any(|id| !bills.contains_key(id));
        if !missing || Instant::now() >= deadline {
            let records = site.engines.values().flat_map(engine::Handle::records).collect();
            let effects = site.services.values().flat_map(service::Handle::effects).collect();
            return Ok(Books { records, effects, bills });
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Requests with a whole answer.
fn owed(traffic: &Traffic) -> BTreeSet<request::Id> {
    let mut owed = BTreeSet::new();
    for played in &traffic.played {
        for sent in played.sent.iter().flatten().filter(|sent| matches!(sent.end, End::Whole(_))) {
            owed.insert(check::request_id(&played.script.customer, sent));
        }
    }
    owed
}

/// Bills as they stand in the objects, unlike the journal's own reading not
/// reduced to one for each request: a second, unlike one must show.
fn bills(site: &Site) -> Result<BTreeMap<request::Id, Vec<Bill>>, Error> {
    let mut bills: BTreeMap<request::Id, Vec<Bill>> = BTreeMap::new();
    for object in site.objects.dump(JOURNAL) {
        let value = object.value.to_string();
        let records = audit::records(&object.key, value.as_bytes()).map_err(|error| Error::Bill(error.to_string()))?;
        for record in records {
            let Record::Bill(bill) = record else { continue };
            let known = bills.entry(bill.id.clone()).or_default();
            if !known.contains(&bill) {
                known.push(bill);
            }
        }
    }
    Ok(bills)
}
