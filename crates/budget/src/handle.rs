//! Handle through which the other parts of an instance reserve money.

use journal::bill::Grant;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout_at},
};
use world::{
    contract::{self, Customer},
    money::Amount,
};

use crate::{Error, escrow::Reserve, task::Message};

/// Handle to the budget task of one instance; cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(crate) messages: mpsc::UnboundedSender<Message>,
}

/// Money reserved for one request. Dropping it without [`Handle::commit`]
/// releases the money.
#[derive(Debug)]
pub struct Reservation {
    customer: Customer,
    grant: Grant,
    ceiling: Amount,
    /// Channel on which the release is reported; `None` once committed.
    release: Option<mpsc::UnboundedSender<Message>>,
}

impl Handle {
    /// Reserves a request's price ceiling.
    ///
    /// # Errors
    ///
    /// [`Error::Exhausted`] or [`Error::Unavailable`]; the request must not
    /// run.
    pub async fn reserve(
        &self,
        customer: &Customer,
        budget: &contract::Budget,
        ceiling: Amount,
        deadline: Instant,
    ) -> Result<Reservation, Error> {
        let (reply, answer) = oneshot::channel();
        let reserve = Reserve { customer: customer.clone(), budget: *budget, ceiling, reply };
        self.messages.send(Message::Reserve(reserve)).map_err(|_| Error::Unavailable)?;
        let grant = timeout_at(deadline, answer).await.map_err(|_| Error::Unavailable)?;
        let grant = grant.map_err(|_| Error::Unavailable)??;
        Ok(Reservation { customer: customer.clone(), grant, ceiling, release: Some(self.messages.clone()) })
    }

    /// Ends a reservation of which `actual` was billed. Call it when the bill
    /// has its receipt, and also when it is unknown whether the bill was
    /// recorded, since it may count.
    pub fn commit(&self, mut reservation: Reservation, actual: Amount) {
        reservation.release = None;
        let _ = self.messages.send(reservation.commit_message(actual));
    }

    /// Ends a reservation of which nothing was billed.
    pub fn release(&self, reservation: Reservation) {
        drop(reservation);
    }

    /// Replaces a reservation by one of `actual` under a new grant, for a bill
    /// that was rejected because another instance had settled the old grant.
    ///
    /// # Errors
    ///
    /// As [`Handle::reserve`]. The answer cannot be billed and must not be
    /// delivered.
    pub async fn renew(
        &self,
        reservation: Reservation,
        budget: &contract::Budget,
        actual: Amount,
        deadline: Instant,
    ) -> Result<Reservation, Error> {
        let closed = Message::GrantClosed { customer: reservation.customer.clone(), grant: reservation.grant.clone() };
        let _ = self.messages.send(closed);
        let customer = reservation.customer.clone();
        drop(reservation);
        self.reserve(&customer, budget, actual, deadline).await
    }

    /// Returns every grant to the account, for a shutdown. Returns false if
    /// some could not be returned by the deadline; those are settled from
    /// their bills later.
    pub async fn flush(&self, deadline: Instant) -> bool {
        let (done, flushed) = oneshot::channel();
        if self.messages.send(Message::Flush(done)).is_err() {
            return false;
        }
        matches!(timeout_at(deadline, flushed).await, Ok(Ok(true)))
    }

    /// Returns the amount of a customer's budget that this instance holds and
    /// has neither spent nor reserved.
    pub async fn unspent(&self, customer: &Customer) -> Amount {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::Unspent(customer.clone(), reply)).is_err() {
            return Amount::ZERO;
        }
        answer.await.unwrap_or_default()
    }
}

impl Reservation {
    /// Returns the grant that the bill has to name.
    #[must_use]
    pub fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Returns the reserved amount.
    #[must_use]
    pub fn ceiling(&self) -> Amount {
        self.ceiling
    }

    /// Builds the message that ends this reservation with `actual` spent.
    fn commit_message(&self, actual: Amount) -> Message {
        Message::Commit { customer: self.customer.clone(), grant: self.grant.clone(), ceiling: self.ceiling, actual }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(messages) = self.release.take() {
            let _ = messages.send(self.commit_message(Amount::ZERO));
        }
    }
}
