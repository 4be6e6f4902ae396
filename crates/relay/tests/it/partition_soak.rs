//! Random partitions between instances and endpoints, in series and overlapping, under load.
//!
//! Callers keep their connections until those are closed. Whatever is cut: a request that must
//! not run twice runs once at most, an answer that says "not run" is true, a stream has each
//! event once and in order, and callers of partitioned instances are served like others once
//! the instances had the time to adapt.
//!
//! `PARTITION_SEED` and `PARTITION_SEEDS` give the first seed and the number of seeds for a
//! longer run by hand.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use relay::catalog::Kind;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    caller::{self, Response},
    network::{Cuttable, Mode},
    server::{LAST_CHUNK, event, header, ok_response, stream_head},
    site::{HOST, KEY, Site, StoreContents, catalog, endpoint, route},
};

const INSTANCES: usize = 5;
const ENDPOINTS: usize = 4;
const CALLERS: usize = 10;
const EVENTS: u32 = 12;

/// Time in which partitions begin.
const PARTITIONS_BEGIN: std::ops::Range<u64> = 200..5_000;

/// How long they last.
const PARTITIONS_LAST: std::ops::Range<u64> = 300..8_000;

/// When callers stop; all partitions have ended a few seconds before.
const END: Duration = Duration::from_secs(16);

/// Time after which an instance has adapted to a partition or its end.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);

/// Time that callers give their requests, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// A cut between an instance and all endpoints.
#[derive(Debug, Clone, Copy)]
struct Partition {
    instance: usize,
    mode: Mode,
    from: Duration,
    until: Duration,
}

/// A request and what its caller received.
#[derive(Debug)]
struct Call {
    id: String,
    path: &'static str,
    instance: usize,
    sent_at: Duration,
    response: Response,
}

impl Call {
    fn is_served(&self) -> bool {
        self.response.status == 200 && self.response.complete
    }
}

/// Draws the partitions of a seed: groups of some, most or all instances at a time.
fn draw(seed: u64) -> Vec<Partition> {
    let mut draw = ChaCha8Rng::seed_from_u64(seed);
    let mut partitions = Vec::new();
    for _ in 0..draw.random_range(1..4) {
        let from = Duration::from_millis(draw.random_range(PARTITIONS_BEGIN));
        let until = from + Duration::from_millis(draw.random_range(PARTITIONS_LAST));
        let mode = *[Mode::Hung, Mode::Reset, Mode::NewRefused].choose(&mut draw).unwrap();
        let count = draw.random_range(1..=INSTANCES);
        let first = draw.random_range(0..INSTANCES);
        let instances = (first..first + count).map(|instance| instance % INSTANCES);
        partitions.extend(instances.map(|instance| Partition { instance, mode, from, until }));
    }
    partitions
}

/// Numbers of runs by request id.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

async fn start_endpoint(runs: Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&runs)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, runs: Runs) -> Option<()> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    }
    let request = String::from_utf8_lossy(&bytes).into_owned();
    let id = header(&request, "x-request")?;
    *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
    let parts = if request.starts_with("POST /stream/") {
        let last = header(&request, "last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let events = (last + 1..=EVENTS).map(event);
        std::iter::once(stream_head(90)).chain(events).chain([LAST_CHUNK.to_owned()]).collect()
    } else {
        vec![ok_response("ok")]
    };
    for part in parts {
        sleep(Duration::from_millis(15)).await;
        stream.write_all(part.replace("{id}", &id).as_bytes()).await.ok()?;
    }
    Some(())
}

/// Sends requests to random instances until the end, over connections that are kept.
async fn call_until_end(number: usize, seed: u64, fronts: Vec<SocketAddr>, started: Instant) -> Vec<Call> {
    let mut draw = ChaCha8Rng::seed_from_u64(seed ^ (u64::try_from(number).unwrap() << 32));
    let mut connections: Vec<Option<TcpStream>> = fronts.iter().map(|_| None).collect();
    let mut calls = Vec::new();
    while started.elapsed() < END {
        sleep(Duration::from_millis(draw.random_range(5..60))).await;
        let instance = draw.random_range(0..fronts.len());
        let path = *["/get/", "/post/", "/stream/"].choose(&mut draw).unwrap();
        let id = format!("{number}-{}", calls.len());
        let method = if path == "/get/" { "GET" } else { "POST" };
        let text = format!(
            "{method} {path}x HTTP/1.1\r\nHost: {HOST}\r\nX-Request: {id}\r\nX-Key: {KEY}\r\n\
             X-Deadline: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
        );
        let mut connection = match connections[instance].take() {
            Some(connection) => connection,
            None => TcpStream::connect(fronts[instance]).await.unwrap(),
        };
        let sent_at = started.elapsed();
        connection.write_all(text.as_bytes()).await.unwrap();
        let response = caller::read(&mut connection).await;
        if response.complete && response.header("connection") != Some("close") {
            connections[instance] = Some(connection);
        }
        calls.push(Call { id, path, instance, sent_at, response });
    }
    calls
}

