//! A test site: instances on one fake platform, with peer links simulated by tasks.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use config::{Edit, Error, Expected, Handle, Keep, Outbound, Scope, Settings};
use store::fake::{Client, Platform};
use timeline::{Capacity, Recorder, Source};
use tokio::{sync::mpsc, time::sleep};
use world::{Timestamp, domain::Domain, instance, object::Object};

/// Default transit time of a message between two instances.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// A fake platform with instances on it, one per failure domain.
pub struct Site {
    pub platform: Platform,
    pub instances: Vec<Instance>,
    links: Arc<Links>,
}

/// An instance with its platform client and recorder.
pub struct Instance {
    pub config: Handle,
    pub client: Client,
    pub recorder: Recorder,
}

/// State shared by all peer links.
struct Links {
    peers: Mutex<Vec<Handle>>,
    /// Whether each instance's links are cut, by index of the instance.
    cut: Mutex<Vec<bool>>,
    delay: Mutex<Duration>,
}

/// Options of a site and its instances.
#[derive(Clone, Copy)]
pub struct Options {
    pub instances: usize,
    /// Number of failure domains listed in the settings.
    pub domains: usize,
    pub keep: Keep,
    pub freshness: Duration,
    /// Whether instances watch the platform.
    pub readers: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { instances: 4, domains: 4, keep: Keep::default(), freshness: Duration::from_secs(5), readers: true }
    }
}

impl Site {
    pub async fn open(options: Options) -> Self {
        let links = Arc::new(Links { peers: Mutex::default(), cut: Mutex::default(), delay: Mutex::new(LINK_DELAY) });
        let mut site = Self { platform: Platform::open(), instances: Vec::new(), links };
        for _ in 0..options.instances {
            site.start(options).await;
        }
        site
    }

    /// Starts one more instance.
    pub async fn start(&mut self, options: Options) {
        let index = self.instances.len();
        let client = self.platform.client();
        let id = instance::Id::parse(&format!("i{index}")).expect("a name");
        let platform = store::open_with(store::Settings::fake(format!("i{index}/1"), 1), Arc::new(client.clone()));
        let mut settings = Settings::new(id.clone(), domain(index));
        settings.domains = (0..options.domains).map(domain).collect();
        settings.keep = options.keep;
        settings.freshness = options.freshness;
        settings.seed = Some(1);
        settings.clock = || Timestamp(1_000);
        let source = Source { instance: id, incarnation: instance::Incarnation(1) };
        let recorder = Recorder::open(source, Capacity::default());
        let (config, outbound) = config::spawn(settings, platform, recorder.clone());
        lock(&self.links.peers).push(config.clone());
        lock(&self.links.cut).push(false);
        tokio::spawn(deliver(self.links.clone(), index, outbound));
        config.set_reader(options.readers).await;
        self.instances.push(Instance { config, client, recorder });
    }

    pub fn config(&self, index: usize) -> &Handle {
        &self.instances[index].config
    }

    /// Cuts or restores an instance's peer links.
    pub fn cut(&self, index: usize, cut: bool) {
        lock(&self.links.cut)[index] = cut;
    }

    /// Sets the transit time of all messages from now on.
    pub fn slow_links(&self, delay: Duration) {
        *lock(&self.links.delay) = delay;
    }

    /// Returns the generation in force at each instance.
    pub fn generations(&self) -> Vec<u64> {
        self.instances.iter().map(|instance| instance.config.current().generation()).collect()
    }

    /// Waits until a generation is in force everywhere.
    pub async fn wait(&self, generation: u64) {
        for index in 0..self.instances.len() {
            self.wait_for(index, generation).await;
        }
    }

    /// Waits until a generation is in force at one instance.
    pub async fn wait_for(&self, index: usize, generation: u64) {
        let mut catalog = self.config(index).subscribe();
        let reached = catalog.wait_for(|catalog| catalog.generation() >= generation);
        let reached = tokio::time::timeout(Duration::from_mins(1), reached).await;
        assert!(reached.is_ok(), "generation {generation} is not in force: {:?}", self.generations());
    }
}

pub fn domain(index: usize) -> Domain {
    Domain::parse(&format!("d{index}")).expect("a name")
}

/// Returns a model with the given number of versions.
pub fn model(name: &str, versions: u32) -> Object {
    let versions: Vec<_> = (1..=versions)
        .map(|v| format!("{{ version: \"{v}\", price: {{ input: \"1\", output: \"1\", currency: EUR }} }}"))
        .collect();
    let text = format!("kind: model\nname: {name}\nspec: {{ versions: [{}] }}", versions.join(", "));
    Object::parse_file(&text).expect("a model").remove(0)
}

/// Applies one object unconditionally and returns its generation.
pub async fn put(config: &Handle, object: Object) -> Result<u64, Error> {
    config.apply("ann", vec![Edit::Put(object, Expected::Any)]).await.map(|applied| applied.generation)
}

async fn deliver(links: Arc<Links>, from: usize, mut outbound: mpsc::Receiver<Outbound>) {
    while let Some(message) = outbound.recv().await {
        match message {
            Outbound::News(bytes) => links.others(from).into_iter().for_each(|to| publish(&links, from, to, &bytes)),
            Outbound::Request { scope: Scope::EachDomain, bytes } => {
                links.others(from).into_iter().for_each(|to| call(&links, from, to, &bytes));
            }
            Outbound::Request { scope: Scope::One, bytes } => {
                if let Some(to) = links.others(from).first() {
                    call(&links, from, *to, &bytes);
                }
            }
        }
    }
}

impl Links {
    fn others(&self, from: usize) -> Vec<usize> {
        let cut = lock(&self.cut).clone();
        (0..cut.len()).filter(|to| *to != from && !cut[*to] && !cut[from]).collect()
    }

    fn peer(&self, index: usize) -> Handle {
        lock(&self.peers)[index].clone()
    }

    /// Waits for the transit time and returns whether the message arrives; it is lost
    /// if the link is cut by then.
    async fn transfer(&self, from: usize, to: usize) -> bool {
        let delay = *lock(&self.delay);
        sleep(delay).await;
        let cut = lock(&self.cut);
        !cut[from] && !cut[to]
    }
}

fn publish(links: &Arc<Links>, from: usize, to: usize, bytes: &Bytes) {
    let (links, bytes) = (links.clone(), bytes.clone());
    tokio::spawn(async move {
        if links.transfer(from, to).await {
            links.peer(to).offer(bytes).await;
        }
    });
}

fn call(links: &Arc<Links>, from: usize, to: usize, bytes: &Bytes) {
    let (links, bytes) = (links.clone(), bytes.clone());
    tokio::spawn(async move {
        if !links.transfer(from, to).await {
            return;
        }
        let answer = links.peer(to).serve(&bytes);
        if links.transfer(to, from).await {
            links.peer(from).offer(answer).await;
        }
    });
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
