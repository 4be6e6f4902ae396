//! Instances that choose among endpoints by loads that are out of date.
//!
//! Requests arrive at each instance at random times. An endpoint runs as many as it has slots,
//! queues some more and rejects the rest, which are sent elsewhere. Each instance reports its
//! runs to the others at fixed intervals, at a phase of its own.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::method::{Chooser, Method, View};

/// Number of instances above which only reports from the own failure domain are known.
const MAX_DIRECT_INSTANCES: usize = 65;

/// Number of failure domains.
pub const DOMAINS: usize = 4;

/// Maximum number of endpoints that a request is sent to.
const MAX_TRIES: usize = 3;

/// Longest wait that is told apart, in tenths of a millisecond.
const MAX_WAIT_TENTHS: u64 = 600_000;

/// Interval at which loads are sampled, in microseconds.
const SAMPLING_US: u64 = 5_000;

/// An endpoint's properties.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint {
    pub slots: u32,
    pub max_queue: usize,
    pub run_ms: f64,
    /// Time after which the runs of an endpoint that hangs are given up, in milliseconds; `None` for
    /// one that answers. It accepts runs until its queue is full.
    pub hangs_ms: Option<f64>,
}

/// What is simulated.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub method: Method,
    pub instances: usize,
    pub endpoints: Vec<Endpoint>,
    /// Traffic as a fraction of what all slots serve.
    pub load: f64,
    /// Interval at which an instance reports its loads, in milliseconds; 0 if all loads are always
    /// known.
    pub report_ms: u64,
    /// Simulated time, in milliseconds; the first fifth of it does not count.
    pub span_ms: u64,
    /// Traffic of each fourth instance as a multiple of the others'.
    pub skew: f64,
}

/// What was measured.
#[derive(Debug)]
pub struct Outcome {
    /// Waits for a slot, in tenths of a millisecond.
    pub waits: Histogram<u64>,
    pub sends: u32,
    pub rejections: u32,
    /// Requests that no endpoint took.
    pub lost: u32,
    /// Requests that an endpoint took that hangs.
    pub hung: u32,
    /// Sum over samples of the largest relative load of an endpoint.
    largest: f64,
    /// Sum over samples of the mean relative load.
    mean: f64,
    /// Sum over samples of the fraction of slots that were idle while as many requests waited.
    idle: f64,
    samples: f64,
}

impl Outcome {
    pub fn imbalance(&self) -> f64 {
        self.largest / self.mean.max(1e-9)
    }

    pub fn idle_share(&self) -> f64 {
        self.idle / self.samples.max(1.0)
    }

    pub fn p95_wait_ms(&self) -> f64 {
        let tenths = u32::try_from(self.waits.value_at_quantile(0.95)).unwrap_or(u32::MAX);
        f64::from(tenths) / 10.0
    }

    /// Sends to an endpoint that hangs, as a share of all.
    pub fn hung_share(&self) -> f64 {
        f64::from(self.hung) / f64::from(self.sends.max(1))
    }

    /// Sends that a full endpoint rejected, as a share of all.
    pub fn rejected_share(&self) -> f64 {
        f64::from(self.rejections) / f64::from(self.sends.max(1))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Finish { endpoint: usize, instance: usize, sent_us: u64 },
    Report(usize),
    Sample,
}

struct Waiting {
    instance: usize,
    sent_us: u64,
}

struct Simulation<'a> {
    plan: &'a Plan,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    now_us: u64,
    busy: Vec<u32>,
    queues: Vec<VecDeque<Waiting>>,
    choosers: Vec<Chooser>,
    /// Runs of each instance at each endpoint.
    runs: Vec<Vec<u32>>,
    /// The same as last reported.
    reported: Vec<Vec<u32>>,
    /// Reported and actual runs by the sender's domain.
    reported_sums: Vec<Vec<u32>>,
    /// Times of the last reports, in microseconds.
    reported_at: Vec<u64>,
    /// Requests that arrive at each instance in a millisecond.
    per_ms: Vec<f64>,
    outcome: Outcome,
}

