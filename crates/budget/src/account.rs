//! A customer's budget for one period, as stored in the platform.
//!
//! The object `budget/CUSTOMER/PERIOD` holds the settled amount and every
//! holder's grant. Their sum never exceeds the limit, because every change is
//! a conditional update of this one object, and no holder spends more than its
//! grant. So the budget cannot be overspent, whatever the order of concurrent
//! changes.

use std::collections::BTreeMap;

use journal::bill::Holder;
use serde::{Deserialize, Serialize};
use world::{
    contract::Customer,
    instance::{self, Incarnation},
    money::Amount,
};

use crate::period::Period;

/// Prefix of all budget keys.
pub const PREFIX: &str = "budget/";

/// A customer's budget for one period.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Amount spent by holders whose grants have ended.
    pub settled: Amount,
    /// Granted amount of each holder, by [`holder_key`]. A holder may have spent any
    /// part of it.
    pub grants: BTreeMap<String, Amount>,
}

impl Account {
    /// Returns the key of the object in the platform.
    #[must_use]
    pub fn key(customer: &Customer, period: &Period) -> String {
        format!("{PREFIX}{customer}/{}", period.name)
    }

    /// Returns the sum of the settled amount and all grants.
    #[must_use]
    pub fn allocated(&self) -> Amount {
        self.grants.values().fold(self.settled, |sum, grant| sum.saturating_add(*grant))
    }

    /// Returns the part of `limit` that is neither settled nor granted.
    #[must_use]
    pub fn remaining(&self, limit: Amount) -> Amount {
        limit.saturating_sub(self.allocated())
    }

    /// Returns a holder's grant, or `None` if it has none.
    #[must_use]
    pub fn grant(&self, holder: &Holder) -> Option<Amount> {
        self.grants.get(&holder_key(holder)).copied()
    }

    /// Adds `wanted`, or what is left of `limit` if that is less, to a holder's
    /// grant. Returns the amount added.
    pub fn extend_grant(&mut self, holder: &Holder, wanted: Amount, limit: Amount) -> Amount {
        let added = wanted.min(self.remaining(limit));
        if added > Amount::ZERO {
            let grant = self.grants.entry(holder_key(holder)).or_default();
            *grant = grant.saturating_add(added);
        }
        added
    }

    /// Subtracts unspent money from a holder's grant.
    pub fn return_unspent(&mut self, holder: &Holder, unspent: Amount) {
        if let Some(grant) = self.grants.get_mut(&holder_key(holder)) {
            *grant = grant.saturating_sub(unspent);
        }
    }

    /// Ends a holder's grant and counts `spent` as settled.
    ///
    /// Returns false and changes nothing if the holder has no grant, so that
    /// two instances that settle the same grant count it once.
    pub fn settle(&mut self, holder: &Holder, spent: Amount) -> bool {
        if self.grants.remove(&holder_key(holder)).is_none() {
            return false;
        }
        self.settled = self.settled.saturating_add(spent);
        true
    }

    /// Returns all holders that have a grant.
    #[must_use]
    pub fn holders(&self) -> Vec<Holder> {
        self.grants.keys().filter_map(|text| parse(text)).collect()
    }
}

/// Formats a holder as `INSTANCE/INCARNATION/EPOCH`, its key in
/// [`Account::grants`].
#[must_use]
pub fn holder_key(holder: &Holder) -> String {
    holder.to_string()
}

/// Parses a holder from the format of [`holder_key`].
fn parse(text: &str) -> Option<Holder> {
    let mut parts = text.split('/');
    let instance = instance::Id::parse(parts.next()?).ok()?;
    let incarnation = Incarnation(parts.next()?.parse().ok()?);
    let epoch = parts.next()?.parse().ok()?;
    Some(Holder { instance, incarnation, epoch })
}
