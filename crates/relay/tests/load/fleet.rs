//! Instances in front of endpoints with few slots, and callers that send at a rate.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use relay::{
    catalog::{Customer, Kind, Route},
    dispatcher::peers::Caller,
    settings::{Admission, Policies},
};
use tokio::{
    sync::{Mutex, MutexGuard},
    time::{sleep, sleep_until},
};

use crate::{
    caller,
    site::{HOST, Site, Store, StoreContents, catalog, route, settings},
    slots::{RUN_TIME, Server},
};

/// Number of instances.
pub const INSTANCES: usize = 8;

/// Number of endpoints.
const ENDPOINTS: usize = 4;

/// Number of slots of all endpoints.
const ALL_SLOTS: f64 = 16.0;

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Target time of each route.
pub const TARGET_TIME: Duration = Duration::from_millis(600);

/// One test at a time: their loads would disturb each other.
static LOAD: Mutex<()> = Mutex::const_new(());

/// Requests of one team on one route.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Name of the team, which is also its key.
    pub team: &'static str,
    /// Path prefix: `/urgent/`, `/usual/` or `/low/`, of ranks 0, 1 and 2.
    pub prefix: &'static str,
    /// Instances that it sends to, in turn.
    pub instances: Vec<usize>,
    /// Requests as a multiple of what the endpoints can serve, over time.
    pub load: fn(Duration) -> f64,
}

/// What became of the requests of a flow.
#[derive(Debug, Default, Clone)]
pub struct Served {
    /// When each request was sent, what it got and after what time.
    pub answers: Vec<Answer>,
}

/// What a request got.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub sent_at: Duration,
    pub status: u16,
    pub took: Duration,
}

impl Served {
    /// Returns the fraction of the requests that were served.
    pub fn fraction(&self) -> f64 {
        self.fraction_where(|answer| answer.status == 200)
    }

    /// Returns the fraction of the requests that were served in their target time.
    pub fn fraction_in_time(&self) -> f64 {
        self.fraction_where(|answer| answer.status == 200 && answer.took <= TARGET_TIME)
    }

    /// Returns the requests that were sent in a time.
    pub fn between(&self, from: Duration, to: Duration) -> Self {
        Self { answers: self.answers.iter().copied().filter(|a| (from..to).contains(&a.sent_at)).collect() }
    }

    fn fraction_where(&self, is_good: impl Fn(&Answer) -> bool) -> f64 {
        let good = self.answers.iter().filter(|answer| is_good(answer)).count();
        f64::from(u32::try_from(good).unwrap()) / f64::from(u32::try_from(self.answers.len().max(1)).unwrap())
    }

    /// Returns the times that refusals took, in order.
    pub fn refusal_times(&self) -> Vec<Duration> {
        let mut times: Vec<Duration> = self.answers.iter().filter(|a| a.status == 503).map(|a| a.took).collect();
        times.sort();
        times
    }
}

/// Outcome of a play.
#[derive(Debug)]
pub struct Report {
    /// What became of each flow.
    pub flows: Vec<Served>,
    /// Fraction of the slots that was busy.
    pub busy: f64,
    /// Number of requests that full endpoints rejected.
    pub rejections: usize,
}

impl Report {
    /// Returns the time within which 99 of 100 refusals came.
    pub fn refusal_p99(&self) -> Duration {
        let mut times: Vec<Duration> = self.flows.iter().flat_map(Served::refusal_times).collect();
        times.sort();
        times.get(times.len() * 99 / 100).copied().unwrap_or_default()
    }

    /// Prints the figures.
    pub fn print(&self, name: &str) {
        for (number, flow) in self.flows.iter().enumerate() {
            let refusals = flow.refusal_times();
            let mut statuses: HashMap<u16, usize> = HashMap::new();
            for answer in &flow.answers {
                *statuses.entry(answer.status).or_default() += 1;
            }
            println!(
                "{name} flow {number}: sent {}, served {:.3}, in time {:.3}, refusals median {:?} last {:?}, {statuses:?}",
                flow.answers.len(),
                flow.fraction(),
                flow.fraction_in_time(),
                refusals.get(refusals.len() / 2),
                refusals.last(),
            );
        }
        for (number, flow) in self.flows.iter().enumerate() {
            let half_second =
                |half: u64| flow.between(Duration::from_millis(500 * half), Duration::from_millis(500 * (half + 1)));
            let parts: Vec<String> = (0..12).map(|half| format!("{:.2}", half_second(half).fraction())).collect();
            println!("{name} flow {number}: served by half second {}", parts.join(" "));
        }
        println!("{name}: busy {:.3}, rejections {}, refusal p99 {:?}", self.busy, self.rejections, self.refusal_p99());
    }
}

