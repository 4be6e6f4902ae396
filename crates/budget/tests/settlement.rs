//! Faults during the settlement of a lost instance's grant; tests are named
//! `fault_at_step`.

#[path = "../../journal/tests/support/fleet.rs"]
mod fleet;
#[path = "support/grants.rs"]
mod grants;

use std::time::Duration;

use budget::{Error, Handle, Reservation};
use fleet::{Fleet, bill, id, soon};
use grants::open;
use journal::{Bill, Receipt};
use store::fake::Loss;
use tokio::time::sleep;
use world::{
    contract::{Budget, Period},
    money::Amount,
};

const LIMIT: u64 = 1_000_000;
/// Amount granted to the instance that is lost.
const GRANTED: u64 = 600_000;
/// Amount of that grant that was billed.
const BILLED: u64 = 250_000;

async fn reserve(handle: &Handle, ceiling: u64) -> Result<Reservation, Error> {
    let currency = "EUR".to_owned().try_into().expect("a currency");
    let budget = Budget { amount: Amount(LIMIT), currency, period: Period::Month };
    handle.reserve(&id("k").customer, &budget, Amount(ceiling), soon()).await
}

/// Opens three instances and loses the first, whose grant is partly billed.
/// The second has seen the grant; the settlement is still to come.
async fn lose_holder() -> (Fleet, [Handle; 3]) {
    let fleet = Fleet::new(3, |config| config.shards = 3);
    let handles = [open(&fleet, 0), open(&fleet, 1), open(&fleet, 2)];
    let reservation = reserve(&handles[0], GRANTED).await.expect("reserved");
    let bill = Bill { grant: Some(reservation.grant().clone()), ..bill("k", BILLED) };
    assert_eq!(fleet.journal(0).bill(&bill, soon()).await, Ok(Receipt::Durable));
    fleet.pause(0, true);
    fleet.meet(&[1, 2]);
    for n in 0..30 {
        // Assigns every shard to an instance before the settlement begins.
        fleet.journal(1).outcome(&id(&format!("w{n}")), soon()).await.expect("the outcome is known");
    }
    assert!(reserve(&handles[1], LIMIT - 1).await.is_err());
    (fleet, handles)
}

/// Checks that exactly the unbilled part of the budget can be reserved.
async fn check_settled(handle: &Handle) {
    let rest = reserve(handle, LIMIT - BILLED).await.expect("the unbilled part can be reserved");
    assert!(matches!(reserve(handle, 1).await, Err(Error::Exhausted { .. })));
    drop(rest);
}

/// Returns the 1-based positions, among the settlement's writes, of those
/// whose keys contain `part`.
async fn writes(part: &str) -> Vec<u64> {
    let (fleet, _handles) = lose_holder().await;
    let before = fleet.platform.records().len();
    sleep(Duration::from_mins(3)).await;
    let records = fleet.platform.records().split_off(before);
    let writes = records.iter().filter(|r| ["create", "update", "delete"].contains(&r.call));
    (1..).zip(writes).filter(|(_, r)| r.key.contains(part)).map(|(at, _)| at).collect()
}

/// Checks the settlement when the `nth` write whose key contains `step` fails
/// as `loss` says.
async fn check(step: &str, nth: usize, loss: Loss) {
    let positions = writes(step).await;
    let (fleet, handles) = lose_holder().await;
    fleet.platform.lose(positions[nth], loss);
    sleep(Duration::from_mins(3)).await;
    check_settled(&handles[1]).await;
}

const LATE: Loss = Loss::Late(Duration::from_secs(15));

macro_rules! faults {
    ($($name:ident: $step:expr, $nth:expr, $loss:expr;)*) => {
        $(#[tokio::test(start_paused = true)] async fn $name() { check($step, $nth, $loss).await; })*
    };
}

faults! {
    lost_before_at_closing: "/s/", 0, Loss::Before;
    lost_after_at_closing: "/s/", 0, Loss::After;
    late_at_closing: "/s/", 0, LATE;
    refused_at_closing: "/s/", 0, Loss::Refused;
    lost_after_at_last_closing: "/s/", 2, Loss::After;
    lost_before_at_settled_account: "budget/", 0, Loss::Before;
    lost_after_at_settled_account: "budget/", 0, Loss::After;
    late_at_settled_account: "budget/", 0, LATE;
    refused_at_settled_account: "budget/", 0, Loss::Refused;
}

/// The platform goes down just before a settlement and stays down for minutes.
#[tokio::test(start_paused = true)]
async fn platform_down_at_settlement() {
    let (fleet, handles) = lose_holder().await;
    sleep(Duration::from_secs(50)).await;
    fleet.platform.set_down(true);
    sleep(Duration::from_mins(5)).await;
    fleet.platform.set_down(false);
    sleep(Duration::from_mins(3)).await;
    check_settled(&handles[1]).await;
}

/// Two instances settle one grant at the same time: it is counted once.
#[tokio::test(start_paused = true)]
async fn two_settlers_at_one_grant() {
    let (_fleet, handles) = lose_holder().await;
    assert!(reserve(&handles[2], LIMIT - 1).await.is_err());
    sleep(Duration::from_mins(3)).await;
    check_settled(&handles[1]).await;
}

/// The settling instance is lost after closing the holder in the journal and
/// before changing the account. The next instance that needs the money settles
/// the grant; closing the holder again changes nothing.
#[tokio::test(start_paused = true)]
async fn settler_lost_at_settled_account() {
    let closings = writes("/s/").await.len();
    let (fleet, handles) = lose_holder().await;
    let before = fleet.platform.records().len();
    // Slow enough to separate the closing from the change of the account.
    fleet.platform.set_slow(Duration::from_millis(50));
    let closed =
        || fleet.platform.records()[before..].iter().filter(|r| r.call == "update" || r.call == "create").count();
    while closed() < closings {
        sleep(Duration::from_millis(10)).await;
    }
    fleet.pause(1, true);
    fleet.platform.set_slow(Duration::ZERO);
    fleet.meet(&[2]);
    assert!(fleet.platform.records()[before..].iter().all(|r| r.call == "get" || !r.key.starts_with("budget/")));
    assert!(reserve(&handles[2], LIMIT - 1).await.is_err());
    sleep(Duration::from_mins(3)).await;
    check_settled(&handles[2]).await;
}

/// The holder is lost right after its extension took effect and before it
/// received the response. The grant was never used, so all of it can be
/// reserved again.
#[tokio::test(start_paused = true)]
async fn instance_lost_at_cut() {
    let fleet = Fleet::new(3, |config| config.shards = 3);
    let handles = [open(&fleet, 0), open(&fleet, 1)];
    fleet.ready().await;
    fleet.nodes[0].client.lose(1, Loss::After);
    // Nor can it read its grant back before it is lost.
    for read in 2..10 {
        fleet.nodes[0].client.lose_read(read, store::api::Fault::Down { cause: "lost".into() });
    }
    let lost = handles[0].clone();
    let request = tokio::spawn(async move { reserve(&lost, GRANTED).await.is_ok() });
    sleep(Duration::from_millis(1)).await;
    fleet.pause(0, true);
    fleet.meet(&[1, 2]);
    assert!(!request.await.expect("the reservation task does not panic"));
    assert!(reserve(&handles[1], LIMIT).await.is_err());
    sleep(Duration::from_mins(3)).await;
    drop(reserve(&handles[1], LIMIT).await.expect("the whole budget can be reserved"));
}
