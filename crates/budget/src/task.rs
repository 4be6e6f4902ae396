//! The task that owns this instance's wallets.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use journal::bill::{Grant, Holder};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval},
};
use world::{contract::Customer, money::Amount, time::Timestamp};

use crate::{
    Config, Error,
    job::{Cut, Place},
    period::Period,
    purse::{Purse, Reserve},
    wallet::Wallet,
};

/// Least time between two extensions ahead of demand, and how long an
/// exhausted account is taken for exhausted. Without it, the end of a budget
/// would cost a write or read per request.
const AHEAD_EVERY: Duration = Duration::from_secs(1);

/// A message to the budget task.
#[derive(Debug)]
pub(crate) enum Message {
    /// Reserves money for a request.
    Reserve(Reserve),
    /// Ends a reservation of `ceiling`, of which `actual` was spent.
    Commit { customer: Customer, grant: Grant, ceiling: Amount, actual: Amount },
    /// A bill was rejected because its grant had been settled by another
    /// instance.
    Closed { customer: Customer, grant: Grant },
    /// Returns all grants and replies whether all were returned.
    Flush(oneshot::Sender<bool>),
    /// Asks for the unspent and unreserved amount held for a customer.
    Idle(Customer, oneshot::Sender<Amount>),
}

/// Key of a wallet: the customer and the start of the period.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    customer: Customer,
    period: Timestamp,
}

/// Result of a spawned job.
#[derive(Debug)]
enum Event {
    Cut(Key, Holder, Cut),
    Left(Key, Holder, Option<Amount>),
    GaveBack(Key, Holder),
    Settled(Holder, bool),
}

pub(crate) struct Task {
    config: Config,
    platform: store::Handle,
    journal: journal::Handle,
    purses: HashMap<Key, Purse>,
    /// Epoch of the next wallet's holder.
    epoch: u32,
    /// Holders that are not in the membership, since when, and access to their
    /// accounts.
    gone: HashMap<Holder, (Instant, Place)>,
    /// Holders with a settlement under way.
    settling: HashSet<Holder>,
    jobs: JoinSet<Event>,
}

