//! What links between instances cost: bytes, CPU and memory per instance, idle
//! and under news, and how long news takes until it is everywhere.
//!
//! All instances run in this process over 127.0.0.1. Bytes are TCP payload,
//! each counted once, at the end that accepted the connection; per instance
//! they are what it sends, which is as much as it receives. Memory is what the
//! process holds more than before that size was started.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use peer::{Handle, Inbound, Key, Settings, Topic};
use tokio::{sync::mpsc, time::sleep};
use world::instance::{Id, Incarnation, Instance, State};

use crate::usage;

/// Name of the threads that run the instances.
const THREADS: &str = "peers";
const SIZES: [usize; 5] = [3, 7, 15, 31, 63];
const DOMAINS: usize = 8;
const SETTLE: Duration = Duration::from_secs(5);
const IDLE: Duration = Duration::from_secs(15);
const NEWS: u32 = 20;
const BETWEEN: Duration = Duration::from_secs(1);
/// As long as a small configuration change.
const BODY: usize = 300;
/// News that is not everywhere by then counts as lost.
const LOST: Duration = Duration::from_secs(5);
/// The same in microseconds.
const SLOWEST: u64 = 5_000_000;

/// Measures and prints one line per size, then the slopes.
pub fn run() {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.thread_name(THREADS).enable_all().build().expect("the runtime starts");
    println!(
        "instances | idle B/s | idle CPU % | news B/s | news CPU % | memory KiB | everywhere p50 | p99 | lost | leaving | crash"
    );
    println!("(leaving, crash: until the last one knows)");
    println!("(bytes, CPU of one core and memory are per instance; news is 1/s in the whole fleet)");
    let rows: Vec<Row> = SIZES.iter().map(|size| runtime.block_on(measure(*size))).collect();
    for pair in rows.windows(2) {
        let step = (pair[1].size - pair[0].size) as f64;
        let slope = |value: fn(&Row) -> f64| (value(&pair[1]) - value(&pair[0])) / step;
        println!(
            "slope {:>2} to {:>2}: idle {:+.1} B/s, news {:+.1} B/s, idle CPU {:+.5} %, memory {:+.1} KiB per further instance",
            pair[0].size,
            pair[1].size,
            slope(|r| r.idle.bytes),
            slope(|r| r.news.bytes),
            slope(|r| r.idle.cpu),
            slope(|r| r.memory),
        );
    }
}

/// Per instance and second.
#[derive(Debug)]
struct Cost {
    bytes: f64,
    /// Per cent of one core.
    cpu: f64,
}

#[derive(Debug)]
struct Row {
    size: usize,
    idle: Cost,
    news: Cost,
    memory: f64,
}

async fn measure(size: usize) -> Row {
    let before = usage::resident();
    let (handles, mut arrivals) = start(size).await;
    sleep(SETTLE).await;

    let meter = Meter::start(&handles);
    sleep(IDLE).await;
    let idle = meter.stop(&handles);

    let meter = Meter::start(&handles);
    let (everywhere, lost) = publish(&handles, &mut arrivals).await;
    let news = meter.stop(&handles);
    let memory = usage::resident().saturating_sub(before) as f64 / size as f64 / 1024.0;
    let millis = |quantile| everywhere.value_at_quantile(quantile) as f64 / 1e3;
    let (left, gone) = end(&handles).await;
    println!(
        "{size:>9} | {:>8.0} | {:>10.3} | {:>8.0} | {:>10.3} | {memory:>10.0} | {:>11.2} ms | {:.2} ms | {lost} | {left:.0} ms | {gone:.0} ms",
        idle.bytes,
        idle.cpu,
        news.bytes,
        news.cpu,
        millis(0.5),
        millis(0.99),
    );
    for handle in &handles {
        // Already closed is as good.
        let _ = handle.close().await;
    }
    Row { size, idle, news, memory }
}

