//! Random interleavings of two holders of one budget, with faults.

#[path = "../../journal/tests/support/fleet.rs"]
mod fleet;
#[path = "support/grants.rs"]
mod grants;

use std::time::Duration;

use budget::{Error, Handle, Reservation};
use fleet::{Fleet, bill, id, soon, within};
use journal::{Bill, Error as JournalError, Reason, Receipt};
use proptest::{prelude::*, test_runner::RngSeed};
use store::fake::Loss;
use tokio::{task::JoinSet, time::sleep};
use world::{
    contract::{Budget, Period},
    money::Amount,
};

/// Budget of the period, enough for a few requests.
const LIMIT: u64 = 1_000;
/// Number of cases when `PROPTEST_CASES` is not set.
const CASES: u32 = 48;

/// One step of an interleaving.
#[derive(Debug, Clone)]
enum Step {
    /// Starts a request that runs for `takes_ms` and is billed its whole ceiling.
    Request { node: usize, ceiling: u64, takes_ms: u64 },
    /// Pauses or resumes an instance.
    Pause { node: usize, paused: bool },
    /// Sets whether an instance sees itself as the only member.
    SetMembership { node: usize, alone: bool },
    /// Makes an instance's `nth` write from now fail.
    Lose { node: usize, nth: u64, loss: Loss },
    /// Sets whether the platform is down.
    Down(bool),
    /// Lets time pass.
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..2_usize;
    let loss = prop_oneof![
        Just(Loss::Before),
        Just(Loss::After),
        Just(Loss::Refused),
        (1..100_000_u64).prop_map(|ms| Loss::Late(Duration::from_millis(ms))),
    ];
    let request = (node.clone(), 10..500_u64, 1..200_000_u64);
    let step = prop_oneof![
        8 => request.prop_map(|(node, ceiling, takes_ms)| Step::Request { node, ceiling, takes_ms }),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, paused)| Step::Pause { node, paused }),
        3 => (node.clone(), any::<bool>()).prop_map(|(node, alone)| Step::SetMembership { node, alone }),
        3 => (node, 1..4_u64, loss).prop_map(|(node, nth, loss)| Step::Lose { node, nth, loss }),
        1 => any::<bool>().prop_map(Step::Down),
        4 => (1..3_000_u64).prop_map(|ms| Step::Wait { ms }),
        4 => (1..200_000_u64).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..30)
}

#[derive(Clone)]
struct Node {
    budget: Handle,
    journal: journal::Handle,
}

fn contract() -> Budget {
    Budget { amount: Amount(LIMIT), currency: "EUR".to_owned().try_into().expect("a currency"), period: Period::Year }
}

fn open(fleet: &Fleet, n: usize) -> Node {
    Node { budget: grants::open(fleet, n), journal: fleet.nodes[n].journal.clone() }
}

fn bill_on(key: &str, amount: u64, reservation: &Reservation) -> Bill {
    Bill { grant: Some(reservation.grant().clone()), ..bill(key, amount) }
}

/// Simulates the reservation and the billing of one request. The answer is delivered when the bill has its receipt.
async fn request(node: Node, key: String, ceiling: u64, takes_ms: u64) {
    let customer = id(&key).customer;
    let reserved = node.budget.reserve(&customer, &contract(), Amount(ceiling), within(5_000)).await;
    let Ok(mut reservation) = reserved else {
        return;
    };
    sleep(Duration::from_millis(takes_ms)).await;
    loop {
        match node.journal.bill(&bill_on(&key, ceiling, &reservation), within(5_000)).await {
            Ok(Receipt::Durable | Receipt::Held) | Err(JournalError::Unknown) => {
                return node.budget.commit(reservation, Amount(ceiling));
            }
            Err(JournalError::NotRecorded(Reason::GrantClosed)) => {
                match node.budget.renew(reservation, &contract(), Amount(ceiling), within(5_000)).await {
                    Ok(renewed) => reservation = renewed,
                    Err(Error::Exhausted { .. } | Error::Unavailable) => return,
                }
            }
            Ok(Receipt::Already) | Err(_) => return,
        }
    }
}

/// Plays the steps, lets everything finish and checks that the bills do not exceed the budget.
async fn check(steps: Vec<Step>) {
    let fleet = Fleet::new(2, |config| (config.ring, config.shards) = (16, 1));
    let nodes = [open(&fleet, 0), open(&fleet, 1)];
    let mut requests = JoinSet::new();
    for (n, step) in steps.into_iter().enumerate() {
        match step {
            Step::Request { node, ceiling, takes_ms } => {
                requests.spawn(request(nodes[node].clone(), format!("k{n}"), ceiling, takes_ms));
            }
            Step::Pause { node, paused } => fleet.pause(node, paused),
            Step::SetMembership { node, alone } => {
                let members = fleet.nodes.iter().map(|n| n.member.clone());
                let own = fleet.nodes[node].member.clone();
                fleet.journal(node).set_members(if alone { vec![own] } else { members.collect() });
            }
            Step::Lose { node, nth, loss } => fleet.nodes[node].client.lose(nth, loss),
            Step::Down(down) => fleet.platform.set_down(down),
            Step::Wait { ms } => sleep(Duration::from_millis(ms)).await,
        }
    }
    fleet.platform.set_down(false);
    (0..2).for_each(|node| fleet.pause(node, false));
    fleet.meet(&[0, 1]);
    requests.join_all().await;
    for node in &nodes {
        assert!(node.journal.flush(soon() + Duration::from_mins(5)).await, "all bills are delivered");
        node.budget.flush(soon()).await;
    }
    let bills = fleet.dumped_bills();
    let spent: u64 = bills.iter().map(|b| b.amount.0).sum();
    assert!(spent <= LIMIT, "{spent} of {LIMIT} spent by {bills:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Two instances spend one budget while they are paused for longer than a
    /// settlement waits, lose responses of the platform and see each other as
    /// absent. The bills must never exceed the budget.
    #[test]
    fn two_holders_never_overspend(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        runtime.expect("a runtime").block_on(check(steps));
    }
}
