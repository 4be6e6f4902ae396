//! A small site of fake engines behind several instances, as one loop over
//! seeded events.

mod engine;
mod policy;

use std::{cmp::Reverse, collections::BinaryHeap, fmt::Write as _};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{
    admission::{self, Admitted, Queue, Ticket},
    endpoint::{Event as Seen, Key, Report, Target},
};
use world::{Catalog, Millis, Timestamp, contract::Customer, endpoint, model::Version, object::Object};

use engine::{Engine, Started};
pub use policy::Policy;
use policy::Router;

/// Instances of ours.
const INSTANCES: usize = 7;
/// Failure domains, with five engines each.
const DOMAINS: usize = 4;
/// Engines of a domain.
const ENGINES: usize = 5;
/// Runs an engine batches.
const SLOTS: u32 = 16;
/// Prompt prefixes in use.
const PREFIXES: u32 = 400;
/// Mean time of a run that starts in a half-full batch and finds no prefix.
const MEAN_RUN_MS: f64 = 2_100.0;
/// How often an engine reports its load, and how late the report arrives.
const REPORT_EVERY_MS: Millis = 500;
/// Time until a cache event arrives, and the share that never does.
const CACHE_EVENT_MS: Millis = 3_000;
const CACHE_EVENT_LOST: f64 = 0.2;
/// Runs that an instance has under way, as a multiple of its part of the slots.
const LIMIT: f64 = 1.1;
/// Time before which nothing is measured.
const WARM_UP_MS: Millis = 20_000;

/// What is run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub policy: Policy,
    pub span_ms: Millis,
    pub deadline_ms: Millis,
    pub report_late_ms: Millis,
    pub callers: Vec<Caller>,
    /// Whether requests are ranked and refused early, or run as they come.
    pub admission: bool,
}

/// One customer's stream of requests.
#[derive(Debug, Clone)]
pub struct Caller {
    pub customer: Customer,
    pub weight: u32,
    /// Requests a second, as a share of what all slots can serve.
    pub load: f64,
}

/// What was measured.
#[derive(Debug)]
pub struct Outcome {
    /// Time from arrival to answer of each caller's answered requests.
    pub times: Vec<Histogram<u64>>,
    pub requests: Vec<u32>,
    /// Answered late or refused.
    pub missed: Vec<u32>,
    pub refused: Vec<u32>,
    pub hits: u32,
    pub runs: u32,
    /// Largest over mean load of the engines, averaged over time.
    pub imbalance: f64,
}

/// Requests a second that all slots can serve.
pub fn capacity() -> f64 {
    f64::from(SLOTS) * as_f64(DOMAINS * ENGINES) / (MEAN_RUN_MS / 1_000.0)
}

/// Runs a plan.
pub fn run(plan: &Plan) -> Outcome {
    let mut site = Site::new(plan);
    site.schedule_arrivals();
    site.schedule(Timestamp(REPORT_EVERY_MS), Event::Report);
    while let Some(Reverse((now, _, event))) = site.events.pop() {
        site.on(event, now);
    }
    site.outcome
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish { engine: usize, request: usize },
    Report,
    Heard { engine: usize, as_of: Timestamp, running: u32, queued: u32 },
    Cached { engine: usize, prefix: u64, stored: bool },
}

/// A request of the site.
#[derive(Debug, Clone, Copy)]
struct Request {
    at: Timestamp,
    caller: usize,
    instance: usize,
    prefix: u64,
    tokens: u32,
    draw: u64,
}

/// A request's run.
#[derive(Debug, Clone, Copy)]
struct Run {
    key: Key,
    started: Timestamp,
}

struct Instance {
    router: Router,
    queue: Queue,
    waiting: Vec<(admission::Key, usize)>,
}

struct Site<'a> {
    plan: &'a Plan,
    rng: ChaCha8Rng,
    target: Target,
    limit: u32,
    names: Vec<endpoint::Id>,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    runs: Vec<Option<Run>>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    snapshots: u32,
    outcome: Outcome,
}