/// Publishes from one after another; times are until the last has it, in µs.
async fn publish(handles: &[Handle], arrivals: &mut mpsc::UnboundedReceiver<Instant>) -> (Histogram<u64>, u64) {
    let mut everywhere = Histogram::new_with_max(SLOWEST, 3).expect("the bounds are allowed");
    let mut lost = 0;
    let mut beat = tokio::time::interval(BETWEEN);
    for number in 0..NEWS as usize {
        beat.tick().await;
        let published = Instant::now();
        let body = Bytes::from(vec![b'x'; BODY]);
        handles[number % handles.len()].publish(Topic::Config, body).await.expect("the instance runs");
        let all = async {
            let mut latest = published;
            for _ in 1..handles.len() {
                latest = latest.max(arrivals.recv().await.expect("the readers run"));
            }
            latest
        };
        match tokio::time::timeout(LOST, all).await {
            Ok(latest) => {
                everywhere.saturating_record(u64::try_from((latest - published).as_micros()).unwrap_or(u64::MAX));
            }
            Err(_) => lost += 1,
        }
    }
    (everywhere, lost)
}

/// Lets one leave and another crash: milliseconds until all the rest know.
async fn end(handles: &[Handle]) -> (f64, f64) {
    let [rest @ .., crashing, leaving] = handles else { return (0.0, 0.0) };
    let told = Instant::now();
    leaving.leave().await.expect("the instance runs");
    for handle in rest {
        until(handle, leaving, State::Leaving).await;
    }
    let left = told.elapsed();

    let crashed = Instant::now();
    crashing.abort();
    for handle in rest {
        until(handle, crashing, State::Gone).await;
    }
    (left.as_secs_f64() * 1e3, crashed.elapsed().as_secs_f64() * 1e3)
}

async fn until(handle: &Handle, other: &Handle, state: State) {
    let id = other.members().borrow().me.id.clone();
    let mut members = handle.members();
    members.wait_for(|m| m.others.get(&id).is_some_and(|i| i.state == state)).await.expect("the instance runs");
}

/// Starts instances that know the first one's address, and waits until all
/// know all. Every arrival of news goes to one channel.
async fn start(size: usize) -> (Vec<Handle>, mpsc::UnboundedReceiver<Instant>) {
    let (arrived, arrivals) = mpsc::unbounded_channel();
    let mut handles: Vec<Handle> = Vec::new();
    for place in 0..size {
        let seeds = handles.first().map(Handle::address).into_iter().collect();
        let (handle, mut inbound) = peer::spawn(settings(place, seeds)).await.expect("a port is free");
        let arrived = arrived.clone();
        tokio::spawn(async move {
            while let Some(message) = inbound.recv().await {
                if matches!(message, Inbound::News { .. }) && arrived.send(Instant::now()).is_err() {
                    return;
                }
            }
        });
        handles.push(handle);
    }
    for handle in &handles {
        let mut members = handle.members();
        members.wait_for(|m| m.live().count() == size).await.expect("the instance runs");
    }
    (handles, arrivals)
}

fn settings(place: usize, seeds: Vec<SocketAddr>) -> Settings {
    let local = "127.0.0.1:0".parse().expect("an address");
    let me = Instance {
        id: Id::parse(&format!("instance-{place:03}")).expect("a name"),
        incarnation: Incarnation(1),
        domain: format!("domain-{}", place % DOMAINS).parse().expect("a name"),
        callers: local,
        peers: local,
        operators: local,
        state: State::Live,
    };
    Settings::new(me, local, seeds, Key::new("bench"))
}

/// Bytes and CPU since the start.
struct Meter {
    at: Instant,
    bytes: u64,
    cpu: Duration,
}

impl Meter {
    fn start(handles: &[Handle]) -> Self {
        Self { at: Instant::now(), bytes: bytes(handles), cpu: usage::cpu(THREADS) }
    }

    fn stop(self, handles: &[Handle]) -> Cost {
        let share = self.at.elapsed().as_secs_f64() * handles.len() as f64;
        let cpu = usage::cpu(THREADS).saturating_sub(self.cpu).as_secs_f64();
        Cost { bytes: (bytes(handles) - self.bytes) as f64 / share, cpu: 100.0 * cpu / share }
    }
}

fn bytes(handles: &[Handle]) -> u64 {
    handles.iter().map(Handle::traffic).map(|t| t.received + t.sent).sum()
}
