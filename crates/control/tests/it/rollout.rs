//! Roll-outs under lost coordinators, concurrent actions of operators and
//! outages.

use std::time::Duration;

use control::operate::Action;
use timeline::Wanted;
use tokio::time::{Instant, sleep};
use world::rollout::{Rollout, State};

use crate::{
    site::{LINK_DELAY, Site, new_version},
    support::seconds,
};

/// Largest number of answers of a bad version before the fleet has stopped it.
const MAX_BAD_ANSWERS: u64 = 120;

fn withdraw() -> Action {
    Action::Withdraw { reason: "an operator's reason".into() }
}

/// Without faults the version is loaded, two loads at a time, exposed step by
/// step and promoted.
#[tokio::test(start_paused = true)]
async fn clean_rollout() {
    let site = Site::open(3).await;
    site.roll_out().await;
    let mut max_loading = 0;
    while site.rollout(1).is_none_or(|rollout| rollout.state == State::Loading) {
        max_loading = max_loading.max(site.engines.all().iter().map(|engine| engine.loading).sum());
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(max_loading, 2, "two loads run at a time");
    assert!(site.engines.holding(&new_version()) >= 2);
    site.wait_for(1, State::Promoted).await;
    assert_eq!(site.engines.holding(&new_version()), 4);
}

/// Opens a site, waits until its roll-out satisfies `reached`, and loses the
/// coordinator.
async fn lose_coordinator_at(reached: impl Fn(&Rollout) -> bool) -> Site {
    let mut site = Site::open(3).await;
    site.roll_out().await;
    let watcher = (site.coordinator() + 1) % 3;
    site.wait(watcher, reached).await;
    site.lose(site.coordinator());
    site
}

macro_rules! lost {
    ($($(#[doc = $doc:literal])* $name:ident: $reached:expr;)*) => {
        $($(#[doc = $doc])* #[tokio::test(start_paused = true)]
        async fn $name() {
            let site = lose_coordinator_at($reached).await;
            let survivor = (site.coordinator() + 1) % 3;
            site.wait_for(survivor, State::Promoted).await;
            assert_ne!(site.coordinator(), (survivor + 2) % 3, "another instance continues the roll-out");
        })*
    };
}

lost! {
    /// The coordinator is lost before any engine has loaded the version: the
    /// next one queries which versions the engines hold and orders the rest.
    coordinator_lost_while_loading: |rollout| rollout.state == State::Loading;

    /// The coordinator is lost when the first sessions are routed to the
    /// version.
    coordinator_lost_at_first_step: |rollout| rollout.state == State::Exposing;

    /// The coordinator is lost between two steps: the next one waits for the
    /// step's full time again.
    coordinator_lost_at_second_step: |rollout| rollout.step == 1;

    /// The coordinator is lost at the last step, when the predecessor gets no
    /// more traffic to compare with.
    coordinator_lost_at_last_step: |rollout| rollout.step == 3;
}

/// The version fails 30 ratings in 100 more than its predecessor. Each of
/// seven instances sees a seventh of its answers; together they stop it
/// everywhere.
#[tokio::test(start_paused = true)]
async fn bad_version() {
    let site = Site::open(7).await;
    site.set_failure_rate(350);
    site.roll_out().await;
    let rollout = site.wait_for(3, State::Withdrawn).await;
    assert_eq!(rollout.step, 0);
    assert!(rollout.reason.as_deref().unwrap_or_default().starts_with("failed ratings"), "{:?}", rollout.reason);
    let answers = site.traffic().new;
    assert!(answers <= MAX_BAD_ANSWERS, "{answers} answers of the bad version");
    seconds(5.0).await;
    assert_eq!(site.traffic().new, answers, "no new session is routed to a withdrawn version");
}

/// One session sends the same impossible task again and again, and every
/// answer fails. The session was assigned to the new version once, so it
/// counts once: one failing session must not stop a good version.
#[tokio::test(start_paused = true)]
async fn one_failing_session_stops_nothing() {
    let site = Site::open(2).await;
    site.roll_out().await;
    site.wait_for(1, State::Exposing).await;
    for _ in 0..20 {
        site.fail_session(1, 50);
        seconds(0.5).await;
    }
    site.wait_for(1, State::Promoted).await;
}

/// A version turns bad after its first step went well. The evidence of that
/// step must not hide it.
#[tokio::test(start_paused = true)]
async fn version_turns_bad_after_first_step() {
    let site = Site::open(4).await;
    site.roll_out().await;
    site.wait(1, |rollout| rollout.step == 1).await;
    let before = site.traffic().new;
    site.set_failure_rate(350);
    site.wait_for(2, State::Withdrawn).await;
    let answers = site.traffic().new - before;
    assert!(answers <= 2 * MAX_BAD_ANSWERS, "{answers} answers since it turned bad");
}

/// Waits until an instance stops the version. Returns its number and the time.
async fn wait_for_first_stop(site: &Site) -> (usize, Instant) {
    let limit = Instant::now() + Duration::from_mins(5);
    while Instant::now() < limit {
        if let Some(number) = (0..site.instances.len()).find(|number| site.is_stopped(*number)) {
            return (number, Instant::now());
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("no instance stopped the version");
}

/// Waits until all instances have stopped the version, for at most 30 s, and returns the time.
async fn wait_until_stopped_everywhere(site: &Site) -> Instant {
    let limit = Instant::now() + Duration::from_secs(30);
    while Instant::now() < limit && !(0..site.instances.len()).all(|number| site.is_stopped(number)) {
        sleep(Duration::from_millis(10)).await;
    }
    Instant::now()
}

/// The platform is down when the guard stops a version. Peers are notified at
/// once and route no further sessions to it; the withdrawal is written when
/// the platform is back.
#[tokio::test(start_paused = true)]
async fn version_stopped_in_an_outage() {
    let site = Site::open(5).await;
    site.roll_out().await;
    site.wait_for(1, State::Exposing).await;
    site.platform.set_down(true);
    site.set_failure_rate(350);
    let (_, first) = wait_for_first_stop(&site).await;
    let last = wait_until_stopped_everywhere(&site).await;
    assert!(last - first <= Duration::from_secs(1), "{:?}", last - first);
    let answers = site.traffic().new;
    seconds(60.0).await;
    assert_eq!(site.traffic().new, answers, "the version stays stopped during the outage");
    assert_eq!(site.rollout(1).unwrap().state, State::Exposing, "nothing can be written yet");
    site.platform.set_down(false);
    for number in 0..5 {
        site.wait_for(number, State::Withdrawn).await;
    }
}

/// The link between the instance that stops a version and another one is cut.
/// The other is notified by the repeat of an instance that has received the
/// stop.
#[tokio::test(start_paused = true)]
async fn stop_lost_on_one_link() {
    let site = Site::open(4).await;
    site.roll_out().await;
    site.wait_for(1, State::Exposing).await;
    // The platform is down, so that the stop does not arrive through the
    // configuration.
    site.platform.set_down(true);
    site.set_failure_rate(350);
    let (first, at) = wait_for_first_stop(&site).await;
    let other = (first + 1) % 4;
    site.cut(first, other, true);
    let last = wait_until_stopped_everywhere(&site).await;
    assert!(last - at <= Duration::from_secs(1) + 2 * LINK_DELAY, "{:?}", last - at);
}

/// The instance whose evidence stopped the version is lost right after
/// notifying its peers, before it could write the withdrawal. Another instance
/// writes it.
#[tokio::test(start_paused = true)]
async fn instance_lost_right_after_its_stop() {
    let mut site = Site::open(4).await;
    site.roll_out().await;
    site.wait_for(1, State::Exposing).await;
    site.set_failure_rate(350);
    let (first, _) = wait_for_first_stop(&site).await;
    site.instances[first].client.set_down(true);
    sleep(LINK_DELAY + Duration::from_millis(20)).await;
    site.lose(first);
    let other = (first + 1) % 4;
    site.wait_for(other, State::Withdrawn).await;
}

/// Two faults together: the coordinator is lost, and the platform is down for
/// half a minute while the others wait for its lease.
#[tokio::test(start_paused = true)]
async fn coordinator_lost_in_an_outage() {
    let mut site = Site::open(3).await;
    site.roll_out().await;
    let coordinator = site.coordinator();
    site.wait((coordinator + 1) % 3, |rollout| rollout.step == 1).await;
    site.lose(coordinator);
    site.platform.set_down(true);
    seconds(30.0).await;
    site.platform.set_down(false);
    site.wait_for((coordinator + 1) % 3, State::Promoted).await;
}

/// Only one instance judges a version bad. All others stop it when notified,
/// with the platform down, within a second.
#[tokio::test(start_paused = true)]
async fn one_instances_evidence_is_enough() {
    let site = Site::open_with_one_judge(4).await;
    site.roll_out().await;
    site.wait_for(1, State::Exposing).await;
    site.platform.set_down(true);
    site.set_failure_rate(350);
    let (first, at) = wait_for_first_stop(&site).await;
    assert_eq!(first, 0);
    let last = wait_until_stopped_everywhere(&site).await;
    assert!(last - at <= Duration::from_secs(1), "{:?}", last - at);
}

/// Pauses the roll-out at an instance other than the coordinator, and checks
/// that the pause holds until it is resumed.
async fn pause_holds(site: &Site) {
    while let Err(error) = site.operate(1, &Action::Pause).await {
        assert!(error.contains("nothing was changed"), "{error}");
    }
    let paused = site.wait_for(0, State::Paused).await;
    seconds(20.0).await;
    assert_eq!(site.rollout(0), Some(paused));
    site.operate(1, &Action::Resume).await.unwrap();
    site.wait_for(0, State::Promoted).await;
}

/// An operator pauses the roll-out while the coordinator is about to write the
/// next step, each call taking 300 ms. Whichever writes first, the pause holds
/// in the end and no step follows it: the loser reads again, and the
/// coordinator leaves a paused roll-out as it is.
#[tokio::test(start_paused = true)]
async fn pause_races_with_a_step() {
    for offset_ms in (0..1_500).step_by(150) {
        let site = Site::open(2).await;
        site.roll_out().await;
        // The first step ends when there are enough answers; this one ends by its time.
        site.wait(1, |rollout| rollout.step == 1).await;
        site.platform.set_slow(Duration::from_millis(300));
        sleep(Duration::from_millis(3_200 + offset_ms)).await;
        pause_holds(&site).await;
    }
}

/// Two engines have loaded the version, so it may be exposed; the orders to
/// the other two take 1.5 s each. An operator pauses the roll-out meanwhile.
/// The plan to expose was made for a roll-out that was still loading and must
/// be dropped.
#[tokio::test(start_paused = true)]
async fn pause_while_orders_are_sent() {
    for offset_ms in (0..3_000).step_by(500) {
        let site = Site::open(2).await;
        site.engines.set_order_time(Duration::from_millis(1_500));
        site.roll_out().await;
        while site.engines.holding(&new_version()) < 2 {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(Duration::from_millis(offset_ms)).await;
        if site.rollout(1).is_some_and(|rollout| rollout.state == State::Loading) {
            pause_holds(&site).await;
        }
    }
}

/// An operator promotes a version at the moment when the guard stops it. The
/// stop takes precedence, whether or not the version was promoted.
#[tokio::test(start_paused = true)]
async fn promote_races_with_a_stop() {
    let site = Site::open(4).await;
    site.roll_out().await;
    site.wait_for(1, State::Exposing).await;
    site.set_failure_rate(350);
    wait_for_first_stop(&site).await;
    let _ = site.operate(2, &Action::Promote).await;
    for number in 0..4 {
        site.wait_for(number, State::Withdrawn).await;
    }
}

/// An operator withdraws the version: within a second no instance routes new
/// sessions to it, and engines drop it only after running answers had time to
/// end.
#[tokio::test(start_paused = true)]
async fn withdrawn_by_an_operator() {
    let site = Site::open(3).await;
    site.roll_out().await;
    site.wait(1, |rollout| rollout.step == 1).await;
    site.operate(2, &withdraw()).await.unwrap();
    let at = Instant::now();
    seconds(30.0).await;
    let late = site.traffic().exposures.iter().filter(|(_, when)| *when > at + Duration::from_secs(1)).count();
    assert_eq!(late, 0);
    assert!(site.engines.holding(&new_version()) >= 2, "running answers are not cut off");
    seconds(180.0).await;
    assert_eq!(site.engines.holding(&new_version()), 0);
    assert_eq!(site.orders(Wanted::Dropped), 4, "the timeline records the orders");
    assert!(site.operate(0, &Action::Resume).await.unwrap_err().contains("never comes back"));
}

/// An engine restarts during the roll-out and has lost the version: it is
/// ordered to load it again.
#[tokio::test(start_paused = true)]
async fn engine_restarted() {
    let site = Site::open(2).await;
    site.roll_out().await;
    site.wait(1, |rollout| rollout.step == 2).await;
    site.engines.restart(9_000);
    assert_eq!(site.engines.holding(&new_version()), 3);
    site.operate(1, &Action::Pause).await.unwrap();
    seconds(60.0).await;
    assert_eq!(site.engines.holding(&new_version()), 4);
}
