//! Failure detection between simulated memberships, without sockets or clocks.

mod schedule;
mod sim;

use world::{
    Millis,
    instance::{Incarnation, State},
};

use self::sim::{Sim, TIMING, id, instance};
use super::{Listed, ListedState, Membership};
use crate::member::{Doubt, Member};

/// Heartbeats within which any of these faults is detected and known to all.
const DETECTION_HEARTBEATS: usize = 12;
/// Heartbeats within which all views agree after all faults have healed.
const CONVERGENCE_HEARTBEATS: usize = 60;

/// Runs a scenario on a full mesh and with three links per instance.
fn check(size: usize, scenario: impl Fn(&mut Sim)) {
    for limit in [size, 3] {
        let mut sim = Sim::new(size, limit, 7);
        assert_eq!(sim.disagreement(), None, "at the start, limit {limit}");
        scenario(&mut sim);
    }
}

macro_rules! scenarios {
    ($($(#[$doc:meta])* $name:ident($sim:ident, $size:expr) $scenario:block)*) => {
        $($(#[$doc])* #[test] fn $name() { check($size, |$sim| $scenario); })*
    };
}

scenarios! {
    /// Without faults, no instance is ever suspected.
    no_faults(sim, 7) {
        sim.run(200);
        for node in 0..7 {
            assert!((0..7).all(|other| sim.nodes[node].state_of(other) == State::Live));
        }
    }

    /// An instance crashes. Its linked peers miss its heartbeats and suspect it,
    /// and all remove it after the suspicion timeout. No other is removed.
    crashed_instance_is_removed(sim, 7) {
        sim.kill(3);
        sim.run(DETECTION_HEARTBEATS);
        assert_eq!(sim.disagreement(), None);
    }

    /// One direction between two instances is cut; both still reach all others.
    /// The instance that receives nothing suspects the other until probes reach
    /// it. From then on, neither is suspected for as long as the cut lasts.
    one_way_cut(sim, 7) {
        sim.cuts.insert((2, 5));
        sim.run(DETECTION_HEARTBEATS);
        for _ in 0..100 {
            sim.run(1);
            assert!((0..7).all(|node| sim.nodes[node].state_of(2) == State::Live), "2 is suspected");
            assert!((0..7).all(|node| sim.nodes[node].state_of(5) == State::Live), "5 is suspected");
        }
    }

    /// One failure domain is partitioned from the other two. Each side removes
    /// the other. After the partition heals, a removal reported by the far side
    /// must not make an instance remove a member of its own side, because the
    /// home instances of keys would move.
    partitioned_domain(sim, 9) {
        let (far, near) = ([0, 3, 6], [1, 2, 4, 5, 7, 8]);
        sim.partition_groups(&far, &near);
        sim.run(3 * DETECTION_HEARTBEATS);
        assert!(near.iter().all(|n| far.iter().all(|f| sim.nodes[*n].state_of(*f) == State::Gone)));
        assert!(far.iter().all(|f| far.iter().all(|g| sim.nodes[*f].state_of(*g) != State::Gone)));
        sim.cuts.clear();
        for _ in 0..CONVERGENCE_HEARTBEATS {
            sim.run(1);
            let is_complete = |side: &[usize]| side.iter().all(|a| side.iter().all(|b| sim.nodes[*a].state_of(*b) != State::Gone));
            assert!(is_complete(&far) && is_complete(&near), "a member was removed by the healing");
        }
        assert_eq!(sim.disagreement(), None);
    }

    /// An instance is paused until it has been removed, then resumes. It must
    /// not suspect the others because of its own pause, and all readmit it in
    /// the same run because it refutes its removal.
    paused_instance_resumes(sim, 7) {
        sim.nodes[4].paused = true;
        sim.run(2 * DETECTION_HEARTBEATS);
        assert!((0..7).filter(|n| *n != 4).all(|n| sim.nodes[n].state_of(4) == State::Gone));
        sim.nodes[4].paused = false;
        sim.run(1);
        assert!((0..7).all(|other| sim.nodes[4].state_of(other) != State::Gone), "it removed others");
        sim.run(CONVERGENCE_HEARTBEATS);
        assert_eq!(sim.disagreement(), None);
    }

    /// A run ends and the next one starts before any peer has noticed. All
    /// accept the new run; entries of the old run are ignored.
    restarted_instance(sim, 7) {
        let old = sim.nodes[1].membership.me().clone();
        sim.restart(1);
        sim.run(DETECTION_HEARTBEATS);
        assert_eq!(sim.disagreement(), None);
        let now = sim.now;
        sim.nodes[2].membership.merge(vec![Member { refutation: 99, ..old }], &id(3), now);
        assert_eq!(sim.nodes[2].membership.get(&id(1)).unwrap().instance.incarnation, Incarnation(2));
    }

    /// All see that an instance is leaving, and see the end of its run without
    /// waiting for a suspicion.
    leaving_instance(sim, 7) {
        sim.nodes[6].membership.leave();
        sim.run(4);
        assert!((0..7).all(|n| sim.nodes[n].state_of(6) == State::Leaving));
        sim.nodes[6].membership.end();
        sim.run(4);
        assert!((0..7).all(|n| sim.nodes[n].state_of(6) == State::Gone));
    }

    /// Combined faults: an instance crashes while a domain is partitioned off,
    /// and another instance, which could answer probes, is paused.
    crash_during_partition(sim, 9) {
        sim.partition_groups(&[2, 5, 8], &[0, 1, 3, 4, 6, 7]);
        sim.nodes[4].paused = true;
        sim.kill(0);
        sim.run(2 * DETECTION_HEARTBEATS);
        sim.cuts.clear();
        sim.nodes[4].paused = false;
        sim.run(CONVERGENCE_HEARTBEATS);
        assert_eq!(sim.disagreement(), None);
    }

    /// A whole domain is lost, so that a crashed instance's linked peers may
    /// have crashed as well. The next instances in the ring then detect the
    /// crashes one by one.
    lost_domain(sim, 9) {
        for index in [1, 4, 7] {
            sim.kill(index);
        }
        sim.run(3 * DETECTION_HEARTBEATS);
        assert_eq!(sim.disagreement(), None);
    }

    /// Combined faults: an instance restarts while the other side of a
    /// partition still counts its old run as a member.
    restart_during_partition(sim, 9) {
        sim.partition_groups(&[2, 5, 8], &[0, 1, 3, 4, 6, 7]);
        sim.run(4);
        sim.restart(5);
        sim.run(DETECTION_HEARTBEATS);
        sim.cuts.clear();
        sim.run(CONVERGENCE_HEARTBEATS);
        assert_eq!(sim.disagreement(), None);
    }
}

/// Creates the view of `i0` with the member `i1`, last heard at time 0.
fn pair() -> Membership {
    let mut membership = Membership::new(instance(0, 1), TIMING, 0);
    membership.merge(vec![Member::new(instance(1, 1))], &id(1), 0);
    membership.set_watched([id(1)], 0);
    membership.record_frame(&id(1), 0);
    membership
}

fn list(lines: &[(usize, ListedState)]) -> Vec<Listed> {
    lines.iter().map(|(index, state)| Listed { name: id(*index), state: *state }).collect()
}

/// Returns the time at which the silent `i1` is removed.
fn removal_time(mut membership: Membership) -> Millis {
    let mut now = 0;
    while membership.get(&id(1)).unwrap().is_present() {
        now += TIMING.heartbeat;
        membership.tick(now);
    }
    now
}

#[test]
fn an_outdated_list_does_not_remove_a_responding_member() {
    // The platform's list may be outdated and show a healthy run as leaving or
    // not at all. Treating it as authoritative would empty the fleet.
    for lines in [vec![(0, ListedState::Live), (1, ListedState::Leaving)], vec![]] {
        let mut membership = pair();
        membership.set_listed(list(&lines));
        for beat in 1..100 {
            membership.record_frame(&id(1), beat * TIMING.heartbeat);
            membership.tick(beat * TIMING.heartbeat);
            assert_eq!(membership.get(&id(1)).unwrap().state(), State::Live);
        }
    }
}

#[test]
fn the_list_only_hastens_the_removal_of_silent_members() {
    let mut agreeing = pair();
    agreeing.set_listed(list(&[(0, ListedState::Live), (1, ListedState::Leaving)]));
    let mut disagreeing = pair();
    disagreeing.set_listed(list(&[(0, ListedState::Live), (1, ListedState::Live)]));
    let alone = removal_time(pair());
    assert!(removal_time(agreeing) < alone);
    assert_eq!(removal_time(disagreeing), alone);
}

#[test]
fn a_refused_connection_hastens_removal_unless_refuted() {
    // After a crash, the port refuses connections at once. A firewall that
    // rejects connections from one side must not cause a removal: the member's
    // next entry clears the suspicion.
    let mut crashed = pair();
    crashed.record_connection_refused(&id(1));
    let mut silent = pair();
    silent.record_unreachable(&id(1));
    assert!(removal_time(crashed) < removal_time(silent));

    let mut blocked = pair();
    blocked.record_connection_refused(&id(1));
    blocked.tick(TIMING.heartbeat);
    assert_eq!(blocked.get(&id(1)).unwrap().state(), State::Suspect);
    blocked.record_probe_success(Member { refutation: 1, ..Member::new(instance(1, 1)) }, TIMING.heartbeat);
    blocked.tick(3 * TIMING.heartbeat);
    assert_eq!(blocked.get(&id(1)).unwrap().state(), State::Live);
}

#[test]
fn only_a_transition_seen_in_this_run_makes_it_leave() {
    // An outdated list may still show the end of the previous run.
    let mut membership = pair();
    membership.set_listed(list(&[(0, ListedState::Leaving)]));
    assert_eq!(membership.me().state(), State::Live);
    membership.set_listed(list(&[(0, ListedState::Live), (9, ListedState::Live)]));
    assert_eq!(membership.members().unknown_listed, [id(9)]);
    membership.set_listed(list(&[(0, ListedState::Leaving)]));
    assert_eq!(membership.me().state(), State::Leaving);
}

#[test]
fn a_doubt_about_a_member_just_heard_is_sent_to_it_and_not_applied() {
    // The member was heard directly a moment ago. Only the member itself can
    // clear the doubt at other instances, by a new version of its entry.
    let mut membership = pair();
    let doubted = Member { doubt: Doubt::Gone, ..Member::new(instance(1, 1)) };
    membership.merge(vec![doubted.clone()], &id(2), 500);
    assert_eq!(membership.get(&id(1)).unwrap().state(), State::Live);
    let notified = Member { doubt: Doubt::Suspect, ..doubted };
    assert_eq!(membership.take_actions(), [super::Action::Notify(notified)]);
}

#[test]
fn a_deferred_doubt_is_applied_when_its_member_stays_silent() {
    // The doubt arrives once, just after the member was heard. Then the link to
    // the member closes, or the member falls silent. If the doubt had been
    // dropped, it would be missing until the views are compared: a crash then
    // took 8 s to become known everywhere.
    let doubted = Member { doubt: Doubt::Suspect, ..Member::new(instance(1, 1)) };
    let mut ended = pair();
    ended.merge(vec![doubted.clone()], &id(2), 500);
    ended.record_link_closed(&id(1), 600);
    assert_eq!(ended.get(&id(1)).unwrap().state(), State::Suspect);

    let mut silent = pair();
    silent.merge(vec![doubted.clone()], &id(2), 500);
    silent.tick(3_000);
    assert_eq!(silent.get(&id(1)).unwrap().state(), State::Suspect);

    let mut heard = pair();
    heard.merge(vec![doubted], &id(2), 500);
    heard.record_frame(&id(1), 1_000);
    heard.tick(3_000);
    assert_eq!(heard.get(&id(1)).unwrap().state(), State::Live);
}

#[test]
fn a_later_run_under_this_name_ends_this_one() {
    let mut membership = pair();
    membership.merge(vec![Member::new(instance(0, 2))], &id(1), 1);
    assert!(membership.is_superseded());
    assert_eq!(membership.members().me.state, State::Gone);
}
