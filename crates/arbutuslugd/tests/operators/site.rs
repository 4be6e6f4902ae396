//! Instances of one process: configuration, journal, peer links, listener.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arbutuslug::{Console, Environment, Exit};
use arbutuslugd::operators::{self, Duty, Handles, Listener, Phase};
use config::{Outbound, Scope};
use metrics_exporter_prometheus::PrometheusBuilder;
use peer::{Inbound, Key, Timing, Topic};
use settings::Secret;
use store::fake::Platform;
use timeline::{Capacity, Recorder, Source};
use tokio::{net::TcpListener, sync::mpsc, sync::watch};
use tokio_util::sync::CancellationToken;
use world::{
    domain::Domain,
    instance::{Id, Incarnation, Instance, State},
};

/// The operators' key of every site.
pub const KEY: &str = "operators-key-of-the-test-site";

/// Long enough for any test; none asserts how long a thing takes.
const PATIENCE: Duration = Duration::from_mins(1);

/// Far above scheduling noise.
const TIMING: Timing = Timing { heartbeat: 50, silence: 3_000, suspicion: 1_000, forget: 600_000 };

/// Instances on one fake platform.
pub struct Site {
    pub platform: Platform,
    pub nodes: Vec<Node>,
}

/// One instance.
pub struct Node {
    pub handles: Handles,
    pub duty: watch::Sender<Duty>,
    pub listener: Listener,
}

/// What a run of the tool left.
#[derive(Debug)]
pub struct Ran {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

impl Site {
    /// Opens a site whose instances know each other.
    pub async fn open(instances: usize) -> Self {
        let platform = Platform::open();
        let mut nodes: Vec<Node> = Vec::new();
        for index in 0..instances {
            let seeds = nodes.iter().map(|node| node.handles.peer.address()).collect();
            nodes.push(Node::start(&platform, index, seeds).await);
        }
        for node in &nodes {
            let mut members = node.handles.peer.members();
            let met = members.wait_for(|members| members.live().count() == instances);
            tokio::time::timeout(PATIENCE, met).await.expect("instances meet").expect("links run");
        }
        Self { platform, nodes }
    }

    /// Runs the tool against every instance.
    pub async fn run(&self, args: &[&str]) -> Ran {
        let addresses: Vec<_> = self.nodes.iter().map(|node| node.listener.address()).collect();
        run(&addresses, KEY, args).await
    }

    /// Runs the tool and expects success.
    pub async fn done(&self, args: &[&str]) -> String {
        let ran = self.run(args).await;
        assert_eq!(ran.exit, Exit::Done, "{args:?}: {ran:?}");
        ran.out
    }

    /// Applies objects and expects success.
    pub async fn apply(&self, objects: &str) -> String {
        let file = File::of(objects);
        self.done(&["apply", file.path()]).await
    }

    /// Waits until some instance shows another in a state.
    pub async fn wait_for_state(&self, seen_from: usize, of: &str, state: State) {
        let id = Id::parse(of).unwrap();
        let mut members = self.nodes[seen_from].handles.peer.members();
        let reached = members.wait_for(|members| members.get(&id).is_some_and(|member| member.state == state));
        tokio::time::timeout(PATIENCE, reached).await.expect("in time").expect("links run");
    }
}

impl Node {
    async fn start(platform: &Platform, index: usize, seeds: Vec<SocketAddr>) -> Self {
        let id = Id::parse(&format!("i{index}")).unwrap();
        let domain = Domain::parse(&format!("d{index}")).unwrap();
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = TcpListener::bind(local).await.unwrap();
        let me = Instance {
            id: id.clone(),
            incarnation: Incarnation(1),
            domain: domain.clone(),
            callers: local,
            peers: local,
            operators: socket.local_addr().unwrap(),
            state: State::Live,
        };
        let client = platform.client();
        let store = store::open_with(store::Settings::fake(format!("{id}/1"), 1), Arc::new(client));
        let source = Source { instance: id.clone(), incarnation: Incarnation(1) };
        let recorder = Recorder::open(source, Capacity::default());
        let (config, outbound) =
            config::spawn(config::Settings::new(id.clone(), domain.clone()), store.clone(), recorder.clone());
        // One reader: the others hear of changes over peer links.
        config.set_reader(index == 0).await;
        let origin = journal::Origin { instance: id, incarnation: Incarnation(1) };
        let (calls, _) = mpsc::channel(16);
        let journal = journal::spawn(journal::Config::new(origin, domain), store, calls);
        let mut settings = peer::Settings::new(me, local, seeds, Key::new("peers"));
        settings.timing = TIMING;
        settings.recorder = Some(recorder.clone());
        let (peer, inbound) = peer::spawn(settings).await.unwrap();
        let (duty, watched) = watch::channel(Duty { phase: Phase::Serving, in_flight: 0 });
        let handles = Handles {
            config,
            journal,
            peer,
            recorder,
            duty: watched,
            leave: CancellationToken::new(),
            metrics: PrometheusBuilder::new().build_recorder().handle(),
            key: Secret::new(KEY),
        };
        tokio::spawn(pump_out(handles.clone(), outbound));
        tokio::spawn(pump_in(handles.clone(), inbound));
        let listener = operators::bind(socket, handles.clone()).unwrap();
        Self { handles, duty, listener }
    }
}

async fn pump_out(handles: Handles, mut outbound: mpsc::Receiver<Outbound>) {
    while let Some(message) = outbound.recv().await {
        match message {
            Outbound::News(bytes) => drop(handles.peer.publish(Topic::Config, bytes).await),
            Outbound::Request { bytes, scope: Scope::One | Scope::EachDomain } => {
                let members = handles.peer.members().borrow().clone();
                for id in members.others.keys() {
                    if let Ok(answer) = handles.peer.call(id, Topic::Config, bytes.clone(), PATIENCE).await {
                        handles.config.offer(answer).await;
                    }
                }
            }
        }
    }
}

async fn pump_in(handles: Handles, mut inbound: mpsc::Receiver<Inbound>) {
    while let Some(message) = inbound.recv().await {
        match message {
            Inbound::Call { topic: Topic::Config, body, reply, .. } => drop(reply.send(handles.config.serve(&body))),
            Inbound::Call { topic: Topic::Operator, body, reply, .. } => {
                drop(reply.send(operators::answer(&handles, &body)));
            }
            Inbound::News { topic: Topic::Config, body, .. } => handles.config.offer(body).await,
            _ => {}
        }
    }
}

/// Runs the tool against some addresses.
pub async fn run(addresses: &[SocketAddr], key: &str, args: &[&str]) -> Ran {
    let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    let environment = Environment {
        address: Some(addresses.join(",")),
        key: Some(key.into()),
        author: Some("mari".into()),
        ..Environment::default()
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = std::iter::once("arbutuslug").chain(args.iter().copied()).map(Into::into);
    let exit = arbutuslug::run(args, &environment, &mut Console::new(&mut out, &mut err)).await;
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    Ran { exit, out: text(out), err: text(err) }
}

/// A file of objects that goes with the value.
pub struct File(std::path::PathBuf);

impl File {
    pub fn of(text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("arbutuslug-{}.yaml", uuid::Uuid::new_v4()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().expect("UTF-8")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
