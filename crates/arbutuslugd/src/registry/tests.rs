//! An instance's entry under lost answers, outages and earlier runs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use store::{
    Handle, Priority, Settings,
    fake::{Loss, Platform},
    open_with,
};
use world::instance::{Incarnation, Instance, State};

use super::{enter, key, write_same};

fn me(incarnation: u64) -> Instance {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Instance {
        id: "a-1".parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        domain: "a".parse().expect("a name"),
        callers: address,
        peers: address,
        operators: address,
        state: State::Live,
    }
}

fn open(platform: &Platform, writer: &str) -> Handle {
    open_with(Settings::fake(writer, 3), Arc::new(platform.client()))
}

async fn entry(handle: &Handle) -> Option<Instance> {
    let item = handle.get(Priority::Config, &key(&me(0))).await.expect("the platform is up");
    item.map(|item| item.read().expect("an entry"))
}

/// Starts a run at `clock` over an entry of `before`, with one write going
/// wrong, and tells what entry stands there and the run's incarnation.
async fn check(before: Option<u64>, clock: u64, loss: Option<Loss>, expected: u64) {
    let platform = Platform::open();
    if let Some(before) = before {
        assert!(enter(&open(&platform, "first"), &mut me(before)).await);
    }
    if let Some(loss) = loss {
        platform.lose(1, loss);
    }
    let handle = open(&platform, "second");
    let mut run = me(clock);
    assert!(enter(&handle, &mut run).await);
    assert_eq!(run.incarnation, Incarnation(expected));
    assert_eq!(entry(&handle).await, Some(run));
}

macro_rules! starts {
    ($($name:ident: $before:expr, $clock:expr, $loss:expr => $expected:expr;)*) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                check($before, $clock, $loss, $expected).await;
            }
        )*
    };
}

starts! {
    first_run_has_its_clocks_incarnation: None, 70, None => 70;
    later_run_has_its_clocks_incarnation: Some(70), 90, None => 90;
    clock_set_back_is_raised_above_the_last_run: Some(70), 50, None => 71;
    answer_lost_on_the_first_entry: None, 70, Some(Loss::After) => 70;
    answer_lost_on_a_later_entry: Some(70), 90, Some(Loss::After) => 90;
    call_lost_on_the_first_entry: None, 70, Some(Loss::Before) => 70;
}

// The platform is down when an instance starts. It starts without an entry,
// under its clock's incarnation, and writes the entry when the platform is back.
#[tokio::test(start_paused = true)]
async fn platform_down_at_start_is_entered_later() {
    let platform = Platform::open();
    let handle = open(&platform, "us");
    platform.set_down(true);
    let mut run = me(70);
    assert!(!enter(&handle, &mut run).await);
    assert_eq!(run.incarnation, Incarnation(70));
    platform.set_down(false);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(write_same(&handle, &run).await);
    assert_eq!(entry(&handle).await, Some(run));
}

// A run that could not write its entry is paused; the next run enters; the
// first wakes and tries again. The later entry must stand.
#[tokio::test(start_paused = true)]
async fn paused_run_that_wakes_leaves_the_later_entry() {
    let platform = Platform::open();
    let (first, second) = (open(&platform, "first"), open(&platform, "second"));
    assert!(enter(&second, &mut me(90)).await);
    assert!(write_same(&first, &me(70)).await);
    assert_eq!(entry(&second).await.map(|entry| entry.incarnation), Some(Incarnation(90)));
}