/// Simulates a plan.
pub fn run(plan: &Plan) -> Outcome {
    let (instances, endpoints) = (plan.instances, plan.endpoints.len());
    let domains = if instances > MAX_DIRECT_INSTANCES { DOMAINS } else { 1 };
    let outcome = Outcome {
        waits: Histogram::new_with_max(MAX_WAIT_TENTHS, 3).expect("3 digits are supported"),
        sends: 0,
        rejections: 0,
        lost: 0,
        hung: 0,
        largest: 0.0,
        mean: 0.0,
        idle: 0.0,
        samples: 0.0,
    };
    let mut simulation = Simulation {
        plan,
        random: ChaCha8Rng::seed_from_u64(plan.seed),
        events: BinaryHeap::new(),
        number: 0,
        now_us: 0,
        busy: vec![0; endpoints],
        queues: (0..endpoints).map(|_| VecDeque::new()).collect(),
        choosers: (0..instances).map(|number| Chooser::new(number, &plan.endpoints)).collect(),
        runs: vec![vec![0; endpoints]; instances],
        reported: vec![vec![0; endpoints]; instances],
        reported_sums: vec![vec![0; endpoints]; domains],
        reported_at: vec![0; instances],
        per_ms: arrival_rates(plan),
        outcome,
    };
    simulation.run();
    simulation.outcome
}

