//! Keeps what a home must still hear of, until it is durable.
//!
//! An origin keeps each of its bills here from before the first try; a second
//! holder keeps a copy; a home keeps what it said it holds while the platform
//! was down. Each of them delivers on its own. Bills are a set and settlements
//! carry their claim's nonce, so that it does no harm when several arrive.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{
    Bill, Reason,
    op::{Op, Reply},
    record::{Digest, Settle},
    router::Router,
};

/// First and longest pause between two deliveries of one record.
const PAUSES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));
/// Longest wait for one delivery.
const DELIVERY: Duration = Duration::from_secs(10);
/// Deliveries at a time.
const AT_ONCE: usize = 512;

/// What is kept.
#[derive(Debug, Clone)]
pub(crate) enum Kept {
    /// A bill, and whether its caller may have got the last frame for its
    /// being held.
    Bill(Bill, Promised),
    Settle(Settle),
}

/// Whether a last frame may have gone because a bill is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Promised {
    Yes,
    NotYet,
}

/// What the keeper is told.
#[derive(Debug)]
pub(crate) enum Order {
    /// Keep it, and deliver it after a pause; false when there is no room.
    Keep { kept: Kept, after: Duration, done: Option<oneshot::Sender<bool>> },
    /// It is durable.
    Drop(Key),
    /// The last frame of the bill's request goes.
    Promise(Key),
    /// Answer once nothing is kept.
    Flush(oneshot::Sender<()>),
    /// Answer with the bills kept.
    Bills(oneshot::Sender<Vec<Bill>>),
}

/// What a record is kept under: its request, and its claim's nonce (0 for bills).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    pub digest: Digest,
    pub nonce: u64,
}

impl Kept {
    fn key(&self) -> Key {
        match self {
            Self::Bill(bill, _) => Key { digest: Digest::request(&bill.id), nonce: 0 },
            Self::Settle(settle) => Key { digest: settle.digest, nonce: settle.nonce },
        }
    }

    fn op(&self) -> Op {
        match self {
            Self::Bill(bill, _) => Op::Bill(bill.clone()),
            Self::Settle(settle) => Op::Settle(*settle),
        }
    }
}

struct Keeper {
    router: Router,
    capacity: usize,
    rng: StdRng,
    kept: HashMap<Key, Slot>,
    /// Who waits for nothing to be kept.
    flushing: Vec<oneshot::Sender<()>>,
    deliveries: JoinSet<(Key, Reply)>,
}

struct Slot {
    kept: Kept,
    due: Instant,
    pause: Duration,
    under_way: bool,
}

/// Starts the task; it ends when the last sender is dropped.
pub(crate) fn spawn(router: Router, capacity: usize, seed: u64, inbox: mpsc::UnboundedReceiver<Order>) {
    let rng = StdRng::seed_from_u64(seed);
    let keeper =
        Keeper { router, capacity, rng, kept: HashMap::new(), flushing: Vec::new(), deliveries: JoinSet::new() };
    tokio::spawn(keeper.run(inbox));
}

impl Keeper {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Order>) {
        loop {
            self.deliver();
            let wake = self.kept.values().filter(|slot| !slot.under_way).map(|slot| slot.due).min();
            let idle = self.deliveries.len() >= AT_ONCE || wake.is_none();
            let wake = wake.unwrap_or_else(Instant::now);
            tokio::select! {
                order = inbox.recv() => match order {
                    Some(order) => self.take(order),
                    None => return,
                },
                Some(Ok((key, reply))) = self.deliveries.join_next() => self.on_reply(key, &reply),
                () = sleep_until(wake), if !idle => {}
            }
            metrics::gauge!("journal_kept_records").set(f64::from(u32::try_from(self.kept.len()).unwrap_or(u32::MAX)));
        }
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Keep { kept, after, done } => {
                let taken = self.keep(kept, after);
                if let Some(done) = done {
                    let _ = done.send(taken);
                }
            }
            Order::Drop(key) => self.forget(key),
            Order::Promise(key) => {
                if let Some(Slot { kept: Kept::Bill(_, promised), .. }) = self.kept.get_mut(&key) {
                    *promised = Promised::Yes;
                }
            }
            Order::Flush(done) => {
                let now = Instant::now();
                self.kept.values_mut().for_each(|slot| slot.due = now);
                self.flushing.push(done);
                self.check_flushed();
            }
            Order::Bills(done) => {
                let bills = self.kept.values().filter_map(|slot| match &slot.kept {
                    Kept::Bill(bill, _) => Some(bill.clone()),
                    Kept::Settle(_) => None,
                });
                let _ = done.send(bills.collect());
            }
        }
    }

    fn keep(&mut self, kept: Kept, after: Duration) -> bool {
        let key = kept.key();
        if self.kept.len() >= self.capacity && !self.kept.contains_key(&key) {
            metrics::counter!("journal_keeper_full_total").increment(1);
            return false;
        }
        let due = Instant::now() + after;
        let slot = Slot { kept, due, pause: PAUSES.0, under_way: false };
        // One that is kept already may be under way: it stays as it is.
        self.kept.entry(key).or_insert(slot);
        true
    }

    fn deliver(&mut self) {
        let now = Instant::now();
        let room = AT_ONCE.saturating_sub(self.deliveries.len());
        let shards = self.router.shards();
        let due = self.kept.iter_mut().filter(|(_, slot)| !slot.under_way && slot.due <= now).take(room);
        for (key, slot) in due {
            slot.under_way = true;
            let key = *key;
            let op = slot.kept.op();
            let shard = key.digest.shard(shards);
            let router = self.router.clone();
            self.deliveries.spawn(async move {
                let answer = router.ask(shard, op, Instant::now() + DELIVERY).await;
                (key, answer.unwrap_or(Reply::Unknown))
            });
        }
    }

    fn on_reply(&mut self, key: Key, reply: &Reply) {
        match reply {
            Reply::Done | Reply::Already => return self.forget(key),
            Reply::Refused(Reason::GrantClosed) => self.take_off_grant(key),
            _ => {}
        }
        let spread = self.rng.random_range(0.5..1.0);
        if let Some(slot) = self.kept.get_mut(&key) {
            slot.under_way = false;
            slot.due = Instant::now() + slot.pause.mul_f64(spread);
            slot.pause = (slot.pause * 2).min(PAUSES.1);
        }
    }

    /// Where the caller may have its answer, the bill stands although its
    /// grant was settled without it: the customer is billed, and the budget is
    /// past its limit by this amount. It takes the loss of both holders for as
    /// long as a grant's settlement waits; the counter tells operators. Where
    /// no answer went, the bill is void.
    fn take_off_grant(&mut self, key: Key) {
        match self.kept.get_mut(&key) {
            Some(Slot { kept: Kept::Bill(bill, Promised::Yes), .. }) => {
                metrics::counter!("journal_bills_past_grant_total").increment(1);
                tracing::warn!(request = %bill.id, "bill came after its grant was settled; recorded past the budget");
                bill.grant = None;
            }
            _ => self.forget(key),
        }
    }

    fn forget(&mut self, key: Key) {
        self.kept.remove(&key);
        self.check_flushed();
    }

    fn check_flushed(&mut self) {
        if self.kept.is_empty() {
            for done in self.flushing.drain(..) {
                let _ = done.send(());
            }
        }
    }
}
