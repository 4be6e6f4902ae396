//! Endpoints that ask instances to send them nothing more, for good or for a while, instances in
//! front of them, and a record of what each endpoint received from each instance.
//!
//! On the loopback address the source of a connection does not tell the instance. So each
//! instance has a network of its own that notes which connections it has opened.

use std::{
    collections::{HashMap, HashSet},
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use relay::{catalog::Kind, dispatcher::peers::Caller, network::Network, source::Endpoint};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    caller::{self, Response},
    server::{LAST_CHUNK, event, header, ok_response},
    site::{Site, Store, StoreContents, cascade_route, catalog, endpoint, route, settings},
};

/// Maximum number of addresses in a list for callers.
const MAX_LISTED: usize = 64;

/// Number of events in a stream.
const EVENTS: u32 = 6;

/// Number of events in a stream that breaks off.
const EVENTS_BEFORE_BREAK: u32 = 2;

const EVENT_PAUSE: Duration = Duration::from_millis(10);

/// Number of parts that prompts share, each kept in the caches of some endpoints.
const SHARED_PARTS: u128 = 16;

/// Time that the first byte of an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// Confidence with which the small model's answers are dropped.
const LOW_CONFIDENCE: u32 = 5;

/// How an endpoint treats requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behavior {
    /// It serves them.
    Sound,
    /// It serves them, and all its answers say that it leaves.
    Leaving,
    /// It rejects them and asks for a pause.
    Shedding(Duration),
    /// It rejects those of some instances, given as a set of bits, and asks these for a pause. It
    /// serves the others'.
    SheddingInstances(u64, Duration),
    /// It runs a number of requests at a time, rejects others and asks for a pause.
    Bounded { slots: u32, run_time: Duration, pause: Duration },
    /// It rejects them.
    Full,
    /// It breaks streams off and rejects other requests.
    Breaking,
}

/// A request that an endpoint received.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub server: usize,
    pub instance: usize,
    pub at: Duration,
    /// When the caller sent the request.
    pub sent_at: Duration,
    /// Pause that the endpoint asked for in its answer.
    pub pause: Option<Duration>,
}

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

/// What endpoints received, and which connections are whose.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    /// Instances by the local addresses of their connections.
    origins: Mutex<HashMap<SocketAddr, usize>>,
    endpoints: Mutex<HashSet<SocketAddr>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Header that endpoints add to all answers.
    statement: Mutex<Option<&'static str>>,
}

