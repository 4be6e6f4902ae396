//! What an instance adds between a caller and its engine.
//!
//! The same callers stream from the stand-in engine directly, through an
//! instance, and through it with a durable claim, one after the other in
//! alternating rounds of one run, so that the machine's state is shared.

mod caller;
mod rig;

use std::time::Duration;

use caller::{Caller, To};
use hdrhistogram::Histogram;
use hyper::body::Incoming;
use rig::Rig;
use standin::engine::Options;
use tokio::{
    runtime::{Builder, Runtime},
    task::JoinSet,
    time::{Instant, timeout},
};

use crate::usage;

/// Callers at a time.
const LOADS: [usize; 3] = [1, 64, 512];
/// Rounds of each way at each load.
const ROUNDS: u32 = 3;
/// Length of a round.
const ROUND: Duration = Duration::from_secs(2);
/// Streams held open for the memory of one.
const OPEN_STREAMS: usize = 2_000;
/// Streams opened before memory is counted.
const WARM_STREAMS: usize = 200;
/// Longest wait for one of them to open.
const OPEN_WITHIN: Duration = Duration::from_secs(10);
/// Microseconds in the histograms, at most.
const MAX_MICROS: u64 = 60_000_000;

/// What rounds of one way showed.
struct Measured {
    first: Histogram<u64>,
    whole: u64,
    wall: Duration,
    cpu: Duration,
}

/// How fast the stand-in engine answers.
struct Pace {
    name: &'static str,
    first_token_ms: u64,
    per_token_ms: u64,
}

/// At once, which shows where the instance is full; and as an engine would,
/// which shows what it adds when it is not.
const PACES: [Pace; 2] = [
    Pace { name: "engine answers at once", first_token_ms: 0, per_token_ms: 0 },
    Pace { name: "engine takes 20 ms to the first token, 5 ms between", first_token_ms: 20, per_token_ms: 5 },
];

/// Runs the benchmark and prints its tables.
pub fn run() {
    let callers = callers();
    println!("time to the first token, in ms; instance on two threads; platform answers in 2 ms, 300 writes/s");
    for pace in &PACES {
        print_pace(&callers, pace);
    }
}

fn print_pace(callers: &Runtime, pace: &Pace) {
    println!("\n{}", pace.name);
    println!(
        "{:>7} {:>9} {:>8} {:>8} {:>9} {:>9} {:>10} {:>12}",
        "callers", "way", "p50", "p99", "added p50", "added p99", "requests/s", "per core, /s"
    );
    let rig = Rig::spawn(Options {
        versions: [rig::VERSION.into()].into(),
        slots: 4_096,
        queue: 4_096,
        first_token_ms: pace.first_token_ms,
        per_token_ms: pace.per_token_ms,
        ..Options::default()
    });
    let instance = rig.instance.callers();
    for load in LOADS {
        let ways = [To::Engine(rig.engine), To::Instance(instance), To::Claimed(instance)];
        let mut measured = ways.map(|_| Measured::new());
        for _ in 0..ROUNDS {
            for (way, sum) in ways.iter().zip(&mut measured) {
                callers.block_on(round(*way, load, sum));
            }
        }
        let [direct, ..] = &measured;
        for (name, sum) in ["direct", "instance", "claimed"].iter().zip(&measured) {
            sum.print(load, name, direct);
        }
    }
}

/// Memory per open stream: what opening many costs directly, and what as many
/// more cost through an instance; the difference is the instance's.
pub fn run_streams() {
    let callers = callers();
    let slow = Options {
        versions: [rig::VERSION.into()].into(),
        slots: OPEN_STREAMS * 3,
        queue: OPEN_STREAMS,
        per_token_ms: 60_000,
        ..Options::default()
    };
    let rig = Rig::spawn(slow);
    let instance = rig.instance.callers();
    let mut held = Vec::new();
    // The first few stretch pools and heap; they are not counted.
    callers.block_on(open(To::Engine(rig.engine), WARM_STREAMS, &mut held));
    callers.block_on(open(To::Instance(instance), WARM_STREAMS, &mut held));
    let direct = callers.block_on(open(To::Engine(rig.engine), OPEN_STREAMS, &mut held));
    let through = callers.block_on(open(To::Instance(instance), OPEN_STREAMS, &mut held));
    let own = through.saturating_sub(direct);
    println!("memory per open stream, {OPEN_STREAMS} of each way held at once");
    println!("direct {direct} B, through an instance {through} B, the instance's own {own} B");
}

fn callers() -> Runtime {
    let built = Builder::new_multi_thread().worker_threads(4).thread_name("caller").enable_all().build();
    built.expect("the machine gives threads")
}

impl Measured {
    fn new() -> Self {
        let first = Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are sound");
        Self { first, whole: 0, wall: Duration::ZERO, cpu: Duration::ZERO }
    }

    fn print(&self, load: usize, name: &str, direct: &Self) {
        let (p50, p99) = (millis(&self.first, 0.5), millis(&self.first, 0.99));
        let added = (p50 - millis(&direct.first, 0.5), p99 - millis(&direct.first, 0.99));
        #[expect(clippy::cast_precision_loss, reason = "counts of one run")]
        let whole = self.whole as f64;
        let rate = whole / self.wall.as_secs_f64();
        let per_core = if name == "direct" { f64::NAN } else { whole / self.cpu.as_secs_f64() };
        println!(
            "{load:>7} {name:>9} {p50:>8.3} {p99:>8.3} {:>9.3} {:>9.3} {rate:>10.0} {per_core:>12.0}",
            added.0, added.1
        );
    }
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of one run")]
fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Streams with `load` callers for one round.
async fn round(to: To, load: usize, sum: &mut Measured) {
    let mut callers = JoinSet::new();
    let start = Instant::now();
    let cpu = usage::cpu(rig::INSTANCE);
    for _ in 0..load {
        callers.spawn(async move {
            let mut caller = Caller::connect(to).await;
            let mut first = Vec::new();
            // The first stream warms the connection and is not counted.
            caller.stream().await;
            while start.elapsed() < ROUND {
                first.push(caller.stream().await);
            }
            first
        });
    }
    for first in callers.join_all().await.into_iter().flatten() {
        sum.whole += 1;
        let micros = u64::try_from(first.as_micros()).unwrap_or(MAX_MICROS);
        sum.first.saturating_record(micros);
    }
    sum.wall += start.elapsed();
    sum.cpu += usage::cpu(rig::INSTANCE).saturating_sub(cpu);
}

/// Opens streams and returns the memory that each took.
async fn open(to: To, count: usize, held: &mut Vec<(Caller, Incoming)>) -> u64 {
    let before = usage::resident();
    for _ in 0..count {
        let mut caller = Caller::connect(to).await;
        let body = timeout(OPEN_WITHIN, caller.open()).await.expect("the stream opens");
        held.push((caller, body));
    }
    usage::resident().saturating_sub(before) / count as u64
}
