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
    escrow::{Escrow, Reserve},
    grant::{Client, Extension},
    period::Period,
    wallet::Wallet,
};

/// Shortest time between two extensions ahead of demand, and time for which
/// an exhausted account is assumed to stay so. Without it, every request near the
/// end of a budget would cost a read or write.
const TOP_UP_INTERVAL: Duration = Duration::from_secs(1);

/// A message to the budget task.
#[derive(Debug)]
pub(crate) enum Message {
    /// Reserves money for a request.
    Reserve(Reserve),
    /// Ends a reservation of `ceiling`, of which `actual` was spent.
    Commit { customer: Customer, grant: Grant, ceiling: Amount, actual: Amount },
    /// A bill was rejected because its grant had been settled by another
    /// instance.
    GrantClosed { customer: Customer, grant: Grant },
    /// Returns all grants and replies whether all were returned.
    Flush(oneshot::Sender<bool>),
    /// Asks for the unspent and unreserved amount held for a customer.
    Unspent(Customer, oneshot::Sender<Amount>),
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
    /// An extension of the holder's grant has ended.
    Extended(Key, Holder, Extension),
    /// The amount left to grant was read, if the platform responded.
    RemainingRead(Key, Holder, Option<Amount>),
    /// Returning excess money has ended.
    Returned(Key, Holder),
    /// Ending or settling a grant has ended; true if the grant is ended.
    Settled(Holder, bool),
}

/// The budget task.
pub(crate) struct Task {
    config: Config,
    platform: store::Handle,
    journal: journal::Handle,
    escrows: HashMap<Key, Escrow>,
    /// Epoch of the next wallet's holder.
    epoch: u32,
    /// Holders that are not in the membership: when each was first seen absent,
    /// and a client for its grant.
    absent: HashMap<Holder, (Instant, Client)>,
    /// Holders whose grants are being settled.
    settling: HashSet<Holder>,
    jobs: JoinSet<Event>,
}

