//! Which records a query wants.

use serde::{Deserialize, Serialize};
use world::{contract::Customer, model::Version, request};

use crate::{
    event::{Event, Kind},
    recorder::Record,
};

/// Which records a query wants; an empty filter wants all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Only this request's.
    pub request: Option<Subject>,
    /// Only those about this version.
    pub version: Option<Version>,
    /// Only these kinds; empty wants all kinds.
    pub kinds: Vec<Kind>,
    /// Only those after this number of the answering process; 0 wants all.
    pub after: u64,
    /// At most this many, the latest; 0 wants all.
    pub limit: usize,
}

/// A request as an operator names it: by its key, or by customer and key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subject {
    /// Its customer, where known.
    pub customer: Option<Customer>,
    /// Its idempotency key.
    pub key: request::Key,
}

impl Subject {
    /// Whether it names this request.
    #[must_use]
    pub fn names(&self, id: &request::Id) -> bool {
        self.key == id.key && self.customer.as_ref().is_none_or(|customer| *customer == id.customer)
    }
}

impl std::str::FromStr for Subject {
    type Err = world::Invalid;

    /// Reads `KEY` or `CUSTOMER/KEY`.
    fn from_str(text: &str) -> Result<Self, world::Invalid> {
        match text.split_once('/') {
            Some((customer, key)) => {
                Ok(Self { customer: Some(Customer::parse(customer)?), key: request::Key::parse(key)? })
            }
            None => Ok(Self { customer: None, key: request::Key::parse(text)? }),
        }
    }
}

impl Filter {
    /// Whether it wants a record.
    #[must_use]
    pub fn wants(&self, record: &Record) -> bool {
        record.number > self.after && self.wants_event(&record.event)
    }

    /// Whether any event of a kind could be wanted.
    #[must_use]
    pub fn wants_kind(&self, kind: Kind) -> bool {
        let of_request = self.request.is_none() || kind == Kind::Request;
        of_request && (self.kinds.is_empty() || self.kinds.contains(&kind))
    }

    fn wants_event(&self, event: &Event) -> bool {
        if !self.wants_kind(event.kind()) {
            return false;
        }
        if let Some(subject) = &self.request
            && !event.request().is_some_and(|id| subject.names(id))
        {
            return false;
        }
        self.version.as_ref().is_none_or(|version| event.concerns(version))
    }
}
