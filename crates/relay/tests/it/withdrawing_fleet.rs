//! Instances in front of endpoints that ask them to send nothing more.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use relay::{catalog::Kind, dispatcher::peers::Caller};
use tokio::time::sleep;

use crate::{
    caller::{self, Response},
    site::{Site, Store, StoreContents, cascade_route, catalog, route, settings},
    withdrawing_server::{ANSWER_TIME, Arrival, Behavior, Origin, Record, start_endpoint},
};

/// Maximum number of addresses in a list for callers.
const MAX_LISTED: usize = 64;

/// Number of parts that prompts share, each kept in the caches of some endpoints.
const SHARED_PARTS: u128 = 16;

/// What a caller received.
#[derive(Debug, Clone)]
pub struct Reply {
    pub instance: usize,
    pub received_at: Duration,
    /// Time from the request to the end of the response.
    pub took: Duration,
    pub response: Response,
}

impl Reply {
    /// Returns the number of the endpoint that signed the response.
    pub fn server(&self) -> Option<usize> {
        self.response.header("x-signature")?.strip_prefix('e')?.parse().ok()
    }

    fn says_leaving(&self) -> bool {
        self.response.header("x-leaving").is_some()
    }
}

/// Instances and endpoints.
pub struct Fleet {
    pub sites: Vec<Site>,
    pub networks: Vec<Arc<Origin>>,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    behaviors: Vec<Arc<Mutex<Behavior>>>,
}

impl Fleet {
    /// Starts endpoints, and instances that all know that the others serve callers.
    pub async fn start(instances: usize, endpoints: usize) -> Self {
        let record = Arc::new(Record {
            started: Instant::now(),
            origins: Mutex::default(),
            endpoints: Mutex::default(),
            arrivals: Mutex::default(),
            statement: Mutex::default(),
        });
        let (mut behaviors, mut registrations) = (Vec::new(), Vec::new());
        for number in 0..endpoints {
            let behavior = Arc::new(Mutex::new(Behavior::Sound));
            registrations.push(start_endpoint(number, &behavior, &record).await);
            behaviors.push(behavior);
        }
        let routes = vec![
            route("/get/", Kind::Idempotent),
            route("/post/", Kind::NonIdempotent),
            route("/stream/", Kind::Stream { resumable: true }),
            cascade_route("/cascade/"),
        ];
        let contents =
            StoreContents { catalog: Some(catalog(1, routes)), endpoints: registrations, ..StoreContents::default() };
        let store = Arc::new(Store::new(contents));
        let (mut sites, mut networks): (Vec<Site>, Vec<Arc<Origin>>) = (Vec::new(), Vec::new());
        for instance in 0..instances {
            let seeds = sites.iter().take(3).map(|site| site.relay.dispatcher().settings.listeners.news).collect();
            let (site, network) = start_instance(instance, seeds, &store, &record).await;
            sites.push(site);
            networks.push(network);
        }
        for site in &sites {
            while site.relay.dispatcher().caller_addresses(&Caller::default()).len() < instances.min(MAX_LISTED) {
                sleep(Duration::from_millis(2)).await;
            }
        }
        Self { sites, networks, store, record, behaviors }
    }

    /// Changes how endpoints treat requests.
    pub fn set(&self, endpoints: std::ops::Range<usize>, behavior: Behavior) {
        for endpoint in &self.behaviors[endpoints] {
            *endpoint.lock().unwrap() = behavior;
        }
    }

    /// Has an endpoint reject the requests of some instances and ask these for a pause.
    pub fn set_for(&self, endpoint: usize, is_shed: &[bool], pause: Duration) {
        let instances = is_shed.iter().rev().fold(0, |bits, is_shed| bits << 1 | u64::from(*is_shed));
        *self.behaviors[endpoint].lock().unwrap() = Behavior::SheddingInstances(instances, pause);
    }

    /// Has all endpoints add a header to their answers.
    pub fn state(&self, header: &'static str) {
        *self.record.statement.lock().unwrap() = Some(header);
    }

    /// Starts one more instance, which the others learn of by its first message.
    pub async fn start_late(&mut self) {
        let instance = self.sites.len();
        let seeds = vec![self.sites[0].relay.dispatcher().settings.listeners.news];
        let (site, network) = start_instance(instance, seeds, &self.store, &self.record).await;
        self.sites.push(site);
        self.networks.push(network);
    }

    /// Cuts an instance off from all endpoints, or ends that.
    pub fn cut(&self, instance: usize, is_cut: bool) {
        self.networks[instance].is_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Sends a request to an instance.
    pub fn send(&self, instance: usize, way: Way) -> impl Future<Output = Reply> + Send + 'static {
        let (record, front) = (Arc::clone(&self.record), self.sites[instance].front());
        async move {
            let (method, path) = way.target();
            let sent_at = record.now();
            let headers = format!(
                "x-deadline: 2000\r\nx-sent: {}\r\nx-model: *\r\nx-tokens: 100,10\r\nx-parts: shared-{}:60,own:40\r\n",
                sent_at.as_micros(),
                sent_at.as_micros() % SHARED_PARTS
            );
            let response = caller::call(front, method, path, &headers, "").await;
            let received_at = record.now();
            Reply { instance, received_at, took: received_at.saturating_sub(sent_at), response }
        }
    }

