//! Pages of the time line.

use timeline::{Filter, Page, Record, Source, Stamp};
use world::{instance, model::Version};

use crate::{Malformed, wire};

/// A page with the source's clock when it answered.
#[derive(Debug, Clone, PartialEq)]
pub struct Events {
    /// The records.
    pub page: Page,
    /// Every later record of the source has a later stamp.
    pub now: Stamp,
}

/// The last record that a follower has of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// Which run of the instance.
    pub incarnation: instance::Incarnation,
    /// The record's number in that run.
    pub number: u64,
}

impl From<&Events> for wire::Page {
    fn from(events: &Events) -> Self {
        let page = &events.page;
        Self {
            instance: page.source.instance.to_string(),
            incarnation: page.source.incarnation.0,
            records: page.records.iter().map(Into::into).collect(),
            overflowed_before: page.overflowed_before.map(|stamp| stamp.0),
            limited_before: page.limited_before.map(|stamp| stamp.0),
            last: page.last,
            now: events.now.0,
        }
    }
}

impl From<&Record> for wire::Record {
    fn from(record: &Record) -> Self {
        // Events hold text keys and numbers; a score that is no number
        // becomes `null` and is refused by the reader, not here.
        let event = serde_json::to_vec(&record.event).unwrap_or_default();
        Self { at: record.at.0, number: record.number, event: event.into() }
    }
}

impl TryFrom<wire::Page> for Events {
    type Error = Malformed;

    fn try_from(page: wire::Page) -> Result<Self, Malformed> {
        let source = Source {
            instance: instance::Id::parse(&page.instance).map_err(|e| Malformed::new("instance", &e))?,
            incarnation: instance::Incarnation(page.incarnation),
        };
        let record = |record: wire::Record| {
            let event = serde_json::from_slice(&record.event).map_err(|e| Malformed::new("event", &e))?;
            Ok(Record { at: Stamp(record.at), source: source.clone(), number: record.number, event })
        };
        let records = page.records.into_iter().map(record).collect::<Result<_, Malformed>>()?;
        let overflowed_before = page.overflowed_before.map(Stamp);
        let limited_before = page.limited_before.map(Stamp);
        let now = Stamp(page.now);
        Ok(Self { page: Page { source, records, overflowed_before, limited_before, last: page.last }, now })
    }
}

impl wire::TimelineRequest {
    /// The request for a filter.
    #[must_use]
    pub fn of(filter: &Filter, follow: bool, after: Option<&Seen>) -> Self {
        let request = filter.request.as_ref().map(|subject| match &subject.customer {
            Some(customer) => format!("{customer}/{}", subject.key),
            None => subject.key.to_string(),
        });
        Self {
            request: request.unwrap_or_default(),
            version: filter.version.as_ref().map(ToString::to_string).unwrap_or_default(),
            kinds: filter.kinds.iter().map(ToString::to_string).collect(),
            after: after.map_or(filter.after, |seen| seen.number),
            limit: filter.limit as u64,
            follow,
            incarnation: after.map_or(0, |seen| seen.incarnation.0),
        }
    }

    /// The filter of the request, at a run of an instance.
    ///
    /// # Errors
    ///
    /// [`Malformed`] for a text that names no request, version or kind.
    pub fn filter(&self, incarnation: instance::Incarnation) -> Result<Filter, Malformed> {
        let request = (!self.request.is_empty()).then(|| self.request.parse()).transpose();
        let version = (!self.version.is_empty()).then(|| Version::parse(&self.version)).transpose();
        let kinds = self.kinds.iter().map(|kind| kind.parse()).collect::<Result<_, _>>();
        Ok(Filter {
            request: request.map_err(|e| Malformed::new("request", &e))?,
            version: version.map_err(|e| Malformed::new("version", &e))?,
            kinds: kinds.map_err(|e| Malformed::new("kinds", &e))?,
            // Numbers start anew with each run.
            after: if self.incarnation == incarnation.0 { self.after } else { 0 },
            limit: usize::try_from(self.limit).unwrap_or(usize::MAX),
        })
    }
}
