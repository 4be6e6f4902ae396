//! Faults at each write of the journal, named `fault_at_step`.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, START, bill, id, soon};
use journal::{Claimed, Receipt};
use store::fake::Loss;
use world::request::Outcome;

/// Requests of one run: enough for two cut-offs.
const REQUESTS: u64 = 12;

fn small() -> Fleet {
    Fleet::new(2, |config| (config.ring, config.shards) = (16, 1))
}

/// Claims and bills at the instance that is not the home. Claims that fail
/// are made again so many times.
async fn run(fleet: &Fleet, retries: u64) {
    let far = 1 - fleet.home_of(&id("k"));
    let journal = fleet.journal(far);
    for n in 0..REQUESTS {
        let key = format!("k{n}");
        let mut claimed = journal.claim(&id(&key), START, 1, soon()).await;
        for _ in 0..retries {
            if claimed == Ok(Claimed::First) {
                break;
            }
            tokio::time::sleep(Duration::from_secs(2)).await;
            claimed = journal.claim(&id(&key), START, 1, soon()).await;
        }
        assert_eq!(claimed, Ok(Claimed::First), "{key}");
        let receipt = journal.bill(&bill(&key, n), soon()).await;
        assert!(matches!(receipt, Ok(Receipt::Durable | Receipt::Held)), "{key}: {receipt:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(journal.flush(soon()).await);
    let bills = fleet.dumped_bills();
    assert_eq!(bills.len(), usize::try_from(REQUESTS).expect("few"));
}

/// A new home, which has only the platform to go by, tells the same.
async fn check_log(fleet: &mut Fleet) {
    let new = fleet.start(2, 1);
    fleet.meet(&[new]);
    for n in 0..REQUESTS {
        let key = format!("k{n}");
        assert_eq!(fleet.journal(new).outcome(&id(&key), soon()).await, Ok(Some(Outcome::Answered)), "{key}");
        let again = fleet.journal(new).claim(&id(&key), START, 1, soon()).await;
        assert!(matches!(again, Ok(Claimed::Known(_))), "{key}: {again:?}");
    }
}

/// Places of the writes whose keys hold `part`, counted over all clients.
async fn writes(part: &str) -> Vec<u64> {
    let fleet = small();
    run(&fleet, 0).await;
    let records = fleet.platform.records();
    let writes = records.iter().filter(|r| ["create", "update", "delete"].contains(&r.call));
    (1..).zip(writes).filter(|(_, r)| r.key.contains(part)).map(|(at, _)| at).collect()
}

/// The `nth` write of a kind goes wrong. The caller sees every request
/// claimed once and billed once, and so does the next home.
async fn check(step: &str, nth: usize, loss: Loss) {
    let places = writes(step).await;
    let mut fleet = small();
    fleet.platform.lose(places[nth], loss);
    run(&fleet, 0).await;
    check_log(&mut fleet).await;
}

/// Two writes go wrong in one run.
async fn check_two(first: (&str, usize), second: (&str, usize), loss: Loss) {
    let (first, second) = (writes(first.0).await[first.1], writes(second.0).await[second.1]);
    let mut fleet = small();
    fleet.platform.lose(first, loss);
    fleet.platform.lose(second, loss);
    run(&fleet, 0).await;
    check_log(&mut fleet).await;
}

const LATE: Loss = Loss::Late(Duration::from_secs(4));

macro_rules! faults {
    ($($name:ident: $step:expr, $nth:expr, $loss:expr;)*) => {
        $(#[tokio::test(start_paused = true)] async fn $name() { check($step, $nth, $loss).await; })*
    };
}

faults! {
    lost_before_at_opening: "/s/", 0, Loss::Before;
    lost_after_at_opening: "/s/", 0, Loss::After;
    late_at_opening: "/s/", 0, LATE;
    refused_at_opening: "/s/", 0, Loss::Refused;
    lost_before_at_claim_segment: "/s/", 1, Loss::Before;
    lost_after_at_claim_segment: "/s/", 1, Loss::After;
    late_at_claim_segment: "/s/", 1, LATE;
    refused_at_claim_segment: "/s/", 1, Loss::Refused;
    lost_before_at_bill_segment: "/s/", 2, Loss::Before;
    lost_after_at_bill_segment: "/s/", 2, Loss::After;
    late_at_bill_segment: "/s/", 2, LATE;
    refused_at_bill_segment: "/s/", 2, Loss::Refused;
    lost_before_at_reused_slot: "/s/", 20, Loss::Before;
    lost_after_at_reused_slot: "/s/", 20, Loss::After;
    late_at_reused_slot: "/s/", 20, LATE;
    lost_before_at_key_chunk: "/k/", 0, Loss::Before;
    lost_after_at_key_chunk: "/k/", 0, Loss::After;
    late_at_key_chunk: "/k/", 0, LATE;
    refused_at_key_chunk: "/k/", 0, Loss::Refused;
    lost_before_at_bill_chunk: "/b/", 0, Loss::Before;
    lost_after_at_bill_chunk: "/b/", 0, Loss::After;
    late_at_bill_chunk: "/b/", 0, LATE;
    refused_at_bill_chunk: "/b/", 0, Loss::Refused;
    lost_before_at_manifest: "/manifest", 0, Loss::Before;
    lost_after_at_manifest: "/manifest", 0, Loss::After;
    late_at_manifest: "/manifest", 0, LATE;
    refused_at_manifest: "/manifest", 0, Loss::Refused;
    lost_after_at_second_manifest: "/manifest", 1, Loss::After;
    late_at_second_manifest: "/manifest", 1, LATE;
}

macro_rules! two_faults {
    ($($name:ident: $first:expr, $second:expr, $loss:expr;)*) => {
        $(#[tokio::test(start_paused = true)] async fn $name() { check_two($first, $second, $loss).await; })*
    };
}

two_faults! {
    lost_after_at_opening_and_claim_segment: ("/s/", 0), ("/s/", 1), Loss::After;
    lost_after_at_claim_and_bill_segment: ("/s/", 1), ("/s/", 2), Loss::After;
    lost_after_at_key_chunk_and_manifest: ("/k/", 0), ("/manifest", 0), Loss::After;
    late_at_manifest_and_reused_slot: ("/manifest", 0), ("/s/", 20), LATE;
    late_at_bill_chunk_and_manifest: ("/b/", 0), ("/manifest", 1), LATE;
}

/// The platform answers later than patience lasts, for the whole run. Claims
/// are refused, or taken back, until one is made; none is made twice.
#[tokio::test(start_paused = true)]
async fn slow_platform_at_every_write() {
    let mut fleet = small();
    fleet.platform.set_slow(Duration::from_millis(1_500));
    run(&fleet, 30).await;
    fleet.platform.set_slow(Duration::ZERO);
    check_log(&mut fleet).await;
}
