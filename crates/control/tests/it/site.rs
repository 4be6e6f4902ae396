//! A test site: instances with control tasks on one fake platform, with
//! simulated engines and traffic, and peer links as tasks of one process.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use config::{Edit, Expected, Outbound};
use control::{
    Dependencies, Handle, Observation, Settings,
    observation::Outcome,
    operate::{self, Action},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use route::rollout::{self as exposure, Unit};
use store::fake::{Client, Platform};
use timeline::{Event, Filter, Recorder, Wanted};
use tokio::{
    sync::mpsc,
    task::AbortHandle,
    time::{Instant, sleep, timeout},
};
use world::{
    contract::Customer,
    domain::Domain,
    instance::Incarnation,
    model::{self, Number, Version},
    object::{Key, Kind, Object},
    rollout::{self, Rollout, State},
};

use crate::{engines::Engines, support};

/// Delay of a message between two instances.
pub const LINK_DELAY: Duration = Duration::from_millis(200);

/// Requests per second at each instance.
const REQUESTS_PER_SECOND: u64 = 50;

/// Failed ratings per thousand of a good version.
const GOOD_FAILURES_PER_MILLE: u64 = 50;

/// Objects in force at every site.
const OBJECTS: &str = r#"
kind: model
name: m
spec:
  versions:
    - { version: "1", price: { input: "1", output: "1", currency: EUR } }
    - { version: "2", price: { input: "1", output: "1", currency: EUR } }
---
kind: contract
name: c
spec:
  keys: []
  models: [{ model: m, versions: ["1", "2"] }]
  budget: { amount: "1000", currency: EUR, period: month }
---
kind: pool
name: p
spec:
  domain: d0
  serves: { versions: ["m@1", "m@2"] }
  endpoints:
    - { name: e0, address: "127.0.0.1:9000" }
    - { name: e1, address: "127.0.0.1:9001" }
    - { name: e2, address: "127.0.0.1:9002" }
    - { name: e3, address: "127.0.0.1:9003" }
"#;

/// A fleet with one roll-out of `m@2`.
pub struct Site {
    pub platform: Platform,
    pub instances: Vec<Instance>,
    pub engines: Engines,
    links: Arc<Mutex<Links>>,
    traffic: Arc<Mutex<Traffic>>,
    /// Whether only the first instance's own judgement can stop a version.
    one_judge: bool,
}

/// One instance; none of its tasks runs after [`Site::lose`].
pub struct Instance {
    pub config: config::Handle,
    pub client: Client,
    pub recorder: Recorder,
    control: Option<Handle>,
    tasks: Vec<AbortHandle>,
}

/// Handles that receive messages, by instance, and the links that are cut, as pairs of sender and
/// receiver.
#[derive(Default)]
struct Links {
    handles: Vec<(config::Handle, Handle)>,
    cut: BTreeSet<(usize, usize)>,
}

/// What happened to requests, and how bad `m@2` is.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Failed ratings per thousand of `m@2`.
    pub failures_per_mille: u64,
    /// Number of answers of `m@2`.
    pub new: u64,
    /// New sessions that were routed to `m@2`: the instance and the time of
    /// each.
    pub exposures: Vec<(usize, Instant)>,
}

pub fn rollout_id() -> rollout::Id {
    rollout::Id::parse("r").unwrap()
}

pub fn new_version() -> Version {
    Version::parse("m@2").unwrap()
}

impl Site {
    /// Opens a fleet with all objects in force except the roll-out.
    pub async fn open(instances: usize) -> Self {
        Self::open_with(instances, false).await
    }

    /// Opens a fleet in which only the first instance's own evidence can stop
    /// a version.
    pub async fn open_with_one_judge(instances: usize) -> Self {
        Self::open_with(instances, true).await
    }

    async fn open_with(instances: usize, one_judge: bool) -> Self {
        let mut site = Self {
            platform: Platform::open(),
            instances: Vec::new(),
            engines: Engines::default(),
            links: Arc::default(),
            traffic: Arc::new(Mutex::new(Traffic {
                failures_per_mille: GOOD_FAILURES_PER_MILLE,
                ..Traffic::default()
            })),
            one_judge,
        };
        for _ in 0..instances {
            site.start().await;
        }
        let objects = Object::parse_file(OBJECTS).unwrap();
        let edits = objects.into_iter().map(|object| Edit::Put(object, Expected::Any)).collect();
        site.instances[0].config.apply("ann", edits).await.unwrap();
        support::seconds(2.0).await;
        site
    }

