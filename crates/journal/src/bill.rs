//! Bills: the one record of what a request cost.

use world::{
    contract::Customer,
    instance::{self, Incarnation},
    model, money, request, service,
    time::Timestamp,
};

/// What one request cost; one per (customer, key), whatever number of attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bill {
    /// Which request.
    pub id: request::Id,
    /// When it was made out.
    pub at: Timestamp,
    /// What is due.
    pub amount: money::Amount,
    /// Of the amount.
    pub currency: money::Currency,
    /// What it is for.
    pub item: Item,
    /// Prompt tokens over all attempts.
    pub input_tokens: u64,
    /// Generated tokens over all attempts.
    pub output_tokens: u64,
    /// Number of attempts.
    pub attempts: u32,
    /// The budget grant it was reserved from; nothing where no budget applies.
    pub grant: Option<Grant>,
}

impl Bill {
    /// The customer it is due from.
    #[must_use]
    pub fn customer(&self) -> &Customer {
        &self.id.customer
    }
}

/// What a bill is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item {
    /// The version that gave the answer.
    Version(model::Version),
    /// A call of a plain service.
    Service(service::Id),
}

/// The grant a bill draws on.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Grant {
    /// Who held it.
    pub holder: Holder,
    /// Start of the budget period, UTC.
    pub period: Timestamp,
}

/// One holder of grants. A holder that was settled never becomes valid again;
/// the instance goes on under the next epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// The instance.
    pub instance: instance::Id,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Which holder of that run, from 0.
    pub epoch: u32,
}

impl std::fmt::Display for Holder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.instance, self.incarnation, self.epoch)
    }
}
