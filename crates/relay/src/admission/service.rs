//! State of admission at one service.

mod preview;
#[cfg(test)]
mod tests;
mod waiting;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use route::admission::{
    Key, Queue,
    bucket::Bucket,
    capacity::{Correction, RunLoad, RunTime},
    demand::{Class, DECAY_MS, Demands, Smoothed, Summary},
    share::{self, Demand, Division, Grant},
};
use tokio::sync::oneshot;

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

/// Part of the capacity by which waiting requests are served at least after an overload.
const MIN_DRAIN_RATE: f64 = 0.1;

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

/// Waiting requests of a class.
#[derive(Debug, Clone, Default)]
struct WaitingOfClass {
    count: usize,
    cost: f64,
}

#[derive(Debug, Clone)]
pub(super) struct Service {
    name: String,
    supply: Option<(Supply, Duration)>,
    demands: Demands,
    smoothed: Smoothed,
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
    waiting_by_class: BTreeMap<Class, WaitingOfClass>,
    refusals: Refusals,
    is_driven: bool,
}

impl Service {
    pub fn new(now: Duration) -> Self {
        Self {
            name: String::new(),
            supply: None,
            demands: Demands::default(),
            smoothed: Smoothed::default(),
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
            pass.counted_at = Some(now);
        }
        self.refresh(fleet, now);
        if self.division.grant(class).allocation <= 0.0 {
            // The last division did not know of its demand here.
            self.divide(fleet, now);
        }
        let grant = self.division.grant(class);
        pass.priority = self.priority(class, grant);
        let is_waiting = self.waiting_by_class.contains_key(&class);
        if !grant.is_limited && !is_waiting {
            return self.pass(pass, now);
        }
        pass.is_charged = true;
        self.bucket.refill(now);
        // The caller has a part of the answer already. Any caller may claim so, within bounds.
        if entry.is_resumption && self.bucket.debt() < self.bucket.depth() {
            return self.pass(pass, now);
        }
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

    /// Divides the capacity anew if the last division is out of date.
    fn refresh(&mut self, fleet: Fleet, now: Duration) {
        if now >= self.divided_at + DIVISION_AGE {
            self.divide(fleet, now);
        }
    }

    /// Returns the demand of this instance's callers by class. A request that waits counts as one that
    /// has just arrived: once arrivals stop, those that wait would otherwise get ever less.
    fn own_demands(&mut self, now: Duration) -> BTreeMap<Class, f64> {
        let mut demands = self.demands.current(now);
        for (class, waiting) in &self.waiting_by_class {
            let demand = demands.entry(*class).or_default();
            *demand = demand.max(waiting.cost / DECAY_MS);
        }
        demands
    }

    /// Divides the capacity.
    fn divide(&mut self, fleet: Fleet, now: Duration) {
        self.divided_at = now;
        self.remotes.update(now);
        let own = self.own_demands(now);
        let silent = fleet.instances.saturating_sub(1 + self.remotes.len());
        let silent = if fleet.is_starting { as_f64(silent) } else { 0.0 };
        let mut demands: BTreeMap<Class, Demand> = BTreeMap::new();
        for (class, own) in &own {
            demands.insert(*class, Demand { class: *class, own: *own, others: own * silent });
        }
        for (class, sum) in &self.remotes.sums {
            demands.entry(*class).or_insert(Demand { class: *class, own: 0.0, others: 0.0 }).others += sum;
        }
        let scale = |demand: &mut Demand, factor: f64| {
            demand.own *= factor;
            demand.others *= factor;
        };
        self.smoothed.apply(&mut demands, now, |demand| demand.own + demand.others, scale);
        let demands: Vec<Demand> = demands.into_values().collect();
        let total = demands.iter().map(|demand| demand.own + demand.others).sum::<f64>() + self.remotes.unnamed.demand;
        let capacity = self.correction.capacity_for(total);
        self.division = share::divide(capacity, &demands, self.remotes.unnamed);
        // Requests that wait although their class is not limited any more are served at the rate of
        // its demand.
        let is_unlimited = |class: &&Class| !self.division.grant(**class).is_limited;
        let unlimited = self.waiting_by_class.keys().filter(is_unlimited).filter_map(|class| own.get(class));
        let mut rate = self.division.limited_rate(self.correction.pace()) + unlimited.sum::<f64>();
        if !self.division.is_limiting() {
            // What waits since an overload is served besides what arrives now.
            let own_part = own.values().sum::<f64>() / self.division.demand.max(f64::MIN_POSITIVE);
            let left = (capacity - self.division.demand).max(MIN_DRAIN_RATE * capacity);
            rate += left * own_part.min(1.0);
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
        // Callers state the lengths of their prompts. A run that takes longer than is left ends with it.
        let left_ms = clock::millis(entry.left);
        let prompt_cost = entry.prompt_ms.min(left_ms) / supply.engines.max(1.0);
        let usual_wait_ms = (clock::millis(entry.target_time) * USUAL_WAIT_OF_TARGET).min(run_ms * USUAL_WAIT_OF_RUN);
        Pass {
            kind,
            run_ms,
            cost: (run_ms.min(left_ms) * slot_cost).max(prompt_cost),
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
        let summary = Summary::new(&self.own_demands(now));
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
        if self.is_held_back_elsewhere() {
            self.correction.record_wait_of_others(wait_ms, usual_ms, now);
        } else {
            self.correction.record_wait(wait_ms, usual_ms, self.division.is_limiting(), now);
        }
    }

    pub fn record_rejection(&mut self, now: Duration) {
        if self.is_held_back_elsewhere() {
            self.correction.record_wait_of_others(f64::INFINITY, 1.0, now);
        } else {
            self.correction.record_rejection(now);
        }
    }

    /// Whether teams are limited, but none that asks for anything here.
    fn is_held_back_elsewhere(&self) -> bool {
        self.division.is_limiting() && self.division.limited_rate(1.0) <= 0.0
    }

    pub fn record_run(&mut self, observation: Observation) {
        let Observation { kind, took_ms } = observation;
        // Late runs lower the assumed capacity, so it does not show whether they wait for others.
        let load = match self.correction.is_late() {
            true if self.division.demand <= CROWDED_ABOVE => RunLoad::Late,
            false if self.division.demand <= CROWDED_ABOVE * self.correction.capacity() => RunLoad::Calm,
            _ => RunLoad::Crowded,
        };
        if self.run_times.len() >= MAX_KINDS && !self.run_times.contains_key(&kind) {
            self.run_times.clear();
        }
        self.run_times.entry(kind).or_default().observe(took_ms, load);
    }
}

/// Returns the hash of a kind of runs.
pub(super) fn kind(entry: &Entry<'_>) -> u32 {
    short_hash(&format!("{}/{:?}", entry.route, entry.model))
}

#[expect(clippy::cast_precision_loss, reason = "a count of instances")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
