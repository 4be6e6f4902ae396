//! How much of a budget lies idle at seven instances, and how grants shrink
//! near its end.

use std::time::Duration;

use budget::{Config, Error, Handle};
use tokio::time::Instant;
use world::{
    contract::{Budget, Customer, Period},
    money::{Amount, Currency},
};

use super::{fleet::Fleet, load::float};

/// Requests a second over all instances.
const RATE: u64 = 140;
/// Ceiling and price of a request.
const CEILING: Amount = Amount(2_000_000);
const PRICE: Amount = Amount(1_000_000);
/// The budget: spent in about half a minute.
const LIMIT: Amount = Amount(PRICE.0 * RATE * 30);
/// Requests of the first half.
const HALF: usize = 140 * 15;
/// Shares of the budget at which the idle part is shown.
const MARKS: [f64; 6] = [0.1, 0.5, 0.8, 0.9, 0.95, 0.99];

/// Spends a budget over all instances and prints what lies idle on the way.
pub async fn measure() {
    spend(&|n| n % super::INSTANCES, "all instances alike").await;
    spend(&|n| if n < HALF { n % super::INSTANCES } else { 0 }, "after the first half one instance only").await;
}

async fn spend(place: &(dyn Fn(usize) -> usize + Sync), how: &str) {
    println!("budget of {LIMIT} at {RATE} requests a second, ceiling {CEILING}, price {PRICE}; {how}");
    let fleet = Fleet::start(|_| {}).await;
    fleet.warm().await;
    let handles: Vec<Handle> = fleet.nodes.iter().map(open).collect();
    let customer: Customer = "tousuvool".parse().expect("a name");
    let currency = Currency::try_from("EUR".to_owned()).expect("a currency");
    let budget = Budget { amount: LIMIT, currency, period: Period::Year };
    println!("spent of budget   idle of budget   idle of what is left");
    let mut marks = MARKS.into_iter().peekable();
    let (mut spent, mut refused) = (Amount::ZERO, 0_u64);
    let started = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / u32::try_from(RATE).unwrap_or(1));
    for n in 0.. {
        ticks.tick().await;
        let handle = &handles[place(n)];
        match handle.reserve(&customer, &budget, CEILING, Instant::now() + Duration::from_secs(2)).await {
            Ok(reservation) => {
                handle.commit(reservation, PRICE);
                spent = spent.saturating_add(PRICE);
            }
            Err(Error::Exhausted { .. }) => refused += 1,
            Err(Error::Unavailable) => {}
        }
        let share = float(spent.0) / float(LIMIT.0);
        if marks.next_if(|mark| share >= *mark).is_some() {
            show(share, &handles, &customer).await;
        }
        if refused > RATE * 20 {
            break;
        }
    }
    show(float(spent.0) / float(LIMIT.0), &handles, &customer).await;
    let calls = fleet.calls();
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "spent {spent}, writes/s {:.1}, reads/s {:.1}",
        float(calls.writes) / seconds,
        float(calls.reads) / seconds
    );
    assert!(spent <= LIMIT, "a budget is never overspent");
}

fn open(node: &super::fleet::Node) -> Handle {
    let config = Config::new(node.journal.config().origin.clone());
    budget::spawn(config, node.platform.clone(), node.journal.clone())
}

async fn show(share: f64, handles: &[Handle], customer: &Customer) {
    let mut idle = Amount::ZERO;
    for handle in handles {
        idle = idle.saturating_add(handle.unspent(customer).await);
    }
    let idle = float(idle.0) / float(LIMIT.0);
    println!("{:>14.1}%{:>16.2}%{:>22.1}%", share * 100.0, idle * 100.0, idle / (1.0 - share).max(1e-9) * 100.0);
}
