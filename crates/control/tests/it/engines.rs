//! Model engines as far as orders go.

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

/// How long an engine takes to load a version.
const LOADING: Duration = Duration::from_secs(3);

/// Engines that take orders; they ignore the fencing number.
#[derive(Clone, Default)]
pub struct Engines {
    by_address: Arc<Mutex<BTreeMap<SocketAddr, Engine>>>,
    order_time: Arc<Mutex<Duration>>,
    lost: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// What it holds.
    pub versions: BTreeSet<Version>,
    /// Versions it is loading now.
    pub loading: usize,
    /// Fencing numbers of its orders.
    pub fences: Vec<u64>,
}

impl Engines {
    /// What the engines are like now.
    pub fn all(&self) -> Vec<Engine> {
        lock(&self.by_address).values().cloned().collect()
    }

    /// Engines that hold a version.
    pub fn holding(&self, version: &Version) -> usize {
        self.all().iter().filter(|engine| engine.versions.contains(version)).count()
    }

    /// Forgets what an engine held, as a restart does.
    pub fn restart(&self, port: u16) {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        lock(&self.by_address).insert(address, Engine::default());
    }

    /// Whether an engine answers nothing and takes no order.
    pub fn set_lost(&self, port: u16, is_lost: bool) {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let mut lost = lock(&self.lost);
        if is_lost {
            lost.insert(address)
        } else {
            lost.remove(&address)
        };
    }

    /// Sets how long an order takes.
    pub fn set_order_time(&self, time: Duration) {
        *lock(&self.order_time) = time;
    }

    /// An instance's way to them.
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
        if lock(&self.lost).contains(address) {
            // The call hangs until its limit, and its reply is dropped.
            sleep(order::LIMIT).await;
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
                let sent = order::within(term, async {
                    sleep(time).await;
                    Ok(self.take(address, &order))
                });
                let _ = reply.send(sent.await);
            }
        }
    }

    fn take(&self, address: SocketAddr, order: &endpoint::order::Order) -> Vec<Version> {
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
        sleep(LOADING).await;
        let mut engines = lock(&self.by_address);
        let engine = engines.entry(address).or_default();
        engine.loading = engine.loading.saturating_sub(1);
        engine.versions.extend(versions);
    }
}