    /// Starts one more instance.
    pub async fn start(&mut self) {
        let number = self.instances.len();
        let (client, platform) = support::platform(&self.platform, number);
        let recorder = support::recorder(number);
        let mut settings = config::Settings::new(support::instance(number), Domain::parse("d0").unwrap());
        settings.seed = Some(1);
        let (config, outbound) = config::spawn(settings, platform.clone(), recorder.clone());
        config.set_reader(true).await;
        let dependencies = Dependencies {
            platform,
            config: config.clone(),
            engines: self.engines.spawn(),
            recorder: recorder.clone(),
        };
        let mut settings = Settings::new(support::instance(number), Incarnation(1));
        if self.one_judge && number > 0 {
            settings.guard.alpha = f64::MIN_POSITIVE;
        }
        let (control, updates) = control::spawn(settings, dependencies);
        lock(&self.links).handles.push((config.clone(), control.clone()));
        let requests = send_requests(number, config.clone(), control.clone(), self.traffic.clone());
        let tasks = vec![
            tokio::spawn(deliver_config(self.links.clone(), number, outbound)).abort_handle(),
            tokio::spawn(deliver_updates(self.links.clone(), number, updates)).abort_handle(),
            tokio::spawn(requests).abort_handle(),
        ];
        self.instances.push(Instance { config, client, recorder, control: Some(control), tasks });
    }

    /// Loses an instance at once: it is cut off from all others and its
    /// handles are gone.
    pub fn lose(&mut self, number: usize) {
        for other in 0..self.instances.len() {
            self.cut(number, other, true);
        }
        let instance = &mut self.instances[number];
        instance.client.set_down(true);
        instance.tasks.iter().for_each(AbortHandle::abort);
        instance.control = None;
    }

    /// Shuts an instance down in order: its tasks end while it can still reach
    /// all others.
    pub fn leave(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.tasks.iter().for_each(AbortHandle::abort);
        instance.control = None;
        lock(&self.links).handles[number].1 = control::inert();
    }

    /// Cuts or restores both directions of a link.
    pub fn cut(&self, a: usize, b: usize, cut: bool) {
        let mut links = lock(&self.links);
        for link in [(a, b), (b, a)] {
            if cut {
                links.cut.insert(link)
            } else {
                links.cut.remove(&link)
            };
        }
    }

    /// Makes `m@2` fail this many ratings per thousand.
    pub fn set_failure_rate(&self, failures_per_mille: u64) {
        lock(&self.traffic).failures_per_mille = failures_per_mille;
    }

    pub fn traffic(&self) -> Traffic {
        lock(&self.traffic).clone()
    }

    /// Applies an operator's action at an instance.
    pub async fn operate(&self, number: usize, action: &Action) -> Result<(), String> {
        let config = &self.instances[number].config;
        let object =
            operate::resulting_object(&config.current(), &rollout_id(), action).map_err(|error| error.to_string())?;
        let key = Key { kind: Kind::Rollout, name: rollout_id().to_string() };
        let expected = config.revision(&key).map_or(Expected::Absent, |revision| Expected::At(revision.generation));
        let applied = config.apply("ann", vec![Edit::Put(object, expected)]).await;
        applied.map(|_| ()).map_err(|error| error.to_string())
    }

    /// Starts the roll-out, with steps short enough for a test.
    pub async fn roll_out(&self) {
        let mut rollout = Rollout::new(new_version(), Number::parse("1").unwrap());
        rollout.steps = vec![0.05, 0.25, 0.5, 1.0];
        rollout.step_ms = 4_000;
        let edit = Edit::Put(Object::Rollout(rollout_id(), rollout), Expected::Absent);
        self.instances[0].config.apply("ann", vec![edit]).await.unwrap();
    }

    /// Returns the roll-out in an instance's catalog.
    pub fn rollout(&self, number: usize) -> Option<Rollout> {
        self.instances[number].config.current().rollouts().get(&rollout_id()).cloned()
    }

