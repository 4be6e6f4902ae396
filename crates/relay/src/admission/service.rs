//! State of admission at one service.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use route::{
    admission::{
        Key, Order, Pace, Queue, Refusal, Ticket,
        bucket::Bucket,
        capacity::{Correction, RunTime},
        demand::{Class, Demands, Summary},
        share::{self, Demand, Division, Grant},
    },
    relay::content::Content,
};
use tokio::sync::oneshot;
use world::{Timestamp, contract::Customer};

use super::{
    entry::{Entry, Refused, Supply},
    metrics,
    permit::{Observation, Pass},
    refusals::Refusals,
    remote::{Remote, Remotes},
};
use crate::{clock, dispatcher::fleet::short_hash};

/// Time for which the capacity of a service's endpoints is not computed anew; it takes a look at
/// all of them.
const SUPPLY_AGE: Duration = Duration::from_millis(100);

/// Time between divisions of the capacity. Demands change little meanwhile.
const DIVISION_AGE: Duration = Duration::from_millis(20);

/// Time between updates of the metrics.
const METRICS_AGE: Duration = Duration::from_secs(1);

/// Usual wait at the endpoints of a busy service, as a fraction of a run's time, and at most a
/// fraction of the route's target time. Endpoints need some requests in their queues to be busy all
/// the time; with more, requests of teams within their shares find them full.
const USUAL_WAIT_OF_RUN: f64 = 0.8;
const USUAL_WAIT_OF_TARGET: f64 = 1.0 / 6.0;

/// Least usual wait, in milliseconds: shorter ones cannot be told from the network's.
const MIN_USUAL_WAIT_MS: f64 = 5.0;

/// Demand over capacity above which runs are likely to have waited at their endpoints.
const CROWDED_ABOVE: f64 = 0.7;

/// Part of the time until its target by which a request has to be expected to end, or it does not
/// wait. The rest is for shares that shrink while it waits: a request that was let wait should be
/// served, and its target time kept.
const QUEUED_PART_OF_TARGET: f64 = 0.6;

/// Demand over capacity below which the queue is taken to empty, so that requests may wait until
/// their deadlines.
const DRAINING_BELOW: f64 = 0.9;

/// Part of the capacity by which waiting requests are served at least after an overload.
const MIN_DRAIN_RATE: f64 = 0.1;

/// Units of the weights of teams in the queue, which are whole numbers.
const WEIGHT_SCALE: f64 = 1e6;

/// Number by which the priority of teams above their shares is greater, and so lower.
const PRIORITY_STEP: u8 = 5;

/// Weight of a request in the usual cost.
const USUAL_COST_WEIGHT: f64 = 0.05;

/// Maximum number of kinds of runs whose times are told to other instances.
const MAX_TOLD_KINDS: usize = 16;

/// Maximum number of kinds of runs whose times are learned.
const MAX_KINDS: usize = 1_024;

/// What is known of the fleet of instances.
#[derive(Debug, Clone, Copy)]
pub(super) struct Fleet {
    /// Number of instances, this one included.
    pub instances: usize,
    /// Whether the others may not have told their demands yet, since this one has just started.
    pub is_starting: bool,
}

type Reply = oneshot::Sender<Result<super::Permit, Refused>>;

/// Decision on a request that arrives.
#[derive(Debug)]
pub(super) enum Decision {
    Pass(Pass),
    Refuse(Refused),
    Wait {
        key: Key,
        receiver: oneshot::Receiver<Result<super::Permit, Refused>>,
        /// Whether nobody looks after the queue yet.
        needs_driver: bool,
    },
}

/// Decision on a request that has waited.
#[derive(Debug)]
pub(super) struct Outcome {
    pub reply: Reply,
    pub result: Result<Pass, Refused>,
}

#[derive(Debug)]
struct Waiter {
    reply: Reply,
    pass: Pass,
}

