//! How instances return after an outage: `cargo run --release -p store
//! --example outage`. Each wants one read throughout a minute's outage; printed
//! is how many calls come in the busiest tenth of a second after its end, with
//! this crate's backoff and with a fixed wait between tries.

use std::{sync::Arc, time::Duration};

use store::{
    Priority, Settings,
    api::{Call, Store},
    fake::Platform,
    open_with,
};
use tokio::time::sleep;

const OUTAGE: Duration = Duration::from_mins(1);
/// The last ceiling of the backoff, and the fixed wait.
const WAIT: Duration = Duration::from_secs(2);
/// Tenths of a second looked at after the outage.
const STEPS: u128 = 30;

#[derive(Clone, Copy, Debug)]
enum Retry {
    Backoff,
    Fixed,
}

#[tokio::main(flavor = "current_thread", start_paused = true)]
async fn main() {
    println!("instances  retry    calls in the outage, each  most calls in 100 ms after it");
    for instances in [7, 31, 750] {
        for retry in [Retry::Backoff, Retry::Fixed] {
            let (during, most) = measure(instances, retry).await;
            println!("{instances:9}  {:7}  {during:25.1}  {most:29}", format!("{retry:?}"));
        }
    }
}

async fn measure(instances: u32, retry: Retry) -> (f64, usize) {
    let platform = Platform::open();
    platform.set_down(true);
    for number in 0..instances {
        match retry {
            Retry::Backoff => drop(tokio::spawn(with_backoff(platform.clone(), number))),
            Retry::Fixed => drop(tokio::spawn(with_fixed_wait(platform.clone()))),
        }
    }
    sleep(OUTAGE).await;
    let during = platform.records().len();
    platform.set_down(false);
    sleep(OUTAGE).await;
    let records = platform.records();
    let after =
        |step| records[during..].iter().filter(|r| r.at.saturating_sub(OUTAGE).as_millis() / 100 == step).count();
    let most = (0..STEPS).map(after).max().expect("some steps");
    (f64::from(u32::try_from(during).expect("few")) / f64::from(instances), most)
}

async fn with_backoff(platform: Platform, number: u32) {
    let mut settings = Settings::fake(format!("i{number}/1"), 1);
    settings.backoff_max = WAIT;
    settings.deadline = OUTAGE * 2;
    let handle = open_with(settings, Arc::new(platform.client()));
    handle.get(Priority::Config, "a").await.expect("the platform comes back");
}

async fn with_fixed_wait(platform: Platform) {
    let client = platform.client();
    while client.call(Call::Get { key: "a".into() }).await.is_err() {
        sleep(WAIT).await;
    }
}
