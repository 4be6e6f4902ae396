//! Seven instances' journals in this process, on a stand-in object API over
//! HTTP, with peer links as channels.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use journal::{Bill, Claimed, Clock, Config, Handle, Member, Origin, Outbound, bill::Item};
use standin::objects::{self, Limits, Objects, Switch};
use store::{Priority, Settings};
use tokio::{sync::mpsc, time::Instant};
use world::{
    instance::{self, Incarnation},
    model::Version,
    money::{Amount, Currency},
    request,
};

use super::INSTANCES;

/// The platform's rates.
const LIMITS: Limits = Limits { writes_per_s: 300.0, reads_per_s: 2_000.0, seed: 1 };
/// Its answers come after this.
const ANSWER_MS: u64 = 3;
/// One way between two instances.
const HOP: Duration = Duration::from_millis(1);
/// Failure domains of a region.
const DOMAINS: usize = 4;
/// Deadline of a call.
const DEADLINE: Duration = Duration::from_secs(5);

/// The instances.
#[derive(Debug)]
pub struct Fleet {
    pub nodes: Vec<Node>,
    objects: objects::Handle,
    links: Links,
    before: Mutex<Counted>,
    next: AtomicU64,
}

#[derive(Debug, Clone)]
pub struct Node {
    pub journal: Handle,
    pub platform: store::Handle,
}

/// Calls of the platform.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counted {
    pub writes: u64,
    pub reads: u64,
}

type Links = Arc<Mutex<HashMap<instance::Id, Handle>>>;

impl Fleet {
    /// Starts all instances and makes them known to each other.
    pub async fn start(set: impl Fn(&mut Config)) -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let objects = Objects::bind(address, LIMITS).await.expect("a port is free");
        objects.switch(Switch::Slow { ms: ANSWER_MS });
        let members: Vec<Member> = (0..INSTANCES).map(member).collect();
        let links = Links::default();
        let mut nodes = Vec::new();
        for member in &members {
            let origin = Origin { instance: member.id.clone(), incarnation: member.incarnation };
            let mut config = Config::new(origin, member.domain.clone());
            set(&mut config);
            let platform = store::open(Settings::new(objects.addr(), member.id.as_str()));
            let (outbound, calls) = mpsc::channel(10_000);
            let journal = journal::spawn(config, platform.clone(), outbound);
            links.lock().expect("not poisoned").insert(member.id.clone(), journal.clone());
            tokio::spawn(carry(links.clone(), calls));
            nodes.push(Node { journal, platform });
        }
        for node in &nodes {
            node.journal.set_members(members.clone());
        }
        Self { nodes, objects, links, before: Mutex::default(), next: AtomicU64::new(0) }
    }

    /// Has every home open its shards, so that this is not measured.
    pub async fn warm(&self) {
        for _ in 0..500 {
            let id = self.id();
            let deadline = Instant::now() + DEADLINE;
            self.nodes[0].journal.outcome(&id, deadline).await.expect("the platform answers");
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        self.count_anew();
    }

    /// Counts the platform's calls from here on.
    pub fn count_anew(&self) {
        *self.before.lock().expect("not poisoned") = self.counted();
    }

    /// Takes an instance away; the others know at once.
    pub fn lose(&self, n: usize) {
        let members: Vec<Member> = (0..INSTANCES).filter(|m| *m != n).map(member).collect();
        self.links.lock().expect("not poisoned").remove(&member(n).id);
        for node in self.nodes.iter().take(n) {
            node.journal.set_members(members.clone());
        }
    }

    /// Calls of the platform since the count began.
    pub fn calls(&self) -> Counted {
        let (now, before) = (self.counted(), *self.before.lock().expect("not poisoned"));
        Counted { writes: now.writes - before.writes, reads: now.reads - before.reads }
    }

    /// Claims a new key the plain way: one object.
    pub fn create_object(&self, n: usize) -> impl Future<Output = bool> + Send + 'static {
        let key = format!("claims/{}", self.id());
        let platform = self.nodes[n].platform.within(DEADLINE);
        async move { platform.create(Priority::Claim, &key, "claimed").await.is_ok_and(|write| write.is_done()) }
    }

    /// Claims a new key.
    pub fn claim(&self, n: usize) -> impl Future<Output = bool> + Send + 'static {
        let (id, journal) = (self.id(), self.nodes[n].journal.clone());
        async move {
            let now = Clock::System.now();
            journal.claim(&id, now, 1, Instant::now() + DEADLINE).await == Ok(Claimed::First)
        }
    }

    /// Bills a new key.
    pub fn bill(&self, n: usize) -> impl Future<Output = bool> + Send + 'static {
        let (bill, journal) = (bill(self.id()), self.nodes[n].journal.clone());
        async move { journal.bill(&bill, Instant::now() + DEADLINE).await.is_ok() }
    }

    /// Every receipt has its bill in the platform.
    pub async fn check_bills(&self, receipts: u64) {
        for node in &self.nodes {
            assert!(node.journal.flush(Instant::now() + DEADLINE * 12).await, "every bill is delivered");
        }
        let dump = self.objects.dump("journal/");
        let values: Vec<_> = dump.iter().map(|o| (o.key.clone(), o.value.to_string())).collect();
        let bills = journal::audit::bills(values.iter().map(|(k, v)| (k.as_str(), v.as_bytes())));
        let bills = u64::try_from(bills.expect("the journal reads").len()).unwrap_or_default();
        assert!(bills >= receipts, "{receipts} receipts, {bills} bills");
    }

    fn counted(&self) -> Counted {
        let calls = self.objects.calls();
        Counted { writes: calls.creates + calls.updates + calls.deletes, reads: calls.gets + calls.lists }
    }

    fn id(&self) -> request::Id {
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        request::Id {
            customer: "tousuvool".parse().expect("a name"),
            key: format!("01890a5d-ac96-774b-bcce-{n:012x}").parse().expect("a name"),
        }
    }
}

fn member(n: usize) -> Member {
    let id = format!("i{n}").parse().expect("a name");
    let domain = format!("d{}", n % DOMAINS).parse().expect("a name");
    Member { id, incarnation: Incarnation(1), domain, live: true }
}

fn bill(id: request::Id) -> Bill {
    Bill {
        id,
        at: Clock::System.now(),
        amount: Amount(1_000_000),
        currency: Currency::try_from("EUR".to_owned()).expect("a currency"),
        item: Item::Version(Version::parse("summary@4").expect("a version")),
        input_tokens: 1_200,
        output_tokens: 300,
        attempts: 1,
        grant: None,
    }
}

async fn carry(links: Links, mut calls: mpsc::Receiver<Outbound>) {
    while let Some(Outbound { to, bytes, reply }) = calls.recv().await {
        let target = links.lock().expect("not poisoned").get(&to).cloned();
        tokio::spawn(async move {
            let Some(target) = target else {
                return;
            };
            tokio::time::sleep(HOP).await;
            let answer = target.serve(&bytes).await;
            tokio::time::sleep(HOP).await;
            let _ = reply.send(answer);
        });
    }
}
