//! The writes that change an account, each repeated until its fate is known.

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
    wallet::{Sizing, cut_size},
};

/// Lost races before giving up for now.
const RACES: usize = 16;

/// Where an account is, and who holds a grant in it.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub platform: store::Handle,
    pub customer: Customer,
    pub period: Period,
    pub holder: Holder,
    pub currency: Currency,
    pub recorder: Option<Recorder>,
}

/// What a cut asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ask {
    /// Least that helps.
    pub least: Amount,
    /// What waiting requests need.
    pub missing: Amount,
    /// What would last for a time.
    pub wanted: Amount,
    /// What is at hand.
    pub available: Amount,
    pub limit: Amount,
    pub sizing: Sizing,
    /// Whether the holder held a grant before.
    pub held: bool,
}

/// How a cut ended.
#[derive(Debug)]
pub(crate) enum Cut {
    /// The holder's grant stands at this much.
    Granted { grant: Amount, left: Amount, holders: Vec<Holder> },
    /// Not enough is left.
    Exhausted { grant: Amount, left: Amount, holders: Vec<Holder> },
    /// The holder was settled by another.
    Closed,
    /// The platform failed; the grant may stand higher than known.
    Failed,
}

impl Place {
    /// Adds to the holder's grant.
    ///
    /// The grant is taken from the object as read, never from memory plus the
    /// cut: after a cut whose fate was unknown the object tells.
    pub async fn cut(&self, ask: Ask) -> Cut {
        for _ in 0..RACES {
            let Ok((item, mut account)) = self.read().await else {
                return Cut::Failed;
            };
            let Some(grant) = account.grant(&self.holder).or((!ask.held).then_some(Amount::ZERO)) else {
                return Cut::Closed;
            };
            let left = account.left(ask.limit);
            let size = cut_size(ask.missing, ask.wanted, ask.available, left, &ask.sizing);
            if left < ask.least || size == Amount::ZERO {
                self.note(GrantMove::Exhausted, left);
                return Cut::Exhausted { grant, left, holders: account.holders() };
            }
            account.cut(&self.holder, size, ask.limit);
            match self.write(item, &account).await {
                Ok(true) => {
                    self.note(GrantMove::Taken, size);
                    let grant = account.grant(&self.holder).unwrap_or_default();
                    let left = account.left(ask.limit);
                    return Cut::Granted { grant, left, holders: account.holders() };
                }
                Ok(false) => {}
                Err(error) => {
                    tracing::warn!(%error, customer = %self.customer, "no grant cut");
                    return Cut::Failed;
                }
            }
        }
        Cut::Failed
    }

    /// What is left to grant now; nothing when the platform fails.
    pub async fn left(&self, limit: Amount) -> Option<Amount> {
        self.read().await.ok().map(|(_, account)| account.left(limit))
    }

    /// Gives unspent money back. The caller has taken it out of its wallet
    /// before: should the answer be lost, it is idle until the next cut reads
    /// the grant, and never spent twice.
    pub async fn give_back(&self, unspent: Amount) {
        for _ in 0..RACES {
            let Ok((item, mut account)) = self.read().await else {
                return;
            };
            account.give_back(&self.holder, unspent);
            match self.write(item, &account).await {
                Ok(false) => {}
                Ok(true) => return self.note(GrantMove::Returned, unspent),
                Err(_) => return,
            }
        }
    }

    /// Ends the holder's own grant, of which `spent` was spent.
    pub async fn end(&self, spent: Amount) -> bool {
        self.settle_as(spent).await
    }

    /// Ends a lost holder's grant by its bills.
    ///
    /// Closing comes first: from then on no bill that names the holder is
    /// recorded, so what the log holds is all it ever spent. A holder that
    /// was paused and wakes gets its bills refused before its last frames go.
    pub async fn settle(&self, journal: &journal::Handle, patience: Duration) -> bool {
        match self.read().await {
            Ok((_, account)) if account.grant(&self.holder).is_none() => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
        if let Err(error) = journal.close(&self.holder, Instant::now() + patience).await {
            tracing::info!(%error, holder = %self.holder, "grant not closed, will try again");
            return false;
        }
        let Ok(bills) = journal.all_bills().await else {
            return false;
        };
        let grant = Grant { holder: self.holder.clone(), period: self.period.start };
        let own = bills.iter().filter(|bill| bill.grant.as_ref() == Some(&grant));
        let spent = own.fold(Amount::ZERO, |sum, bill| sum.saturating_add(bill.amount));
        tracing::info!(holder = %self.holder, customer = %self.customer, %spent, "lost grant settled by its bills");
        metrics::counter!("budget_grants_settled_total").increment(1);
        self.settle_as(spent).await
    }

    async fn settle_as(&self, spent: Amount) -> bool {
        for _ in 0..RACES {
            let Ok((item, mut account)) = self.read().await else {
                return false;
            };
            if !account.settle(&self.holder, spent) {
                return true;
            }
            match self.write(item, &account).await {
                Ok(true) => {
                    self.note(GrantMove::Settled, spent);
                    return true;
                }
                Ok(false) => {}
                Err(_) => return false,
            }
        }
        false
    }

    fn note(&self, action: GrantMove, amount: Amount) {
        if let Some(recorder) = &self.recorder {
            let (customer, currency) = (self.customer.clone(), self.currency);
            recorder.record(Event::Grant { customer, action, amount, currency });
        }
    }

    async fn read(&self) -> Result<(Option<Item>, Account), Error> {
        let item = self.platform.get(Priority::Bill, &Account::key(&self.customer, &self.period)).await?;
        let account = item.as_ref().map(Item::read).transpose()?.unwrap_or_default();
        Ok((item, account))
    }

    /// False when another changed the account first.
    async fn write(&self, item: Option<Item>, account: &Account) -> Result<bool, Error> {
        let write = match item {
            None => self.platform.create(Priority::Bill, &Account::key(&self.customer, &self.period), account).await?,
            Some(item) => self.platform.update(Priority::Bill, &item, account).await?,
        };
        Ok(matches!(write, Write::Done(_)))
    }
}
