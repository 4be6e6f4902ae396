//! Faults injected into a whole site at each step of a roll-out; tests are
//! named `fault_at_step`.

use std::time::Duration;

use control::operate::Action;
use store::fake::Loss;
use world::rollout::{Rollout, State};

use crate::{
    site::{Site, new_version},
    support::seconds,
};

/// Point of the roll-out at which the fault is injected.
#[derive(Debug, Clone, Copy)]
enum At {
    /// While engines load the version.
    Load,
    /// When the first sessions are routed to the version.
    Expose,
    /// At the last step before the promotion.
    Promote,
}

impl At {
    fn is_reached(self, rollout: &Rollout) -> bool {
        match self {
            Self::Load => rollout.state == State::Loading,
            Self::Expose => rollout.state == State::Exposing,
            Self::Promote => rollout.step + 1 == rollout.steps.len(),
        }
    }
}

/// Ports of the engines.
const ENGINES: std::ops::Range<u16> = 9_000..9_004;
/// Positions of the coordinator's write whose response is lost, tried in turn.
/// A step takes two writes, and renewals of the lease fall between them.
const WRITES: std::ops::RangeInclusive<u64> = 1..=6;

/// Opens a site and waits until the roll-out is at the given point in the
/// catalog of an instance other than the coordinator. Returns the site and
/// that instance's number.
async fn open_at(at: At) -> (Site, usize) {
    let site = Site::open(3).await;
    site.roll_out().await;
    let watcher = (site.coordinator() + 1) % 3;
    site.wait(watcher, |rollout| at.is_reached(rollout)).await;
    (site, watcher)
}

/// Waits until the version is promoted in the catalog of every given instance.
async fn wait_until_promoted(site: &Site, numbers: impl IntoIterator<Item = usize>) {
    for number in numbers {
        site.wait_for(number, State::Promoted).await;
    }
}

/// The platform responds slowly.
async fn check_slow(at: At) {
    let (site, _) = open_at(at).await;
    site.platform.set_slow(Duration::from_millis(900));
    wait_until_promoted(&site, 0..3).await;
}

/// The platform is down for half a minute.
async fn check_down(at: At) {
    let (site, watcher) = open_at(at).await;
    site.platform.set_down(true);
    seconds(2.0).await;
    let before = site.rollout(watcher);
    seconds(30.0).await;
    assert_eq!(site.rollout(watcher), before, "the roll-out advanced while the platform was down");
    site.platform.set_down(false);
    wait_until_promoted(&site, 0..3).await;
}

/// The response to one of the coordinator's writes is lost.
async fn check_answer_lost(at: At) {
    for nth in WRITES {
        let (site, watcher) = open_at(at).await;
        let coordinator = site.coordinator();
        site.instances[coordinator].client.lose(nth, Loss::After);
        let mut last = site.rollout(watcher).expect("reached").step;
        site.wait(watcher, |rollout| {
            assert!(rollout.step <= last + 1, "write {nth}: from step {last} to {}", rollout.step);
            last = rollout.step;
            rollout.state == State::Promoted
        })
        .await;
        wait_until_promoted(&site, 0..3).await;
        assert_eq!(site.coordinator(), coordinator, "write {nth}: the lease was lost because of one lost response");
    }
}

/// The coordinator's links to all peers are cut.
async fn check_peers_cut(at: At) {
    let (site, _) = open_at(at).await;
    let coordinator = site.coordinator();
    for other in (0..3).filter(|other| *other != coordinator) {
        site.cut(coordinator, other, true);
    }
    wait_until_promoted(&site, 0..3).await;
}

/// The coordinator shuts down in order.
async fn check_leaving(at: At) {
    let (mut site, watcher) = open_at(at).await;
    let coordinator = site.coordinator();
    site.leave(coordinator);
    wait_until_promoted(&site, (0..3).filter(|number| *number != coordinator)).await;
    assert_ne!(site.coordinator(), coordinator, "another instance continues the roll-out");
    assert!(site.rollout(watcher).is_some_and(|rollout| rollout.step == 3));
}