impl Simulation<'_> {
    fn run(&mut self) {
        for instance in 0..self.plan.instances {
            self.schedule_arrival(instance);
            let period_us = self.plan.report_ms * 1_000;
            if period_us > 0 {
                let phase = self.random.random_range(0..period_us);
                self.schedule(phase, Event::Report(instance));
            }
        }
        self.schedule(self.plan.span_ms * 200, Event::Sample);
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > self.plan.span_ms * 1_000 {
                return;
            }
            self.now_us = at_us;
            match event {
                Event::Arrival(instance) => {
                    self.schedule_arrival(instance);
                    self.place(instance);
                }
                Event::Finish { endpoint, instance, sent_us } => self.finish(endpoint, instance, sent_us),
                Event::Report(instance) => {
                    self.report(instance);
                    self.schedule(at_us + self.plan.report_ms * 1_000, Event::Report(instance));
                }
                Event::Sample => {
                    self.sample();
                    self.schedule(at_us + SAMPLING_US, Event::Sample);
                }
            }
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at_us, self.number, event)));
    }

    fn schedule_arrival(&mut self, instance: usize) {
        let per_ms = self.per_ms[instance];
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        self.schedule(self.now_us + micros(-draw.ln() / per_ms), Event::Arrival(instance));
    }

    fn is_counted(&self) -> bool {
        self.now_us >= self.plan.span_ms * 200
    }

    fn place(&mut self, instance: usize) {
        let mut tried = Vec::new();
        while tried.len() < MAX_TRIES.min(self.busy.len()) {
            let endpoint = self.choose(instance, &tried);
            self.outcome.sends += u32::from(self.is_counted());
            if self.send(instance, endpoint) {
                return;
            }
            self.outcome.rejections += u32::from(self.is_counted());
            self.choosers[instance].record_rejection(endpoint, self.now_us);
            tried.push(endpoint);
        }
        self.outcome.lost += u32::from(self.is_counted());
    }

    fn choose(&mut self, instance: usize, tried: &[usize]) -> usize {
        let domain = instance % self.reported_sums.len();
        let (others, age_ms) = if self.plan.report_ms == 0 || self.plan.method == Method::Perfect {
            let actual = |e: usize| self.busy[e] + count(self.queues[e].len()) - self.runs[instance][e];
            ((0..self.busy.len()).map(actual).collect(), 0.0)
        } else {
            let sums = self.reported_sums[domain].iter().zip(&self.reported[instance]);
            let others: Vec<u32> = sums.map(|(sum, own)| sum - own).collect();
            (others, self.mean_age_ms(instance))
        };
        let view = View {
            endpoints: &self.plan.endpoints,
            own: &self.runs[instance],
            others: &others,
            age_ms,
            now_us: self.now_us,
            tried,
        };
        let draw = self.random.random();
        self.choosers[instance].choose(self.plan.method, &view, draw)
    }

    /// Mean age of the loads that an instance knows.
    fn mean_age_ms(&self, instance: usize) -> f64 {
        let domains = self.reported_sums.len();
        let known =
            (0..self.plan.instances).filter(|other| *other != instance && other % domains == instance % domains);
        let ages: Vec<f64> = known.map(|other| millis(self.now_us - self.reported_at[other])).collect();
        ages.iter().sum::<f64>() / f64::from(count(ages.len()).max(1))
    }

    fn send(&mut self, instance: usize, endpoint: usize) -> bool {
        let spec = self.plan.endpoints[endpoint];
        let slots = if spec.hangs_ms.is_some() { 0 } else { spec.slots };
        if self.busy[endpoint] >= slots && self.queues[endpoint].len() >= spec.max_queue {
            return false;
        }
        self.runs[instance][endpoint] += 1;
        if let Some(hangs_ms) = spec.hangs_ms {
            self.queues[endpoint].push_back(Waiting { instance, sent_us: self.now_us });
            self.outcome.hung += u32::from(self.is_counted());
            let given_up = Event::Finish { endpoint, instance, sent_us: self.now_us };
            self.schedule(self.now_us + micros(hangs_ms), given_up);
            return true;
        }
        let waiting = Waiting { instance, sent_us: self.now_us };
        if self.busy[endpoint] < spec.slots {
            self.start(endpoint, &waiting);
        } else {
            self.queues[endpoint].push_back(waiting);
        }
        true
    }

    fn start(&mut self, endpoint: usize, run: &Waiting) {
        self.busy[endpoint] += 1;
        if self.is_counted() {
            self.outcome.waits.saturating_record((self.now_us - run.sent_us) / 100);
        }
        let took = micros(self.plan.endpoints[endpoint].run_ms * self.random.random_range(0.8..1.2));
        let (instance, sent_us) = (run.instance, run.sent_us);
        self.schedule(self.now_us + took, Event::Finish { endpoint, instance, sent_us });
    }

    fn finish(&mut self, endpoint: usize, instance: usize, sent_us: u64) {
        if self.plan.endpoints[endpoint].hangs_ms.is_some() {
            self.runs[instance][endpoint] -= 1;
            self.queues[endpoint].pop_front();
            return;
        }
        self.busy[endpoint] -= 1;
        self.runs[instance][endpoint] -= 1;
        let took_ms = millis(self.now_us - sent_us);
        self.choosers[instance].record_response(endpoint, took_ms, self.now_us);
        if let Some(next) = self.queues[endpoint].pop_front() {
            self.start(endpoint, &next);
        }
    }

    fn report(&mut self, instance: usize) {
        let domain = instance % self.reported_sums.len();
        for endpoint in 0..self.busy.len() {
            let (old, new) = (self.reported[instance][endpoint], self.runs[instance][endpoint]);
            let sum = &mut self.reported_sums[domain][endpoint];
            *sum = *sum + new - old;
            self.reported[instance][endpoint] = new;
        }
        self.reported_at[instance] = self.now_us;
        self.choosers[instance].record_report();
    }

    fn sample(&mut self) {
        let (mut largest, mut total, mut idle, mut waiting, mut slots) = (0.0_f64, 0.0, 0, 0, 0);
        for (endpoint, spec) in self.plan.endpoints.iter().enumerate() {
            let queued = count(self.queues[endpoint].len());
            let relative = f64::from(self.busy[endpoint] + queued) / f64::from(spec.slots);
            largest = largest.max(relative);
            total += relative;
            idle += spec.slots - self.busy[endpoint];
            waiting += queued;
            slots += spec.slots;
        }
        self.outcome.samples += 1.0;
        self.outcome.largest += largest;
        self.outcome.mean += total / f64::from(count(self.busy.len()));
        self.outcome.idle += f64::from(idle.min(waiting)) / f64::from(slots);
    }
}

/// Requests that arrive at each instance in a millisecond.
fn arrival_rates(plan: &Plan) -> Vec<f64> {
    let weight = |number: usize| if number.is_multiple_of(4) { plan.skew } else { 1.0 };
    let total: f64 = (0..plan.instances).map(weight).sum();
    let capacity: f64 = plan.endpoints.iter().map(|endpoint| f64::from(endpoint.slots) / endpoint.run_ms).sum();
    (0..plan.instances).map(|number| plan.load * capacity * weight(number) / total).collect()
}

pub fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "times are small and not negative")]
fn micros(ms: f64) -> u64 {
    (ms * 1_000.0) as u64 + 1
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^53 microseconds")]
fn millis(us: u64) -> f64 {
    us as f64 / 1_000.0
}