#[derive(Debug)]
pub(super) struct Service {
    name: String,
    supply: Option<(Supply, Duration)>,
    demands: Demands,
    remotes: Remotes,
    correction: Correction,
    /// Times of runs by the hash of their kind: a route and the model that is asked first.
    run_times: HashMap<u32, RunTime>,
    usual_cost: f64,
    division: Division,
    divided_at: Duration,
    shown_at: Duration,
    bucket: Bucket,
    /// Rate at which requests may start, in cost per millisecond.
    per_ms: f64,
    queue: Queue,
    waiters: HashMap<Key, Waiter>,
    waiting_by_class: BTreeMap<Class, usize>,
    refusals: Refusals,
    is_driven: bool,
}

impl Service {
    pub fn new(now: Duration) -> Self {
        Self {
            name: String::new(),
            supply: None,
            demands: Demands::default(),
            remotes: Remotes::default(),
            correction: Correction::new(now),
            run_times: HashMap::new(),
            usual_cost: 0.0,
            division: Division::default(),
            divided_at: Duration::ZERO,
            shown_at: now,
            bucket: Bucket::default(),
            per_ms: 0.0,
            queue: Queue::paced(),
            waiters: HashMap::new(),
            waiting_by_class: BTreeMap::new(),
            refusals: Refusals::default(),
            is_driven: false,
        }
    }

    pub fn is_supply_outdated(&self, now: Duration) -> bool {
        self.supply.is_none_or(|(_, at)| now >= at + SUPPLY_AGE)
    }

    pub fn set_supply(&mut self, name: &str, supply: Option<Supply>, now: Duration) {
        if self.name.is_empty() {
            name.clone_into(&mut self.name);
        }
        if let Some(supply) = supply {
            self.supply = Some((supply, now));
        }
    }

    /// Decides on a request that arrives.
    pub fn decide(&mut self, entry: &Entry<'_>, fleet: Fleet, now: Duration) -> Decision {
        let class = Class { team: short_hash(entry.team), rank: entry.rank };
        let supply = self.supply.map_or(Supply::default(), |(supply, _)| supply);
        if supply.slots <= 0.0 {
            // There is no capacity to divide; the choice of an endpoint tells why.
            return Decision::Pass(Pass::unlimited(class, entry));
        }
        let mut pass = self.price(class, entry, supply);
        self.usual_cost += USUAL_COST_WEIGHT * (pass.cost - self.usual_cost);
        if !self.refusals.is_return(entry.content, now) {
            self.demands.record(class, pass.cost, now);
        }
        self.refresh(fleet, now);
        let grant = self.division.grant(class);
        pass.priority = self.priority(class, grant);
        let is_waiting = self.waiting_by_class.contains_key(&class);
        if entry.is_resumption || !(grant.is_limited || is_waiting) {
            pass.is_charged = grant.is_limited;
            return self.pass(pass, now);
        }
        pass.is_charged = true;
        self.bucket.refill(now);
        if self.waiters.is_empty() && self.bucket.may_start() {
            return self.pass(pass, now);
        }
        self.enqueue(entry, pass, grant, now)
    }

    /// Lets a request pass at once.
    fn pass(&mut self, pass: Pass, now: Duration) -> Decision {
        if pass.is_charged {
            self.bucket.refill(now);
            self.bucket.charge(pass.cost);
        }
        metrics::count(&self.name, pass.class.rank, "admitted");
        Decision::Pass(pass)
    }