impl Task {
    pub fn new(config: Config, platform: store::Handle, journal: journal::Handle) -> Self {
        Self {
            config,
            platform,
            journal,
            escrows: HashMap::new(),
            epoch: 0,
            absent: HashMap::new(),
            settling: HashSet::new(),
            jobs: JoinSet::new(),
        }
    }

    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = interval(self.config.maintenance_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(Message::Flush(done)) => self.flush(done),
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some(Ok(event)) = self.jobs.join_next() => self.on_event(event),
                _ = ticks.tick() => self.run_maintenance(),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Reserve(reserve) => self.reserve(reserve),
            Message::Commit { customer, grant, ceiling, actual } => {
                let key = Key { customer, period: grant.period };
                if let Some(escrow) = self.escrows.get_mut(&key).filter(|escrow| escrow.client.holder == grant.holder) {
                    escrow.wallet.commit(ceiling, actual, Instant::now());
                }
            }
            Message::GrantClosed { customer, grant } => {
                self.on_grant_closed(&Key { customer, period: grant.period }, &grant.holder);
            }
            Message::Unspent(customer, reply) => {
                let own = self.escrows.iter().filter(|(key, _)| key.customer == customer);
                let sum = own.fold(Amount::ZERO, |sum, (_, escrow)| sum.saturating_add(escrow.wallet.available()));
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
        if self.escrows.get(&key).is_some_and(|escrow| escrow.client.period != period) {
            self.close(&key);
        }
        if !self.escrows.contains_key(&key) {
            let escrow = self.new_escrow(&reserve, period);
            self.escrows.insert(key.clone(), escrow);
        }
        let Some(escrow) = self.escrows.get_mut(&key) else {
            return;
        };
        escrow.budget = reserve.budget;
        escrow.last_ceiling = reserve.ceiling;
        escrow.waiting.push_back(reserve);
        self.serve(&key);
    }

    /// Creates an empty wallet with a holder of its own. What an earlier
    /// wallet of the same customer spent is already settled; under the same
    /// holder its bills would be counted again.
    fn new_escrow(&mut self, reserve: &Reserve, period: Period) -> Escrow {
        let holder = Holder {
            instance: self.config.origin.instance.clone(),
            incarnation: self.config.origin.incarnation,
            epoch: self.epoch,
        };
        self.epoch += 1;
        let platform = self.platform.within(self.config.platform_timeout);
        Escrow {
            client: Client {
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
            has_grant: false,
            last_ceiling: reserve.ceiling,
            remaining: Amount::ZERO,
            next_top_up: Instant::now(),
            exhausted: None,
        }
    }

    /// Reserves for waiting requests in order, and starts an extension of the
    /// grant if they need more or the available amount is low.
    fn serve(&mut self, key: &Key) {
        let Some(escrow) = self.escrows.get_mut(key) else {
            return;
        };
        escrow.reserve_waiting();
        escrow.refuse_if_exhausted();
        let now = Instant::now();
        let low = escrow.wallet.available() < Amount(escrow.target(&self.config.sizing).0 / 2);
        let top_up = low && now >= escrow.next_top_up;
        if escrow.busy || (escrow.waiting.is_empty() && !top_up) {
            return;
        }
        escrow.busy = true;
        escrow.next_top_up = now + TOP_UP_INTERVAL;
        let request = escrow.extension_request(self.config.sizing);
        let (client, key) = (escrow.client.clone(), key.clone());
        self.jobs.spawn(async move {
            let extension = client.extend(request).await;
            Event::Extended(key, client.holder, extension)
        });
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Extended(key, holder, extension) => self.on_extension(&key, &holder, extension),
            Event::RemainingRead(key, holder, remaining) => {
                if let Some(escrow) = self.escrows.get_mut(&key).filter(|escrow| escrow.client.holder == holder) {
                    escrow.busy = false;
                    escrow.remaining = remaining.unwrap_or(escrow.remaining);
                    self.return_excess(&key);
                    self.serve_waiting(&key);
                }
            }
            Event::Returned(key, holder) => {
                if let Some(escrow) = self.escrows.get_mut(&key).filter(|escrow| escrow.client.holder == holder) {
                    escrow.busy = false;
                    self.serve_waiting(&key);
                }
            }
            Event::Settled(holder, done) => {
                self.settling.remove(&holder);
                if done {
                    self.absent.remove(&holder);
                }
            }
        }
    }

    /// Handles the result of an extension.
    fn on_extension(&mut self, key: &Key, holder: &Holder, extension: Extension) {
        let Some(escrow) = self.escrows.get_mut(key).filter(|escrow| escrow.client.holder == *holder) else {
            return;
        };
        escrow.busy = false;
        match extension {
            Extension::Granted { grant, remaining, holders } => {
                escrow.has_grant = true;
                escrow.remaining = remaining;
                escrow.wallet.set_granted(grant);
                escrow.reserve_waiting();
                let client = escrow.client.clone();
                self.track_absent(&client, holders);
                self.serve_waiting(key);
            }
            Extension::Exhausted { grant, remaining, holders } => {
                escrow.remaining = remaining;
                escrow.exhausted = Some((remaining, Instant::now() + TOP_UP_INTERVAL));
                escrow.wallet.set_granted(grant);
                escrow.reserve_waiting();
                let until = escrow.client.period.end;
                escrow.refuse(&Error::Exhausted { until });
                let client = escrow.client.clone();
                self.track_absent(&client, holders);
            }
            Extension::Closed => self.on_grant_closed(key, holder),
            Extension::Failed => {
                // An extension with an unknown outcome may have created the grant. `has_grant`
                // stays as it is; the next extension reads the grant from the object.
                escrow.reserve_waiting();
                escrow.refuse(&Error::Unavailable);
            }
        }
    }

    /// Serves a wallet if requests are waiting for it.
    fn serve_waiting(&mut self, key: &Key) {
        if self.escrows.get(key).is_some_and(|escrow| !escrow.waiting.is_empty()) {
            self.serve(key);
        }
    }

    /// Replaces a wallet whose grant was settled by another instance with a
    /// new one.
    fn on_grant_closed(&mut self, key: &Key, holder: &Holder) {
        if self.escrows.get(key).is_none_or(|escrow| escrow.client.holder != *holder) {
            return;
        }
        let Some(escrow) = self.escrows.remove(key) else {
            return;
        };
        tracing::warn!(%holder, customer = %key.customer, "grant was settled by another instance");
        self.settle(escrow.client);
        for reserve in escrow.waiting {
            self.reserve(reserve);
        }
    }

    /// Tracks holders that are not in the membership, to settle their grants
    /// after [`Config::settle_after`].
    fn track_absent(&mut self, client: &Client, holders: Vec<Holder>) {
        for holder in holders {
            if self.is_alive(&holder) {
                self.absent.remove(&holder);
                continue;
            }
            let client = Client { holder: holder.clone(), ..client.clone() };
            self.absent.entry(holder).or_insert((Instant::now(), client));
        }
    }

    /// Returns whether a holder is one of this incarnation's open wallets or belongs to an
    /// instance in the membership.
    fn is_alive(&self, holder: &Holder) -> bool {
        let origin = &self.config.origin;
        if holder.instance == origin.instance && holder.incarnation == origin.incarnation {
            return self.escrows.values().any(|escrow| escrow.client.holder == *holder);
        }
        self.journal.knows(&holder.instance, holder.incarnation)
    }

    /// Settles grants of holders absent for long enough and maintains all wallets.
    fn run_maintenance(&mut self) {
        let now = Instant::now();
        let absent: Vec<Holder> = self.absent.keys().cloned().collect();
        for holder in absent {
            if self.is_alive(&holder) {
                self.absent.remove(&holder);
            } else if let Some((_, client)) =
                self.absent.get(&holder).filter(|(since, _)| now >= *since + self.config.settle_after)
            {
                self.settle(client.clone());
            }
        }
        let keys: Vec<Key> = self.escrows.keys().cloned().collect();
        for key in keys {
            self.maintain(&key, now);
        }
    }

    /// Closes a wallet that is idle or past its period and has nothing reserved;
    /// returns the excess money of any other to the account.
    fn maintain(&mut self, key: &Key, now: Instant) {
        let wall = self.config.clock.now();
        let Some(escrow) = self.escrows.get_mut(key).filter(|escrow| !escrow.busy && escrow.waiting.is_empty()) else {
            return;
        };
        let has_ended = wall >= escrow.client.period.end;
        let idle = now >= escrow.wallet.used_at() + self.config.idle_after;
        if (has_ended || idle) && !escrow.wallet.in_use() {
            self.close(key);
            return;
        }
        escrow.wallet.decay_rate(now);
        let recently_used = now < escrow.wallet.used_at() + self.config.maintenance_interval;
        if recently_used || escrow.wallet.available() == Amount::ZERO {
            return self.return_excess(key);
        }
        // An unused wallet has not read the account for a while. By now other instances may
        // need the money that it holds.
        escrow.busy = true;
        let (client, limit, key) = (escrow.client.clone(), escrow.budget.amount, key.clone());
        self.jobs.spawn(async move {
            let remaining = client.remaining(limit).await;
            Event::RemainingRead(key, client.holder, remaining)
        });
    }

    /// Returns to the account what is available beyond twice the target.
    fn return_excess(&mut self, key: &Key) {
        let Some(escrow) = self.escrows.get_mut(key) else {
            return;
        };
        let target = escrow.target(&self.config.sizing);
        let excess = escrow.wallet.available().saturating_sub(Amount(target.0.saturating_mul(2)));
        if excess == Amount::ZERO {
            return;
        }
        escrow.busy = true;
        escrow.wallet.remove_unspent(excess);
        let (client, key) = (escrow.client.clone(), key.clone());
        self.jobs.spawn(async move {
            client.return_unspent(excess).await;
            Event::Returned(key, client.holder)
        });
    }

    /// Closes a wallet and ends its grant.
    fn close(&mut self, key: &Key) {
        if let Some(escrow) = self.escrows.remove(key).filter(|escrow| escrow.has_grant) {
            let (client, spent) = (escrow.client, escrow.wallet.spent());
            self.jobs.spawn(async move {
                let done = client.end(spent).await;
                Event::Settled(client.holder, done)
            });
        }
    }

    /// Settles a grant from its bills, unless that is already in progress.
    fn settle(&mut self, client: Client) {
        if !self.settling.insert(client.holder.clone()) {
            return;
        }
        let journal = self.journal.clone();
        let timeout = self.config.settle_timeout;
        self.jobs.spawn(async move {
            let done = client.settle(&journal, timeout).await;
            Event::Settled(client.holder, done)
        });
    }

    /// Ends all grants. Amounts still reserved count as spent, since their
    /// bills may still arrive.
    fn flush(&mut self, done: oneshot::Sender<bool>) {
        let mut ends = JoinSet::new();
        for (_, mut escrow) in self.escrows.drain() {
            escrow.refuse(&Error::Unavailable);
            let spent = escrow.wallet.spent().saturating_add(escrow.wallet.reserved());
            if escrow.has_grant || escrow.busy {
                ends.spawn(async move { escrow.client.end(spent).await });
            }
        }
        tokio::spawn(async move {
            let all = ends.join_all().await;
            let _ = done.send(all.into_iter().all(|ended| ended));
        });
    }
}