impl<'a> Site<'a> {
    fn new(plan: &'a Plan) -> Self {
        let catalog = catalog();
        let version = Version::parse("m@1").expect("a version");
        let names = catalog.endpoints(&version).iter().map(|e| e.id.clone()).collect::<Vec<_>>();
        let limit = LIMIT * f64::from(SLOTS) * as_f64(names.len()) / as_f64(INSTANCES);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some dozens")]
        let limit = if plan.admission { limit.ceil() as u32 } else { u32::MAX };
        let instance = |index| Instance {
            router: Router::new(plan.policy, &catalog, index, INSTANCES, DOMAINS),
            queue: Queue::new(limit),
            waiting: Vec::new(),
        };
        let callers = plan.callers.len();
        Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            target: Target::Version(version),
            limit,
            engines: names.iter().map(|_| Engine::new(SLOTS)).collect(),
            names,
            instances: (0..INSTANCES).map(instance).collect(),
            requests: Vec::new(),
            runs: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            snapshots: 0,
            outcome: Outcome {
                times: (0..callers).map(|_| Histogram::new(3).expect("three digits are allowed")).collect(),
                requests: vec![0; callers],
                missed: vec![0; callers],
                refused: vec![0; callers],
                hits: 0,
                runs: 0,
                imbalance: 0.0,
            },
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Draws every request beforehand, so that all policies meet the same.
    fn schedule_arrivals(&mut self) {
        for caller in 0..self.plan.callers.len() {
            let rate = self.plan.callers[caller].load * capacity() / 1_000.0;
            let mut at = 0.0;
            loop {
                at += -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
                #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "milliseconds of a run")]
                let arrival = Timestamp(at as u64);
                if arrival.0 >= self.plan.span_ms {
                    break;
                }
                let request = self.draw(arrival, caller);
                self.requests.push(request);
                self.runs.push(None);
                self.schedule(arrival, Event::Arrive(self.requests.len() - 1));
            }
        }
    }

    fn draw(&mut self, at: Timestamp, caller: usize) -> Request {
        // Few prefixes are in most prompts: popularity falls with the square.
        let popularity = self.rng.random::<f64>().powi(3) * f64::from(PREFIXES);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some hundreds")]
        let prefix = world::hash::stable(&(popularity as u32).to_le_bytes());
        Request {
            at,
            caller,
            instance: self.rng.random_range(0..INSTANCES),
            prefix,
            tokens: self.rng.random_range(20..220),
            draw: self.rng.random(),
        }
    }

    fn on(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Arrive(request) => self.arrive(request, now),
            Event::Finish { engine, request } => self.finish(engine, request, now),
            Event::Report => self.report(now),
            Event::Heard { engine, as_of, running, queued } => {
                let report = Report { as_of, running, queued, slots: SLOTS, loaded: None };
                for instance in &mut self.instances {
                    instance.router.seen(Seen::Load { endpoint: &self.names[engine], report }, now);
                }
            }
            Event::Cached { engine, prefix, stored } => {
                let endpoint = &self.names[engine];
                let seen = if stored { Seen::Stored { endpoint, prefix } } else { Seen::Evicted { endpoint, prefix } };
                for instance in &mut self.instances {
                    instance.router.seen(seen, now);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize, now: Timestamp) {
        let request = self.requests[index];
        let caller = &self.plan.callers[request.caller];
        if now.0 >= WARM_UP_MS {
            self.outcome.requests[request.caller] += 1;
        }
        let ticket = Ticket {
            customer: &caller.customer,
            weight: caller.weight,
            deadline: request.at.plus(self.plan.deadline_ms),
            run_ms: expected_ms(&request),
            draw: request.draw,
        };
        let instance = &mut self.instances[request.instance];
        match instance.queue.offer(&ticket, now) {
            Ok(key) => instance.waiting.push((key, index)),
            Err(_) => self.refuse(index, now),
        }
        self.serve(request.instance, now);
    }

    fn refuse(&mut self, index: usize, now: Timestamp) {
        if now.0 >= WARM_UP_MS {
            self.outcome.missed[self.requests[index].caller] += 1;
            self.outcome.refused[self.requests[index].caller] += 1;
        }
    }

    /// Starts what an instance may start, and refuses what has become late.
    fn serve(&mut self, instance: usize, now: Timestamp) {
        if self.plan.admission {
            let Instance { router, queue, .. } = &mut self.instances[instance];
            queue.set_limit(router.limit(&self.target, now).unwrap_or(self.limit));
        }
        let late = self.instances[instance].queue.shed(now);
        for (key, _) in late {
            if let Some(index) = take(&mut self.instances[instance].waiting, key) {
                self.refuse(index, now);
            }
        }
        while let Some(Admitted { key, priority, .. }) = self.instances[instance].queue.next(now) {
            if let Some(index) = take(&mut self.instances[instance].waiting, key) {
                self.dispatch(index, if self.plan.admission { priority } else { 0 }, now);
            }
        }
    }

    fn dispatch(&mut self, index: usize, priority: u8, now: Timestamp) {
        let request = self.requests[index];
        let router = &mut self.instances[request.instance].router;
        let (key, engine) = router.choose(&self.target, request.prefix, request.draw, now);
        router.seen(Seen::Dispatched(key), now);
        self.runs[index] = Some(Run { key, started: now });
        self.engines[engine].push(index, priority);
        self.step(engine, now);
    }

    /// Starts what an engine has slots for.
    fn step(&mut self, engine: usize, now: Timestamp) {
        while let Some(index) = self.engines[engine].next() {
            let request = self.requests[index];
            let Started { run_ms, hit, stored, evicted } = self.engines[engine].start(request.prefix, request.tokens);
            self.schedule(now.plus(run_ms), Event::Finish { engine, request: index });
            self.outcome.hits += u32::from(hit);
            self.outcome.runs += 1;
            for (prefix, stored) in stored.map(|p| (p, true)).into_iter().chain(evicted.map(|p| (p, false))) {
                if !self.rng.random_bool(CACHE_EVENT_LOST) {
                    self.schedule(now.plus(CACHE_EVENT_MS), Event::Cached { engine, prefix, stored });
                }
            }
        }
    }

    fn finish(&mut self, engine: usize, index: usize, now: Timestamp) {
        self.engines[engine].finish();
        self.step(engine, now);
        let request = self.requests[index];
        let Some(run) = self.runs[index].take() else { return };
        let millis = now.since(run.started);
        let seen = Seen::Finished { key: run.key, target: &self.target, millis, tokens: request.tokens };
        let instance = &mut self.instances[request.instance];
        instance.router.seen(seen, now);
        instance.queue.record_finish(now);
        if request.at.0 >= WARM_UP_MS {
            let time = now.since(request.at);
            self.outcome.times[request.caller].record(time).expect("the histogram grows");
            self.outcome.missed[request.caller] += u32::from(time > self.plan.deadline_ms);
        }
        self.serve(request.instance, now);
    }

    fn report(&mut self, now: Timestamp) {
        if now.0 < self.plan.span_ms {
            self.schedule(now.plus(REPORT_EVERY_MS), Event::Report);
        }
        let loads: Vec<_> = self.engines.iter().map(|engine| (engine.running(), engine.queued())).collect();
        for (engine, (running, queued)) in loads.iter().copied().enumerate() {
            self.schedule(now.plus(self.plan.report_late_ms), Event::Heard { engine, as_of: now, running, queued });
        }
        if now.0 < WARM_UP_MS || now.0 >= self.plan.span_ms {
            return;
        }
        let totals = || loads.iter().map(|(running, queued)| f64::from(running + queued));
        let mean = totals().sum::<f64>() / as_f64(loads.len());
        let largest = totals().fold(0.0, f64::max);
        self.snapshots += 1;
        self.outcome.imbalance += (largest / mean.max(1.0) - self.outcome.imbalance) / f64::from(self.snapshots);
    }
}

fn take(waiting: &mut Vec<(admission::Key, usize)>, key: admission::Key) -> Option<usize> {
    let position = waiting.iter().position(|(waiting, _)| *waiting == key)?;
    Some(waiting.swap_remove(position).1)
}

fn expected_ms(request: &Request) -> Millis {
    engine::run_ms(request.tokens, false, 0.75)
}

fn catalog() -> Catalog {
    let mut text = String::from(
        "kind: model\nname: m\nspec: { versions: [{ version: \"1\", price: { input: \"1\", output: \"1\", currency: EUR } }] }\n",
    );
    for domain in 0..DOMAINS {
        let _ = write!(
            text,
            "---\nkind: pool\nname: p{domain}\nspec:\n  domain: d{domain}\n  serves: {{ versions: [m@1] }}\n  endpoints:\n"
        );
        for engine in 0..ENGINES {
            let _ = writeln!(text, "    - {{ name: e{domain}-{engine}, address: \"127.0.0.1:1\", slots: {SLOTS} }}");
        }
    }
    let objects = Object::parse_file(&text).expect("objects are well formed");
    Catalog::build(1, objects).expect("objects fit each other")
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
