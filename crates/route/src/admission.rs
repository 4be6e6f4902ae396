//! Whose request runs next, and which are refused at once.
//!
//! Each customer with waiting work gets the share of the runs that its weight
//! gives it (start-time fair queueing); within one customer the earliest
//! deadline goes first. A request that would not be done by its deadline is
//! refused when it comes, with the time after which it would fit, and not
//! after having waited for nothing.

mod flow;
mod rate;

use std::{collections::HashMap, fmt};

use slotmap::SlotMap;
use world::{Millis, Timestamp, contract::Customer};

use flow::Flow;
use rate::Rate;

slotmap::new_key_type! {
    /// A waiting request within a [`Queue`].
    pub struct Key;
}

/// Most requests that wait at an instance; a bound on memory.
const MAX_WAITING: usize = 10_000;
/// Customers remembered before those with nothing to wait or pay for go.
const MAX_IDLE_FLOWS: usize = 256;
/// Least time a refused caller is told to wait, in milliseconds.
const MIN_RETRY_MS: Millis = 100;
/// Retry times are spread over this share, so that those refused together do
/// not come back together.
const RETRY_SPREAD: u64 = 4;
/// Percent of a run's expected time that a deadline must leave under backlog.
const SPARE_PERCENT: u64 = 160;
/// Priority of a run with time to spare; 0 is the most urgent.
const LEAST_URGENT: u8 = 4;
/// Past use below which a customer counts as idle, in milliseconds.
const NO_USE_MS: f64 = 1.0;
/// Use beyond which a customer's runs go behind the others', in its shares.
const OVER_SHARE: f64 = 1.25;

/// A request that asks to run.
#[derive(Debug, Clone, Copy)]
pub struct Ticket<'a> {
    /// Whose.
    pub customer: &'a Customer,
    /// The contract's weight.
    pub weight: u32,
    /// When it must be done.
    pub deadline: Timestamp,
    /// Expected time of its run, in milliseconds.
    pub run_ms: Millis,
    /// Hash of the request; spreads retry times.
    pub draw: u64,
}

/// A request whose turn has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// Its place, now gone.
    pub key: Key,
    /// Whose.
    pub customer: Customer,
    /// For the engine: 0 highest to 9.
    pub priority: u8,
    /// Time it waited, in milliseconds.
    pub waited_ms: Millis,
    /// What its run was expected to take, in milliseconds.
    pub run_ms: Millis,
}

/// Why a request may not wait. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// What stands against it.
    pub cause: Cause,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Millis,
}

/// What stands against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It would not be done by its deadline.
    Deadline {
        /// Expected wait in the queue.
        wait_ms: Millis,
        /// Time left.
        left_ms: Millis,
    },
    /// Too many wait.
    Full,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.cause {
            Cause::Deadline { wait_ms, left_ms } => write!(
                f,
                "would wait {wait_ms} ms and has {left_ms} ms left; come back in {} ms or allow more time",
                self.retry_after_ms
            ),
            Cause::Full => write!(f, "too many requests wait; come back in {} ms", self.retry_after_ms),
        }
    }
}

impl std::error::Error for Refusal {}

/// One waiting request.
#[derive(Debug)]
struct Waiting {
    customer: Customer,
    deadline: Timestamp,
    since: Timestamp,
    run_ms: Millis,
    draw: u64,
}

/// Requests that wait for a run, and the count of those that run.
#[derive(Debug)]
pub struct Queue {
    limit: u32,
    running: u32,
    flows: HashMap<Customer, Flow>,
    waiting: SlotMap<Key, Waiting>,
    virtual_time: f64,
    rate: Rate,
}

