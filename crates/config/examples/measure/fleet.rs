//! A fleet of instances with real peer links on a stand-in platform.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use config::{Outbound, Scope};
use peer::{Inbound, Topic};
use standin::objects::{self, Limits, Objects};
use store::Settings;
use timeline::{Capacity, Recorder, Source};
use tokio::sync::mpsc;
use world::{
    domain::Domain,
    hash,
    instance::{Id, Incarnation, Instance, State},
};

/// The platform's rate limits, shared by all instances.
const WRITES_PER_S: f64 = 300.0;
const READS_PER_S: f64 = 2_000.0;
/// Number of failure domains of the site.
pub const DOMAINS: usize = 4;
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

pub struct Fleet {
    pub platform: objects::Handle,
    pub members: Vec<Member>,
}

pub struct Member {
    pub config: config::Handle,
    pub peers: peer::Handle,
    pub platform: store::Handle,
}

impl Fleet {
    pub async fn open(instances: usize) -> Self {
        let limits = Limits { writes_per_s: WRITES_PER_S, reads_per_s: READS_PER_S, seed: 1 };
        let platform = Objects::bind(local(), limits).await.expect("a free port");
        let mut members: Vec<Member> = Vec::new();
        for index in 0..instances {
            let seeds = members.iter().take(3).map(|member| member.peers.address()).collect();
            let share = 1.0 / f64::from(u32::try_from(instances).expect("few"));
            members.push(start(index, platform.addr(), share, seeds).await);
        }
        for member in &members {
            let mut known = member.peers.members();
            known.wait_for(|members| members.live().count() == instances).await.expect("links stay");
        }
        Self { platform, members }
    }

    /// Returns the bytes sent between instances so far, in both directions.
    pub fn peer_bytes(&self) -> u64 {
        let each = self.members.iter().map(|member| member.peers.traffic());
        each.map(|traffic| traffic.received + traffic.sent).sum()
    }

    /// Returns the number of calls that the platform has received so far.
    pub fn calls(&self) -> u64 {
        let calls = self.platform.calls();
        calls.gets + calls.lists + calls.watches + calls.creates + calls.updates + calls.deletes
    }

    pub async fn wait(&self, generation: u64) {
        for member in &self.members {
            let mut catalog = member.config.subscribe();
            catalog.wait_for(|catalog| catalog.generation() >= generation).await.expect("the observer runs");
        }
    }
}

async fn start(index: usize, address: SocketAddr, share: f64, seeds: Vec<SocketAddr>) -> Member {
    let id = Id::parse(&format!("i{index}")).expect("a name");
    let domain = domain(index % DOMAINS);
    let me = Instance {
        id: id.clone(),
        incarnation: Incarnation(1),
        domain: domain.clone(),
        callers: local(),
        peers: local(),
        operators: local(),
        state: State::Live,
    };
    let (peers, inbound) =
        peer::spawn(peer::Settings::new(me, local(), seeds, peer::Key::new("measure"))).await.expect("a free port");
    let mut platform = Settings::new(address, format!("{id}/1"));
    (platform.writes_per_s, platform.reads_per_s) = (WRITES_PER_S * share, READS_PER_S * share);
    let mut settings = config::Settings::new(id.clone(), domain);
    settings.domains = (0..DOMAINS).map(self::domain).collect();
    let recorder = Recorder::open(Source { instance: id, incarnation: Incarnation(1) }, Capacity::default());
    let platform = store::open(platform);
    let (config, outbound) = config::spawn(settings, platform.clone(), recorder);
    tokio::spawn(send(peers.clone(), config.clone(), outbound));
    tokio::spawn(receive(config.clone(), inbound));
    tokio::spawn(choose_reader(peers.clone(), config.clone()));
    Member { config, peers, platform }
}

/// Sends update messages and requests to peers.
async fn send(peers: peer::Handle, config: config::Handle, mut outbound: mpsc::Receiver<Outbound>) {
    while let Some(message) = outbound.recv().await {
        let (scope, bytes) = match message {
            Outbound::News(bytes) => {
                let _ = peers.publish(Topic::Config, bytes).await;
                continue;
            }
            Outbound::Request { scope, bytes } => (scope, bytes),
        };
        for to in peers_to_call(&peers, scope) {
            let (peers, config, bytes) = (peers.clone(), config.clone(), bytes.clone());
            tokio::spawn(async move {
                if let Ok(answer) = peers.call(&to, Topic::Config, bytes, CALL_TIMEOUT).await {
                    config.offer(answer).await;
                }
            });
        }
    }
}

async fn receive(config: config::Handle, mut inbound: mpsc::Receiver<Inbound>) {
    while let Some(message) = inbound.recv().await {
        match message {
            Inbound::Call { topic: Topic::Config, body, reply, .. } => drop(reply.send(config.serve(&body))),
            Inbound::News { topic: Topic::Config, body, .. } => config.offer(body).await,
            _ => {}
        }
    }
}

/// Makes the instance with the highest rendezvous weight the reader of its domain.
async fn choose_reader(peers: peer::Handle, config: config::Handle) {
    let mut members = peers.members();
    loop {
        let me = members.borrow_and_update().me.clone();
        let reader = reader(&members.borrow(), &me.domain) == Some(me.id);
        config.set_reader(reader).await;
        if members.changed().await.is_err() {
            return;
        }
    }
}

fn reader(members: &peer::Members, domain: &Domain) -> Option<Id> {
    let key = hash::stable(domain.as_str().as_bytes());
    let there = members.live().filter(|instance| instance.domain == *domain);
    there.max_by_key(|i| hash::rendezvous(key, i.id.as_str().as_bytes())).map(|instance| instance.id.clone())
}

fn peers_to_call(peers: &peer::Handle, scope: Scope) -> Vec<Id> {
    let members = peers.members().borrow().clone();
    let own = &members.me.domain;
    let others = |domain: &Domain| reader(&members, domain).filter(|id| *id != members.me.id);
    match scope {
        Scope::One => others(own).into_iter().collect(),
        Scope::EachDomain => (0..DOMAINS).filter_map(|index| others(&domain(index))).collect(),
    }
}

fn domain(index: usize) -> Domain {
    Domain::parse(&format!("d{index}")).expect("a name")
}

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
