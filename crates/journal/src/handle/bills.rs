//! Bills: when their last frames may go, who holds them, and reading them.

use std::time::Duration;

use tokio::{sync::oneshot, time::Instant};
use world::{contract::Customer, instance};

use super::{Handle, Run, unexpected};
use crate::{
    Bill, Error, Reason,
    bill::Holder,
    books,
    config::BillWait,
    keeper::{Kept, Key, Order, Promised},
    op::{Op, Reply},
    record::{Close, Digest, Shard},
    wire::Request,
};

/// Other instances asked to hold a bill before giving up.
const HOLDERS_TRIED: usize = 3;

/// What is known of a bill when its last frame may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receipt {
    /// The platform has it.
    Durable,
    /// Another bill for the same request was recorded first: this one does
    /// not count, and what was reserved for it is free again.
    Already,
    /// Two instances in different failure domains hold it.
    Held,
}

impl Handle {
    /// Records what a request cost; once, whatever number of times it is
    /// called. The last frame may go when this returns a receipt.
    ///
    /// # Errors
    ///
    /// [`Error::NotRecorded`] with [`Reason::GrantClosed`]: reserve again.
    /// Every other error: only this instance holds the bill, and goes on
    /// delivering it; the last frame must not go, for the bill may be lost
    /// with this instance, or come to nothing when its grant is settled first.
    pub async fn bill(&self, bill: &Bill, deadline: Instant) -> Result<Receipt, Error> {
        let digest = Digest::request(&bill.id);
        let at_once = self.router.config.bill_wait == BillWait::Holders;
        // A home out of reach must not hold up the last frame for as long as
        // the request's deadline: another instance can hold the bill.
        let home_until = deadline.min(Instant::now() + self.router.config.peer_timeout);
        let after = if at_once { Duration::ZERO } else { home_until.saturating_duration_since(Instant::now()) };
        if !self.keep(Kept::Bill(bill.clone(), Promised::NotYet), after).await {
            return Err(Error::NotRecorded(Reason::Full));
        }
        if at_once && self.hold_elsewhere(bill, deadline).await {
            return Ok(self.promise(digest));
        }
        let mut reply = self.ask(digest, Op::Bill(bill.clone()), home_until).await;
        if reply.is_err() && home_until < deadline {
            if self.hold_elsewhere(bill, deadline).await {
                return Ok(self.promise(digest));
            }
            reply = self.ask(digest, Op::Bill(bill.clone()), deadline).await;
        }
        match reply {
            Ok(Reply::Done) => {
                self.drop_kept(digest);
                Ok(Receipt::Durable)
            }
            Ok(Reply::Already) => {
                self.drop_kept(digest);
                Ok(Receipt::Already)
            }
            Ok(Reply::Refused(Reason::GrantClosed)) => {
                let _ = self.keeper.send(Order::Drop(Key { digest, nonce: 0 }));
                Err(Error::NotRecorded(Reason::GrantClosed))
            }
            Ok(Reply::Held) if self.home_is_outside(digest) => Ok(self.promise(digest)),
            other if self.hold_elsewhere(bill, deadline).await => {
                tracing::debug!(request = %bill.id, ?other, "bill held by two instances");
                Ok(self.promise(digest))
            }
            _ => Err(Error::Unknown),
        }
    }

    /// A customer's bills: all that are durable, and those held here.
    ///
    /// # Errors
    ///
    /// The platform's, or [`Error::Unknown`] for objects that do not read.
    pub async fn bills(&self, customer: &Customer) -> Result<Vec<Bill>, Error> {
        let mut bills = self.all_bills().await?;
        let (done, kept) = oneshot::channel();
        if self.keeper.send(Order::Bills(done)).is_ok() {
            for bill in kept.await.unwrap_or_default() {
                if !bills.iter().any(|known| known.id == bill.id) {
                    bills.push(bill);
                }
            }
        }
        bills.retain(|bill| bill.customer() == customer);
        Ok(bills)
    }

    /// Every durable bill, each once.
    ///
    /// # Errors
    ///
    /// As [`Handle::bills`].
    pub async fn all_bills(&self) -> Result<Vec<Bill>, Error> {
        let config = &self.router.config;
        books::read(&self.platform, config.shards, config.ring).await.map_err(|error| {
            tracing::warn!(%error, "bills not read");
            match error {
                store::Error::Malformed { .. } => Error::Unknown,
                _ => Error::NotRecorded(Reason::PlatformDown),
            }
        })
    }

    /// Sees to it that no bill of a grants' holder is recorded any more, in
    /// any shard; what was recorded before is then all there will ever be.
    ///
    /// # Errors
    ///
    /// Any: some shards may take its bills still; call again.
    pub async fn close(&self, holder: &Holder, deadline: Instant) -> Result<(), Error> {
        let at = self.router.config.clock.now();
        for shard in (0..self.router.config.shards).map(Shard) {
            let close = Close { holder: holder.clone(), at };
            match self.router.ask(shard, Op::Close(close), deadline).await {
                Ok(Reply::Done) => {}
                other => return Err(unexpected(other)),
            }
        }
        Ok(())
    }

    fn home_is_outside(&self, digest: Digest) -> bool {
        let placement = self.router.placement.borrow();
        let home = placement.home(digest.shard(self.router.shards()));
        home.and_then(|home| placement.domain(home)).is_some_and(|domain| *domain != self.router.config.domain)
    }

    /// Has an instance of another failure domain hold a bill.
    async fn hold_elsewhere(&self, bill: &Bill, deadline: Instant) -> bool {
        let outside: Vec<instance::Id> = {
            let placement = self.router.placement.borrow();
            let ids = placement.outside(&self.router.config.domain, bill.id.hash());
            ids.into_iter().take(HOLDERS_TRIED).cloned().collect()
        };
        // The bill comes first: a deadline that has passed must not lose it.
        let deadline = deadline.max(Instant::now() + self.router.config.peer_timeout);
        for instance in outside {
            let hold = Request::Hold(bill.clone());
            if self.router.ask_peer(&instance, &hold, deadline).await == Some(Reply::Held) {
                return true;
            }
        }
        false
    }

    /// The bill is durable, or another counts.
    fn drop_kept(&self, digest: Digest) {
        let _ = self.keeper.send(Order::Drop(Key { digest, nonce: 0 }));
        self.forget_claim(digest);
    }

    /// The last frame goes: this bill must be recorded whatever happens.
    fn promise(&self, digest: Digest) -> Receipt {
        let _ = self.keeper.send(Order::Promise(Key { digest, nonce: 0 }));
        self.forget_claim(digest);
        Receipt::Held
    }

    /// A bill settles its claim too.
    fn forget_claim(&self, digest: Digest) {
        let mut shared = self.shared();
        if matches!(shared.runs.get(&digest), Some(Run::Claimed { .. })) {
            shared.runs.remove(&digest);
        }
    }
}
