//! Instances with control on one fake platform, engines and traffic beside
//! them, peer links as tasks of one process.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use config::{Edit, Expected, Outbound};
use control::{
    Edges, Handle, Observation, Settings,
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

/// How long a message between two instances is under way: the news delay.
pub const LINK: Duration = Duration::from_millis(200);

/// Requests a second at each instance.
const RATE: u64 = 50;

/// Failed ratings in a thousand of a good version.
const GOOD: u64 = 50;

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

/// One instance; nothing in it works on after [`Site::lose`].
pub struct Instance {
    pub config: config::Handle,
    pub client: Client,
    pub recorder: Recorder,
    control: Option<Handle>,
    tasks: Vec<AbortHandle>,
}

#[derive(Default)]
struct Links {
    ends: Vec<(config::Handle, Handle)>,
    cut: BTreeSet<(usize, usize)>,
}

/// What requests met.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Failed ratings in a thousand of `m@2`.
    pub bad: u64,
    /// Answers of `m@2`.
    pub new: u64,
    /// New sessions that `m@2` took, by instance, at their times.
    pub exposures: Vec<(usize, Instant)>,
}

pub fn rollout_id() -> rollout::Id {
    rollout::Id::parse("r").unwrap()
}

pub fn new_version() -> Version {
    Version::parse("m@2").unwrap()
}

impl Site {
    /// Opens a fleet with everything but the roll-out in force.
    pub async fn open(instances: usize) -> Self {
        Self::open_with(instances, false).await
    }

    /// The same, with the first instance alone judging versions.
    pub async fn open_with_one_judge(instances: usize) -> Self {
        Self::open_with(instances, true).await
    }

    async fn open_with(instances: usize, one_judge: bool) -> Self {
        let mut site = Self {
            platform: Platform::open(),
            instances: Vec::new(),
            engines: Engines::default(),
            links: Arc::default(),
            traffic: Arc::new(Mutex::new(Traffic { bad: GOOD, ..Traffic::default() })),
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
        let edges =
            Edges { platform, config: config.clone(), engines: self.engines.spawn(), recorder: recorder.clone() };
        let mut settings = Settings::new(support::instance(number), Incarnation(1));
        if self.one_judge && number > 0 {
            settings.guard.alpha = f64::MIN_POSITIVE;
        }
        let (control, news) = control::spawn(settings, edges);
        lock(&self.links).ends.push((config.clone(), control.clone()));
        let requests = requests(number, config.clone(), control.clone(), self.traffic.clone());
        let tasks = vec![
            tokio::spawn(carry_config(self.links.clone(), number, outbound)).abort_handle(),
            tokio::spawn(carry_news(self.links.clone(), number, news)).abort_handle(),
            tokio::spawn(requests).abort_handle(),
        ];
        self.instances.push(Instance { config, client, recorder, control: Some(control), tasks });
    }

    /// An instance dies at once: cut off from everybody, all its handles gone.
    pub fn lose(&mut self, number: usize) {
        for other in 0..self.instances.len() {
            self.cut(number, other, true);
        }
        let instance = &mut self.instances[number];
        instance.client.set_down(true);
        instance.tasks.iter().for_each(AbortHandle::abort);
        instance.control = None;
    }

    /// An instance leaves in order: its work ends while everybody can still
    /// be reached.
    pub fn leave(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.tasks.iter().for_each(AbortHandle::abort);
        instance.control = None;
        lock(&self.links).ends[number].1 = control::idle();
    }

    /// Cuts or joins both directions of a link.
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

    /// Makes `m@2` fail this many ratings in a thousand.
    pub fn set_bad(&self, bad: u64) {
        lock(&self.traffic).bad = bad;
    }

    pub fn traffic(&self) -> Traffic {
        lock(&self.traffic).clone()
    }

    /// An operator's action at an instance.
    pub async fn operate(&self, number: usize, action: &Action) -> Result<(), String> {
        let config = &self.instances[number].config;
        let object = operate::act(&config.current(), &rollout_id(), action).map_err(|error| error.to_string())?;
        let key = Key { kind: Kind::Rollout, name: rollout_id().to_string() };
        let expected = config.revision(&key).map_or(Expected::Absent, |revision| Expected::At(revision.generation));
        let applied = config.apply("ann", vec![Edit::Put(object, expected)]).await;
        applied.map(|_| ()).map_err(|error| error.to_string())
    }

    /// Begins the roll-out, with steps that suit a test.
    pub async fn roll_out(&self) {
        let mut rollout = Rollout::new(new_version(), Number::parse("1").unwrap());
        rollout.steps = vec![0.05, 0.25, 0.5, 1.0];
        rollout.step_ms = 4_000;
        let edit = Edit::Put(Object::Rollout(rollout_id(), rollout), Expected::Absent);
        self.instances[0].config.apply("ann", vec![edit]).await.unwrap();
    }

    /// The roll-out as an instance's catalog has it.
    pub fn rollout(&self, number: usize) -> Option<Rollout> {
        self.instances[number].config.current().rollouts().get(&rollout_id()).cloned()
    }

    /// Waits until an instance's catalog has the roll-out as wanted.
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
        reached.unwrap_or_else(|_| panic!("never came, stands at {:?}", self.rollout(number)))
    }

