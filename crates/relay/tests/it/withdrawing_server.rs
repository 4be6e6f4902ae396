//! Endpoints that ask instances to send them nothing more, for good or for a while, and a record of
//! what each received from each instance.
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
use relay::{network::Network, source::Endpoint};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    server::{self, LAST_CHUNK, event, header, ok_response},
    site::endpoint,
};

/// Number of events in a stream.
const EVENTS: u32 = 6;

/// Number of events in a stream that breaks off.
const EVENTS_BEFORE_BREAK: u32 = 2;

const EVENT_PAUSE: Duration = Duration::from_millis(10);

/// Time that the first byte of an answer takes.
pub const ANSWER_TIME: Duration = Duration::from_millis(5);

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
    /// Whether the answer said that the endpoint leaves.
    pub says_leaving: bool,
}

/// What endpoints received, and which connections are whose.
#[derive(Debug)]
pub struct Record {
    pub started: Instant,
    /// Instances by the local addresses of their connections.
    pub origins: Mutex<HashMap<SocketAddr, usize>>,
    pub endpoints: Mutex<HashSet<SocketAddr>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Header that endpoints add to all answers.
    pub statement: Mutex<Option<&'static str>>,
}

impl Record {
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// The network of one instance.
#[derive(Debug)]
pub struct Origin {
    pub instance: usize,
    pub record: Arc<Record>,
    /// Whether endpoints refuse connections of this instance.
    pub is_cut: AtomicBool,
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

/// Starts an endpoint and returns its registration.
pub async fn start_endpoint(number: usize, behavior: &Arc<Mutex<Behavior>>, record: &Arc<Record>) -> Endpoint {
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
    let says_leaving = behavior == Behavior::Leaving;
    let arrival = Arrival { server: number, instance, at: record.now(), sent_at, pause, says_leaving };
    record.arrivals.lock().unwrap().push(arrival);
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
    let text = if says_leaving { with_header(&text, "x-leaving: 1") } else { text };
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
    server::stream_head(if is_small { LOW_CONFIDENCE } else { 90 })
}

/// Adds a header to the head of a response.
fn with_header(response: &str, header: &str) -> String {
    response.replacen("\r\n\r\n", &format!("\r\n{header}\r\n\r\n"), 1)
}
