//! One instance with its stand-ins, each on threads of its own.

use std::{net::SocketAddr, time::Duration};

use arbutuslugd::Daemon;
use operator::{Change, Client, Edit, Target, What};
use settings::Settings;
use standin::{
    engine::{self, Engine},
    objects::{self, Limits, Objects},
};
use tokio::runtime::{Builder, Runtime};
use world::{contract::Key, object::Object};

/// The caller's key.
pub const KEY: &str = "bench-caller";
/// The version that answers.
pub const VERSION: &str = "summary@3";
/// Writes and reads a second the platform takes, as its users state them.
const PLATFORM: Limits = Limits { writes_per_s: 300.0, reads_per_s: 2_000.0, seed: 0 };
/// One way to the platform and back: it answers in milliseconds.
const PLATFORM_MS: u64 = 2;

/// Everything that runs.
pub struct Rig {
    /// The instance; its threads are named `bench-1`.
    pub instance: Daemon,
    /// The engine's address.
    pub engine: SocketAddr,
    _handles: (objects::Handle, engine::Handle),
    _runtimes: [Runtime; 3],
}

/// Threads of the instance; entry instances are small.
const INSTANCE_THREADS: usize = 2;
/// Longest wait for the operators' listener.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the instance and so of its thread.
pub const INSTANCE: &str = "bench-1";

impl Rig {
    /// Starts everything and applies the configuration.
    pub fn spawn(options: engine::Options) -> Self {
        let outside = runtime("platform", 1);
        let engines = runtime("engine", 4);
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let objects = outside.block_on(Objects::bind(loopback, PLATFORM)).expect("a port is free");
        objects.switch(objects::Switch::Slow { ms: PLATFORM_MS });
        let engine = engines.block_on(Engine::bind(loopback, options)).expect("a port is free");
        let mut settings = Settings::local(name(INSTANCE), name("a"), objects.addr());
        (settings.platform.writes_per_s, settings.platform.reads_per_s) = (300, 1_000);
        let own = runtime(INSTANCE, INSTANCE_THREADS);
        let instance = own.block_on(Daemon::spawn(settings)).expect("the instance starts");
        outside.block_on(configure(instance.operators(), engine.addr()));
        Self { instance, engine: engine.addr(), _handles: (objects, engine), _runtimes: [outside, engines, own] }
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn runtime(name: &str, threads: usize) -> Runtime {
    let built = Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build();
    built.expect("the machine gives threads")
}

/// Applies one customer, one model, one pool, as the tool would.
async fn configure(operators: SocketAddr, engine: SocketAddr) {
    let objects = Object::parse_file(&objects(engine)).expect("the objects are well formed");
    let edits = objects.into_iter().map(|object| Edit { expected: None, what: What::Put(object) }).collect();
    let change = Change { id: "bench".into(), author: "bench".into(), edits };
    let key = Settings::local(name(INSTANCE), name("a"), operators).keys.operators.expose().to_owned();
    let mut client = Client::connect(&Target { address: operators, key, timeout: TIMEOUT })
        .await
        .expect("the operators' listener answers");
    client.apply(&change).await.expect("the change is accepted");
}

fn objects(engine: SocketAddr) -> String {
    let sha256 = Key::of(KEY).sha256;
    format!(
        r#"
kind: model
name: summary
spec: {{ versions: [ {{ version: "3", price: {{ input: "0.20", output: "0.60", currency: EUR }} }} ] }}
---
kind: pool
name: small
spec: {{ domain: a, serves: {{ versions: [summary@3] }}, endpoints: [ {{ name: small-1, address: "{engine}", slots: 4096 }} ] }}
---
kind: contract
name: club
spec:
  keys: [ {{ sha256: "{sha256}" }} ]
  models: [ {{ model: summary, versions: ["3"] }} ]
  budget: {{ amount: "1000000", currency: EUR, period: year }}
  rank: {{ weight: 1, deadline_ms: 600000 }}
"#
    )
}