/// Plays a seed and checks every promise.
async fn check(seed: u64) {
    let runs = Runs::default();
    let mut addresses = Vec::new();
    for _ in 0..ENDPOINTS {
        addresses.push(start_endpoint(Arc::clone(&runs)).await);
    }
    let routes = vec![
        route("/get/", Kind::Idempotent),
        route("/post/", Kind::NonIdempotent),
        route("/stream/", Kind::Stream { resumable: true }),
    ];
    let endpoints = addresses.iter().enumerate().map(|(n, address)| endpoint(&format!("e{n}"), *address)).collect();
    let contents = StoreContents { catalog: Some(catalog(1, routes)), endpoints, ..StoreContents::default() };
    let (mut sites, mut networks): (Vec<Site>, Vec<Arc<Cuttable>>) = (Vec::new(), Vec::new());
    for number in 0..INSTANCES {
        let seeds = sites.iter().map(|site| site.relay.dispatcher().settings.listeners.news).collect();
        let network = Arc::new(Cuttable::new(addresses.iter().copied()));
        networks.push(Arc::clone(&network));
        let site = Site::start_with(contents.clone(), |settings| {
            settings.instance = format!("instance-{number}");
            settings.seeds = seeds;
            settings.network = network;
        });
        sites.push(site.await);
    }
    while sites.iter().any(|site| site.relay.dispatcher().live_instance_count() < INSTANCES) {
        sleep(Duration::from_millis(2)).await;
    }
    let partitions = draw(seed);
    let started = Instant::now();
    let fronts: Vec<SocketAddr> = sites.iter().map(Site::front).collect();
    let callers: Vec<_> =
        (0..CALLERS).map(|number| tokio::spawn(call_until_end(number, seed, fronts.clone(), started))).collect();
    while started.elapsed() < END {
        let now = started.elapsed();
        for (instance, network) in networks.iter().enumerate() {
            network.set(mode_at(&partitions, instance, now));
        }
        sleep(Duration::from_millis(10)).await;
    }
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.unwrap());
    }
    let runs = runs.lock().unwrap();
    for call in &calls {
        check_promises(call, runs.get(&call.id).copied().unwrap_or(0));
    }
    check_service(&partitions, &calls, seed);
    assert!(calls.len() > 500, "{} calls", calls.len());
}

/// Returns the mode of an instance's network; the partition that began last decides.
fn mode_at(partitions: &[Partition], instance: usize, now: Duration) -> Mode {
    let active = partitions.iter().filter(|cut| cut.instance == instance && (cut.from..cut.until).contains(&now));
    active.max_by_key(|cut| cut.from).map_or(Mode::Open, |cut| cut.mode)
}

fn check_promises(call: &Call, runs: u32) {
    let Call { path, response, .. } = call;
    if *path == "/post/" {
        assert!(runs <= 1, "{runs} runs of {call:?}");
        assert!(response.status != 503 || runs == 0, "told \"not run\": {call:?}");
    }
    if response.status == 200 && *path == "/stream/" {
        let ids = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u32> = ids.map(|id| id.parse().unwrap()).collect();
        let expected: Vec<u32> = (1..).take(ids.len()).collect();
        assert_eq!(ids, expected, "{call:?}");
        assert!(!response.complete || ids.len() == 12, "{call:?}");
    } else if response.status == 200 {
        assert_eq!(response.body, "ok", "{call:?}");
    }
}

/// Checks that callers of partitioned instances are served like others, and all callers after
/// the partitions.
fn check_service(partitions: &[Partition], calls: &[Call], seed: u64) {
    // An instance has adapted if its network has not changed for a while.
    let is_settled = |instance, now: Duration| {
        let since = now.saturating_sub(ADAPTATION_TIME);
        let mine = partitions.iter().filter(|cut| cut.instance == instance);
        mine.flat_map(|cut| [cut.from, cut.until]).all(|change| !(since..now).contains(&change))
    };
    // Some instance must be able to serve, and the others must have had the time to learn so.
    let is_servable = |now| (0..INSTANCES).any(|i| mode_at(partitions, i, now) == Mode::Open && is_settled(i, now));
    let end_of = |call: &Call| call.sent_at + Duration::from_millis(DEADLINE_MS);
    let is_owed = |call: &&Call| {
        let moments = [call.sent_at, (call.sent_at + end_of(call)) / 2, end_of(call)];
        is_settled(call.instance, call.sent_at) && moments.iter().all(|at| is_servable(*at))
    };
    let (mut owed, mut failed) = (0, Vec::new());
    for call in calls.iter().filter(is_owed) {
        owed += 1;
        if !call.is_served() {
            failed.push((call.sent_at, call.instance, call.path, call.response.status));
        }
    }
    assert!(failed.len() <= 10 + owed / 50, "seed {seed}: {partitions:#?}\n{} of {owed}: {failed:#?}", failed.len());
    let last = partitions.iter().map(|cut| cut.until).max().unwrap_or_default() + ADAPTATION_TIME;
    let late: Vec<_> = calls.iter().filter(|call| call.sent_at > last && !call.is_served()).collect();
    assert!(late.is_empty(), "seed {seed}: {partitions:#?}\n{late:#?}");
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_random_partitions() {
    let first = variable("PARTITION_SEED").unwrap_or(1);
    let count = variable("PARTITION_SEEDS").unwrap_or(2);
    for seed in first..first + count {
        check(seed).await;
    }
}