/// Instances and endpoints.
pub struct Fleet {
    pub sites: Vec<Site>,
    servers: Vec<Server>,
    _turn: MutexGuard<'static, ()>,
}

fn routes() -> Vec<Route> {
    let of_rank = |prefix, rank| Route { rank, target_time: TARGET_TIME, ..route(prefix, Kind::Idempotent) };
    vec![of_rank("/urgent/", 0), of_rank("/usual/", 1), of_rank("/low/", 2)]
}

impl Fleet {
    /// Starts endpoints, and instances that all know that the others serve callers.
    pub async fn start(admission: Admission) -> Self {
        let turn = LOAD.lock().await;
        let mut servers = Vec::new();
        for _ in 0..ENDPOINTS {
            servers.push(Server::start().await);
        }
        let mut catalog = catalog(1, routes());
        let team = |name: &str| (name.to_owned(), Arc::new(Customer { name: name.to_owned(), rank: None }));
        catalog.keys = Some(HashMap::from(["large", "small"].map(team)));
        let registered = servers.iter().enumerate().map(|(number, server)| server.registration(&format!("e{number}")));
        let contents =
            StoreContents { catalog: Some(catalog), endpoints: registered.collect(), ..StoreContents::default() };
        let store = Arc::new(Store::new(contents));
        let mut sites: Vec<Site> = Vec::new();
        for number in 0..INSTANCES {
            let mut settings = settings();
            settings.instance = format!("instance-{number}");
            settings.seeds = sites.iter().map(|site| site.relay.dispatcher().settings.listeners.news).collect();
            settings.policies = Policies { admission, ..Policies::default() };
            sites.push(Site::start_on(Arc::clone(&store), settings).await);
        }
        for site in &sites {
            while site.relay.dispatcher().caller_addresses(&Caller::default()).len() < INSTANCES {
                sleep(Duration::from_millis(2)).await;
            }
        }
        Self { sites, servers, _turn: turn }
    }

    /// Sends the flows' requests for a time and waits for all answers.
    pub async fn play(&self, flows: &[Flow], time: Duration) -> Report {
        let began = Instant::now();
        let busy = || self.servers.iter().map(Server::busy).sum::<Duration>();
        let busy_before = busy();
        let flows: Vec<_> =
            flows.iter().enumerate().map(|(number, flow)| self.send(number, flow.clone(), began, time)).collect();
        let busy_in_time = async {
            sleep(time).await;
            busy().saturating_sub(busy_before).as_secs_f64() / (time.as_secs_f64() * ALL_SLOTS)
        };
        let (flows, busy) = tokio::join!(futures::future::join_all(flows), busy_in_time);
        let rejections = self.servers.iter().map(Server::rejections).sum();
        Report { flows, busy, rejections }
    }

    async fn send(&self, number: usize, flow: Flow, began: Instant, time: Duration) -> Served {
        let mut rng = ChaCha8Rng::seed_from_u64(u64::try_from(number).unwrap());
        let per_s = ALL_SLOTS / RUN_TIME.as_secs_f64();
        let mut at = Duration::ZERO;
        let mut calls = Vec::new();
        let mut turn = number;
        loop {
            let load = (flow.load)(at);
            let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-draw.ln() / (load.max(0.01) * per_s));
            if at >= time {
                break;
            }
            sleep_until((began + at).into()).await;
            let front = self.sites[flow.instances[turn % flow.instances.len()]].front();
            turn += 1;
            let (team, prefix) = (flow.team, flow.prefix);
            let text = format!(
                "GET {prefix}{turn} HTTP/1.1\r\nHost: {HOST}\r\nX-Request: {team}-{number}-{turn}\r\nX-Key: {team}\r\n\
                 X-Deadline: {}\r\nContent-Length: 0\r\n\r\n",
                DEADLINE.as_millis()
            );
            calls.push(tokio::spawn(async move {
                let sent = Instant::now();
                let response = caller::send(front, &text).await;
                Answer { sent_at: at, status: response.status, took: sent.elapsed() }
            }));
        }
        let mut answers = Vec::new();
        for call in calls {
            answers.push(call.await.unwrap());
        }
        Served { answers }
    }
}
