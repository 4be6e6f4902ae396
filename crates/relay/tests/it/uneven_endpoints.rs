//! Endpoints of two speeds behind several instances, with declared and with learned capacity.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use relay::{catalog::Kind, settings::Capacity, source::Endpoint};
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

/// Slots of an endpoint, and requests that wait there for one.
const SLOTS: u32 = 4;
const QUEUE: u32 = 8;

const RUN_TIMES_MS: [u64; 6] = [70, 70, 70, 170, 170, 170];

/// Eight tenths of what the endpoints complete in a second.
const PER_S: u32 = 194;

/// Time in which paces are learned.
const LEARNING_TIME: Duration = Duration::from_secs(4);

const MEASURED_TIME: Duration = Duration::from_secs(6);

/// Wait in an endpoint's queue from which a request counts as waiting. Handing over a slot takes
/// less even on a busy processor.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// An endpoint that runs a few requests at a time, queues a few and rejects others.
struct Queueing {
    run_time: Duration,
    slots: Semaphore,
    waiting: AtomicU32,
    rejected: AtomicUsize,
    waits: Mutex<Vec<Duration>>,
}

impl Queueing {
    async fn start(run_time: Duration) -> (Arc<Self>, std::net::SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Arc::new(Self {
            run_time,
            slots: Semaphore::new(SLOTS as usize),
            waiting: AtomicU32::new(0),
            rejected: AtomicUsize::new(0),
            waits: Mutex::default(),
        });
        let serving = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Arc::clone(&serving);
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        (server, address)
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        let mut buffer = [0; 4096];
        while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
            let Ok(count @ 1..) = stream.read(&mut buffer).await else { return };
            bytes.extend_from_slice(&buffer[..count]);
        }
        let id = header(&String::from_utf8_lossy(&bytes), "x-request").unwrap_or_default();
        let text = if self.run().await {
            ok_response("ok")
        } else {
            self.rejected.fetch_add(1, Ordering::Relaxed);
            "HTTP/1.1 503 X\r\nx-request: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
        };
        stream.write_all(text.replace("{id}", &id).as_bytes()).await.ok();
    }

    /// Runs a request once there is a slot, and returns whether it did.
    async fn run(&self) -> bool {
        let arrived = Instant::now();
        let slot = if let Ok(slot) = self.slots.try_acquire() {
            slot
        } else {
            if self.waiting.fetch_add(1, Ordering::Relaxed) >= QUEUE {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                return false;
            }
            let slot = self.slots.acquire().await.unwrap();
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            slot
        };
        self.waits.lock().unwrap().push(arrived.elapsed());
        sleep(self.run_time).await;
        drop(slot);
        true
    }
}

/// What the endpoints have seen.
#[derive(Debug)]
struct Measured {
    /// Share of the requests that waited.
    waiting: f64,
    /// Wait that one request in twenty exceeds.
    p95: Duration,
    /// Number of requests that full endpoints rejected.
    rejected: usize,
    served: usize,
    sent: usize,
}

/// Sends requests to endpoints that take the given times, at a rate.
async fn measure(capacity: Capacity, run_times_ms: [u64; 6], per_s: u32) -> Measured {
    let (mut servers, mut endpoints) = (Vec::new(), Vec::new());
    for (number, run_ms) in run_times_ms.into_iter().enumerate() {
        let (server, address) = Queueing::start(Duration::from_millis(run_ms)).await;
        servers.push(server);
        endpoints.push(Endpoint { slots: SLOTS, ..endpoint(&format!("e{number}"), address) });
    }
    let store = Arc::new(Store::new(StoreContents {
        catalog: Some(catalog(1, vec![route("/a/", Kind::Idempotent)])),
        endpoints,
        ..StoreContents::default()
    }));
    let sites = start_instances(INSTANCES, &store, |_, settings| settings.policies.capacity = capacity).await;
    send_requests(&sites, per_s, LEARNING_TIME).await;
    for server in &servers {
        server.waits.lock().unwrap().clear();
        server.rejected.store(0, Ordering::Relaxed);
    }
    let report = send_requests(&sites, per_s, MEASURED_TIME).await;
    let mut waits: Vec<Duration> = servers.iter().flat_map(|server| server.waits.lock().unwrap().clone()).collect();
    waits.sort();
    let waiting = waits.iter().filter(|wait| **wait > MIN_WAIT).count();
    Measured {
        waiting: share(waiting, waits.len()),
        p95: waits[waits.len() * 95 / 100],
        rejected: servers.iter().map(|server| server.rejected.load(Ordering::Relaxed)).sum(),
        served: report.statuses.get(&200).copied().unwrap_or_default(),
        sent: report.statuses.values().sum(),
    }
}

#[expect(clippy::cast_precision_loss, reason = "requests are few")]
fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// With declared capacity, requests are divided without regard to speed. The slow endpoints then have
/// long queues while the fast ones have free slots. How evenly the endpoints of one speed are loaded
/// is a matter of placement by loads that are out of date.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_wait_less_at_endpoints_of_learned_speeds() {
    let declared = measure(Capacity::Declared, RUN_TIMES_MS, PER_S).await;
    let learned = measure(Capacity::Learned, RUN_TIMES_MS, PER_S).await;
    println!("declared: {declared:?}\nlearned: {learned:?}");
    assert!(learned.p95.as_secs_f64() < 0.8 * declared.p95.as_secs_f64(), "{declared:?} {learned:?}");
    assert!(learned.waiting < declared.waiting, "{declared:?} {learned:?}");
    assert!(learned.rejected < declared.rejected.max(10), "{declared:?} {learned:?}");
    assert!(100 * learned.served >= 99 * learned.sent, "{learned:?}");
}

/// Where the endpoints are alike, learning must not make requests wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_wait_no_longer_at_endpoints_that_are_alike() {
    const PER_S: u32 = 160;
    let declared = measure(Capacity::Declared, [100; 6], PER_S).await;
    let learned = measure(Capacity::Learned, [100; 6], PER_S).await;
    println!("declared: {declared:?}\nlearned: {learned:?}");
    assert!(learned.waiting < declared.waiting + 0.1, "{declared:?} {learned:?}");
    assert!(learned.p95.as_secs_f64() < 1.3 * declared.p95.as_secs_f64(), "{declared:?} {learned:?}");
    assert!(100 * learned.served >= 99 * learned.sent, "{learned:?}");
}
