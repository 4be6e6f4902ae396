//! A site's instances, each on a thread and a runtime of its own.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use arbutuslugd::Process;
use operator::{Change, Client as Operator, Edit, Outcome, Target, What};
use settings::Settings;
use tokio::{
    task::{JoinHandle, spawn_blocking},
    time::Instant,
};
use world::contract::Customer;

use crate::{
    caller::Caller,
    client::Client,
    site::{Error, Site},
    withdraw::{self, Withdrawal},
};

/// Longest wait until every instance takes work.
const START: Duration = Duration::from_secs(20);
/// Between two looks.
const PAUSE: Duration = Duration::from_millis(50);
/// Time limit of an operators' call.
const OPERATORS_TIMEOUT: Duration = Duration::from_secs(10);
/// Who applies the examples.
const AUTHOR: &str = "trial";

/// A site's running instances.
#[derive(Debug)]
pub(crate) struct Fleet {
    instances: Vec<Instance>,
    leaving: Vec<JoinHandle<()>>,
    /// Where callers connect, gone instances included: callers cannot know.
    pub(crate) callers: Vec<SocketAddr>,
}

/// A running instance.
#[derive(Debug)]
struct Instance {
    name: String,
    process: Process,
}

impl Fleet {
    /// Starts every instance and applies the site's objects.
    pub(crate) async fn spawn(site: &Site) -> Result<Self, Error> {
        let mut fleet = Self { instances: Vec::new(), leaving: Vec::new(), callers: Vec::new() };
        let mut seeds = Vec::new();
        for settings in &site.settings {
            let mut settings = settings.clone();
            settings.peers.seeds.clone_from(&seeds);
            let instance = Instance::spawn(settings).await?;
            let addresses = instance.process.addresses();
            fleet.callers.push(addresses.callers);
            fleet.instances.push(instance);
            seeds.push(addresses.peers);
        }
        fleet.apply(site).await?;
        fleet.ready(site).await?;
        Ok(fleet)
    }

    /// A caller for each customer.
    pub(crate) fn callers(&self, site: &Site) -> HashMap<Customer, Caller> {
        let client = Client::new();
        let caller = |customer: &Customer| Caller::new(client.clone(), self.callers.clone(), Site::key(customer));
        site.catalog.contracts().keys().map(|customer| (customer.clone(), caller(customer))).collect()
    }

    /// Where operators connect.
    pub(crate) fn operators(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.process.addresses().operators).collect()
    }

    /// Loses an instance as a machine is lost.
    pub(crate) fn kill_one(&mut self) {
        let place = self.instances.len() / 2;
        let lost = self.instances.remove(place);
        self.leaving.push(spawn_blocking(move || lost.process.kill()));
    }

    /// Holds an instance still, as a paused machine is.
    pub(crate) fn freeze_one(&mut self, span: Duration) {
        let place = self.instances.len() / 2;
        self.instances[place].process.freeze(span);
    }

    /// Has an instance leave; its name.
    pub(crate) fn leave_one(&mut self) -> String {
        let Instance { name, process } = self.instances.remove(0);
        self.leaving.push(spawn_blocking(move || process.shutdown()));
        name
    }

    /// Waits until every instance that goes is gone.
    pub(crate) async fn left(&mut self) {
        for leaving in self.leaving.drain(..) {
            drop(leaving.await);
        }
    }

    /// Shuts every instance down.
    pub(crate) async fn shutdown(&mut self) {
        while !self.instances.is_empty() {
            self.leave_one();
        }
        self.left().await;
    }

    /// Withdraws the version of the site's roll-out, through the instance
    /// that stays longest.
    pub(crate) fn withdraw(&self, site: &Site) -> Option<impl Future<Output = Result<Withdrawal, Error>> + use<>> {
        let (name, rollout) = site.catalog.rollouts().iter().next()?;
        let target = self.target(site, self.instances.len() - 1);
        Some(withdraw::withdraw(target, name.clone(), rollout.version.to_string()))
    }

    /// The operators' listeners of the instances that run.
    pub(crate) fn targets(&self, site: &Site) -> Vec<Target> {
        (0..self.instances.len()).map(|place| self.target(site, place)).collect()
    }

    fn target(&self, site: &Site, place: usize) -> Target {
        let key = site.settings[0].keys.operators.expose().to_owned();
        Target { address: self.instances[place].process.addresses().operators, key, timeout: OPERATORS_TIMEOUT }
    }

    /// Applies the site's objects, as an operator would.
    async fn apply(&self, site: &Site) -> Result<(), Error> {
        let target = self.target(site, 0);
        let edits = site.catalog.objects().map(|object| Edit { expected: Some(0), what: What::Put(object) }).collect();
        let change = Change { id: uuid::Uuid::new_v4().to_string(), author: AUTHOR.into(), edits };
        let mut operator = Operator::connect(&target).await.map_err(Error::Operator)?;
        match operator.apply(&change).await.map_err(Error::Operator)? {
            Outcome::Applied(_) => Ok(()),
            other => Err(Error::Apply(format!("{other:?}"))),
        }
    }

    /// Waits until every instance gives a customer its addresses.
    async fn ready(&self, site: &Site) -> Result<(), Error> {
        let client = Client::new();
        let customer = site.catalog.contracts().keys().next().expect("the examples have contracts");
        let authorization = format!("Bearer {}", Site::key(customer));
        let headers = [("authorization", authorization.as_str())];
        let deadline = Instant::now() + START;
        for address in &self.callers {
            loop {
                let reply = client.send(*address, "GET", "/v1/addresses", &headers, String::new()).await;
                if reply.as_ref().is_some_and(|reply| reply.status == 200) {
                    break;
                }
                if Instant::now() >= deadline {
                    return Err(Error::Daemon(format!("{address} takes no work: {reply:?}")));
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
        Ok(())
    }
}

impl Instance {
    async fn spawn(settings: Settings) -> Result<Self, Error> {
        let name = settings.instance.to_string();
        let spawned = spawn_blocking(move || Process::spawn(settings)).await.expect("starting does not panic");
        let process = spawned.map_err(|error| Error::Daemon(format!("{name}: {error}")))?;
        Ok(Self { name, process })
    }
}