impl Record {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// The network of one instance.
#[derive(Debug)]
pub struct Origin {
    instance: usize,
    record: Arc<Record>,
    /// Whether endpoints refuse connections of this instance.
    is_cut: AtomicBool,
    /// Whether connections open only when a long time has passed and their time limit has not
    /// been looked at yet, as on a busy processor.
    pub is_stalled: AtomicBool,
}

/// Time that a connection takes on a busy processor.
pub const STALL: Duration = Duration::from_millis(700);

impl Network for Origin {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>> {
        Box::pin(async move {
            let is_endpoint = self.record.endpoints.lock().unwrap().contains(&address);
            if is_endpoint && self.is_cut.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            let stream = TcpStream::connect(address).await?;
            self.record.origins.lock().unwrap().insert(stream.local_addr()?, self.instance);
            if is_endpoint && self.is_stalled.load(Ordering::Relaxed) {
                tokio::task::block_in_place(|| std::thread::sleep(STALL));
            }
            Ok(stream)
        })
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
        let mut departures = HashMap::new();
        for reply in replies.iter().filter(|reply| reply.says_leaving()) {
            let Some(server) = reply.server() else { continue };
            let first = departures.entry((reply.instance, server)).or_insert(reply.received_at);
            *first = reply.received_at.min(*first);
        }
        departures
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

/// Starts an endpoint and returns its registration.
async fn start_endpoint(number: usize, behavior: &Arc<Mutex<Behavior>>, record: &Arc<Record>) -> Endpoint {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    record.endpoints.lock().unwrap().insert(address);
    let (behavior, record) = (Arc::clone(behavior), Arc::clone(record));
    let active = Arc::new(AtomicU32::new(0));
    tokio::spawn(async move {
        while let Ok((stream, origin)) = listener.accept().await {
            let (behavior, record, active) = (Arc::clone(&behavior), Arc::clone(&record), Arc::clone(&active));
            tokio::spawn(async move {
                serve(stream, origin, number, &behavior, &record, &active).await.ok();
            });
        }
    });
    endpoint(&format!("e{number}"), address)
}

async fn serve(
    mut stream: TcpStream,
    origin: SocketAddr,
    number: usize,
    behavior: &Mutex<Behavior>,
    record: &Record,
    active: &AtomicU32,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
    let request = String::from_utf8_lossy(&bytes).into_owned();
    let behavior = *behavior.lock().unwrap();
    let Some(sent_us) = header(&request, "x-sent").and_then(|text| text.parse().ok()) else { return Ok(()) };
    let instance = record.origins.lock().unwrap()[&origin];
    let behavior = match behavior {
        Behavior::SheddingInstances(instances, pause) if instances >> instance & 1 == 1 => Behavior::Shedding(pause),
        Behavior::SheddingInstances(..) => Behavior::Sound,
        Behavior::Bounded { slots, pause, .. } if active.load(Ordering::Relaxed) >= slots => Behavior::Shedding(pause),
        other => other,
    };
    let pause = if let Behavior::Shedding(pause) = behavior { Some(pause) } else { None };
    let sent_at = Duration::from_micros(sent_us);
    record.arrivals.lock().unwrap().push(Arrival { server: number, instance, at: record.now(), sent_at, pause });
    if let Behavior::Bounded { run_time, .. } = behavior {
        active.fetch_add(1, Ordering::Relaxed);
        sleep(run_time).await;
        active.fetch_sub(1, Ordering::Relaxed);
    } else {
        sleep(ANSWER_TIME).await;
    }
    let is_stream = !request.starts_with("GET /get/") && !request.starts_with("POST /post/");
    let rejection = "HTTP/1.1 503 X\r\nx-request: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let (text, last_event) = match behavior {
        Behavior::Shedding(pause) => (with_header(rejection, &format!("retry-after: {}", pause.as_secs_f64())), None),
        Behavior::Full => (rejection.to_owned(), None),
        Behavior::Breaking if !is_stream => (rejection.to_owned(), None),
        Behavior::Breaking => (stream_head(&request), Some(EVENTS_BEFORE_BREAK)),
        _ if is_stream => (stream_head(&request), Some(EVENTS)),
        _ => (ok_response("ok"), None),
    };
    let text = record.statement.lock().unwrap().map_or(text.clone(), |header| with_header(&text, header));
    let text = if behavior == Behavior::Leaving { with_header(&text, "x-leaving: 1") } else { text };
    let text = text.replace("{id}", &header(&request, "x-request").unwrap_or_default());
    stream.write_all(text.replace("x-signature: s", &format!("x-signature: e{number}")).as_bytes()).await?;
    let Some(last_event) = last_event else { return Ok(()) };
    let after: u32 = header(&request, "last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    for number in after + 1..=last_event {
        stream.write_all(event(number).as_bytes()).await?;
        sleep(EVENT_PAUSE).await;
    }
    if last_event == EVENTS {
        stream.write_all(LAST_CHUNK.as_bytes()).await?;
    }
    Ok(())
}

/// Returns the head of a stream; the small model has a low confidence in its answers.
fn stream_head(request: &str) -> String {
    let is_small = header(request, "x-model").as_deref() == Some("small");
    crate::server::stream_head(if is_small { LOW_CONFIDENCE } else { 90 })
}

/// Adds a header to the head of a response.
fn with_header(response: &str, header: &str) -> String {
    response.replacen("\r\n\r\n", &format!("\r\n{header}\r\n\r\n"), 1)
}
