//! Reads and conditional writes of one holder's grant in an account object.

use std::time::Duration;

use journal::bill::{Grant, Holder};
use store::{Error, Item, Priority, Write};
use timeline::{Event, GrantMove, Recorder};
use tokio::time::Instant;
use world::{
    contract::Customer,
    money::{Amount, Currency},
};

use crate::{
    account::Account,
    period::Period,
    wallet::{Sizing, extension_size},
};

/// Number of conflicting writes after which an operation gives up.
const MAX_CONFLICTS: usize = 16;

/// Access to the account of one customer and period on behalf of one holder.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub platform: store::Handle,
    pub customer: Customer,
    pub period: Period,
    pub holder: Holder,
    pub currency: Currency,
    pub recorder: Option<Recorder>,
}

/// Parameters of [`Client::extend`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    /// Smallest extension that covers the first waiting request.
    pub min_extension: Amount,
    /// Amount that the waiting requests need beyond what is available.
    pub shortfall: Amount,
    /// Amount to keep available at the present spending rate.
    pub wanted: Amount,
    /// Amount of the grant that is neither spent nor reserved.
    pub available: Amount,
    /// The customer's budget for the period.
    pub limit: Amount,
    /// How grants are sized.
    pub sizing: Sizing,
    /// Whether the holder is known to have had a grant. If it has none now,
    /// another instance has settled it.
    pub has_grant: bool,
}

/// Result of [`Client::extend`].
#[derive(Debug)]
pub(crate) enum Extension {
    /// The holder's grant was extended to `grant`.
    Granted { grant: Amount, remaining: Amount, holders: Vec<Holder> },
    /// The remaining budget is too small; the grant is unchanged.
    Exhausted { grant: Amount, remaining: Amount, holders: Vec<Holder> },
    /// Another instance settled the holder's grant.
    Closed,
    /// The platform failed; the grant may have been extended without this
    /// instance knowing.
    Failed,
}

impl Client {
    /// Extends the holder's grant.
    ///
    /// The new grant is always computed from the object as read, never from a
    /// remembered value: after a write with an unknown outcome only the object
    /// tells whether it took effect.
    pub async fn extend(&self, request: Request) -> Extension {
        for _ in 0..MAX_CONFLICTS {
            let Ok((item, mut account)) = self.read().await else {
                return Extension::Failed;
            };
            let Some(grant) = account.grant(&self.holder).or((!request.has_grant).then_some(Amount::ZERO)) else {
                return Extension::Closed;
            };
            let remaining = account.remaining(request.limit);
            let size = extension_size(request.shortfall, request.wanted, request.available, remaining, &request.sizing);
            if remaining < request.min_extension || size == Amount::ZERO {
                self.record_event(GrantMove::Exhausted, remaining);
                return Extension::Exhausted { grant, remaining, holders: account.holders() };
            }
            account.extend_grant(&self.holder, size, request.limit);
            match self.write(item, &account).await {
                Ok(true) => {
                    self.record_event(GrantMove::Taken, size);
                    let grant = account.grant(&self.holder).unwrap_or_default();
                    let remaining = account.remaining(request.limit);
                    return Extension::Granted { grant, remaining, holders: account.holders() };
                }
                Ok(false) => {}
                Err(error) => {
                    tracing::warn!(%error, customer = %self.customer, "grant not extended");
                    return Extension::Failed;
                }
            }
        }
        Extension::Failed
    }

    /// Reads the amount that is left to grant, or `None` if the platform
    /// fails.
    pub async fn remaining(&self, limit: Amount) -> Option<Amount> {
        self.read().await.ok().map(|(_, account)| account.remaining(limit))
    }

    /// Returns unspent money to the account.
    ///
    /// The caller has already removed it from its wallet. If the write's
    /// response is lost, the money stays unused until the next extension reads
    /// the grant; it is never spent twice.
    pub async fn return_unspent(&self, unspent: Amount) {
        for _ in 0..MAX_CONFLICTS {
            let Ok((item, mut account)) = self.read().await else {
                return;
            };
            account.return_unspent(&self.holder, unspent);
            match self.write(item, &account).await {
                Ok(false) => {}
                Ok(true) => return self.record_event(GrantMove::Returned, unspent),
                Err(_) => return,
            }
        }
    }

    /// Ends the grant of a holder of this instance, which knows the amount
    /// spent. Returns whether the grant has ended.
    pub async fn end(&self, spent: Amount) -> bool {
        self.settle_as(spent).await
    }

    /// Settles a lost holder's grant from its bills. Returns whether it is
    /// settled.
    ///
    /// The holder is closed in the journal first: from then on no bill that
    /// names it is recorded, so the recorded bills are all that it ever spent.
    /// A holder that was paused and resumes has its bills rejected before it
    /// sends the last frames of its answers.
    pub async fn settle(&self, journal: &journal::Handle, timeout: Duration) -> bool {
        match self.read().await {
            Ok((_, account)) if account.grant(&self.holder).is_none() => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
        if let Err(error) = journal.close(&self.holder, Instant::now() + timeout).await {
            tracing::info!(%error, holder = %self.holder, "lost holder not closed in the journal, will retry");
            return false;
        }
        let Ok(bills) = journal.all_bills().await else {
            return false;
        };
        let grant = Grant { holder: self.holder.clone(), period: self.period.start };
        let own = bills.iter().filter(|bill| bill.grant.as_ref() == Some(&grant));
        let spent = own.fold(Amount::ZERO, |sum, bill| sum.saturating_add(bill.amount));
        tracing::info!(holder = %self.holder, customer = %self.customer, %spent, "grant of a lost holder settled from its bills");
        metrics::counter!("budget_grants_settled_total").increment(1);
        self.settle_as(spent).await
    }

    /// Ends the holder's grant in the account and counts `spent` as settled.
    async fn settle_as(&self, spent: Amount) -> bool {
        for _ in 0..MAX_CONFLICTS {
            let Ok((item, mut account)) = self.read().await else {
                return false;
            };
            if !account.settle(&self.holder, spent) {
                return true;
            }
            match self.write(item, &account).await {
                Ok(true) => {
                    self.record_event(GrantMove::Settled, spent);
                    return true;
                }
                Ok(false) => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// Records a grant event on the timeline.
    fn record_event(&self, action: GrantMove, amount: Amount) {
        if let Some(recorder) = &self.recorder {
            let (customer, currency) = (self.customer.clone(), self.currency);
            recorder.record(Event::Grant { customer, action, amount, currency });
        }
    }

    /// Reads the account object; `None` and an empty account if it does not exist.
    async fn read(&self) -> Result<(Option<Item>, Account), Error> {
        let item = self.platform.get(Priority::Bill, &Account::key(&self.customer, &self.period)).await?;
        let account = item.as_ref().map(Item::read).transpose()?.unwrap_or_default();
        Ok((item, account))
    }

    /// Writes the account on the condition that it has not changed since it
    /// was read. Returns false if it has.
    async fn write(&self, item: Option<Item>, account: &Account) -> Result<bool, Error> {
        let write = match item {
            None => self.platform.create(Priority::Bill, &Account::key(&self.customer, &self.period), account).await?,
            Some(item) => self.platform.update(Priority::Bill, &item, account).await?,
        };
        Ok(matches!(write, Write::Done(_)))
    }
}
