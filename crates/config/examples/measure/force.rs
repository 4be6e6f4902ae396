//! Measures the time until a change is in force everywhere, and its cost in calls and bytes.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use config::{Edit, Expected};
use hdrhistogram::Histogram;
use store::Priority;
use tokio::time::{MissedTickBehavior, interval, sleep};
use world::object::Object;

use crate::{
    fleet::Fleet,
    objects::{contract, site},
};

/// Time for links and readers to settle.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Number of objects per change while the site is set up.
const SETUP_BATCH: usize = 200;

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub instances: usize,
    pub seconds: u64,
    pub rate: f64,
    pub customers: usize,
    pub claims: usize,
    pub idle: bool,
}

/// Generations that came into force at one instance, with the times.
type Seen = Arc<Mutex<Vec<(u64, Instant)>>>;

pub async fn run(plan: Plan) {
    let fleet = Fleet::open(plan.instances).await;
    for objects in site(plan.customers).chunks(SETUP_BATCH) {
        apply(&fleet, 0, objects.to_vec()).await;
    }
    fleet.wait(1).await;
    sleep(SETTLE_TIME).await;
    let (calls, bytes) = (fleet.calls(), fleet.peer_bytes());
    sleep(Duration::from_secs(plan.seconds)).await;
    let seconds = seconds(plan.seconds);
    let instances = to_f64(plan.instances);
    let idle_calls = to_f64(fleet.calls() - calls) / seconds;
    let idle_bytes = to_f64(fleet.peer_bytes() - bytes) / seconds;
    println!("instances                            {}", plan.instances);
    println!("idle: platform calls/s, all          {idle_calls:.2}");
    println!("idle: platform calls/s, per instance {:.2}", idle_calls / instances);
    println!("idle: peer bytes/s, per instance     {:.0}", idle_bytes / instances);
    println!("whole state, bytes                   {}", fleet.members[0].config.snapshot_bytes().len());
    let fresh = fleet.members.iter().filter(|member| member.config.fresh()).count();
    println!("idle: fresh instances                {fresh}");
    if !plan.idle {
        change(&fleet, plan, idle_calls, idle_bytes).await;
    }
}

async fn change(fleet: &Fleet, plan: Plan, idle_calls: f64, idle_bytes: f64) {
    let seen: Vec<Seen> = fleet.members.iter().map(|_| Seen::default()).collect();
    for (member, seen) in fleet.members.iter().zip(&seen) {
        tokio::spawn(watch(member.config.clone(), seen.clone()));
    }
    for (index, member) in fleet.members.iter().enumerate() {
        for lane in 0..plan.claims {
            tokio::spawn(claim(member.platform.clone(), format!("claim/{index}/{lane}")));
        }
    }
    let (calls, bytes, started) = (fleet.calls(), fleet.peer_bytes(), Instant::now());
    let mut ticks = interval(Duration::from_secs_f64(1.0 / plan.rate));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut submitted = BTreeMap::new();
    let mut accepted = histogram();
    for edit in 1.. {
        if started.elapsed() >= Duration::from_secs(plan.seconds) {
            break;
        }
        ticks.tick().await;
        let at = Instant::now();
        let customer = usize::try_from(edit).expect("few") % plan.customers;
        let instance = usize::try_from(edit).expect("few") % plan.instances;
        let generation = apply(fleet, instance, vec![contract(customer, edit)]).await;
        record(&mut accepted, at.elapsed());
        submitted.insert(generation, at);
    }
    let last = *submitted.keys().next_back().expect("some changes");
    fleet.wait(last).await;
    let seconds = started.elapsed().as_secs_f64();
    sleep(Duration::from_millis(200)).await;
    let changes = to_f64(submitted.len());
    report_force(&seen, &submitted, &accepted);
    println!("change: changes                      {}", submitted.len());
    println!(
        "change: platform calls per change    {:.2}",
        to_f64(fleet.calls() - calls) / changes - idle_calls * seconds / changes
    );
    let per_change = (to_f64(fleet.peer_bytes() - bytes) - idle_bytes * seconds) / changes;
    println!("change: peer bytes per change, all   {per_change:.0}");
    println!("change: peer bytes per change, each  {:.0}", per_change / to_f64(plan.instances));
    println!("change: log entry, bytes             {}", entry_bytes(fleet, last));
}

fn report_force(seen: &[Seen], submitted: &BTreeMap<u64, Instant>, accepted: &Histogram<u64>) {
    let mut everywhere = histogram();
    for (generation, at) in submitted {
        let reached = seen.iter().map(|seen| reached(seen, *generation));
        let last = reached.max().expect("some instances");
        record(&mut everywhere, last.duration_since(*at));
    }
    println!("change: accepted, ms                 {}", quantiles(accepted));
    println!("change: in force everywhere, ms      {}", quantiles(&everywhere));
}

/// Returns when a generation came into force at an instance, or a later one if it
/// was skipped.
fn reached(seen: &Seen, generation: u64) -> Instant {
    let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let first = seen.iter().find(|(reached, _)| *reached >= generation);
    first.expect("in force by now").1
}

/// Creates claims one after another, as fast as the rate limit allows.
async fn claim(platform: store::Handle, prefix: String) {
    for number in 0_u64.. {
        let _ = platform.create(Priority::Claim, &format!("{prefix}/{number}"), &number).await;
    }
}

async fn watch(config: config::Handle, seen: Seen) {
    let mut catalog = config.subscribe();
    while catalog.changed().await.is_ok() {
        let generation = catalog.borrow_and_update().generation();
        seen.lock().unwrap_or_else(PoisonError::into_inner).push((generation, Instant::now()));
    }
}

async fn apply(fleet: &Fleet, instance: usize, objects: Vec<Object>) -> u64 {
    let edits = objects.into_iter().map(|object| Edit::Put(object, Expected::Any)).collect();
    fleet.members[instance].config.apply("measure", edits).await.expect("accepted").generation
}

fn entry_bytes(fleet: &Fleet, generation: u64) -> usize {
    let key = format!("config/change/{generation:016}");
    let entries = fleet.platform.dump(&key);
    entries.first().map_or(0, |object| serde_json::to_vec(&object.value).map_or(0, |json| json.len()))
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.record(u64::try_from(time.as_micros()).expect("short")).expect("grows");
}

fn quantiles(histogram: &Histogram<u64>) -> String {
    let ms = |quantile| to_f64(histogram.value_at_quantile(quantile)) / 1_000.0;
    format!("p50 {:.1}, p99 {:.1}, max {:.1}", ms(0.5), ms(0.99), ms(1.0))
}

fn seconds(seconds: u64) -> f64 {
    to_f64(seconds)
}

fn to_f64(value: impl TryInto<u32>) -> f64 {
    f64::from(value.try_into().unwrap_or(u32::MAX))
}
