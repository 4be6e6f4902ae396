//! Faults that strike a whole site at each step of a roll-out.

use std::time::Duration;

use control::operate::Action;
use store::fake::Loss;
use world::rollout::{Rollout, State};

use crate::{
    site::{Site, new_version},
    support::seconds,
};

/// Where the roll-out stands when the fault strikes.
#[derive(Debug, Clone, Copy)]
enum At {
    Load,
    Expose,
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
/// Writes by the coordinator of which one's answer gets lost, in turn. A step
/// takes two, and renewals of the lease fall between them.
const WRITES: std::ops::RangeInclusive<u64> = 1..=6;

/// A site whose roll-out has come there, as an instance other than the
/// coordinator sees it; that instance's number.
async fn open_at(at: At) -> (Site, usize) {
    let site = Site::open(3).await;
    site.roll_out().await;
    let watcher = (site.leader() + 1) % 3;
    site.wait(watcher, |rollout| at.is_reached(rollout)).await;
    (site, watcher)
}

/// The roll-out ends well at every given instance.
async fn promoted(site: &Site, numbers: impl IntoIterator<Item = usize>) {
    for number in numbers {
        site.wait_for(number, State::Promoted).await;
    }
}

async fn check_slow(at: At) {
    let (site, _) = open_at(at).await;
    site.platform.set_slow(Duration::from_millis(900));
    promoted(&site, 0..3).await;
}

async fn check_down(at: At) {
    let (site, watcher) = open_at(at).await;
    site.platform.set_down(true);
    seconds(2.0).await;
    let stands = site.rollout(watcher);
    seconds(30.0).await;
    assert_eq!(site.rollout(watcher), stands, "a step that nobody could write");
    site.platform.set_down(false);
    promoted(&site, 0..3).await;
}

async fn check_answer_lost(at: At) {
    for nth in WRITES {
        let (site, watcher) = open_at(at).await;
        let leader = site.leader();
        site.instances[leader].client.lose(nth, Loss::After);
        let mut last = site.rollout(watcher).expect("reached").step;
        site.wait(watcher, |rollout| {
            assert!(rollout.step <= last + 1, "write {nth}: from step {last} to {}", rollout.step);
            last = rollout.step;
            rollout.state == State::Promoted
        })
        .await;
        promoted(&site, 0..3).await;
        assert_eq!(site.leader(), leader, "write {nth}: its lease was lost over one answer");
    }
}

async fn check_peers_cut(at: At) {
    let (site, _) = open_at(at).await;
    let leader = site.leader();
    for other in (0..3).filter(|other| *other != leader) {
        site.cut(leader, other, true);
    }
    promoted(&site, 0..3).await;
}

async fn check_leaving(at: At) {
    let (mut site, watcher) = open_at(at).await;
    let leader = site.leader();
    site.leave(leader);
    promoted(&site, (0..3).filter(|number| *number != leader)).await;
    assert_ne!(site.leader(), leader, "another carried it on");
    assert!(site.rollout(watcher).is_some_and(|rollout| rollout.step == 3));
}

/// The coordinator cannot reach the platform for long enough to lose its
/// lease, and then can again.
async fn check_lapsed(at: At) {
    let (site, _) = open_at(at).await;
    let leader = site.leader();
    site.instances[leader].client.set_down(true);
    seconds(20.0).await;
    site.instances[leader].client.set_down(false);
    promoted(&site, 0..3).await;
    assert_ne!(site.leader(), leader, "its lease lapsed");
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
    /// Operators see the roll-out move on as ever: each answer of the platform
    /// takes 900 ms from here on, and neither the lease nor a step is lost to
    /// that, because both wait longer than a call takes.
    platform_slow_at_load: check_slow at Load;

    /// The same from the first sessions on: each step waits its time and for
    /// its answers, whose observations do not go over the platform.
    platform_slow_at_expose: check_slow at Expose;

    /// The same before the last step ends: the write that promotes is waited
    /// for, and every instance hears of it.
    platform_slow_at_promote: check_slow at Promote;

    /// The platform is down for half a minute while engines load. They go on
    /// loading as ordered; no session meets the version until the step that
    /// says so can be written.
    platform_down_at_load: check_down at Load;

    /// The platform is down for half a minute as the first sessions meet the
    /// version. Operators see the step stand until it is back, then go on: a
    /// step is in force only once it is written.
    platform_down_at_expose: check_down at Expose;

    /// The same before the last step ends: no instance holds the version for
    /// promoted until that is written.
    platform_down_at_promote: check_down at Promote;

    /// One of the coordinator's writes takes effect and its answer is lost.
    /// Operators see each step once and none left out: the coordinator reads
    /// back what stands, and plans from that.
    answer_lost_at_expose: check_answer_lost at Expose;

    /// The same before the last step ends: promoted once, by the same holder,
    /// which reads its write back and finds it done.
    answer_lost_at_promote: check_answer_lost at Promote;

    /// The coordinator's lease lapses as the first sessions meet the version,
    /// and it comes back. Operators see the roll-out go on at another, and no
    /// step by the old one: it finds its term over by its own clock.
    lease_lapsed_at_expose: check_lapsed at Expose;

    /// The same before the last step ends: another promotes the version, and
    /// the old coordinator changes nothing of that when it is back.
    lease_lapsed_at_promote: check_lapsed at Promote;

    /// The coordinator's links to all peers are cut while engines load.
    /// Operators see the roll-out go on everywhere, because orders go to the
    /// engines and steps over the platform, not over the links.
    peers_cut_at_load: check_peers_cut at Load;

    /// The same from the first sessions on: the peers' observations do not
    /// reach the coordinator, its own let the steps end.
    peers_cut_at_expose: check_peers_cut at Expose;

    /// The same before the last step ends: promoted is in the object, which
    /// each instance reads from the platform too.
    peers_cut_at_promote: check_peers_cut at Promote;

    /// The coordinator shuts down in order while engines load. Operators see
    /// the roll-out stand for a term of the lease and go on at another: what
    /// engines hold is asked anew, so nothing has to be handed over.
    instance_leaving_at_load: check_leaving at Load;

    /// The same as the first sessions meet the version: the step stands in the
    /// object, and the next coordinator waits its time anew.
    instance_leaving_at_expose: check_leaving at Expose;

    /// The same before the last step ends: the version is promoted by another,
    /// once the step has lasted its time anew.
    instance_leaving_at_promote: check_leaving at Promote;
}

/// Three of four engines are lost before they have loaded the version.
/// Operators see the roll-out stand at loading and no session meets it: one
/// engine alone would make it slow. When they are back it goes on.
#[tokio::test(start_paused = true)]
async fn endpoint_lost_at_load() {
    let site = Site::open(3).await;
    ENGINES.skip(1).for_each(|port| site.engines.set_lost(port, true));
    site.roll_out().await;
    seconds(60.0).await;
    assert_eq!(site.rollout(1).map(|rollout| rollout.state), Some(State::Loading));
    assert_eq!((site.engines.holding(&new_version()), site.traffic().new), (1, 0));
    ENGINES.for_each(|port| site.engines.set_lost(port, false));
    promoted(&site, 0..3).await;
}

/// One of four engines is lost before it has loaded the version, for good.
/// Operators see the roll-out promoted with the other three: a tenth of the
/// engines or one may be down without holding everybody up.
#[tokio::test(start_paused = true)]
async fn endpoint_lost_at_promote() {
    let site = Site::open(3).await;
    site.engines.set_lost(ENGINES.start, true);
    site.roll_out().await;
    promoted(&site, 0..3).await;
    assert_eq!(site.engines.holding(&new_version()), 3);
}

/// An engine is lost while the version is withdrawn. Operators see no session
/// meet it any more; the engine that cannot be told to drop it is told when it
/// is back, since the wanted end stands in the object.
#[tokio::test(start_paused = true)]
async fn endpoint_lost_at_stop() {
    let (site, _) = open_at(At::Promote).await;
    site.engines.set_lost(ENGINES.start, true);
    site.operate(0, &Action::Withdraw { reason: "an operator's reason".into() }).await.expect("accepted");
    seconds(2.0).await;
    let met = site.traffic().new;
    seconds(300.0).await;
    assert_eq!((site.engines.holding(&new_version()), site.traffic().new), (1, met));
    site.engines.set_lost(ENGINES.start, false);
    seconds(90.0).await;
    assert_eq!(site.engines.holding(&new_version()), 0);
}

/// The coordinator's lease lapses and the version turns bad meanwhile. It is
/// stopped and withdrawn, since the guard needs no lease, and the coordinator
/// that comes back leaves it so: withdrawn is an end.
#[tokio::test(start_paused = true)]
async fn lease_lapsed_at_stop() {
    let (site, _) = open_at(At::Expose).await;
    let leader = site.leader();
    site.instances[leader].client.set_down(true);
    // Past its term, and before a successor may order anything.
    seconds(7.0).await;
    site.set_bad(350);
    let other = (leader + 1) % 3;
    site.wait_for(other, State::Withdrawn).await;
    seconds(20.0).await;
    site.instances[leader].client.set_down(false);
    seconds(30.0).await;
    for number in 0..3 {
        site.wait_for(number, State::Withdrawn).await;
    }
}

/// A version turns bad, and each instance loses the answer of one of its
/// writes, the withdrawal among them. Operators see it withdrawn everywhere
/// and once: what stands is read back before anything is written again.
#[tokio::test(start_paused = true)]
async fn answer_lost_at_stop() {
    for nth in WRITES {
        let (site, _) = open_at(At::Expose).await;
        site.instances.iter().for_each(|instance| instance.client.lose(nth, Loss::After));
        site.set_bad(350);
        for number in 0..3 {
            site.wait_for(number, State::Withdrawn).await;
        }
        let withdrawn = site.rollout(0);
        seconds(20.0).await;
        assert_eq!(site.rollout(0), withdrawn, "write {nth}");
    }
}
