//! Simulated model engines that respond to queries and orders only.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use control::order::{self, Call};
use tokio::{sync::mpsc, time::sleep};
use world::model::Version;

use crate::site::lock;

/// Time that an engine takes to load a version.
const LOAD_TIME: Duration = Duration::from_secs(3);

/// Engines that accept every order; they ignore the fencing number.
#[derive(Clone, Default)]
pub struct Engines {
    by_address: Arc<Mutex<BTreeMap<SocketAddr, Engine>>>,
    order_time: Arc<Mutex<Duration>>,
    unreachable: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

/// State of one engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// Versions that it has loaded.
    pub versions: BTreeSet<Version>,
    /// Number of loads in progress.
    pub loading: usize,
    /// Fencing numbers of the orders it has accepted.
    pub fences: Vec<u64>,
}

impl Engines {
    /// Returns the state of all engines.
    pub fn all(&self) -> Vec<Engine> {
        lock(&self.by_address).values().cloned().collect()
    }

    /// Returns the number of engines that hold a version.
    pub fn holding(&self, version: &Version) -> usize {
        self.all().iter().filter(|engine| engine.versions.contains(version)).count()
    }

    /// Clears an engine's state, as a restart does.
    pub fn restart(&self, port: u16) {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        lock(&self.by_address).insert(address, Engine::default());
    }

    /// Sets whether an engine leaves all calls unanswered.
    pub fn set_unreachable(&self, port: u16, is_unreachable: bool) {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let mut unreachable = lock(&self.unreachable);
        if is_unreachable {
            unreachable.insert(address)
        } else {
            unreachable.remove(&address)
        };
    }

    /// Sets how long an order takes.
    pub fn set_order_time(&self, time: Duration) {
        *lock(&self.order_time) = time;
    }

    /// Returns an instance's channel to the engines.
    pub fn spawn(&self) -> mpsc::Sender<Call> {
        let (sender, mut calls) = mpsc::channel(64);
        let engines = self.clone();
        tokio::spawn(async move {
            while let Some(call) = calls.recv().await {
                tokio::spawn(engines.clone().answer(call));
            }
        });
        sender
    }

    async fn answer(self, call: Call) {
        let (Call::Loaded { address, .. } | Call::Order { address, .. }) = &call;
        if lock(&self.unreachable).contains(address) {
            // The call hangs until its time limit, then its reply is dropped.
            sleep(order::TIMEOUT).await;
            return;
        }
        match call {
            Call::Loaded { address, reply } => {
                sleep(Duration::from_millis(5)).await;
                let versions = lock(&self.by_address).entry(address).or_default().versions.iter().cloned().collect();
                let _ = reply.send(Some(versions));
            }
            Call::Order { address, order, term, reply } => {
                let time = *lock(&self.order_time);
                let sent = order::send_within(term, async {
                    sleep(time).await;
                    Ok(self.accept(address, &order))
                });
                let _ = reply.send(sent.await);
            }
        }
    }

    fn accept(&self, address: SocketAddr, order: &endpoint::order::Order) -> Vec<Version> {
        let mut engines = lock(&self.by_address);
        let engine = engines.entry(address).or_default();
        engine.fences.push(order.fence);
        engine.versions.retain(|version| !order.unload.contains(version));
        if !order.load.is_empty() {
            engine.loading += 1;
            tokio::spawn(self.clone().load(address, order.load.clone()));
        }
        order.load.clone()
    }

    async fn load(self, address: SocketAddr, versions: Vec<Version>) {
        sleep(LOAD_TIME).await;
        let mut engines = lock(&self.by_address);
        let engine = engines.entry(address).or_default();
        engine.loading = engine.loading.saturating_sub(1);
        engine.versions.extend(versions);
    }
}
