//! Decides which request runs next and which are refused immediately.
//!
//! Each customer with waiting requests receives a share of the runs proportional to
//! its weight (start-time fair queueing). Within one customer, the earliest deadline
//! goes first. A request that would not finish by its deadline is refused on arrival,
//! with a time after which to retry, instead of waiting in vain.
//!
//! A queue limits either the number of runs at a time ([`Queue::new`]) or the cost of the
//! runs that start in a time ([`Queue::paced`]). In the second case a customer's requests
//! are ordered by rank, then by deadline, then by size ([`Order`]); [`share`] divides the
//! capacity among customers and instances, and [`demand`], [`capacity`] and [`bucket`]
//! measure and pace it.

pub mod bucket;
pub mod capacity;
pub mod demand;
mod flow;
mod order;
mod position;
mod rate;
mod refusal;
pub mod share;

use std::collections::HashMap;

use slotmap::SlotMap;
use world::{Millis, Timestamp, contract::Customer};

use flow::{Flow, Place};
use order::Fit;
pub use order::{Order, Pace};
pub use position::Position;
use rate::CompletionRate;
use refusal::refusal;
pub use refusal::{Cause, Refusal};

slotmap::new_key_type! {
    /// Key of a waiting request in a [`Queue`].
    pub struct Key;
}

/// Maximum number of waiting requests in a queue, to bound memory.
const MAX_WAITING_REQUESTS: usize = 10_000;
/// Number of customers at which idle ones are removed from a queue.
const MIN_FLOWS_FOR_CLEANUP: usize = 256;
/// Time that must be left until the deadline under backlog, in percent of the expected
/// duration of the run.
const BACKLOG_RUN_PERCENT: u64 = 160;
/// Largest priority value that slack alone gives; 0 is the most urgent.
const MAX_SLACK_PRIORITY: u8 = 4;
/// Recent usage up to which a customer counts as idle, in milliseconds of run time.
const MAX_IDLE_USAGE_MS: f64 = 1.0;
/// Multiple of its fair share beyond which a customer's runs get a lower priority
/// than those of others.
const OVER_SHARE_FACTOR: f64 = 1.25;

/// A request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Ticket<'a> {
    /// Customer that sent the request.
    pub customer: &'a Customer,
    /// Weight from the customer's contract.
    pub weight: u32,
    /// Deadline of the answer.
    pub deadline: Timestamp,
    /// Expected duration of its run, in milliseconds.
    pub run_ms: Millis,
    /// Hash of the request; used to spread retry times.
    pub draw: u64,
}

/// A request that may run now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// Key that it had in the queue; no longer valid.
    pub key: Key,
    /// Customer that sent the request.
    pub customer: Customer,
    /// Priority for the engine, from 0 (highest) to 9.
    pub priority: u8,
    /// Time it spent in the queue, in milliseconds.
    pub waited_ms: Millis,
    /// Expected duration of its run, in milliseconds.
    pub run_ms: Millis,
}

/// A waiting request.
#[derive(Debug, Clone)]
struct WaitingRequest {
    customer: Customer,
    deadline: Timestamp,
    arrived_at: Timestamp,
    run_ms: Millis,
    /// Expected time in the queue on arrival, in milliseconds.
    wait_ms: Millis,
    draw: u64,
    order: Order,
}

/// Requests that wait to run, and the number of running ones.
#[derive(Debug, Clone)]
pub struct Queue {
    limit: u32,
    /// Rate at which cost may start, if that is what limits the runs.
    pace: Option<Pace>,
    running: u32,
    flows: HashMap<Customer, Flow>,
    waiting: SlotMap<Key, WaitingRequest>,
    /// Sum of the costs of the waiting requests.
    waiting_cost: f64,
    virtual_time: f64,
    rate: CompletionRate,
}