    /// Sends `per_s` requests a second to all instances in turn for a while.
    pub async fn send_many(&self, way: Way, per_s: u32, duration: Duration) -> Vec<Reply> {
        let started = Instant::now();
        let mut calls = Vec::new();
        while started.elapsed() < duration {
            calls.push(tokio::spawn(self.send(calls.len() % self.sites.len(), way)));
            let due = Duration::from_secs(1) * u32::try_from(calls.len()).unwrap() / per_s;
            sleep(due.saturating_sub(started.elapsed())).await;
        }
        let mut replies = Vec::new();
        for call in calls {
            replies.push(call.await.unwrap());
        }
        replies
    }

    /// Returns what the endpoints have received so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.record.arrivals.lock().unwrap().clone()
    }

    /// Returns when each instance has first passed on an answer of each endpoint that leaves, by
    /// instance and endpoint.
    pub fn departures(replies: &[Reply]) -> HashMap<(usize, usize), Duration> {
        let passed_on = replies.iter().filter(|reply| reply.says_leaving());
        earliest(passed_on.filter_map(|reply| Some(((reply.instance, reply.server()?), reply.received_at))))
    }

    /// Returns when each instance has first got an answer of each endpoint that leaves, also one
    /// that it has not passed on.
    pub fn words(&self) -> HashMap<(usize, usize), Duration> {
        let arrivals = self.arrivals();
        let words = arrivals.iter().filter(|arrival| arrival.says_leaving);
        earliest(words.map(|arrival| ((arrival.instance, arrival.server), arrival.at + ANSWER_TIME)))
    }

    /// Returns the number of pauses that endpoints asked instances for, and the most requests
    /// that any of them got from such an instance while it was to send none.
    pub fn requests_in_pauses(&self) -> (usize, usize) {
        let arrivals = self.arrivals();
        let requests_in = |asked: &Arrival| {
            let pause = asked.pause.unwrap_or_default();
            let span = asked.at + PAUSE_GRACE..asked.at + pause;
            let is_in = |arrival: &&Arrival| {
                (arrival.server, arrival.instance) == (asked.server, asked.instance) && span.contains(&arrival.at)
            };
            arrivals.iter().filter(is_in).count()
        };
        let pauses: Vec<usize> = arrivals.iter().filter(|arrival| arrival.pause.is_some()).map(requests_in).collect();
        (pauses.len(), pauses.iter().copied().max().unwrap_or_default())
    }
}

/// Returns the first time for each key.
fn earliest(times: impl Iterator<Item = ((usize, usize), Duration)>) -> HashMap<(usize, usize), Duration> {
    let mut earliest = HashMap::new();
    for (key, at) in times {
        let first = earliest.entry(key).or_insert(at);
        *first = at.min(*first);
    }
    earliest
}

/// Starts an instance on a network of its own.
async fn start_instance(
    instance: usize,
    seeds: Vec<SocketAddr>,
    store: &Arc<Store>,
    record: &Arc<Record>,
) -> (Site, Arc<Origin>) {
    let network = Arc::new(Origin {
        instance,
        record: Arc::clone(record),
        is_cut: AtomicBool::new(false),
        is_stalled: AtomicBool::new(false),
    });
    let settings = relay::Settings {
        instance: format!("instance-{instance}"),
        seeds,
        network: Arc::<Origin>::clone(&network),
        ..settings()
    };
    (Site::start_on(Arc::clone(store), settings).await, network)
}

/// Time after an answer that asks for a pause until the pause must hold.
const PAUSE_GRACE: Duration = Duration::from_millis(500);

/// In which way requests leave an instance for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// As a call.
    Call,
    /// As a call that must not run twice.
    Upload,
    /// Again, after another endpoint has rejected it.
    Retry,
    /// As a stream.
    Stream,
    /// As the rest of a stream that another endpoint has broken off.
    Resumption,
    /// Again, to have a larger model answer it.
    Escalation,
}

impl Way {
    fn target(self) -> (&'static str, &'static str) {
        match self {
            Self::Call | Self::Retry => ("GET", "/get/x"),
            Self::Upload => ("POST", "/post/x"),
            Self::Stream | Self::Resumption => ("POST", "/stream/x"),
            Self::Escalation => ("POST", "/cascade/x"),
        }
    }

    /// Returns how the other endpoints treat requests, so that requests leave in this way.
    pub fn behavior_of_others(self) -> Behavior {
        match self {
            Self::Retry => Behavior::Full,
            Self::Resumption => Behavior::Breaking,
            _ => Behavior::Sound,
        }
    }
}