/// The coordinator cannot reach the platform for long enough to lose its
/// lease, then reconnects.
async fn check_lapsed(at: At) {
    let (site, _) = open_at(at).await;
    let coordinator = site.coordinator();
    site.instances[coordinator].client.set_down(true);
    seconds(20.0).await;
    site.instances[coordinator].client.set_down(false);
    wait_until_promoted(&site, 0..3).await;
    assert_ne!(site.coordinator(), coordinator, "its lease has lapsed");
    seconds(30.0).await;
    assert!((0..3).all(|number| site.rollout(number).is_some_and(|rollout| rollout.state == State::Promoted)));
}

macro_rules! steps {
    ($($(#[doc = $doc:literal])* $name:ident: $check:ident at $at:ident;)*) => {
        $($(#[doc = $doc])* #[tokio::test(start_paused = true)]
        async fn $name() {
            $check(At::$at).await;
        })*
    };
}

steps! {
    /// Each response of the platform takes 900 ms. Neither the lease nor a
    /// step is lost, because both wait longer than a call takes.
    platform_slow_at_load: check_slow at Load;

    /// The platform responds slowly from the first sessions on. Each step
    /// waits its time and for its answers, whose observations do not pass
    /// through the platform.
    platform_slow_at_expose: check_slow at Expose;

    /// The platform responds slowly before the last step ends. The coordinator
    /// waits for the write that promotes, and every instance receives it.
    platform_slow_at_promote: check_slow at Promote;

    /// The platform is down for half a minute while engines load. They
    /// continue loading as ordered; no session is routed to the version until
    /// the next state can be written.
    platform_down_at_load: check_down at Load;

    /// The platform is down for half a minute when the first sessions are
    /// routed to the version. The step stays as it is until the platform is
    /// back: a step takes effect only once it is written.
    platform_down_at_expose: check_down at Expose;

    /// The platform is down before the last step ends. No instance sees the
    /// version as promoted until that is written.
    platform_down_at_promote: check_down at Promote;

    /// One of the coordinator's writes takes effect and its response is lost.
    /// Each step happens once and none is skipped: the coordinator reads the
    /// object back and plans from it.
    answer_lost_at_expose: check_answer_lost at Expose;

    /// A write's response is lost before the last step ends. The version is
    /// promoted once, by the same holder, which reads its write back and finds
    /// it done.
    answer_lost_at_promote: check_answer_lost at Promote;

    /// The coordinator's lease lapses when the first sessions are routed to
    /// the version, and the coordinator reconnects later. Another instance
    /// continues the roll-out, and the old one writes no step: it sees by its
    /// own clock that its term has ended.
    lease_lapsed_at_expose: check_lapsed at Expose;

    /// The lease lapses before the last step ends. Another instance promotes
    /// the version, and the old coordinator changes nothing when it is back.
    lease_lapsed_at_promote: check_lapsed at Promote;

    /// The coordinator's links to all peers are cut while engines load. The
    /// roll-out continues everywhere, because orders go to the engines and
    /// steps through the platform, not over the links.
    peers_cut_at_load: check_peers_cut at Load;

    /// The links are cut from the first sessions on. The peers' observations
    /// do not reach the coordinator; its own are enough to complete the steps.
    peers_cut_at_expose: check_peers_cut at Expose;

    /// The links are cut before the last step ends. The promotion is in the
    /// object, which each instance reads from the platform too.
    peers_cut_at_promote: check_peers_cut at Promote;

    /// The coordinator shuts down in order while engines load. The roll-out
    /// pauses for a term of the lease and continues at another instance, which
    /// queries the engines again, so nothing has to be handed over.
    instance_leaving_at_load: check_leaving at Load;

    /// The coordinator shuts down when the first sessions are routed to the
    /// version. The step is in the object, and the next coordinator waits for
    /// the step's full time again.
    instance_leaving_at_expose: check_leaving at Expose;

    /// The coordinator shuts down before the last step ends. Another instance
    /// promotes the version after waiting for the step's full time again.
    instance_leaving_at_promote: check_leaving at Promote;
}

/// Three of four engines are lost before they have loaded the version. The
/// roll-out stays at loading and no session is routed to the version, since a
/// single engine would be slow. It continues when they are back.
#[tokio::test(start_paused = true)]
async fn endpoint_lost_at_load() {
    let site = Site::open(3).await;
    ENGINES.skip(1).for_each(|port| site.engines.set_unreachable(port, true));
    site.roll_out().await;
    seconds(60.0).await;
    assert_eq!(site.rollout(1).map(|rollout| rollout.state), Some(State::Loading));
    assert_eq!((site.engines.holding(&new_version()), site.traffic().new), (1, 0));
    ENGINES.for_each(|port| site.engines.set_unreachable(port, false));
    wait_until_promoted(&site, 0..3).await;
}

/// One of four engines is lost for good before it has loaded the version. The
/// version is promoted with the other three: a tenth of the engines, or one,
/// may be down without blocking the roll-out.
#[tokio::test(start_paused = true)]
async fn endpoint_lost_at_promote() {
    let site = Site::open(3).await;
    site.engines.set_unreachable(ENGINES.start, true);
    site.roll_out().await;
    wait_until_promoted(&site, 0..3).await;
    assert_eq!(site.engines.holding(&new_version()), 3);
}

/// An engine is lost while the version is withdrawn. No further session is
/// routed to the version. The lost engine is ordered to drop it when it is
/// back, since the wanted state follows from the object.
#[tokio::test(start_paused = true)]
async fn endpoint_lost_at_stop() {
    let (site, _) = open_at(At::Promote).await;
    site.engines.set_unreachable(ENGINES.start, true);
    site.operate(0, &Action::Withdraw { reason: "an operator's reason".into() }).await.expect("accepted");
    seconds(2.0).await;
    let answers = site.traffic().new;
    seconds(300.0).await;
    assert_eq!((site.engines.holding(&new_version()), site.traffic().new), (1, answers));
    site.engines.set_unreachable(ENGINES.start, false);
    seconds(90.0).await;
    assert_eq!(site.engines.holding(&new_version()), 0);
}

/// The coordinator's lease lapses and the version turns bad meanwhile. It is
/// stopped and withdrawn, since the guard needs no lease, and the returning
/// coordinator does not change that: withdrawn is a final state.
#[tokio::test(start_paused = true)]
async fn lease_lapsed_at_stop() {
    let (site, _) = open_at(At::Expose).await;
    let coordinator = site.coordinator();
    site.instances[coordinator].client.set_down(true);
    // After the end of its term and before a successor may give orders.
    seconds(7.0).await;
    site.set_failure_rate(350);
    let other = (coordinator + 1) % 3;
    site.wait_for(other, State::Withdrawn).await;
    seconds(20.0).await;
    site.instances[coordinator].client.set_down(false);
    seconds(30.0).await;
    for number in 0..3 {
        site.wait_for(number, State::Withdrawn).await;
    }
}

/// A version turns bad, and each instance loses the response to one of its
/// writes, the withdrawal among them. The version is withdrawn everywhere and
/// once: the object is read back before anything is written again.
#[tokio::test(start_paused = true)]
async fn answer_lost_at_stop() {
    for nth in WRITES {
        let (site, _) = open_at(At::Expose).await;
        site.instances.iter().for_each(|instance| instance.client.lose(nth, Loss::After));
        site.set_failure_rate(350);
        for number in 0..3 {
            site.wait_for(number, State::Withdrawn).await;
        }
        let withdrawn = site.rollout(0);
        seconds(20.0).await;
        assert_eq!(site.rollout(0), withdrawn, "write {nth}");
    }
}
