//! Random interleavings of two writers, with faults.
//!
//! `PROPTEST_CASES` sets the number of cases; the default is for CI.

#[path = "support/fleet.rs"]
mod fleet;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use fleet::{Fleet, START, bill, id, soon, within};
use journal::{Claimed, Receipt};
use proptest::{prelude::*, test_runner::RngSeed};
use store::fake::Loss;
use tokio::{task::JoinSet, time::sleep};
use world::request::Outcome;

/// Keys in play: few, so that writers meet.
const KEYS: u8 = 3;
/// Cases where `PROPTEST_CASES` is not set.
const CASES: u32 = 64;

/// One thing that happens.
#[derive(Debug, Clone)]
enum Step {
    Claim { node: usize, key: u8, patience_ms: u64 },
    Bill { node: usize, key: u8 },
    Ask { node: usize, key: u8 },
    Pause { node: usize, paused: bool },
    Believe { node: usize, alone: bool },
    Lose { node: usize, nth: u64, loss: Loss },
    Down(bool),
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..2_usize;
    let loss = prop_oneof![
        Just(Loss::Before),
        Just(Loss::After),
        Just(Loss::Refused),
        (1..8_000_u64).prop_map(|ms| Loss::Late(Duration::from_millis(ms))),
    ];
    let step = prop_oneof![
        6 => (node.clone(), 0..KEYS, 1..6_000_u64).prop_map(|(node, key, patience_ms)| Step::Claim { node, key, patience_ms }),
        3 => (node.clone(), 0..KEYS).prop_map(|(node, key)| Step::Bill { node, key }),
        3 => (node.clone(), 0..KEYS).prop_map(|(node, key)| Step::Ask { node, key }),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, paused)| Step::Pause { node, paused }),
        4 => (node.clone(), any::<bool>()).prop_map(|(node, alone)| Step::Believe { node, alone }),
        4 => (node, 1..4_u64, loss).prop_map(|(node, nth, loss)| Step::Lose { node, nth, loss }),
        1 => any::<bool>().prop_map(Step::Down),
        6 => (1..4_000_u64).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..40)
}

/// What the writers were told.
#[derive(Debug, Default)]
struct Told {
    /// Claims that came back as the caller's, and still stand.
    standing: HashMap<u8, Standing>,
    claims: u64,
    /// Receipts that say a bill counts or is held.
    receipts: Vec<(u8, usize, Receipt)>,
    broken: Vec<String>,
}

/// One claim that came back as the caller's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Standing {
    node: usize,
    number: u64,
}

type Shared = Arc<Mutex<Told>>;

fn told(shared: &Shared) -> std::sync::MutexGuard<'_, Told> {
    shared.lock().expect("not poisoned")
}

fn key(n: u8) -> String {
    format!("k{n}")
}

async fn claim(journal: journal::Handle, shared: Shared, n: u8, node: usize, patience_ms: u64) {
    let claimed = journal.claim(&id(&key(n)), START, 1, within(patience_ms)).await;
    if claimed != Ok(Claimed::First) {
        return;
    }
    {
        let mut told = told(&shared);
        told.claims += 1;
        let standing = Standing { node, number: told.claims };
        if let Some(other) = told.standing.insert(n, standing) {
            told.broken.push(format!("{} claimed as {other:?} and {standing:?}", key(n)));
        }
    }
    sleep(Duration::from_millis(patience_ms / 2)).await;
    // Even ones were refused before they ran, the others stand for good.
    if patience_ms.is_multiple_of(2) {
        told(&shared).standing.remove(&n);
        let _ = journal.settle(&id(&key(n)), Outcome::NotRun, within(patience_ms)).await;
    }
}

