//! Several instances in one process, connected over loopback TCP on free ports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use peer::{Handle, Inbound, Key, Limits, Members, Settings, Timing};
use tokio::sync::mpsc;
use world::{
    domain::Domain,
    instance::{Id, Incarnation, Instance, State},
};

/// Timeout of each wait, long enough for any of these tests. No test asserts a
/// duration.
const TIMEOUT: Duration = Duration::from_secs(30);
const DOMAINS: usize = 3;

/// Short timeouts, to keep tests fast, but far above scheduling noise.
pub const TIMING: Timing = Timing { heartbeat: 100, silence: 1_500, suspicion: 1_000, forget: 60_000 };

pub struct Node {
    pub handle: Handle,
    pub inbound: mpsc::Receiver<Inbound>,
}

pub fn id(index: usize) -> Id {
    Id::parse(&format!("i{index:02}")).unwrap()
}

pub fn settings(index: usize, incarnation: u64, seeds: Vec<SocketAddr>) -> Settings {
    let local: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let me = Instance {
        id: id(index),
        incarnation: Incarnation(incarnation),
        domain: Domain::parse(&format!("d{}", index % DOMAINS)).unwrap(),
        callers: local,
        peers: local,
        operators: local,
        state: State::Live,
    };
    let mut settings = Settings::new(me, local, seeds, Key::new("secret"));
    settings.timing = TIMING;
    settings
}

pub async fn spawn(settings: Settings) -> Node {
    let (handle, inbound) = peer::spawn(settings).await.unwrap();
    Node { handle, inbound }
}

/// Starts instances whose only seed is the first one, and waits until all see
/// each other.
pub async fn fleet(size: usize, limits: Limits) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for index in 0..size {
        let seeds = nodes.first().map(|n| n.handle.address()).into_iter().collect();
        nodes.push(spawn(Settings { limits, ..settings(index, 1, seeds) }).await);
    }
    for node in &nodes {
        wait_until(&node.handle, |members| members.live().count() == size).await;
    }
    nodes
}

/// Waits until an instance's view of the members satisfies a condition.
pub async fn wait_until(handle: &Handle, wanted: impl Fn(&Members) -> bool) -> Arc<Members> {
    let mut members = handle.members();
    let result = tokio::time::timeout(TIMEOUT, members.wait_for(|m| wanted(m))).await;
    match result {
        Ok(Ok(members)) => members.clone(),
        _ => panic!("{:?}", handle.members().borrow()),
    }
}

/// Returns the next inbound message that `pick` selects, skipping others.
pub async fn next<T>(inbound: &mut mpsc::Receiver<Inbound>, pick: impl Fn(Inbound) -> Option<T>) -> T {
    let wanted = async {
        loop {
            let message = inbound.recv().await.expect("the task is running");
            if let Some(wanted) = pick(message) {
                return wanted;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, wanted).await.expect("the message arrives")
}
