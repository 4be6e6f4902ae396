//! A wallet with its grant and the requests that wait for it.

use std::collections::VecDeque;

use journal::bill::Grant;
use tokio::{sync::oneshot, time::Instant};
use world::{
    contract::{self, Customer},
    money::Amount,
};

use crate::{
    Error,
    job::{Ask, Place},
    wallet::{self, Sizing, Wallet},
};

/// A wallet with its grant and who waits for it.
#[derive(Debug)]
pub(crate) struct Purse {
    pub place: Place,
    pub wallet: Wallet,
    pub budget: contract::Budget,
    pub waiting: VecDeque<Reserve>,
    /// A cut or a return is under way.
    pub busy: bool,
    /// The object shows a grant of this holder.
    pub held: bool,
    /// Ceiling of the last request.
    pub last: Amount,
    /// What was left to grant when the account was last read.
    pub left: Amount,
    /// No cut ahead of need before this.
    pub next_ahead: Instant,
    /// What was left when too little was, and until when that is believed.
    pub dry: Option<(Amount, Instant)>,
}

/// A request that wants money set aside.
#[derive(Debug)]
pub(crate) struct Reserve {
    pub customer: Customer,
    pub budget: contract::Budget,
    pub ceiling: Amount,
    pub reply: oneshot::Sender<Result<Grant, Error>>,
}

impl Purse {
    pub fn give(&mut self) {
        let now = Instant::now();
        while let Some(reserve) = self.waiting.front() {
            // Whoever does not wait any more gets nothing set aside.
            if reserve.reply.is_closed() {
                self.waiting.pop_front();
                continue;
            }
            if !self.wallet.reserve(reserve.ceiling, now) {
                return;
            }
            let grant = Grant { holder: self.place.holder.clone(), period: self.place.period.start };
            let Some(reserve) = self.waiting.pop_front() else {
                return;
            };
            if reserve.reply.send(Ok(grant)).is_err() {
                self.wallet.commit(reserve.ceiling, Amount::ZERO, now);
            }
        }
    }

    /// Refuses at once what a moment ago was more than all that is left.
    pub fn refuse_dry(&mut self) {
        let (Some((left, until)), Some(first)) = (self.dry, self.waiting.front()) else {
            return;
        };
        let missing = first.ceiling.saturating_sub(self.wallet.available());
        if Instant::now() < until && missing > left {
            let until = self.place.period.end;
            self.refuse(&Error::Exhausted { until });
        }
    }

    pub fn refuse(&mut self, error: &Error) {
        for reserve in self.waiting.drain(..) {
            let _ = reserve.reply.send(Err(error.clone()));
        }
    }

    pub fn target(&self, sizing: &Sizing) -> Amount {
        let wanted = self.wallet.wanted(self.last, sizing);
        wallet::target(wanted, self.wallet.available(), self.left, sizing)
    }

    pub fn ask(&self, sizing: Sizing) -> Ask {
        let wanted = self.wallet.wanted(self.last, &sizing);
        let available = self.wallet.available();
        let needed = self.waiting.iter().fold(Amount::ZERO, |sum, r| sum.saturating_add(r.ceiling));
        let first = self.waiting.front().map_or(Amount::ZERO, |r| r.ceiling);
        Ask {
            least: first.saturating_sub(available).max(Amount(1)),
            missing: needed.saturating_sub(available),
            wanted,
            available,
            limit: self.budget.amount,
            sizing,
            held: self.held,
        }
    }
}
