//! Endpoints that crash if they have to reject too many requests within a second, and
//! instances in front of them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use relay::{Settings, catalog::Kind, source::Endpoint};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    caller,
    server::{header, ok_response},
    site::{Site, Store, StoreContents, catalog, endpoint, route, settings},
};

/// Window in which rejections count.
const WINDOW: Duration = Duration::from_secs(1);

/// How an endpoint treats requests.
#[derive(Debug, Clone, Copy)]
pub struct Behavior {
    /// Number of requests that it runs at a time; it rejects others.
    pub slots: u32,
    /// Time that a request takes.
    pub run_time: Duration,
    /// Time after which the answer to a rejected request is sent.
    pub rejection_delay: Duration,
    /// Number of rejections in a second that it survives.
    pub max_rejections: usize,
}

impl Default for Behavior {
    fn default() -> Self {
        Self { slots: 4, run_time: Duration::from_millis(150), rejection_delay: Duration::ZERO, max_rejections: 4 }
    }
}

impl Behavior {
    /// Returns the number of requests that `endpoints` such endpoints complete in a second.
    pub fn capacity_per_s(&self, endpoints: usize) -> u32 {
        let run_ms = u32::try_from(self.run_time.as_millis()).unwrap();
        u32::try_from(endpoints).unwrap() * self.slots * 1_000 / run_ms
    }
}

/// What became of requests.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of responses by status.
    pub statuses: HashMap<u16, usize>,
    /// Times that responses other than successes took, in order.
    pub refusal_times: Vec<Duration>,
}

/// An endpoint that rejects what it has no slot for, and says how much of that it survives.
pub struct BrittleServer {
    address: SocketAddr,
    behavior: Behavior,
    rejections: Arc<Mutex<Vec<Instant>>>,
}

impl BrittleServer {
    pub async fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (rejections, active) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(0)));
        let recorded = Arc::clone(&rejections);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, behavior, Arc::clone(&active), Arc::clone(&recorded)));
            }
        });
        Self { address, behavior, rejections }
    }

    pub async fn start_many(count: usize, behavior: Behavior) -> Vec<Self> {
        let mut servers = Vec::new();
        for _ in 0..count {
            servers.push(Self::start(behavior).await);
        }
        servers
    }

    /// Returns the largest number of rejections within a window after `since`.
    pub fn max_rejections(&self, since: Instant) -> usize {
        let rejections = self.rejections.lock().unwrap();
        let later: Vec<Instant> = rejections.iter().copied().filter(|at| *at >= since).collect();
        let in_window = |from: &Instant| later.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
        later.iter().map(in_window).max().unwrap_or(0)
    }

    /// Returns the endpoint's registration.
    pub fn registration(&self, id: &str) -> Endpoint {
        Endpoint { slots: self.behavior.slots, ..endpoint(id, self.address) }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn serve(
    mut stream: TcpStream,
    behavior: Behavior,
    active: Arc<Mutex<u32>>,
    rejections: Arc<Mutex<Vec<Instant>>>,
) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        let Ok(count @ 1..) = stream.read(&mut buffer).await else { return };
        bytes.extend_from_slice(&buffer[..count]);
    }
    let id = header(&String::from_utf8_lossy(&bytes), "x-request").unwrap_or_default();
    let is_accepted = {
        let mut active = active.lock().unwrap();
        let is_accepted = *active < behavior.slots;
        *active += u32::from(is_accepted);
        is_accepted
    };
    let text = if is_accepted {
        sleep(behavior.run_time).await;
        *active.lock().unwrap() -= 1;
        ok_response("ok")
    } else {
        rejections.lock().unwrap().push(Instant::now());
        sleep(behavior.rejection_delay).await;
        "HTTP/1.1 503 X\r\nx-request: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
    };
    let text =
        text.replace("{id}", &id).replace("\r\n\r\n", &format!("\r\nx-brittle: {}\r\n\r\n", behavior.max_rejections));
    stream.write_all(text.as_bytes()).await.ok();
}

/// Returns a store in which `servers` are registered.
pub fn store_of(servers: &[BrittleServer]) -> Arc<Store> {
    let endpoints = servers.iter().enumerate().map(|(number, server)| server.registration(&format!("e{number}")));
    Arc::new(Store::new(StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: endpoints.collect(),
        ..StoreContents::default()
    }))
}

/// Starts instances on one store, each with settings that `adjust` changes, and waits until
/// each knows all others.
pub async fn start_instances(count: usize, store: &Arc<Store>, adjust: impl Fn(usize, &mut Settings)) -> Vec<Site> {
    let mut sites: Vec<Site> = Vec::new();
    for number in 0..count {
        let seeds = sites.iter().take(3).map(|site| site.relay.dispatcher().settings.listeners.news).collect();
        let mut settings = Settings { instance: format!("instance-{number}"), seeds, ..settings() };
        adjust(number, &mut settings);
        sites.push(Site::start_on(Arc::clone(store), settings).await);
    }
    for site in &sites {
        while site.relay.dispatcher().live_instance_count() < count {
            sleep(Duration::from_millis(2)).await;
        }
    }
    sites
}

/// Sends `per_s` requests a second to instances in turn for a while.
pub async fn send_requests(sites: &[Site], per_s: u32, duration: Duration) -> Report {
    let started = Instant::now();
    let mut calls = Vec::new();
    while started.elapsed() < duration {
        let front = sites[calls.len() % sites.len()].front();
        calls.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let response = caller::call(front, "GET", "/a/x", "x-deadline: 2000\r\n", "").await;
            (response.status, sent_at.elapsed())
        }));
        let due = Duration::from_secs(1) * u32::try_from(calls.len()).unwrap() / per_s;
        sleep(due.saturating_sub(started.elapsed())).await;
    }
    let mut report = Report::default();
    for call in calls {
        let (status, took) = call.await.unwrap();
        *report.statuses.entry(status).or_default() += 1;
        if status != 200 {
            report.refusal_times.push(took);
        }
    }
    report.refusal_times.sort();
    report
}

/// Checks that no endpoint has had to reject more within a second than it survives.
pub fn check_rejections(servers: &[BrittleServer], since: Instant, report: &Report) {
    let is_crashed = |server: &&BrittleServer| server.max_rejections(since) > server.behavior.max_rejections;
    let crashed = servers.iter().filter(is_crashed).count();
    let most = servers.iter().map(|server| server.max_rejections(since)).max();
    assert_eq!(crashed, 0, "endpoints crash, up to {most:?} rejections within a second; {:?}", report.statuses);
}

/// Checks that at least so many in a hundred requests were served.
pub fn check_served(report: &Report, min_percent: usize) {
    let served = report.statuses.get(&200).copied().unwrap_or_default();
    let sent = report.statuses.values().sum::<usize>();
    assert!(100 * served >= min_percent * sent, "{:?}", report.statuses);
}

/// Checks that requests that are not served are refused, nearly all of them within `max_time`.
pub fn check_refusals(report: &Report, max_time: Duration) {
    let is_expected = |status: &&u16| [200, 503].contains(*status);
    assert!(report.statuses.keys().all(|status| is_expected(&status)), "{:?}", report.statuses);
    let late = report.refusal_times.iter().filter(|time| **time > max_time).count();
    let (count, last) = (report.refusal_times.len(), report.refusal_times.last());
    assert!(20 * late <= count, "{late} of {count} refusals late, up to {last:?}; {:?}", report.statuses);
}