    /// Adds a request to the queue, or refuses it.
    fn enqueue(&mut self, entry: &Entry<'_>, pass: Pass, grant: Grant, now: Duration) -> Decision {
        let class = pass.class;
        let at = timestamp(now);
        let customer = customer(class.team);
        // The target is the time to the first byte, the deadline that to the end.
        let run_ms = pass.first_byte_ms + pass.usual_wait_ms / 2.0;
        let rest_ms = (pass.run_ms - pass.first_byte_ms).max(0.0);
        let deadline = at.plus(whole_millis(clock::millis(entry.left) - rest_ms));
        let target = at.plus(whole_millis(clock::millis(entry.target_left)));
        // While more is demanded than can be served, each request that is served late takes the
        // place of one that could be served in time.
        let can_be_in_time = target.since(at) > whole_millis(run_ms);
        let is_over = self.division.demand > DRAINING_BELOW * self.correction.capacity();
        let early = at.plus(whole_millis(clock::millis(entry.target_left) * QUEUED_PART_OF_TARGET));
        let latest_end = (is_over && can_be_in_time && target < deadline).then_some(early);
        let allocation = if grant.is_limited { self.division.limited_allocation(class.team) } else { 0.0 };
        let ticket = Ticket {
            customer: &customer,
            weight: u32::try_from(whole_millis(allocation * WEIGHT_SCALE)).unwrap_or(u32::MAX),
            deadline,
            run_ms: whole_millis(run_ms),
            draw: 0,
        };
        let order = Order {
            rank: class.rank,
            target: Some(target),
            latest_end,
            size: whole_millis(pass.cost * 1_000.0),
            cost: pass.cost,
            rank_per_ms: grant.is_limited.then_some(grant.paced(self.correction.pace().min(1.0))),
        };
        self.queue.set_pace(Pace { per_ms: self.per_ms, debt: self.bucket.debt() });
        match self.queue.offer_ordered(&ticket, order, at) {
            Err(refusal) => {
                metrics::count(&self.name, class.rank, "refused");
                Decision::Refuse(self.refuse(pass, entry.content, refusal, now))
            }
            Ok(key) => {
                let (reply, receiver) = oneshot::channel();
                self.waiters.insert(key, Waiter { reply, pass });
                *self.waiting_by_class.entry(class).or_default() += 1;
                let needs_driver = !std::mem::replace(&mut self.is_driven, true);
                Decision::Wait { key, receiver, needs_driver }
            }
        }
    }

    /// Returns what a refused request is told.
    fn refuse(&mut self, pass: Pass, content: Content, refusal: Refusal, now: Duration) -> Refused {
        let grant = self.division.grant(pass.class);
        let per_ms = if grant.is_limited { grant.paced(self.correction.pace()) } else { self.per_ms };
        let (wait_ms, left_ms) = match refusal.cause {
            route::admission::Cause::Deadline { wait_ms, left_ms } => (wait_ms, left_ms),
            route::admission::Cause::Full => (refusal.retry_after_ms, 0),
        };
        let (after, spread) = self.refusals.record(pass.class, pass.cost, per_ms, refusal.retry_after_ms, now);
        self.refusals.expect_return(content, after + spread, now);
        Refused {
            after,
            spread,
            wait: Duration::from_millis(wait_ms),
            left: Duration::from_millis(left_ms),
            oldest_news: self.remotes.oldest(now),
        }
    }

    /// Grants waiting requests as far as the bucket allows and refuses hopeless ones. Returns the
    /// time until more can be granted, or `None` if none is left.
    pub fn release(&mut self, fleet: Fleet, now: Duration) -> (Vec<Outcome>, Option<Duration>) {
        self.refresh(fleet, now);
        self.bucket.refill(now);
        let mut outcomes = Vec::new();
        while self.bucket.may_start() {
            let Some(admitted) = self.queue.next(timestamp(now)) else { break };
            let Some(Waiter { reply, mut pass }) = self.take_waiter(admitted.key) else { continue };
            self.bucket.charge(pass.cost);
            pass.priority = self.priority(pass.class, self.division.grant(pass.class));
            metrics::count(&self.name, pass.class.rank, "admitted");
            outcomes.push(Outcome { reply, result: Ok(pass) });
        }
        for (key, refusal) in self.queue.shed(timestamp(now)) {
            let Some(Waiter { reply, pass }) = self.take_waiter(key) else { continue };
            metrics::count(&self.name, pass.class.rank, "shed");
            let refused = self.refuse(pass, pass.content, refusal, now);
            outcomes.push(Outcome { reply, result: Err(refused) });
        }
        self.is_driven = !self.waiters.is_empty();
        (outcomes, self.is_driven.then(|| self.bucket.wait()))
    }