    /// Waits until the roll-out in an instance's catalog satisfies `wanted`.
    pub async fn wait(&self, number: usize, mut wanted: impl FnMut(&Rollout) -> bool) -> Rollout {
        let waiting = async {
            loop {
                if let Some(rollout) = self.rollout(number).filter(|rollout| wanted(rollout)) {
                    return rollout;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        let reached = timeout(Duration::from_mins(20), waiting).await;
        reached.unwrap_or_else(|_| panic!("state not reached, roll-out is {:?}", self.rollout(number)))
    }

    pub async fn wait_for(&self, number: usize, state: State) -> Rollout {
        self.wait(number, |rollout| rollout.state == state).await
    }

    /// Returns the instance whose take-over of the lease has the highest
    /// epoch.
    pub fn coordinator(&self) -> usize {
        let last_epoch = |instance: &Instance| {
            let page = instance.recorder.query(&Filter::default());
            page.records.iter().rev().find_map(|record| match &record.event {
                Event::TakeOver { epoch, .. } => Some(*epoch),
                _ => None,
            })
        };
        let (number, _) = self.instances.iter().enumerate().max_by_key(|(_, i)| last_epoch(i)).unwrap();
        number
    }

    /// Reports answers of one session of `m@2`, each with a failed rating.
    pub fn fail_session(&self, number: usize, answers: usize) {
        let control = self.instances[number].control.as_ref().expect("not lost");
        let customer = Customer::parse("c").unwrap();
        for _ in 0..answers {
            let outcome = Outcome::Rated { pass: false };
            let unit = Unit(1);
            control.observe(Observation { customer: customer.clone(), unit, version: new_version(), outcome });
        }
    }

    /// Returns the number of orders of a kind on all timelines.
    pub fn orders(&self, kind: Wanted) -> usize {
        let count = |instance: &Instance| {
            let records = instance.recorder.query(&Filter::default()).records;
            let wanted = |event: &Event| matches!(event, Event::Order { wanted, .. } if *wanted == kind);
            records.iter().filter(|record| wanted(&record.event)).count()
        };
        self.instances.iter().map(count).sum()
    }

    /// Returns whether the version is stopped at an instance, by the guard or
    /// in the catalog.
    pub fn is_stopped(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let withdrawn = self.rollout(number).is_some_and(|rollout| rollout.state == State::Withdrawn);
        withdrawn || instance.control.as_ref().is_none_or(|control| control.stops().contains(&new_version()))
    }
}

/// Sends sessions of one request each, until aborted.
async fn send_requests(number: usize, config: config::Handle, control: Handle, traffic: Arc<Mutex<Traffic>>) {
    let mut random = StdRng::seed_from_u64(number as u64);
    let customer = Customer::parse("c").unwrap();
    let model = model::Id::parse("m").unwrap();
    let new = new_version();
    loop {
        sleep(Duration::from_millis(1_000 / REQUESTS_PER_SECOND)).await;
        let catalog = config.current();
        let Some(contract) = catalog.contract(&customer) else { continue };
        let unit = Unit(random.random());
        let open = exposure::startable_versions(&catalog, &control.stops(), contract, &model, unit);
        let Some(version) = open.first() else { continue };
        let failure_rate = {
            let mut traffic = lock(&traffic);
            if *version == new {
                traffic.new += 1;
                traffic.exposures.push((number, Instant::now()));
                traffic.failures_per_mille
            } else {
                GOOD_FAILURES_PER_MILLE
            }
        };
        let latency_ms = random.random_range(100..1_000);
        let pass = random.random_range(0..1_000) >= failure_rate;
        for outcome in [Outcome::Answered { latency_ms }, Outcome::Rated { pass }] {
            control.observe(Observation { customer: customer.clone(), unit, version: version.clone(), outcome });
        }
    }
}

/// Delivers an instance's control updates to the instances it can reach.
async fn deliver_updates(links: Arc<Mutex<Links>>, from: usize, mut updates: mpsc::Receiver<Bytes>) {
    while let Some(bytes) = updates.recv().await {
        for (_, control) in reachable(&links, from) {
            let bytes = bytes.clone();
            tokio::spawn(async move {
                sleep(LINK_DELAY).await;
                control.receive(bytes);
            });
        }
    }
}

/// Delivers an instance's configuration messages to the instances it can reach.
async fn deliver_config(links: Arc<Mutex<Links>>, from: usize, mut outbound: mpsc::Receiver<Outbound>) {
    while let Some(Outbound::News(bytes) | Outbound::Request { bytes, .. }) = outbound.recv().await {
        for (config, _) in reachable(&links, from) {
            let bytes = bytes.clone();
            tokio::spawn(async move {
                sleep(LINK_DELAY).await;
                config.offer(bytes).await;
            });
        }
    }
}

/// Returns the handles of the other instances with an intact link.
fn reachable(links: &Mutex<Links>, from: usize) -> Vec<(config::Handle, Handle)> {
    let links = lock(links);
    let handles = links.handles.iter().enumerate();
    handles.filter(|(to, _)| *to != from && !links.cut.contains(&(from, *to))).map(|(_, end)| end.clone()).collect()
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