async fn ask(journal: journal::Handle, shared: Shared, n: u8) {
    let before = told(&shared).standing.get(&n).copied();
    let outcome = journal.outcome(&id(&key(n)), within(3_000)).await;
    let promise = matches!(outcome, Ok(None | Some(Outcome::NotRun)));
    let after = told(&shared).standing.get(&n).copied();
    // One claim that stood from before the question until after the answer.
    if promise && before.is_some() && before == after {
        told(&shared).broken.push(format!("{} runs, and was told as {outcome:?}", key(n)));
    }
}

async fn pay(journal: journal::Handle, shared: Shared, n: u8, node: usize) {
    // Bills of the two nodes differ, as two runs of an idempotent request do.
    let bill = bill(&key(n + KEYS), 10 + node as u64);
    if let Ok(receipt) = journal.bill(&bill, within(4_000)).await {
        told(&shared).receipts.push((n, node, receipt));
    }
}

async fn play(fleet: &Fleet, steps: Vec<Step>) -> Shared {
    let shared = Shared::default();
    let mut calls = JoinSet::new();
    for step in steps {
        let journal = |node: usize| fleet.journal(node).clone();
        match step {
            Step::Claim { node, key, patience_ms } => {
                calls.spawn(claim(journal(node), shared.clone(), key, node, patience_ms));
            }
            Step::Bill { node, key } => {
                calls.spawn(pay(journal(node), shared.clone(), key, node));
            }
            Step::Ask { node, key } => {
                calls.spawn(ask(journal(node), shared.clone(), key));
            }
            Step::Pause { node, paused } => fleet.pause(node, paused),
            Step::Believe { node, alone } => {
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
    calls.join_all().await;
    shared
}

async fn check(steps: Vec<Step>) {
    let fleet = Fleet::new(2, |config| (config.ring, config.shards) = (8, 1));
    let shared = play(&fleet, steps).await;
    for node in 0..2 {
        assert!(fleet.journal(node).flush(soon() + Duration::from_mins(5)).await, "all is delivered in the end");
    }
    let told = std::mem::take(&mut *told(&shared));
    assert!(told.broken.is_empty(), "{:?}", told.broken);
    let bills = fleet.dumped_bills();
    for (n, node, receipt) in &told.receipts {
        let counted = bills.iter().find(|b| b.id == id(&key(n + KEYS))).expect("a receipt has a bill");
        let own = counted.amount.0 == 10 + *node as u64;
        match receipt {
            Receipt::Durable => assert!(own, "{}: counted {counted:?}, receipt at {node}", key(*n)),
            Receipt::Already => assert!(!own, "{}: receipt says another, counted {counted:?}", key(*n)),
            Receipt::Held => {}
        }
    }
    // A home that found the platform down tries again within seconds.
    sleep(Duration::from_mins(1)).await;
    for (n, Standing { node, .. }) in &told.standing {
        let outcome = fleet.journal(1 - node).outcome(&id(&key(*n)), soon()).await;
        assert!(matches!(outcome, Ok(Some(Outcome::Running))), "{} at {node}: {outcome:?}", key(*n));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Two instances claim, bill and ask about the same keys while they are
    /// paused, lose answers and disagree about who is a member. No key is
    /// claimed twice, no promise is false, every bill counts once.
    #[test]
    fn two_homes_claim_once_and_bill_once(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        runtime.expect("a runtime").block_on(check(steps));
    }
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(CASES)
}

/// A paused home wakes while its successor's cut-off covers more than it
/// knows: the home must go, not compute with a floor above its log.
#[tokio::test(start_paused = true)]
async fn paused_home_wakes_below_its_successors_cut_off() {
    let steps = vec![
        Step::Claim { node: 0, key: 0, patience_ms: 1_788 },
        Step::Wait { ms: 895 },
        Step::Bill { node: 0, key: 0 },
        Step::Lose { node: 0, nth: 2, loss: Loss::Before },
        Step::Believe { node: 1, alone: true },
        Step::Wait { ms: 16 },
        Step::Claim { node: 0, key: 0, patience_ms: 1 },
    ];
    check(steps).await;
}