    /// Removes a request whose caller does not wait any more, if it is still waiting.
    pub fn cancel(&mut self, key: Key) {
        self.queue.cancel(key);
        self.take_waiter(key);
    }

    fn take_waiter(&mut self, key: Key) -> Option<Waiter> {
        let waiter = self.waiters.remove(&key)?;
        if let Some(count) = self.waiting_by_class.get_mut(&waiter.pass.class) {
            *count -= 1;
            if *count == 0 {
                self.waiting_by_class.remove(&waiter.pass.class);
            }
        }
        Some(waiter)
    }

    /// Divides the capacity anew if the last division is out of date.
    fn refresh(&mut self, fleet: Fleet, now: Duration) {
        if now < self.divided_at + DIVISION_AGE {
            return;
        }
        self.divided_at = now;
        self.remotes.update(now);
        let own = self.demands.current(now);
        let silent = fleet.instances.saturating_sub(1 + self.remotes.len());
        let silent = if fleet.is_starting { as_f64(silent) } else { 0.0 };
        let mut demands: BTreeMap<Class, Demand> = BTreeMap::new();
        for (class, own) in &own {
            demands.insert(*class, Demand { class: *class, own: *own, others: own * silent });
        }
        for (class, sum) in &self.remotes.sums {
            demands.entry(*class).or_insert(Demand { class: *class, own: 0.0, others: 0.0 }).others += sum;
        }
        let demands: Vec<Demand> = demands.into_values().collect();
        let total = demands.iter().map(|demand| demand.own + demand.others).sum::<f64>() + self.remotes.unnamed.demand;
        let capacity = self.correction.capacity_for(total);
        self.division = share::divide(capacity, &demands, self.remotes.unnamed);
        let mut rate = self.division.limited_rate(self.correction.pace());
        if !self.division.is_limiting() {
            // What waits since an overload is served besides what arrives now.
            let arriving: f64 = self.waiting_by_class.keys().filter_map(|class| own.get(class)).sum();
            let own_part = own.values().sum::<f64>() / self.division.demand.max(f64::MIN_POSITIVE);
            let left = (capacity - self.division.demand).max(MIN_DRAIN_RATE * capacity);
            rate = arriving + left * own_part.min(1.0);
        }
        self.per_ms = rate;
        self.bucket.update(rate, self.usual_cost, now);
        if !self.division.is_limiting() && self.waiters.is_empty() {
            self.bucket.fill(now);
        }
        if now >= self.shown_at + METRICS_AGE && !self.name.is_empty() {
            self.shown_at = now;
            let cost: f64 = self.waiters.values().map(|waiter| waiter.pass.cost).sum();
            let wait_ms = (cost / rate.max(f64::MIN_POSITIVE)).min(60_000.0);
            metrics::show_queue(&self.name, self.waiters.len(), Duration::from_secs_f64(wait_ms / 1_000.0));
            let totals = demands.iter().map(|demand| (demand.class, demand.own + demand.others)).collect();
            metrics::show_demand(&self.name, self.division.demand / capacity.max(f64::MIN_POSITIVE), &totals);
        }
    }

