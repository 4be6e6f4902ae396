//! Bills and outcomes of requests.

use serde::Serialize;
use world::{
    Timestamp,
    contract::Customer,
    model::Version,
    money::{Amount, Currency},
    request::{self, Outcome},
};

use crate::{Malformed, wire};

/// One request's bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Bill {
    /// The request.
    pub request: request::Id,
    /// The version that answered; nothing for a plain service.
    pub version: Option<Version>,
    /// What the customer pays.
    pub cost: Amount,
    /// Of the cost.
    pub currency: Currency,
    /// Attempts it took; 0 when not recorded.
    pub attempts: u32,
    /// When it was made.
    pub at: Timestamp,
}

/// What became of a request and what it cost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Account {
    /// What became of it.
    pub outcome: Outcome,
    /// Its bill, once there is one.
    pub bill: Option<Bill>,
}

impl From<&Bill> for wire::Bill {
    fn from(bill: &Bill) -> Self {
        Self {
            customer: bill.request.customer.to_string(),
            key: bill.request.key.to_string(),
            version: bill.version.as_ref().map(ToString::to_string).unwrap_or_default(),
            cost: bill.cost.to_string(),
            currency: bill.currency.to_string(),
            attempts: bill.attempts,
            at_ms: bill.at.0,
        }
    }
}

impl TryFrom<wire::Bill> for Bill {
    type Error = Malformed;

    fn try_from(bill: wire::Bill) -> Result<Self, Malformed> {
        let version = (!bill.version.is_empty()).then(|| Version::parse(&bill.version)).transpose();
        Ok(Self {
            request: request_id(&bill.customer, &bill.key)?,
            version: version.map_err(|e| Malformed::new("version", &e))?,
            cost: Amount::parse(&bill.cost).map_err(|e| Malformed::new("cost", &e))?,
            currency: Currency::try_from(bill.currency).map_err(|e| Malformed::new("currency", &e))?,
            attempts: bill.attempts,
            at: Timestamp(bill.at_ms),
        })
    }
}

impl From<&Account> for wire::ExplainReply {
    fn from(account: &Account) -> Self {
        Self { outcome: outcome_text(account.outcome).into(), bill: account.bill.as_ref().map(Into::into) }
    }
}

impl TryFrom<wire::ExplainReply> for Account {
    type Error = Malformed;

    fn try_from(reply: wire::ExplainReply) -> Result<Self, Malformed> {
        let outcome = [Outcome::Running, Outcome::Answered, Outcome::NotRun, Outcome::Unknown]
            .into_iter()
            .find(|outcome| outcome_text(*outcome) == reply.outcome)
            .ok_or_else(|| Malformed::new("outcome", &"names no outcome"))?;
        Ok(Self { outcome, bill: reply.bill.map(Bill::try_from).transpose()? })
    }
}

impl TryFrom<wire::ExplainRequest> for request::Id {
    type Error = Malformed;

    fn try_from(request: wire::ExplainRequest) -> Result<Self, Malformed> {
        request_id(&request.customer, &request.key)
    }
}

fn request_id(customer: &str, key: &str) -> Result<request::Id, Malformed> {
    Ok(request::Id {
        customer: Customer::parse(customer).map_err(|e| Malformed::new("customer", &e))?,
        key: request::Key::parse(key).map_err(|e| Malformed::new("key", &e))?,
    })
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Running => "running",
        Outcome::Answered => "answered",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    }
}