impl Queue {
    /// An empty queue before `limit` runs at a time.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit: limit.max(1),
            running: 0,
            flows: HashMap::new(),
            waiting: SlotMap::with_key(),
            virtual_time: 0.0,
            rate: Rate::default(),
        }
    }

    /// Changes how many may run at a time.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Takes a request in, or refuses it at once.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; the request has not run and does not wait.
    pub fn offer(&mut self, ticket: &Ticket<'_>, now: Timestamp) -> Result<Key, Refusal> {
        let left_ms = ticket.deadline.since(now);
        let wait_ms = self.wait(ticket);
        let late_by = (wait_ms + self.run_ms(ticket.run_ms)).saturating_sub(left_ms);
        if late_by > 0 {
            return Err(refusal(Cause::Deadline { wait_ms, left_ms }, late_by, ticket.draw));
        }
        if self.waiting.len() >= MAX_WAITING {
            return Err(refusal(Cause::Full, wait_ms, ticket.draw));
        }
        let waiting = Waiting {
            customer: ticket.customer.clone(),
            deadline: ticket.deadline,
            since: now,
            run_ms: ticket.run_ms,
            draw: ticket.draw,
        };
        let key = self.waiting.insert(waiting);
        if self.flows.len() >= MAX_IDLE_FLOWS {
            let present = self.virtual_time;
            self.flows.retain(|_, flow| !flow.is_empty() || flow.start() > present || flow.used(now) > NO_USE_MS);
        }
        let flow = self.flows.entry(ticket.customer.clone()).or_default();
        flow.push(key, ticket, self.virtual_time);
        Ok(key)
    }

    /// The next request to run, when one may.
    ///
    /// Each is to be ended with [`Queue::finished`]. One that would be late is
    /// never given out; it waits for [`Queue::shed`].
    pub fn next(&mut self, now: Timestamp) -> Option<Admitted> {
        if self.running >= self.limit {
            return None;
        }
        let in_time = |key: &Key| self.waiting.get(*key).is_some_and(|w| w.deadline.since(now) >= w.run_ms);
        let firsts = self.flows.iter().filter_map(|(id, flow)| Some((id, flow.start(), flow.first(in_time)?)));
        let (customer, start, key) = firsts.min_by(|(a, x, _), (b, y, _)| x.total_cmp(y).then(a.cmp(b)))?;

        let customer = customer.clone();
        let waiting = self.waiting.remove(key)?;
        let flow = self.flows.get_mut(&customer)?;
        self.virtual_time = self.virtual_time.max(start);
        flow.remove(key, waiting.deadline);
        flow.charge(waiting.run_ms, start, now);
        self.running += 1;
        let slack_ms = waiting.deadline.since(now).saturating_sub(waiting.run_ms);
        let priority = self.priority(&customer, slack_ms, waiting.run_ms, now);
        let waited_ms = now.since(waiting.since);
        Some(Admitted { key, customer, priority, waited_ms, run_ms: waiting.run_ms })
    }

    /// Ends a run that [`Queue::next`] gave out.
    pub fn finished(&mut self, now: Timestamp) {
        self.running = self.running.saturating_sub(1);
        self.rate.finished(!self.waiting.is_empty(), now);
    }

    /// Takes a waiting request out, when its caller has gone.
    pub fn cancel(&mut self, key: Key) -> bool {
        let Some(waiting) = self.waiting.remove(key) else { return false };
        if let Some(flow) = self.flows.get_mut(&waiting.customer) {
            flow.remove(key, waiting.deadline);
        }
        true
    }

    /// Takes out every request that can no longer meet its deadline.
    ///
    /// An earlier deadline may have come in before them, or runs may have
    /// become slower; they are told now and not at their deadline.
    pub fn shed(&mut self, now: Timestamp) -> Vec<(Key, Refusal)> {
        let late = |w: &Waiting| {
            let left_ms = w.deadline.since(now);
            let late_by = self.run_ms(w.run_ms).saturating_sub(left_ms);
            (late_by > 0).then(|| refusal(Cause::Deadline { wait_ms: 0, left_ms }, late_by, w.draw))
        };
        let late: Vec<_> = self.waiting.iter().filter_map(|(key, w)| late(w).map(|refusal| (key, refusal))).collect();
        for (key, _) in &late {
            self.cancel(*key);
        }
        late
    }

    /// Expected wait of a request that came now, in milliseconds.
    ///
    /// The runs ahead of it are its own customer's with earlier deadlines, at
    /// the rate of its share; never more than all that waits.
    fn wait(&self, ticket: &Ticket<'_>) -> Millis {
        if self.running < self.limit && self.waiting.is_empty() {
            return 0;
        }
        let active = self.flows.iter().filter(|(id, flow)| !flow.is_empty() && *id != ticket.customer);
        let others: u64 = active.map(|(_, flow)| u64::from(flow.weight())).sum();
        let mine = u64::from(ticket.weight.max(1));
        let ahead = self.flows.get(ticket.customer).map_or(0, |flow| flow.ahead(ticket.deadline));
        let by_share = (ahead + 1).saturating_mul(mine + others) / mine;
        let turns = by_share.min(self.waiting.len() as u64 + 1);
        self.rate.time(turns).unwrap_or_else(|| turns * ticket.run_ms / u64::from(self.limit))
    }

    /// Time from the turn to the answer that a deadline must leave.
    ///
    /// What the caller expects is the time of a run alone. Under backlog the
    /// engines are full and runs differ; let in by the expected time, half of
    /// the last ones would be run and come too late to be of use.
    fn run_ms(&self, expected_ms: Millis) -> Millis {
        if self.waiting.is_empty() && self.running < self.limit {
            return expected_ms;
        }
        expected_ms * SPARE_PERCENT / 100
    }

    /// Priority for the engine: by slack, and behind everybody's for who has
    /// had more than its share of late.
    ///
    /// Engines rank among all instances' runs. Without the second part a flood
    /// that is over its share here would stand in an engine's queue before a
    /// small customer's single run.
    fn priority(&self, customer: &Customer, slack_ms: Millis, run_ms: Millis, now: Timestamp) -> u8 {
        let urgency = u8::try_from(slack_ms / run_ms.max(1)).unwrap_or(u8::MAX).min(LEAST_URGENT);
        let used: f64 = self.flows.values().map(|flow| flow.used(now)).sum();
        let weights: u32 = self.flows.values().filter(|flow| flow.used(now) > NO_USE_MS).map(Flow::weight).sum();
        let over = self
            .flows
            .get(customer)
            .is_some_and(|flow| flow.used(now) * f64::from(weights) > OVER_SHARE * used * f64::from(flow.weight()));
        if over { urgency + LEAST_URGENT + 1 } else { urgency }
    }
}

fn refusal(cause: Cause, after_ms: Millis, draw: u64) -> Refusal {
    let after_ms = after_ms.max(MIN_RETRY_MS);
    let spread = draw % (after_ms / RETRY_SPREAD + 1);
    Refusal { cause, retry_after_ms: after_ms + spread }
}
