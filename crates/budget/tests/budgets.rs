//! Tests of reservations, grants and their settlement.

#[path = "../../journal/tests/support/fleet.rs"]
mod fleet;
#[path = "support/grants.rs"]
mod grants;

use std::time::Duration;

use budget::{Error, Handle, Reservation};
use fleet::{Fleet, START, bill, id, soon};
use grants::open;
use journal::{Bill, Error as JournalError, Reason, Receipt};
use store::fake::Loss;
use tokio::time::sleep;
use world::{
    contract::{Budget, Customer, Period},
    money::Amount,
};

const LIMIT: u64 = 1_000_000;

fn customer() -> Customer {
    id("k").customer
}

fn budget(limit: u64) -> Budget {
    Budget { amount: Amount(limit), currency: "EUR".to_owned().try_into().expect("a currency"), period: Period::Month }
}

async fn reserve(handle: &Handle, ceiling: u64) -> Result<Reservation, Error> {
    handle.reserve(&customer(), &budget(LIMIT), Amount(ceiling), soon()).await
}

fn bill_on(key: &str, amount: u64, reservation: &Reservation) -> Bill {
    Bill { grant: Some(reservation.grant().clone()), ..bill(key, amount) }
}

/// Reads the account object from the platform.
fn account(fleet: &Fleet) -> budget::account::Account {
    let objects = fleet.platform.objects();
    let object = objects.iter().find(|o| o.key.starts_with("budget/")).expect("an account");
    let body = store::envelope::open(object.value.as_deref().expect("a value")).expect("JSON").body;
    serde_json::from_str(body.get()).expect("an account")
}

#[tokio::test(start_paused = true)]
async fn requests_spend_no_more_than_the_budget() {
    let fleet = Fleet::new(3, |_| {});
    let handles: Vec<_> = (0..3).map(|n| open(&fleet, n)).collect();
    let mut spent = 0;
    let mut refused = 0;
    for n in 0..600 {
        match reserve(&handles[n % 3], 3_000).await {
            Ok(reservation) => {
                spent += 2_500;
                handles[n % 3].commit(reservation, Amount(2_500));
            }
            Err(Error::Exhausted { .. }) => refused += 1,
            Err(other) => panic!("{other}"),
        }
    }
    assert!(refused > 0 && spent <= LIMIT, "spent {spent}, refused {refused}");
    assert!(spent >= LIMIT * 95 / 100, "only {spent} was spent");
}

#[tokio::test(start_paused = true)]
async fn dropped_reservation_is_free_again() {
    let fleet = Fleet::new(1, |_| {});
    let handle = open(&fleet, 0);
    for _ in 0..5 {
        drop(reserve(&handle, LIMIT).await.expect("the whole budget can be reserved"));
    }
}

#[tokio::test(start_paused = true)]
async fn grant_is_given_back_at_shutdown_and_when_idle() {
    let fleet = Fleet::new(2, |_| {});
    let handles = [open(&fleet, 0), open(&fleet, 1)];
    for handle in &handles {
        let reservation = reserve(handle, 100).await.expect("reserved");
        handle.commit(reservation, Amount(70));
    }
    assert!(handles[0].flush(soon()).await);
    sleep(Duration::from_secs(400)).await;
    let account = account(&fleet);
    assert!(account.grants.is_empty(), "{account:?}");
    assert_eq!(account.settled, Amount(140));
}

/// An instance shuts down while its first grant is being written and the
/// platform responds slowly. Its grant must be returned: another instance can
/// reserve the whole budget.
#[tokio::test(start_paused = true)]
async fn instance_leaving_at_grant() {
    let fleet = Fleet::new(2, |_| {});
    let (leaving, other) = (open(&fleet, 0), open(&fleet, 1));
    fleet.platform.set_slow(Duration::from_millis(300));
    let requester = leaving.clone();
    let request = tokio::spawn(async move { reserve(&requester, 100).await.map(drop) });
    sleep(Duration::from_millis(400)).await;
    assert!(leaving.flush(soon()).await);
    let _ = request.await.expect("the reservation task does not panic");
    fleet.platform.set_slow(Duration::ZERO);
    sleep(Duration::from_secs(2)).await;
    let account = account(&fleet);
    assert!(account.grants.is_empty(), "{account:?}");
    reserve(&other, LIMIT).await.expect("the whole budget can be reserved");
}

