//! A customer's budget for one period, as the platform keeps it.
//!
//! `budget/CUSTOMER/PERIOD` holds what is settled and every holder's grant.
//! Their sum never exceeds the limit, since every change is a conditional
//! update of this one object; and no holder spends more than its grant. So no
//! order of races can overspend.

use std::collections::BTreeMap;

use journal::bill::Holder;
use serde::{Deserialize, Serialize};
use world::{
    contract::Customer,
    instance::{self, Incarnation},
    money::Amount,
};

use crate::period::Period;

/// Start of all keys of budgets.
pub const PREFIX: &str = "budget/";

/// A customer's budget for one period.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Spent by holders that hold no more.
    pub settled: Amount,
    /// What each holder may spend, and may have spent, by [`name`].
    pub grants: BTreeMap<String, Amount>,
}

impl Account {
    /// The object's key.
    #[must_use]
    pub fn key(customer: &Customer, period: &Period) -> String {
        format!("{PREFIX}{customer}/{}", period.name)
    }

    /// Settled and granted together.
    #[must_use]
    pub fn taken(&self) -> Amount {
        self.grants.values().fold(self.settled, |sum, grant| sum.saturating_add(*grant))
    }

    /// What is left to grant of a limit.
    #[must_use]
    pub fn left(&self, limit: Amount) -> Amount {
        limit.saturating_sub(self.taken())
    }

    /// A holder's grant; nothing when it holds none.
    #[must_use]
    pub fn grant(&self, holder: &Holder) -> Option<Amount> {
        self.grants.get(&name(holder)).copied()
    }

    /// Adds to a holder's grant what it wants, or what is left.
    pub fn cut(&mut self, holder: &Holder, want: Amount, limit: Amount) -> Amount {
        let got = want.min(self.left(limit));
        if got > Amount::ZERO {
            let grant = self.grants.entry(name(holder)).or_default();
            *grant = grant.saturating_add(got);
        }
        got
    }

    /// Takes unspent money back from a holder's grant.
    pub fn give_back(&mut self, holder: &Holder, unspent: Amount) {
        if let Some(grant) = self.grants.get_mut(&name(holder)) {
            *grant = grant.saturating_sub(unspent);
        }
    }

    /// Ends a holder's grant; false when it holds none, so that two that
    /// settle it count it once.
    pub fn settle(&mut self, holder: &Holder, spent: Amount) -> bool {
        if self.grants.remove(&name(holder)).is_none() {
            return false;
        }
        self.settled = self.settled.saturating_add(spent);
        true
    }

    /// Every holder.
    #[must_use]
    pub fn holders(&self) -> Vec<Holder> {
        self.grants.keys().filter_map(|text| parse(text)).collect()
    }
}

/// A holder as a text: `INSTANCE/INCARNATION/EPOCH`.
#[must_use]
pub fn name(holder: &Holder) -> String {
    holder.to_string()
}

fn parse(text: &str) -> Option<Holder> {
    let mut parts = text.split('/');
    let instance = instance::Id::parse(parts.next()?).ok()?;
    let incarnation = Incarnation(parts.next()?.parse().ok()?);
    let epoch = parts.next()?.parse().ok()?;
    Some(Holder { instance, incarnation, epoch })
}
