//! A wallet together with its grant in the account and the queue of requests
//! that wait for money.

use std::collections::VecDeque;

use journal::bill::Grant;
use tokio::{sync::oneshot, time::Instant};
use world::{
    contract::{self, Customer},
    money::Amount,
};

use crate::{
    Error,
    grant::{Client, Request},
    wallet::{self, Sizing, Wallet},
};

/// The wallet of one customer and period, its grant and its queue of waiting
/// requests.
#[derive(Debug)]
pub(crate) struct Escrow {
    pub client: Client,
    pub wallet: Wallet,
    pub budget: contract::Budget,
    pub waiting: VecDeque<Reserve>,
    /// Whether a read or write of the account is in progress.
    pub busy: bool,
    /// Whether the account object is known to contain a grant of this holder.
    pub has_grant: bool,
    /// Price ceiling of the last request.
    pub last_ceiling: Amount,
    /// Amount that was left to grant when the account was last read.
    pub remaining: Amount,
    /// Earliest time of the next extension ahead of demand.
    pub next_top_up: Instant,
    /// Amount that was left to grant when it was last too small for a request,
    /// and the time until which it is assumed unchanged without another read.
    pub exhausted: Option<(Amount, Instant)>,
}

/// A request that waits for its reservation.
#[derive(Debug)]
pub(crate) struct Reserve {
    pub customer: Customer,
    pub budget: contract::Budget,
    pub ceiling: Amount,
    pub reply: oneshot::Sender<Result<Grant, Error>>,
}

impl Escrow {
    /// Reserves for waiting requests, in order, as far as the available money goes.
    pub fn reserve_waiting(&mut self) {
        let now = Instant::now();
        while let Some(reserve) = self.waiting.front() {
            // Skips requests whose caller no longer waits.
            if reserve.reply.is_closed() {
                self.waiting.pop_front();
                continue;
            }
            if !self.wallet.reserve(reserve.ceiling, now) {
                return;
            }
            let grant = Grant { holder: self.client.holder.clone(), period: self.client.period.start };
            let Some(reserve) = self.waiting.pop_front() else {
                return;
            };
            if reserve.reply.send(Ok(grant)).is_err() {
                self.wallet.commit(reserve.ceiling, Amount::ZERO, now);
            }
        }
    }

    /// Refuses all waiting requests without another read if the first one
    /// needs more than [`Escrow::exhausted`] says is left.
    pub fn refuse_if_exhausted(&mut self) {
        let (Some((remaining, until)), Some(first)) = (self.exhausted, self.waiting.front()) else {
            return;
        };
        let shortfall = first.ceiling.saturating_sub(self.wallet.available());
        if Instant::now() < until && shortfall > remaining {
            let until = self.client.period.end;
            self.refuse(&Error::Exhausted { until });
        }
    }

    /// Fails all waiting requests with `error`.
    pub fn refuse(&mut self, error: &Error) {
        for reserve in self.waiting.drain(..) {
            let _ = reserve.reply.send(Err(error.clone()));
        }
    }

    /// Returns the amount to keep available.
    pub fn target(&self, sizing: &Sizing) -> Amount {
        let wanted = self.wallet.wanted(self.last_ceiling, sizing);
        wallet::target(wanted, self.wallet.available(), self.remaining, sizing)
    }

    /// Builds the request for an extension of the grant.
    pub fn extension_request(&self, sizing: Sizing) -> Request {
        let wanted = self.wallet.wanted(self.last_ceiling, &sizing);
        let available = self.wallet.available();
        let needed = self.waiting.iter().fold(Amount::ZERO, |sum, r| sum.saturating_add(r.ceiling));
        let first = self.waiting.front().map_or(Amount::ZERO, |r| r.ceiling);
        Request {
            min_extension: first.saturating_sub(available).max(Amount(1)),
            shortfall: needed.saturating_sub(available),
            wanted,
            available,
            limit: self.budget.amount,
            sizing,
            has_grant: self.has_grant,
        }
    }
}
