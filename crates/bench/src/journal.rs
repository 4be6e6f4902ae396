//! `bench journal` and `bench budgets`: claims and bills a second, and what they add to a
//! request, at seven instances on a platform of 300 writes and 2,000 reads a
//! second; against one object per key on the same platform, in one run.

mod budgets;
mod fleet;
mod load;

use std::time::Duration;

use ::journal::{BillWait, Config};
use fleet::Fleet;
use load::{Load, Outcome};

/// Instances today.
const INSTANCES: usize = 7;
/// Shards to compare; 7 is the default.
const SHARDS: [u16; 2] = [7, 28];
/// Calls a second that are offered.
const OFFERED: [f64; 3] = [100.0, 1_000.0, 3_000.0];
/// How long each line's load lasts.
const SPAN: Duration = Duration::from_secs(5);

/// Runs and prints the tables.
pub fn run() {
    let runtime = tokio::runtime::Runtime::new().expect("the machine gives threads");
    runtime.block_on(measure());
}

/// Runs and prints how budgets are spent.
pub fn run_budgets() {
    let runtime = tokio::runtime::Runtime::new().expect("the machine gives threads");
    runtime.block_on(budgets::measure());
}

async fn measure() {
    println!("seven instances, 300 writes and 2000 reads a second, answers after 3 ms, peer hop 1 ms one way");
    println!("{}", Outcome::HEADER);
    for offered in OFFERED {
        object_per_key(offered).await;
        for shards in SHARDS {
            claims(offered, shards).await;
        }
    }
    for offered in [OFFERED[0], OFFERED[1]] {
        bills(offered, BillWait::Durable).await;
        bills(offered, BillWait::Holders).await;
        claims_among_bills(offered).await;
    }
    take_over().await;
}

async fn object_per_key(offered: f64) {
    let fleet = Fleet::start(|_| {}).await;
    let load = Load { offered, span: SPAN };
    let outcome = load.run(|n, _| fleet.create_object(n)).await;
    outcome.print("claim: object per key", offered, &fleet);
}

async fn claims(offered: f64, shards: u16) {
    let fleet = Fleet::start(move |config| config.shards = shards).await;
    fleet.warm().await;
    let load = Load { offered, span: SPAN };
    let outcome = load.run(|n, _| fleet.claim(n)).await;
    outcome.print(&format!("claim: {shards} shards"), offered, &fleet);
}

async fn bills(offered: f64, wait: BillWait) {
    let fleet = Fleet::start(move |config: &mut Config| config.bill_wait = wait).await;
    fleet.warm().await;
    let load = Load { offered, span: SPAN };
    let outcome = load.run(|n, _| fleet.bill(n)).await;
    let name = match wait {
        BillWait::Durable => "bill: durable",
        BillWait::Holders => "bill: two holders",
    };
    outcome.print(name, offered, &fleet);
    fleet.check_bills(outcome.done()).await;
}

/// One claim to ten bills, in one log.
async fn claims_among_bills(offered: f64) {
    const BILLS_PER_CLAIM: u64 = 10;
    let fleet = Fleet::start(|_| {}).await;
    fleet.warm().await;
    let load = Load { offered: offered * 1.1, span: SPAN };
    let outcome = load
        .run(|n, i| {
            let (claim, bill) = (fleet.claim(n), fleet.bill(n));
            async move { if i.is_multiple_of(BILLS_PER_CLAIM + 1) { claim.await } else { bill.await } }
        })
        .await;
    outcome.print("claims and bills 1:10", offered * 1.1, &fleet);
}

/// A home is lost under load: how long its shards take no claims, counted
/// from the moment that the others hold it for gone.
async fn take_over() {
    let fleet = Fleet::start(|_| {}).await;
    fleet.warm().await;
    let outcome = Load { offered: OFFERED[1], span: SPAN }.run(|n, _| fleet.claim(n)).await;
    fleet.lose(INSTANCES - 1);
    fleet.count_anew();
    let started = std::time::Instant::now();
    let claims = Load { offered: OFFERED[1], span: Duration::from_secs(2) };
    let after = claims.run(|n, _| fleet.claim(n % (INSTANCES - 1))).await;
    after.print("claim: home just lost", claims.offered, &fleet);
    println!(
        "home lost with {} keys over all shards; longest wait of a claim after it {:.0} ms of {:.0} ms",
        outcome.done(),
        after.longest_ms(),
        started.elapsed().as_secs_f64() * 1_000.0
    );
}