impl Queue {
    /// Returns an empty queue that lets at most `limit` requests run at a time.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit: limit.max(1),
            pace: None,
            running: 0,
            flows: HashMap::new(),
            waiting: SlotMap::with_key(),
            waiting_cost: 0.0,
            virtual_time: 0.0,
            rate: CompletionRate::default(),
        }
    }

    /// Returns an empty queue that lets cost start at a rate, whatever the number of runs. The
    /// caller decides when the next request may run.
    #[must_use]
    pub fn paced() -> Self {
        Self { pace: Some(Pace::default()), ..Self::new(u32::MAX) }
    }

    /// Changes the rate at which cost may start.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = Some(pace);
    }

    /// Changes the maximum number of requests that run at a time.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Adds a request to the queue, or refuses it immediately.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`]; the request has not run and is not in the queue.
    pub fn offer(&mut self, ticket: &Ticket<'_>, now: Timestamp) -> Result<Key, Refusal> {
        self.offer_ordered(ticket, Order::default(), now)
    }

    /// Adds a request with its place among those of its customer, or refuses it immediately.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`]; the request has not run and is not in the queue.
    pub fn offer_ordered(&mut self, ticket: &Ticket<'_>, order: Order, now: Timestamp) -> Result<Key, Refusal> {
        let left_ms = order.latest_end.unwrap_or(ticket.deadline).since(now);
        let wait_ms = match self.pace {
            Some(pace) => self.paced_wait_ms(ticket, order, pace),
            None => self.expected_wait_ms(ticket),
        };
        let late_by = (wait_ms + self.required_ms(ticket.run_ms)).saturating_sub(left_ms);
        if late_by > 0 {
            return Err(refusal(Cause::Deadline { wait_ms, left_ms }, late_by, ticket.draw));
        }
        if self.waiting.len() >= MAX_WAITING_REQUESTS {
            return Err(refusal(Cause::Full, wait_ms, ticket.draw));
        }
        let waiting = WaitingRequest {
            customer: ticket.customer.clone(),
            deadline: ticket.deadline,
            arrived_at: now,
            run_ms: ticket.run_ms,
            wait_ms,
            draw: ticket.draw,
            order,
        };
        let key = self.waiting.insert(waiting);
        self.waiting_cost += order.cost;
        if self.flows.len() >= MIN_FLOWS_FOR_CLEANUP {
            let virtual_time = self.virtual_time;
            self.flows.retain(|_, flow| {
                !flow.is_empty() || flow.start() > virtual_time || flow.recent_usage_ms(now) > MAX_IDLE_USAGE_MS
            });
        }
        let flow = self.flows.entry(ticket.customer.clone()).or_default();
        flow.push(place(ticket.deadline, order, key), ticket.weight, self.virtual_time, self.pace.is_some());
        Ok(key)
    }

    /// Removes and returns the next request to run, if one may run now.
    ///
    /// The caller must report the end of each run with [`Queue::record_finish`]. A request
    /// that would finish late is never returned; [`Queue::shed`] removes it.
    pub fn next(&mut self, now: Timestamp) -> Option<Admitted> {
        if self.running >= self.limit {
            return None;
        }
        let fit = |key: Key| self.waiting.get(key).map_or(Fit::Never, |w| w.order.fit(w.deadline, w.run_ms, now));
        let is_bounded = self.pace.is_some();
        let next = |flow: &Flow| flow.next(fit, is_bounded);
        let candidates = self.flows.iter().filter_map(|(id, flow)| Some((id, flow.start(), next(flow)?)));
        let (customer, start, key) = candidates.min_by(|(a, x, _), (b, y, _)| x.total_cmp(y).then(a.cmp(b)))?;

        let customer = customer.clone();
        let waiting = self.take(key)?;
        let flow = self.flows.get_mut(&customer)?;
        self.virtual_time = self.virtual_time.max(start);
        flow.count_passes(key);
        flow.remove(place(waiting.deadline, waiting.order, key));
        let amount = if is_bounded { waiting.order.cost } else { as_f64(waiting.run_ms.max(1)) };
        flow.charge(amount, start, now);
        if !is_bounded {
            self.running += 1;
        }
        let slack_ms = waiting.deadline.since(now).saturating_sub(waiting.run_ms);
        let priority = self.priority(&customer, slack_ms, waiting.run_ms, now);
        let waited_ms = now.since(waiting.arrived_at);
        Some(Admitted { key, customer, priority, waited_ms, run_ms: waiting.run_ms })
    }

    /// Records the end of a run that [`Queue::next`] returned.
    pub fn record_finish(&mut self, now: Timestamp) {
        self.running = self.running.saturating_sub(1);
        self.rate.record_finish(!self.waiting.is_empty(), now);
    }

    /// Removes a waiting request whose caller has disconnected. Returns false if it is
    /// no longer in the queue.
    pub fn cancel(&mut self, key: Key) -> bool {
        let Some(waiting) = self.take(key) else { return false };
        if let Some(flow) = self.flows.get_mut(&waiting.customer) {
            flow.remove(place(waiting.deadline, waiting.order, key));
        }
        true
    }

    /// Removes a waiting request, but not its place among those of its customer.
    fn take(&mut self, key: Key) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(key)?;
        // Rounding errors must not outlast the requests.
        self.waiting_cost = if self.waiting.is_empty() { 0.0 } else { self.waiting_cost - waiting.order.cost };
        Some(waiting)
    }

    /// Removes and returns all requests that can no longer meet their deadline.
    ///
    /// A request with an earlier deadline may have overtaken them, or runs may have
    /// become slower. They are refused now instead of at their deadline.
    pub fn shed(&mut self, now: Timestamp) -> Vec<(Key, Refusal)> {
        let late = |w: &WaitingRequest| {
            let left_ms = w.deadline.since(now);
            let late_by = self.required_ms(w.run_ms).saturating_sub(left_ms);
            (late_by > 0).then(|| refusal(Cause::Deadline { wait_ms: 0, left_ms }, late_by, w.draw))
        };
        let late: Vec<_> = self.waiting.iter().filter_map(|(key, w)| late(w).map(|refusal| (key, refusal))).collect();
        for (key, _) in &late {
            self.cancel(*key);
        }
        late
    }

    /// Returns the expected time in the queue of a request that arrives now, in
    /// milliseconds.
    ///
    /// The number of runs ahead of it is the number of its own customer's requests
    /// with earlier deadlines, divided by the customer's share of the runs, but at
    /// most the number of all waiting requests.
    fn expected_wait_ms(&self, ticket: &Ticket<'_>) -> Millis {
        if self.running < self.limit && self.waiting.is_empty() {
            return 0;
        }
        let active = self.flows.iter().filter(|(id, flow)| !flow.is_empty() && *id != ticket.customer);
        let other_weights: u64 = active.map(|(_, flow)| u64::from(flow.weight())).sum();
        let own_weight = u64::from(ticket.weight.max(1));
        let ahead = self.flows.get(ticket.customer).map_or(0, |flow| flow.count_ahead(ticket.deadline));
        let by_share = (ahead + 1).saturating_mul(own_weight + other_weights) / own_weight;
        let turns = by_share.min(self.waiting.len() as u64 + 1);
        self.rate.time_for(turns).unwrap_or_else(|| turns * ticket.run_ms / u64::from(self.limit))
    }

    /// Returns the expected time in the queue of a request that arrives now at a paced queue,
    /// in milliseconds.
    ///
    /// The cost ahead of it is that of its customer's requests that go first, divided by the
    /// customer's share of the rate, but at most that of all waiting requests. Requests of its
    /// rank have a rate of their own where higher ranks leave them only a part of the share.
    fn paced_wait_ms(&self, ticket: &Ticket<'_>, order: Order, pace: Pace) -> Millis {
        let cost = |key: Key| self.waiting.get(key).map_or(0.0, |w| w.order.cost);
        let active = self.flows.iter().filter(|(id, flow)| !flow.is_empty() && *id != ticket.customer);
        let other_weights: f64 = active.map(|(_, flow)| f64::from(flow.weight())).sum();
        let own_weight = f64::from(ticket.weight.max(1));
        let here = place(ticket.deadline, order, Key::default());
        let flow = self.flows.get(ticket.customer);
        let ahead = flow.map_or(0.0, |flow| flow.cost_ahead(here, cost));
        let by_share = (ahead * (own_weight + other_weights) / own_weight).min(self.waiting_cost);
        let by_rank = flow.map_or(0.0, |flow| flow.cost_of_rank(order.rank, cost));
        let by_rank_ms = order.rank_per_ms.map_or(0.0, |per_ms| by_rank / per_ms.max(f64::MIN_POSITIVE));
        to_millis(((by_share + pace.debt) / pace.per_ms.max(f64::MIN_POSITIVE)).max(by_rank_ms))
    }

    /// Returns the time between the start of a run and the deadline that admission
    /// requires, in milliseconds.
    ///
    /// The expected duration is that of a run on an idle engine. Under backlog the
    /// engines are full and durations vary. If the expected duration sufficed for
    /// admission, half of the requests that only just fit would run and finish too
    /// late.
    fn required_ms(&self, expected_ms: Millis) -> Millis {
        let is_idle = self.pace.is_none_or(|pace| pace.debt <= 0.0) && self.running < self.limit;
        if self.waiting.is_empty() && is_idle {
            return expected_ms;
        }
        expected_ms * BACKLOG_RUN_PERCENT / 100
    }

    /// Returns the priority for the engine: by slack, and lower than all others for
    /// customers that recently used more than their share.
    ///
    /// Engines order the runs of all instances by priority. If it depended on slack
    /// only, a flood of runs of a customer over its share would precede a single run
    /// of a small customer in the queue of an engine.
    fn priority(&self, customer: &Customer, slack_ms: Millis, run_ms: Millis, now: Timestamp) -> u8 {
        let slack_priority = u8::try_from(slack_ms / run_ms.max(1)).unwrap_or(u8::MAX).min(MAX_SLACK_PRIORITY);
        let recent_usage_ms: f64 = self.flows.values().map(|flow| flow.recent_usage_ms(now)).sum();
        let weights: u32 =
            self.flows.values().filter(|flow| flow.recent_usage_ms(now) > MAX_IDLE_USAGE_MS).map(Flow::weight).sum();
        let over = self.flows.get(customer).is_some_and(|flow| {
            flow.recent_usage_ms(now) * f64::from(weights)
                > OVER_SHARE_FACTOR * recent_usage_ms * f64::from(flow.weight())
        });
        if over { slack_priority + MAX_SLACK_PRIORITY + 1 } else { slack_priority }
    }
}

/// Returns a request's place among those of its customer.
fn place(deadline: Timestamp, order: Order, key: Key) -> Place {
    Place { rank: order.rank, deadline, size: order.size, key }
}

#[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 milliseconds")]
fn as_f64(millis: Millis) -> f64 {
    millis as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
fn to_millis(millis: f64) -> Millis {
    millis.clamp(0.0, 1e12).ceil() as Millis
}
