//! Admission control: decides when a request may be sent to a service that is above its capacity.
//!
//! The [`Gate`] measures what this instance's callers demand of each service and knows from
//! gossip what those of other instances do. While the sum is below the capacity, every request
//! passes. Above it, teams that ask for no more than their share still pass at once. Requests of
//! the others wait in a queue that a token bucket empties at the rate of this instance's part of
//! their teams' shares, or are refused if they would wait for too long.
//!
//! A request enters once, before it is first sent; its [`Permit`] lasts until its end and charges
//! what it has cost. The gate has a lock of its own, which is never held across an await or while
//! other state is locked.

mod entry;
mod metrics;
mod permit;
mod preview;
mod refusals;
mod remote;
mod service;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use route::admission::{Key, demand::Summary};
use tokio::time::sleep;

pub(crate) use self::preview::Preview;
pub use self::{
    entry::{Entry, Refused, Supply},
    permit::Permit,
};
use self::{
    remote::Remote,
    service::{Decision, Fleet, Outcome, Service},
};
use crate::{clock, dispatcher::fleet::short_hash};

/// Time after the start in which instances that are known but have not told their demands are
/// assumed to have the same as this one. After that, silence means a low demand.
const START_WINDOW: Duration = Duration::from_millis(1_500);

/// Longest pause between two looks at the requests that wait. Their shares change meanwhile.
const MAX_PAUSE: Duration = Duration::from_millis(10);

/// Shortest pause between two looks at the requests that wait.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Demand, as a fraction of the capacity, above which an instance tells its part of it to others.
const TOLD_ABOVE: f64 = 0.5;

/// Maximum number of services of which demands are kept, so that invalid datagrams do not fill
/// the memory.
const MAX_SERVICES: usize = 256;

/// Admission control of an instance, for all services.
#[derive(Debug)]
pub struct Gate {
    started: Duration,
    /// Number of instances that are alive, this one included, or at the start that of the seeds.
    instances: AtomicUsize,
    /// Services by the short hash of their names.
    services: Mutex<HashMap<u32, Service>>,
}

/// Demands at a service, for other instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Short hash of the service's name.
    pub service: u32,
    /// Demands of the sender's callers.
    pub summary: Summary,
    /// Usual times of runs, in milliseconds, by the hash of their kind.
    pub run_times: Vec<(u32, f64)>,
}

impl Gate {
    /// Creates the admission control of an instance that has just started and knows of a number
    /// of instances, itself included.
    #[must_use]
    pub fn new(instances: usize) -> Arc<Self> {
        Arc::new(Self {
            started: clock::now(),
            instances: AtomicUsize::new(instances.max(1)),
            services: Mutex::default(),
        })
    }

    /// Returns once the request may be sent, or refuses it. Dropping the future ends its wait.
    ///
    /// `supply` is called if what is known of the service's endpoints is out of date.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused; it has not run.
    pub async fn enter(
        self: &Arc<Self>,
        entry: &Entry<'_>,
        supply: impl FnOnce() -> Supply,
    ) -> Result<Permit, Refused> {
        let service = short_hash(entry.service);
        match self.decide(entry, supply) {
            Decision::Pass(pass) => Ok(Permit::new(Arc::clone(self), service, pass)),
            Decision::Refuse(refused) => Err(refused),
            Decision::Wait { key, receiver, needs_driver } => {
                let _waiting = Waiting { gate: Arc::clone(self), service, key };
                if needs_driver {
                    tokio::spawn(Arc::clone(self).drive(service));
                }
                // The sender is only dropped with the request's place in the queue.
                receiver.await.unwrap_or(Err(Refused::default()))
            }
        }
    }

    /// Decides on a request that arrives, and counts it.
    fn decide(&self, entry: &Entry<'_>, supply: impl FnOnce() -> Supply) -> Decision {
        let now = clock::now();
        let service = short_hash(entry.service);
        let is_outdated = self.lock().get(&service).is_none_or(|known| known.is_supply_outdated(now));
        let supply = is_outdated.then(supply);
        let fleet = self.fleet(now);
        let mut services = self.lock();
        let known = services.entry(service).or_insert_with(|| Service::new(now));
        known.set_supply(entry.service, supply, now);
        known.decide(entry, fleet, now)
    }

    /// Returns a service's demand over its capacity as known to this instance.
    #[must_use]
    pub fn pressure(&self, service: &str) -> f64 {
        let now = clock::now();
        let fleet = self.fleet(now);
        self.lock().get_mut(&short_hash(service)).map_or(0.0, |service| service.pressure(fleet, now))
    }

    /// Returns the number of requests that wait for a service.
    #[must_use]
    pub fn waiting(&self, service: &str) -> usize {
        self.lock().get(&short_hash(service)).map_or(0, Service::waiting)
    }

    /// Sets the number of instances that are alive, this one included.
    pub fn set_instances(&self, instances: usize) {
        let is_start = clock::now() < self.started + START_WINDOW;
        if is_start {
            self.instances.fetch_max(instances.max(1), Ordering::Relaxed);
        } else {
            self.instances.store(instances.max(1), Ordering::Relaxed);
        }
    }

    /// Returns this instance's demands at the services that may be above about half of their
    /// capacity.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        let now = clock::now();
        let fleet = self.fleet(now);
        let mut reports = Vec::new();
        for (hash, service) in self.lock().iter_mut() {
            if let Some(summary) = service.summary(fleet, TOLD_ABOVE, now) {
                reports.push(Report { service: *hash, summary, run_times: service.told_run_times() });
            }
        }
        reports
    }

    /// Records the demands that another instance, given by the hash of its name, has told. They
    /// hold for `lifetime` unless it tells others before.
    pub fn record_report(&self, origin: u32, report: Report, lifetime: Duration) {
        let now = clock::now();
        let mut services = self.lock();
        if services.len() >= MAX_SERVICES && !services.contains_key(&report.service) {
            return;
        }
        let service = services.entry(report.service).or_insert_with(|| Service::new(now));
        service.record_remote(origin, Remote::new(report.summary, report.run_times, now, lifetime));
    }

    /// Grants and refuses waiting requests of a service until none is left.
    async fn drive(self: Arc<Self>, service: u32) {
        loop {
            let now = clock::now();
            let fleet = self.fleet(now);
            let Some((outcomes, pause)) = self.lock().get_mut(&service).map(|known| known.release(fleet, now)) else {
                return;
            };
            // Sent without the lock: a permit that nobody waits for any more takes it.
            for Outcome { reply, result } in outcomes {
                reply.send(result.map(|pass| Permit::new(Arc::clone(&self), service, pass))).ok();
            }
            let Some(pause) = pause else { return };
            sleep(pause.clamp(MIN_PAUSE, MAX_PAUSE)).await;
        }
    }

    fn fleet(&self, now: Duration) -> Fleet {
        let instances = self.instances.load(Ordering::Relaxed);
        Fleet { instances, is_starting: now < self.started + START_WINDOW }
    }

    /// Calls `change` with the state of a known service.
    fn with_service(&self, service: u32, change: impl FnOnce(&mut Service)) {
        if let Some(service) = self.lock().get_mut(&service) {
            change(service);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u32, Service>> {
        // A panic while the lock was held ends one request and leaves at worst wrong estimates.
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's place in a queue, which it leaves when this is dropped.
struct Waiting {
    gate: Arc<Gate>,
    service: u32,
    key: Key,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.gate.with_service(self.service, |service| service.cancel(self.key));
    }
}
