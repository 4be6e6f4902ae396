//! Shares of the platform's rates, and who goes first.

use std::{sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use store::{Priority, backoff::Backoff, budget::Bucket, fake::Platform, open_with};
use tokio::time::{Instant, sleep};

#[tokio::test(start_paused = true)]
async fn rate_is_kept() {
    let bucket = Bucket::spawn(100.0);
    let started = Instant::now();
    for _ in 0..1_000 {
        bucket.take(Priority::Claim).await;
    }
    // An idle bucket has saved half a second's worth.
    let taken = started.elapsed().as_millis();
    assert!((9_450..9_700).contains(&taken), "{taken} ms");
}

/// Who was served in which order, of so many waiters per priority.
async fn order(waiters: &[(Priority, usize)]) -> Vec<Priority> {
    let bucket = Bucket::spawn(10.0);
    for _ in 0..5 {
        bucket.take(Priority::Statistics).await;
    }
    let (served, mut order) = tokio::sync::mpsc::unbounded_channel();
    for (priority, count) in waiters {
        for _ in 0..*count {
            let (bucket, served, priority) = (bucket.clone(), served.clone(), *priority);
            tokio::spawn(async move {
                bucket.take(priority).await;
                let _ = served.send(priority);
            });
        }
        tokio::task::yield_now().await;
    }
    drop(served);
    let mut all = Vec::new();
    while let Some(priority) = order.recv().await {
        all.push(priority);
    }
    all
}

#[tokio::test(start_paused = true)]
async fn claims_go_before_bills_before_configuration_before_statistics() {
    use Priority::{Bill, Claim, Config, Statistics};
    // Every class always waits, so that this is one whole round of turns and
    // the first of what is left after it.
    let served = order(&[(Statistics, 20), (Config, 20), (Bill, 20), (Claim, 20)]).await;
    let count = |wanted| served[..16].iter().filter(|priority| **priority == wanted).count();
    assert_eq!([Claim, Bill, Config, Statistics].map(count), [10, 3, 2, 1]);
    let last = |wanted| served.iter().rposition(|priority| *priority == wanted).expect("served");
    assert!(last(Claim) < last(Bill) && last(Bill) < last(Config) && last(Config) < last(Statistics));
}

#[tokio::test(start_paused = true)]
async fn configuration_and_leases_go_in_turn() {
    use Priority::{Config, Lease};
    assert_eq!(order(&[(Lease, 1), (Config, 1), (Lease, 1)]).await, [Lease, Config, Lease]);
}

/// A flood of claims lasts for minutes. A withdrawal waits behind it and must
/// still come through at once: it is sure of two turns in sixteen.
#[tokio::test(start_paused = true)]
async fn flood_of_claims_does_not_hold_back_configuration() {
    let served = order(&[(Priority::Claim, 500), (Priority::Config, 1)]).await;
    let place = served.iter().position(|priority| *priority == Priority::Config).expect("served");
    assert!(place < 9, "served as number {place}");
}

#[tokio::test(start_paused = true)]
async fn waiter_that_gave_up_takes_no_token() {
    let bucket = Bucket::spawn(10.0);
    for _ in 0..5 {
        bucket.take(Priority::Claim).await;
    }
    for _ in 0..100 {
        let given_up = tokio::time::timeout(Duration::from_millis(1), bucket.take(Priority::Claim)).await;
        assert!(given_up.is_err());
    }
    let started = Instant::now();
    bucket.take(Priority::Claim).await;
    assert!(started.elapsed() < Duration::from_millis(150));
}

/// The platform comes back after a minute, while 750 instances want it. Were
/// they to return in one instant they would push it over again. Counted per
/// 100 ms, no more than a few times the even share may come.
#[tokio::test(start_paused = true)]
async fn instances_do_not_return_at_once() {
    let platform = Platform::open();
    platform.set_down(true);
    for number in 0..750 {
        let mut settings = store::Settings::fake(format!("i{number}/1"), 1);
        settings.deadline = Duration::from_mins(5);
        let handle = open_with(settings, Arc::new(platform.client()));
        tokio::spawn(async move { handle.get(Priority::Config, "config/head").await });
    }
    sleep(Duration::from_mins(1)).await;
    let back = platform.records().len();
    platform.set_down(false);
    sleep(Duration::from_mins(1)).await;
    let records = platform.records();
    let after: Vec<_> = records[back..].iter().map(|record| record.at.as_millis() - 60_000).collect();
    assert_eq!(after.len(), 750, "each returns once");
    let in_100_ms = |start| after.iter().filter(|at| (start..start + 100).contains(*at)).count();
    let most = (0..20).map(|step| in_100_ms(step * 100)).max().expect("some");
    // An even spread over the last ceiling of two seconds is 37.5; returns
    // thin out towards its end, so the first steps have about twice that.
    assert!(most <= 120, "{most} in 100 ms");
}

#[test]
fn backoff_draws_from_zero_to_a_doubling_ceiling() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(Duration::from_millis(20), Duration::from_secs(2));
    let mut ceiling = Duration::from_millis(20);
    for _ in 0..20 {
        assert!(backoff.next(Duration::ZERO, &mut rng) <= ceiling);
        ceiling = (ceiling * 2).min(Duration::from_secs(2));
    }
    assert!(backoff.next(Duration::from_secs(1), &mut rng) >= Duration::from_secs(1), "as long as asked for");
}