#[tokio::test(start_paused = true)]
async fn new_period_starts_a_new_account_and_ends_the_old() {
    let fleet = Fleet::new(1, |_| {});
    let handle = open(&fleet, 0);
    let reservation = reserve(&handle, LIMIT).await.expect("the whole budget can be reserved");
    handle.commit(reservation, Amount(LIMIT));
    assert!(matches!(reserve(&handle, 1).await, Err(Error::Exhausted { .. })));
    let period = budget::Period::at(START, Period::Month);
    sleep(Duration::from_millis(period.end.since(START))).await;
    let reservation = reserve(&handle, LIMIT).await.expect("the whole budget of the next period can be reserved");
    assert_eq!(reservation.grant().period, period.end);
}

/// An instance is lost with a grant that is partly billed. After the wait,
/// another instance that needs the money settles the grant: the billed part
/// stays spent, the rest can be reserved again.
#[tokio::test(start_paused = true)]
async fn lost_instance_grant_is_settled_from_its_bills() {
    let fleet = Fleet::new(3, |_| {});
    let (lost, other) = (open(&fleet, 0), open(&fleet, 1));
    let reservation = reserve(&lost, 600_000).await.expect("reserved");
    let receipt = fleet.journal(0).bill(&bill_on("k", 250_000, &reservation), soon()).await;
    assert_eq!(receipt, Ok(Receipt::Durable));
    fleet.pause(0, true);
    fleet.meet(&[1, 2]);
    assert!(reserve(&other, 700_000).await.is_err());
    sleep(Duration::from_mins(2)).await;
    let reservation = reserve(&other, 750_000).await.expect("the unbilled rest can be reserved");
    assert_eq!(reservation.ceiling(), Amount(750_000));
    drop(lost);
}

/// A holder is paused with a running request; its grant is settled and the
/// money reserved by another instance. When it resumes and bills, the bill
/// must be rejected before the last frame is sent: recording it would
/// overspend the budget.
#[tokio::test(start_paused = true)]
async fn paused_holder_that_wakes_cannot_bill_a_settled_grant() {
    let fleet = Fleet::new(3, |_| {});
    let (paused, other) = (open(&fleet, 0), open(&fleet, 1));
    fleet.ready().await;
    let reservation = reserve(&paused, 600_000).await.expect("reserved");
    fleet.pause(0, true);
    fleet.meet(&[1, 2]);
    assert!(reserve(&other, 700_000).await.is_err());
    sleep(Duration::from_mins(2)).await;
    let all = reserve(&other, LIMIT).await.expect("the whole budget can be reserved again");
    fleet.pause(0, false);
    fleet.meet(&[0, 1, 2]);
    let late = fleet.journal(0).bill(&bill_on("k", 600_000, &reservation), soon()).await;
    assert_eq!(late, Err(JournalError::NotRecorded(Reason::GrantClosed)));
    let renewed = paused.renew(reservation, &budget(LIMIT), Amount(600_000), soon()).await;
    assert!(matches!(renewed, Err(Error::Exhausted { .. })));
    drop(all);
    sleep(Duration::from_secs(2)).await;
    assert!(reserve(&paused, 100).await.is_err(), "the other instance's grant still covers the whole budget");
    assert_eq!(fleet.dumped_bills(), []);
}