    pub async fn wait_for(&self, number: usize, state: State) -> Rollout {
        self.wait(number, |rollout| rollout.state == state).await
    }

    /// The instance that took the lease last, among those that are left.
    pub fn leader(&self) -> usize {
        let takes = |instance: &Instance| {
            let page = instance.recorder.query(&Filter::default());
            page.records.iter().rev().find_map(|record| match &record.event {
                Event::TakeOver { epoch, .. } => Some(*epoch),
                _ => None,
            })
        };
        let (number, _) = self.instances.iter().enumerate().max_by_key(|(_, i)| takes(i)).unwrap();
        number
    }

    /// One session of `m@2` whose every answer fails its rating.
    pub fn fail_session(&self, number: usize, answers: usize) {
        let control = self.instances[number].control.as_ref().expect("not lost");
        let customer = Customer::parse("c").unwrap();
        for _ in 0..answers {
            let outcome = Outcome::Rated { pass: false };
            let unit = Unit(1);
            control.observe(Observation { customer: customer.clone(), unit, version: new_version(), outcome });
        }
    }

    /// Orders of a kind on all time lines.
    pub fn orders(&self, kind: Wanted) -> usize {
        let of = |instance: &Instance| {
            let records = instance.recorder.query(&Filter::default()).records;
            let wanted = |event: &Event| matches!(event, Event::Order { wanted, .. } if *wanted == kind);
            records.iter().filter(|record| wanted(&record.event)).count()
        };
        self.instances.iter().map(of).sum()
    }

    /// Whether the version is stopped at an instance, by signal or by catalog.
    pub fn is_stopped(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let withdrawn = self.rollout(number).is_some_and(|rollout| rollout.state == State::Withdrawn);
        withdrawn || instance.control.as_ref().is_none_or(|control| control.stops().contains(&new_version()))
    }
}

/// Sessions of one request each, until aborted.
async fn requests(number: usize, config: config::Handle, control: Handle, traffic: Arc<Mutex<Traffic>>) {
    let mut random = StdRng::seed_from_u64(number as u64);
    let customer = Customer::parse("c").unwrap();
    let model = model::Id::parse("m").unwrap();
    let new = new_version();
    loop {
        sleep(Duration::from_millis(1_000 / RATE)).await;
        let catalog = config.current();
        let Some(contract) = catalog.contract(&customer) else { continue };
        let unit = Unit(random.random());
        let open = exposure::startable_versions(&catalog, &control.stops(), contract, &model, unit);
        let Some(version) = open.first() else { continue };
        let share = {
            let mut traffic = lock(&traffic);
            if *version == new {
                traffic.new += 1;
                traffic.exposures.push((number, Instant::now()));
                traffic.bad
            } else {
                GOOD
            }
        };
        let latency_ms = random.random_range(100..1_000);
        let pass = random.random_range(0..1_000) >= share;
        for outcome in [Outcome::Answered { latency_ms }, Outcome::Rated { pass }] {
            control.observe(Observation { customer: customer.clone(), unit, version: version.clone(), outcome });
        }
    }
}

async fn carry_news(links: Arc<Mutex<Links>>, from: usize, mut news: mpsc::Receiver<Bytes>) {
    while let Some(bytes) = news.recv().await {
        for (_, control) in reachable(&links, from) {
            let bytes = bytes.clone();
            tokio::spawn(async move {
                sleep(LINK).await;
                control.heard(bytes);
            });
        }
    }
}

async fn carry_config(links: Arc<Mutex<Links>>, from: usize, mut outbound: mpsc::Receiver<Outbound>) {
    while let Some(Outbound::News(bytes) | Outbound::Want { bytes, .. }) = outbound.recv().await {
        for (config, _) in reachable(&links, from) {
            let bytes = bytes.clone();
            tokio::spawn(async move {
                sleep(LINK).await;
                config.offer(bytes).await;
            });
        }
    }
}

fn reachable(links: &Mutex<Links>, from: usize) -> Vec<(config::Handle, Handle)> {
    let links = lock(links);
    let ends = links.ends.iter().enumerate();
    ends.filter(|(to, _)| *to != from && !links.cut.contains(&(from, *to))).map(|(_, end)| end.clone()).collect()
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
