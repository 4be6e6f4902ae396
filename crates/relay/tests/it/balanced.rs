//! Instances that choose endpoints of unequal pace by loads that are out of date, as the settings
//! say.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use relay::{catalog::Kind, settings::Placement, source::Endpoint};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};

use crate::{
    brittle_server::{send_requests, start_instances},
    server::{header, ok_response},
    site::{Store, StoreContents, catalog, endpoint, route},
};

const INSTANCES: usize = 8;

const SLOTS: usize = 4;

const MAX_QUEUE: usize = 8;

/// Run times of the endpoints, in milliseconds: two thirds are fast, one third is slow.
const RUN_MS: [u64; 6] = [70, 70, 70, 70, 170, 170];

/// Requests a second: 0.8 of what the slots of all endpoints complete.
const PER_S: u32 = 220;

/// Time in which the instances observe the endpoints' pace.
const LEARNING_TIME: Duration = Duration::from_secs(3);

const MEASURED_TIME: Duration = Duration::from_secs(8);

/// Longest 95th percentile of the wait in endpoints' queues.
const MAX_P95_WAIT: Duration = Duration::from_millis(50);

/// What an endpoint has observed.
#[derive(Debug, Default)]
struct Observations {
    connections: usize,
    requests: Vec<String>,
    waits: Vec<Duration>,
    runs: u32,
    rejections: usize,
}

/// An endpoint with slots and a queue that rejects what fits neither.
#[derive(Debug)]
struct QueueingServer {
    endpoint: Endpoint,
    run_time: Duration,
    observations: Arc<Mutex<Observations>>,
}

impl QueueingServer {
    async fn start(number: usize, run_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let registered = endpoint(&format!("e{number}"), listener.local_addr().unwrap());
        let observations = Arc::new(Mutex::new(Observations::default()));
        let (slots, places) = (Arc::new(Semaphore::new(SLOTS)), Arc::new(Semaphore::new(SLOTS + MAX_QUEUE)));
        let recorded = Arc::clone(&observations);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                recorded.lock().unwrap().connections += 1;
                let (slots, places) = (Arc::clone(&slots), Arc::clone(&places));
                tokio::spawn(serve(stream, run_time, slots, places, Arc::clone(&recorded)));
            }
        });
        let slots = u32::try_from(SLOTS).unwrap();
        Self { endpoint: Endpoint { slots, ..registered }, run_time, observations }
    }

    /// Takes what was observed so far.
    fn take(&self) -> Observations {
        std::mem::take(&mut self.observations.lock().unwrap())
    }
}

async fn serve(
    mut stream: TcpStream,
    run_time: Duration,
    slots: Arc<Semaphore>,
    places: Arc<Semaphore>,
    observations: Arc<Mutex<Observations>>,
) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        let Ok(count @ 1..) = stream.read(&mut buffer).await else { return };
        bytes.extend_from_slice(&buffer[..count]);
    }
    let arrived = Instant::now();
    let request = String::from_utf8_lossy(&bytes).into_owned();
    let id = header(&request, "x-request").unwrap_or_default();
    observations.lock().unwrap().requests.push(request.lines().next().unwrap_or_default().to_owned());
    let Ok(_place) = places.try_acquire() else {
        observations.lock().unwrap().rejections += 1;
        let rejection = format!("HTTP/1.1 503 X\r\nx-request: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(rejection.as_bytes()).await.ok();
        return;
    };
    let slot = slots.acquire().await.unwrap();
    observations.lock().unwrap().waits.push(arrived.elapsed());
    sleep(run_time).await;
    observations.lock().unwrap().runs += 1;
    drop(slot);
    stream.write_all(ok_response("ok").replace("{id}", &id).as_bytes()).await.ok();
}

/// What was measured with one setting.
#[derive(Debug)]
struct Measurement {
    p95_wait: Duration,
    /// Busy share of the slots of fast and of slow endpoints.
    busy: [f64; 2],
    rejections: usize,
    sends: usize,
    served: usize,
    requests: usize,
    /// Connections to endpoints on which no caller's request was sent.
    other_connections: usize,
}

async fn measure(placement: Placement) -> Measurement {
    let mut servers = Vec::new();
    for (number, run_ms) in RUN_MS.into_iter().enumerate() {
        servers.push(QueueingServer::start(number, Duration::from_millis(run_ms)).await);
    }
    let store = Arc::new(Store::new(StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints: servers.iter().map(|server| server.endpoint.clone()).collect(),
        ..StoreContents::default()
    }));
    let sites = start_instances(INSTANCES, &store, |_, settings| settings.policies.placement = placement).await;
    send_requests(&sites, PER_S, LEARNING_TIME).await;
    let before: Vec<Observations> = servers.iter().map(QueueingServer::take).collect();
    let report = send_requests(&sites, PER_S, MEASURED_TIME).await;
    let observed: Vec<Observations> = servers.iter().map(QueueingServer::take).collect();
    let mut waits: Vec<Duration> = observed.iter().flat_map(|o| o.waits.iter().copied()).collect();
    waits.sort();
    let busy = |range: std::ops::Range<usize>| {
        let share = |number: usize| {
            let run_s = servers[number].run_time.as_secs_f64() * f64::from(observed[number].runs);
            run_s / (MEASURED_TIME.as_secs_f64() * f64::from(u32::try_from(SLOTS).unwrap()))
        };
        range.clone().map(share).sum::<f64>() / f64::from(u32::try_from(range.len()).unwrap())
    };
    let all = || before.iter().chain(&observed);
    let from_callers = all().flat_map(|o| &o.requests).filter(|request| request.contains(" /a/x ")).count();
    Measurement {
        p95_wait: waits[waits.len() * 95 / 100],
        busy: [busy(0..4), busy(4..6)],
        rejections: observed.iter().map(|o| o.rejections).sum(),
        sends: observed.iter().map(|o| o.requests.len()).sum(),
        served: report.statuses.get(&200).copied().unwrap_or_default(),
        requests: report.statuses.values().sum(),
        other_connections: all().map(|o| o.connections).sum::<usize>() - from_callers,
    }
}

/// Callers wait behind others at one endpoint while another one is idle, since each instance
/// chooses by loads that are up to 0.25 s old, longer than most runs take.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn load_of_unequal_endpoints_is_even() {
    let reported = measure(Placement::Reported).await;
    let balanced = measure(Placement::Balanced).await;
    println!("reported: {reported:?}\nbalanced: {balanced:?}");
    assert!(balanced.p95_wait < MAX_P95_WAIT, "{balanced:?}, with reported loads {reported:?}");
    assert!(balanced.rejections * 20 <= reported.rejections.max(20), "{balanced:?}, {reported:?}");
    assert_eq!(balanced.served, balanced.requests, "{balanced:?}");
    assert!(balanced.busy[1] < reported.busy[1], "{balanced:?}, {reported:?}");
    // Endpoints are not asked for their loads.
    assert_eq!(balanced.sends, balanced.requests + balanced.rejections, "{balanced:?}");
    assert_eq!(balanced.other_connections, reported.other_connections, "{balanced:?}, {reported:?}");
}