/// Two instances spend the budget while the response to the `n`th account write
/// of the first one (extension, return or settlement) is lost. The object decides:
/// no grant is counted twice and nothing is overspent.
async fn check_loss(n: u64, loss: Loss) {
    let fleet = Fleet::new(2, |_| {});
    let handles = [open(&fleet, 0), open(&fleet, 1)];
    fleet.ready().await;
    fleet.nodes[0].client.lose(n, loss);
    let mut spent = 0;
    for n in 0..40 {
        for handle in &handles {
            if let Ok(reservation) = reserve(handle, 40_000).await {
                spent += 30_000;
                handle.commit(reservation, Amount(30_000));
            }
            sleep(Duration::from_millis(300 + n)).await;
        }
    }
    assert!(spent <= LIMIT, "{spent}");
    assert!(handles[0].flush(soon()).await && handles[1].flush(soon()).await);
    let account = account(&fleet);
    assert_eq!(account.settled, Amount(spent), "{account:?}");
    assert!(account.grants.is_empty(), "{account:?}");
}

macro_rules! loss {
    ($($name:ident: $n:expr, $loss:expr;)*) => {
        $(#[tokio::test(start_paused = true)] async fn $name() { check_loss($n, $loss).await; })*
    };
}

loss! {
    answer_lost_before_at_first_cut: 1, Loss::Before;
    answer_lost_after_at_first_cut: 1, Loss::After;
    answer_late_at_first_cut: 1, Loss::Late(Duration::from_secs(5));
    answer_refused_at_first_cut: 1, Loss::Refused;
    answer_lost_before_at_second_cut: 2, Loss::Before;
    answer_lost_after_at_second_cut: 2, Loss::After;
    answer_late_at_second_cut: 2, Loss::Late(Duration::from_secs(5));
    answer_lost_after_at_third_cut: 3, Loss::After;
}

/// While the platform is down, requests run as far as the existing grant
/// covers them and are refused beyond that.
#[tokio::test(start_paused = true)]
async fn platform_down_at_cut_serves_only_the_grant_at_hand() {
    let fleet = Fleet::new(1, |_| {});
    let handle = open(&fleet, 0);
    let first = reserve(&handle, 10_000).await.expect("reserved");
    handle.commit(first, Amount(10_000));
    sleep(Duration::from_secs(2)).await;
    let unspent = handle.unspent(&customer()).await.0;
    fleet.platform.set_down(true);
    let mut got = 0;
    while let Ok(reservation) = reserve(&handle, 10_000).await {
        handle.commit(reservation, Amount(10_000));
        got += 10_000;
    }
    assert!(got > 0 && got <= unspent, "{got} of {unspent}");
    fleet.platform.set_down(false);
    assert!(reserve(&handle, 10_000).await.is_ok());
}

/// Half a budget is spent over three instances, then only one receives
/// requests. The money that the others hold must return to it, so that
/// requests are not refused while others hold unspent money.
#[tokio::test(start_paused = true)]
async fn idle_holdings_come_back_near_the_end_of_a_budget() {
    let fleet = Fleet::new(3, |_| {});
    let handles: Vec<_> = (0..3).map(|n| open(&fleet, n)).collect();
    let mut spent = 0;
    for n in 0..4_000 {
        let handle = if spent < LIMIT / 2 { &handles[n % 3] } else { &handles[0] };
        if let Ok(reservation) = reserve(handle, 1_000).await {
            handle.commit(reservation, Amount(1_000));
            spent += 1_000;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert!(spent >= LIMIT * 99 / 100, "{spent} of {LIMIT}");
}

/// As `paused_holder_that_wakes_cannot_bill_a_settled_grant`, but the platform
/// is down, so the shard of the resumed instance cannot be opened yet and the
/// bill would be held in memory. No other instance may hold it as well: a
/// second holder would let the last frame be sent for a bill that overspends
/// the budget.
#[tokio::test(start_paused = true)]
async fn paused_holder_that_wakes_finds_no_second_holder() {
    let fleet = Fleet::new(3, |_| {});
    let paused = open(&fleet, 0);
    fleet.ready().await;
    let reservation = reserve(&paused, 600_000).await.expect("reserved");
    fleet.pause(0, true);
    fleet.meet(&[1, 2]);
    sleep(Duration::from_mins(2)).await;
    fleet.pause(0, false);
    fleet.meet(&[0, 1, 2]);
    fleet.platform.set_down(true);
    let late = fleet.journal(0).bill(&bill_on("k", 600_000, &reservation), soon()).await;
    assert_eq!(late, Err(JournalError::Unknown));
}