impl Task {
    pub fn new(config: Config, platform: store::Handle, journal: journal::Handle) -> Self {
        Self {
            config,
            platform,
            journal,
            purses: HashMap::new(),
            epoch: 0,
            gone: HashMap::new(),
            settling: HashSet::new(),
            jobs: JoinSet::new(),
        }
    }

    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = interval(self.config.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(Message::Flush(done)) => self.flush(done),
                    Some(message) => self.take(message),
                    None => return,
                },
                Some(Ok(event)) = self.jobs.join_next() => self.on_event(event),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Reserve(reserve) => self.reserve(reserve),
            Message::Commit { customer, grant, ceiling, actual } => {
                let key = Key { customer, period: grant.period };
                if let Some(purse) = self.purses.get_mut(&key).filter(|p| p.place.holder == grant.holder) {
                    purse.wallet.commit(ceiling, actual, Instant::now());
                }
            }
            Message::Closed { customer, grant } => self.closed(&Key { customer, period: grant.period }, &grant.holder),
            Message::Idle(customer, reply) => {
                let own = self.purses.iter().filter(|(key, _)| key.customer == customer);
                let sum = own.fold(Amount::ZERO, |sum, (_, purse)| sum.saturating_add(purse.wallet.available()));
                let _ = reply.send(sum);
            }
            Message::Flush(_) => {}
        }
    }

    /// Queues a request at the wallet of its customer and the current period.
    fn reserve(&mut self, reserve: Reserve) {
        let period = Period::at(self.config.clock.now(), reserve.budget.period);
        let key = Key { customer: reserve.customer.clone(), period: period.start };
        // A contract that changed its kind of period has a different account.
        if self.purses.get(&key).is_some_and(|purse| purse.place.period != period) {
            self.end(&key);
        }
        if !self.purses.contains_key(&key) {
            let purse = self.new_purse(&reserve, period);
            self.purses.insert(key.clone(), purse);
        }
        let Some(purse) = self.purses.get_mut(&key) else {
            return;
        };
        purse.budget = reserve.budget;
        purse.last = reserve.ceiling;
        purse.waiting.push_back(reserve);
        self.serve(&key);
    }

    /// Creates an empty wallet with a holder of its own. What an earlier
    /// wallet of the same customer spent is already settled; under the same
    /// holder its bills would be counted again.
    fn new_purse(&mut self, reserve: &Reserve, period: Period) -> Purse {
        let holder = Holder {
            instance: self.config.origin.instance.clone(),
            incarnation: self.config.origin.incarnation,
            epoch: self.epoch,
        };
        self.epoch += 1;
        let platform = self.platform.within(self.config.patience);
        Purse {
            place: Place {
                platform,
                customer: reserve.customer.clone(),
                period,
                holder,
                currency: reserve.budget.currency,
                recorder: self.config.recorder.clone(),
            },
            wallet: Wallet::new(Instant::now()),
            budget: reserve.budget,
            waiting: VecDeque::new(),
            busy: false,
            held: false,
            last: reserve.ceiling,
            left: Amount::ZERO,
            next_ahead: Instant::now(),
            dry: None,
        }
    }

    /// Reserves for waiting requests in order, and starts an extension of the
    /// grant if they need more or the available amount is low.
    fn serve(&mut self, key: &Key) {
        let Some(purse) = self.purses.get_mut(key) else {
            return;
        };
        purse.give();
        purse.refuse_dry();
        let now = Instant::now();
        let low = purse.wallet.available() < Amount(purse.target(&self.config.sizing).0 / 2);
        let ahead = low && now >= purse.next_ahead;
        if purse.busy || (purse.waiting.is_empty() && !ahead) {
            return;
        }
        purse.busy = true;
        purse.next_ahead = now + AHEAD_EVERY;
        let ask = purse.ask(self.config.sizing);
        let (place, key) = (purse.place.clone(), key.clone());
        self.jobs.spawn(async move {
            let cut = place.cut(ask).await;
            Event::Cut(key, place.holder, cut)
        });
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Cut(key, holder, cut) => self.on_cut(&key, &holder, cut),
            Event::Left(key, holder, left) => {
                if let Some(purse) = self.purses.get_mut(&key).filter(|p| p.place.holder == holder) {
                    purse.busy = false;
                    purse.left = left.unwrap_or(purse.left);
                    self.trim(&key);
                    self.serve_waiting(&key);
                }
            }
            Event::GaveBack(key, holder) => {
                if let Some(purse) = self.purses.get_mut(&key).filter(|p| p.place.holder == holder) {
                    purse.busy = false;
                    self.serve_waiting(&key);
                }
            }
            Event::Settled(holder, done) => {
                self.settling.remove(&holder);
                if done {
                    self.gone.remove(&holder);
                }
            }
        }
    }

    /// Handles the result of an extension.
    fn on_cut(&mut self, key: &Key, holder: &Holder, cut: Cut) {
        let Some(purse) = self.purses.get_mut(key).filter(|p| p.place.holder == *holder) else {
            return;
        };
        purse.busy = false;
        match cut {
            Cut::Granted { grant, left, holders } => {
                purse.held = true;
                purse.left = left;
                purse.wallet.set_granted(grant);
                purse.give();
                let place = purse.place.clone();
                self.notice_gone(&place, holders);
                self.serve_waiting(key);
            }
            Cut::Exhausted { grant, left, holders } => {
                purse.left = left;
                purse.dry = Some((left, Instant::now() + AHEAD_EVERY));
                purse.wallet.set_granted(grant);
                purse.give();
                let until = purse.place.period.end;
                purse.refuse(&Error::Exhausted { until });
                let place = purse.place.clone();
                self.notice_gone(&place, holders);
            }
            Cut::Closed => self.closed(key, holder),
            Cut::Failed => {
                // An extension with an unknown outcome may have created the grant. `held`
                // stays as it is; the next extension reads the grant from the object.
                purse.give();
                purse.refuse(&Error::Unavailable);
            }
        }
    }

    /// Serves a wallet only if requests wait for it.
    fn serve_waiting(&mut self, key: &Key) {
        if self.purses.get(key).is_some_and(|purse| !purse.waiting.is_empty()) {
            self.serve(key);
        }
    }

    /// Replaces a wallet whose grant was settled by another instance with a
    /// new one.
    fn closed(&mut self, key: &Key, holder: &Holder) {
        if self.purses.get(key).is_none_or(|purse| purse.place.holder != *holder) {
            return;
        }
        let Some(purse) = self.purses.remove(key) else {
            return;
        };
        tracing::warn!(%holder, customer = %key.customer, "grant was settled by another instance");
        self.settle(purse.place);
        for reserve in purse.waiting {
            self.reserve(reserve);
        }
    }

    /// Tracks holders that are not in the membership, to settle their grants
    /// after [`Config::settle_after`].
    fn notice_gone(&mut self, place: &Place, holders: Vec<Holder>) {
        for holder in holders {
            if self.is_alive(&holder) {
                self.gone.remove(&holder);
                continue;
            }
            let place = Place { holder: holder.clone(), ..place.clone() };
            self.gone.entry(holder).or_insert((Instant::now(), place));
        }
    }

    /// Returns whether a holder is a wallet of this run or belongs to a live instance.
    fn is_alive(&self, holder: &Holder) -> bool {
        let origin = &self.config.origin;
        if holder.instance == origin.instance && holder.incarnation == origin.incarnation {
            return self.purses.values().any(|purse| purse.place.holder == *holder);
        }
        self.journal.knows(&holder.instance, holder.incarnation)
    }

    /// Settles grants of holders absent for long enough and maintains all wallets.
    fn tick(&mut self) {
        let now = Instant::now();
        let gone: Vec<Holder> = self.gone.keys().cloned().collect();
        for holder in gone {
            if self.is_alive(&holder) {
                self.gone.remove(&holder);
            } else if let Some((_, place)) =
                self.gone.get(&holder).filter(|(t, _)| now >= *t + self.config.settle_after)
            {
                self.settle(place.clone());
            }
        }
        let keys: Vec<Key> = self.purses.keys().cloned().collect();
        for key in keys {
            self.tend(&key, now);
        }
    }

    /// Closes a wallet that is idle or past its period, and returns what a
    /// wallet in use holds beyond its need.
    fn tend(&mut self, key: &Key, now: Instant) {
        let wall = self.config.clock.now();
        let Some(purse) = self.purses.get_mut(key).filter(|p| !p.busy && p.waiting.is_empty()) else {
            return;
        };
        let over = wall >= purse.place.period.end;
        let idle = now >= purse.wallet.used_at() + self.config.idle_after;
        if (over || idle) && !purse.wallet.in_use() {
            self.end(key);
            return;
        }
        purse.wallet.pass(now);
        let used = now < purse.wallet.used_at() + self.config.tick;
        if used || purse.wallet.available() == Amount::ZERO {
            return self.trim(key);
        }
        // An unused wallet has not read the account for a while. Its holding may by now be
        // most of what other instances are short of.
        purse.busy = true;
        let (place, limit, key) = (purse.place.clone(), purse.budget.amount, key.clone());
        self.jobs.spawn(async move {
            let left = place.left(limit).await;
            Event::Left(key, place.holder, left)
        });
    }

    /// Returns to the account what is available beyond twice the target.
    fn trim(&mut self, key: &Key) {
        let Some(purse) = self.purses.get_mut(key) else {
            return;
        };
        let target = purse.target(&self.config.sizing);
        let excess = purse.wallet.available().saturating_sub(Amount(target.0.saturating_mul(2)));
        if excess == Amount::ZERO {
            return;
        }
        purse.busy = true;
        purse.wallet.take_out(excess);
        let (place, key) = (purse.place.clone(), key.clone());
        self.jobs.spawn(async move {
            place.give_back(excess).await;
            Event::GaveBack(key, place.holder)
        });
    }

    /// Closes a wallet and ends its grant.
    fn end(&mut self, key: &Key) {
        if let Some(purse) = self.purses.remove(key).filter(|purse| purse.held) {
            let (place, spent) = (purse.place, purse.wallet.spent());
            self.jobs.spawn(async move {
                let done = place.end(spent).await;
                Event::Settled(place.holder, done)
            });
        }
    }

    /// Settles a grant from its bills, unless that is already under way.
    fn settle(&mut self, place: Place) {
        if !self.settling.insert(place.holder.clone()) {
            return;
        }
        let journal = self.journal.clone();
        let patience = self.config.settle_patience;
        self.jobs.spawn(async move {
            let done = place.settle(&journal, patience).await;
            Event::Settled(place.holder, done)
        });
    }

    /// Ends all grants. Amounts still reserved count as spent, since their
    /// bills may still arrive.
    fn flush(&mut self, done: oneshot::Sender<bool>) {
        let mut ends = JoinSet::new();
        for (_, mut purse) in self.purses.drain() {
            purse.refuse(&Error::Unavailable);
            let spent = purse.wallet.spent().saturating_add(purse.wallet.reserved());
            if purse.held || purse.busy {
                ends.spawn(async move { purse.place.end(spent).await });
            }
        }
        tokio::spawn(async move {
            let all = ends.join_all().await;
            let _ = done.send(all.into_iter().all(|ended| ended));
        });
    }
}
