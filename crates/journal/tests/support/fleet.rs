//! Instances in one process, on a fake platform, with peer calls as channels.
//! Shared by the other test files.

#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use journal::{Bill, Config, Handle, Member, Origin, Outbound, bill::Item};
use store::{Settings, fake};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};
use world::{
    instance::{self, Incarnation},
    model::Version,
    money::Amount,
    request,
    time::Timestamp,
};

/// Wall-clock time at the start of every test.
pub const START: Timestamp = Timestamp(1_800_000_000_000);
/// Longest wait of a test's calls.
pub const LONG: Duration = Duration::from_secs(20);

/// Instances on one platform.
#[derive(Debug)]
pub struct Fleet {
    pub platform: fake::Platform,
    pub nodes: Vec<Node>,
    links: Arc<Mutex<Links>>,
    config: fn(&mut Config),
}

#[derive(Debug, Clone)]
pub struct Node {
    pub client: fake::Client,
    pub journal: Handle,
    pub store: store::Handle,
    pub member: Member,
}

#[derive(Debug, Default)]
struct Links {
    handles: HashMap<instance::Id, Handle>,
    cut: HashSet<instance::Id>,
}

impl Fleet {
    /// So many instances that know each other, each in a domain of its own.
    pub fn new(size: u64, config: fn(&mut Config)) -> Self {
        let mut fleet = Self { platform: fake::Platform::open(), nodes: Vec::new(), links: Arc::default(), config };
        for n in 0..size {
            fleet.start(n, 1);
        }
        fleet.meet(&(0..fleet.nodes.len()).collect::<Vec<_>>());
        fleet
    }

    /// Starts an instance; it knows only itself.
    pub fn start(&mut self, n: u64, incarnation: u64) -> usize {
        let id = instance::Id::parse(&format!("i{n}")).expect("a name");
        let origin = Origin { instance: id.clone(), incarnation: Incarnation(incarnation) };
        let domain = format!("d{n}").parse().expect("a name");
        let member = Member { id: id.clone(), incarnation: Incarnation(incarnation), domain, live: true };
        let mut config = Config::new(origin, member.domain.clone());
        config.clock = journal::Clock::starting(START);
        config.seed = Some(n);
        config.segments_per_s = 1_000.0;
        (self.config)(&mut config);
        let client = self.platform.client();
        let settings = Settings::fake(format!("{id}/{incarnation}"), n);
        let store = store::open_with(settings, Arc::new(client.clone()));
        let (outbound, calls) = mpsc::channel(100);
        let journal = journal::spawn(config, store.clone(), outbound);
        tokio::spawn(carry(self.links.clone(), id.clone(), calls));
        self.links.lock().expect("not poisoned").handles.insert(id, journal.clone());
        self.nodes.push(Node { client, journal, store, member });
        self.nodes.len() - 1
    }

    /// Starts further instances with another configuration.
    pub fn set_config(&mut self, config: fn(&mut Config)) {
        self.config = config;
    }

    /// Waits until every home has opened its shards: the next write of a
    /// client is the one that a test means.
    pub async fn ready(&self) {
        tokio::time::sleep(Duration::from_secs(5)).await;
    }

    /// Tells the nodes of `who` that just they are members.
    pub fn meet(&self, who: &[usize]) {
        let members: Vec<_> = who.iter().map(|n| self.nodes[*n].member.clone()).collect();
        for n in who {
            self.nodes[*n].journal.set_members(members.clone());
        }
    }

    /// Cuts an instance's peer links, or mends them.
    pub fn cut(&self, n: usize, cut: bool) {
        let id = self.nodes[n].member.id.clone();
        let mut links = self.links.lock().expect("not poisoned");
        if cut {
            links.cut.insert(id)
        } else {
            links.cut.remove(&id)
        };
    }

    /// Pauses an instance as far as others see: no links, no platform.
    pub fn pause(&self, n: usize, paused: bool) {
        self.cut(n, paused);
        self.nodes[n].client.set_down(paused);
    }

    pub fn journal(&self, n: usize) -> &Handle {
        &self.nodes[n].journal
    }

    /// Which node is the home of a request among the first `size` nodes.
    pub fn home_of(&self, id: &request::Id) -> usize {
        let config = self.nodes[0].journal.config();
        let members = self.nodes.iter().map(|n| n.member.clone()).collect();
        let placement = journal::placement::Placement::new(members, config.shards);
        let home = placement.home(journal::record::Digest::request(id).shard(config.shards)).expect("a home").clone();
        self.nodes.iter().position(|n| n.member.id == home).expect("a node")
    }

    /// Bills as the platform's own dump shows them.
    pub fn dumped_bills(&self) -> Vec<Bill> {
        let objects = self.platform.objects();
        let values = objects.iter().map(|o| (o.key.as_str(), o.value.as_deref().unwrap_or_default()));
        journal::audit::bills(values).expect("the journal reads")
    }
}

async fn carry(links: Arc<Mutex<Links>>, from: instance::Id, mut calls: mpsc::Receiver<Outbound>) {
    while let Some(Outbound { to, bytes, reply }) = calls.recv().await {
        let target = {
            let links = links.lock().expect("not poisoned");
            let open = !links.cut.contains(&from) && !links.cut.contains(&to);
            links.handles.get(&to).filter(|_| open).cloned()
        };
        if let Some(target) = target {
            tokio::spawn(serve(links.clone(), from.clone(), to, target, bytes, reply));
        }
    }
}

async fn serve(
    links: Arc<Mutex<Links>>,
    from: instance::Id,
    to: instance::Id,
    target: Handle,
    bytes: bytes::Bytes,
    reply: oneshot::Sender<bytes::Bytes>,
) {
    let answer = target.serve(&bytes).await;
    let links = links.lock().expect("not poisoned");
    if !links.cut.contains(&from) && !links.cut.contains(&to) {
        let _ = reply.send(answer);
    }
}

pub fn id(key: &str) -> request::Id {
    request::Id { customer: "c".parse().expect("a name"), key: key.parse().expect("a name") }
}

pub fn bill(key: &str, amount: u64) -> Bill {
    Bill {
        id: id(key),
        at: START,
        amount: Amount(amount),
        currency: "EUR".to_owned().try_into().expect("a currency"),
        item: Item::Version(Version::parse("m@1").expect("a version")),
        input_tokens: 1,
        output_tokens: 2,
        attempts: 1,
        grant: None,
    }
}

pub fn soon() -> Instant {
    Instant::now() + LONG
}

pub fn within(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