    /// Computes what a request costs, in milliseconds of the whole service.
    fn price(&self, class: Class, entry: &Entry<'_>, supply: Supply) -> Pass {
        let kind = kind(entry);
        let told_ms = self.remotes.run_times.get(&kind).copied();
        let run_time = self.run_times.get(&kind).copied().unwrap_or_default();
        let run_ms = run_time.with_told(told_ms).unwrap_or(entry.first_byte_ms);
        let first_byte_ms = if entry.is_whole { run_ms } else { entry.first_byte_ms };
        let run_ms = run_ms.max(first_byte_ms);
        let slot_cost = 1.0 / supply.slots;
        let prompt_cost = entry.prompt_ms / supply.engines.max(1.0);
        let usual_wait_ms = (clock::millis(entry.target_time) * USUAL_WAIT_OF_TARGET).min(run_ms * USUAL_WAIT_OF_RUN);
        Pass {
            kind,
            run_ms,
            cost: (run_ms * slot_cost).max(prompt_cost),
            slot_cost,
            prompt_cost,
            first_byte_ms,
            usual_wait_ms: usual_wait_ms.max(MIN_USUAL_WAIT_MS),
            ..Pass::unlimited(class, entry)
        }
    }

    /// Returns the priority for engines; `None` below the capacity.
    fn priority(&self, class: Class, grant: Grant) -> Option<u8> {
        let step = if grant.is_team_over { PRIORITY_STEP } else { 0 };
        self.division.is_limiting().then_some(class.rank.min(PRIORITY_STEP - 1) + step)
    }

    pub fn pressure(&mut self, fleet: Fleet, now: Duration) -> f64 {
        self.refresh(fleet, now);
        self.division.demand / self.correction.capacity().max(f64::MIN_POSITIVE)
    }

    /// Returns this instance's demands for other instances, if the service may be above a
    /// fraction of its capacity.
    pub fn summary(&mut self, fleet: Fleet, told_above: f64, now: Duration) -> Option<Summary> {
        let pressure = self.pressure(fleet, now);
        let summary = Summary::new(&self.demands.current(now));
        let own = summary.total();
        // Before the others tell anything, each may see only its own small part.
        let in_proportion = own * as_f64(fleet.instances) / self.correction.capacity().max(f64::MIN_POSITIVE);
        (own > 0.0 && (pressure > told_above || in_proportion > told_above)).then_some(summary)
    }

    /// Returns the usual times of some kinds of runs, for other instances.
    pub fn told_run_times(&self) -> Vec<(u32, f64)> {
        let known = self.run_times.iter().filter_map(|(kind, time)| Some((*kind, time.get()?)));
        known.take(MAX_TOLD_KINDS).collect()
    }

    pub fn record_remote(&mut self, origin: u32, remote: Remote) {
        self.remotes.record(origin, remote);
    }

    /// Charges a cost to the bucket; a negative one is given back.
    pub fn charge(&mut self, cost: f64) {
        self.bucket.charge(cost);
    }

    pub fn record_wait(&mut self, wait_ms: f64, usual_ms: f64, now: Duration) {
        self.correction.record_wait(wait_ms, usual_ms, self.division.is_limiting(), now);
    }

    pub fn record_rejection(&mut self, now: Duration) {
        self.correction.record_rejection(now);
    }

    pub fn record_run(&mut self, observation: Observation) {
        let Observation { kind, took_ms } = observation;
        let is_busy = self.division.demand > CROWDED_ABOVE * self.correction.capacity();
        let is_crowded = is_busy || self.correction.is_late();
        if self.run_times.len() >= MAX_KINDS && !self.run_times.contains_key(&kind) {
            self.run_times.clear();
        }
        self.run_times.entry(kind).or_default().observe(took_ms, is_crowded);
    }
}

/// Returns the hash of a kind of runs.
pub(super) fn kind(entry: &Entry<'_>) -> u32 {
    short_hash(&format!("{}/{:?}", entry.route, entry.model))
}

/// Returns the name under which a team's requests wait.
fn customer(team: u32) -> Customer {
    Customer::parse(&format!("{team:08x}")).expect("hexadecimal digits are a valid name")
}

fn timestamp(now: Duration) -> Timestamp {
    Timestamp(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
fn whole_millis(millis: f64) -> u64 {
    millis.clamp(0.0, 1e12).ceil() as u64
}

#[expect(clippy::cast_precision_loss, reason = "a count of instances")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
