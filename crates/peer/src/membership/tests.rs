//! Faults between memberships, without sockets or clocks.

mod schedule;
mod sim;

use world::{
    Millis,
    instance::{Incarnation, State},
};

use self::sim::{Sim, TIMING, id, instance};
use super::{Listed, Membership, Standing};
use crate::member::{Doubt, Member};

/// Heartbeats in which any of these faults is found out and told to all.
const SOON: usize = 12;
/// Heartbeats in which all agree again after everything has healed.
const SETTLED: usize = 60;

/// Runs faults over a full mesh and over three links each.
fn check(size: usize, story: impl Fn(&mut Sim)) {
    for limit in [size, 3] {
        let mut sim = Sim::new(size, limit, 7);
        assert_eq!(sim.disagreement(), None, "at the start, limit {limit}");
        story(&mut sim);
    }
}

macro_rules! stories {
    ($($(#[$doc:meta])* $name:ident($sim:ident, $size:expr) $story:block)*) => {
        $($(#[$doc])* #[test] fn $name() { check($size, |$sim| $story); })*
    };
}

stories! {
    /// Nothing happens: nobody is ever suspected, links stay within the limit.
    quiet(sim, 7) {
        sim.run(200);
        for node in 0..7 {
            assert!((0..7).all(|other| sim.nodes[node].state_of(other) == State::Live));
        }
    }

    /// An instance crashes. Its neighbours miss its heartbeats, suspect it, and
    /// all remove it after the suspicion; nobody else is touched.
    lost_heartbeats(sim, 7) {
        sim.kill(3);
        sim.run(SOON);
        assert_eq!(sim.disagreement(), None);
    }

    /// One direction between two instances carries nothing; both hear all the
    /// others. The one that hears nothing suspects, others vouch, and from then
    /// on neither is suspected again, for as long as the cut lasts.
    one_way_cut(sim, 7) {
        sim.cuts.insert((2, 5));
        sim.run(SOON);
        for _ in 0..100 {
            sim.run(1);
            assert!((0..7).all(|node| sim.nodes[node].state_of(2) == State::Live), "2 is doubted");
            assert!((0..7).all(|node| sim.nodes[node].state_of(5) == State::Live), "5 is doubted");
        }
    }

    /// Two failure domains lose sight of the third. Each side removes the
    /// other; after the healing a removal told by the far side must not make
    /// anyone remove a member of its own side: its keys' homes would move.
    parted_domains(sim, 9) {
        let (far, near) = ([0, 3, 6], [1, 2, 4, 5, 7, 8]);
        sim.part(&far, &near);
        sim.run(3 * SOON);
        assert!(near.iter().all(|n| far.iter().all(|f| sim.nodes[*n].state_of(*f) == State::Gone)));
        assert!(far.iter().all(|f| far.iter().all(|g| sim.nodes[*f].state_of(*g) != State::Gone)));
        sim.cuts.clear();
        for _ in 0..SETTLED {
            sim.run(1);
            let kept = |side: &[usize]| side.iter().all(|a| side.iter().all(|b| sim.nodes[*a].state_of(*b) != State::Gone));
            assert!(kept(&far) && kept(&near), "a member was removed by the healing");
        }
        assert_eq!(sim.disagreement(), None);
    }

    /// An instance is paused until it has been removed, and wakes. It must not
    /// blame the others for its own pause, and is counted again by all, in the
    /// same run, because it refutes.
    paused_and_woken(sim, 7) {
        sim.nodes[4].paused = true;
        sim.run(2 * SOON);
        assert!((0..7).filter(|n| *n != 4).all(|n| sim.nodes[n].state_of(4) == State::Gone));
        sim.nodes[4].paused = false;
        sim.run(1);
        assert!((0..7).all(|other| sim.nodes[4].state_of(other) != State::Gone), "it blames the others");
        sim.run(SETTLED);
        assert_eq!(sim.disagreement(), None);
    }

    /// A run ends and the next one starts before anyone has noticed. All take
    /// the new run; the old one's words are refused.
    restarted(sim, 7) {
        let old = sim.nodes[1].membership.me().clone();
        sim.restart(1);
        sim.run(SOON);
        assert_eq!(sim.disagreement(), None);
        let now = sim.now;
        sim.nodes[2].membership.merge(vec![Member { refutation: 99, ..old }], &id(3), now);
        assert_eq!(sim.nodes[2].membership.get(&id(1)).unwrap().instance.incarnation, Incarnation(2));
    }

    /// Leaving reaches all, is not undone by a suspicion, and its end is known
    /// without any waiting.
    leaving(sim, 7) {
        sim.nodes[6].membership.leave();
        sim.run(4);
        assert!((0..7).all(|n| sim.nodes[n].state_of(6) == State::Leaving));
        sim.nodes[6].membership.depart();
        sim.run(4);
        assert!((0..7).all(|n| sim.nodes[n].state_of(6) == State::Gone));
    }

    /// Two faults together: one crashes while a cut keeps its news from a whole
    /// domain, and another is paused while it should vouch.
    crash_during_partition(sim, 9) {
        sim.part(&[2, 5, 8], &[0, 1, 3, 4, 6, 7]);
        sim.nodes[4].paused = true;
        sim.kill(0);
        sim.run(2 * SOON);
        sim.cuts.clear();
        sim.nodes[4].paused = false;
        sim.run(SETTLED);
        assert_eq!(sim.disagreement(), None);
    }

    /// A neighbour's every link partner dies with it: a lost domain. Whoever is
    /// next in the ring finds out, one after the other.
    lost_domain(sim, 9) {
        for place in [1, 4, 7] {
            sim.kill(place);
        }
        sim.run(3 * SOON);
        assert_eq!(sim.disagreement(), None);
    }

    /// Two faults together: the removed instance comes back as a new run while
    /// the far side of a cut still counts the old one.
    restart_during_partition(sim, 9) {
        sim.part(&[2, 5, 8], &[0, 1, 3, 4, 6, 7]);
        sim.run(4);
        sim.restart(5);
        sim.run(SOON);
        sim.cuts.clear();
        sim.run(SETTLED);
        assert_eq!(sim.disagreement(), None);
    }
}

/// `i0` knows `i1`, which it last heard at 0.
fn pair() -> Membership {
    let mut membership = Membership::new(instance(0, 1), TIMING, 0);
    membership.merge(vec![Member::new(instance(1, 1))], &id(1), 0);
    membership.watch([id(1)], 0);
    membership.heard(&id(1), 0);
    membership
}

fn list(lines: &[(usize, Standing)]) -> Vec<Listed> {
    lines.iter().map(|(place, state)| Listed { name: id(*place), state: *state }).collect()
}

/// When the silent `i1` is removed.
fn removed_after(mut membership: Membership) -> Millis {
    let mut now = 0;
    while membership.get(&id(1)).unwrap().is_counted() {
        now += TIMING.heartbeat;
        membership.tick(now);
    }
    now
}

#[test]
fn a_stale_list_removes_nobody_that_answers() {
    // The platform's list is late: it shows a run as leaving or not at all that
    // is in good health. Taking it as the truth would empty the fleet.
    for lines in [vec![(0, Standing::Live), (1, Standing::Leaving)], vec![]] {
        let mut membership = pair();
        membership.set_listed(list(&lines));
        for beat in 1..100 {
            membership.heard(&id(1), beat * TIMING.heartbeat);
            membership.tick(beat * TIMING.heartbeat);
            assert_eq!(membership.get(&id(1)).unwrap().state(), State::Live);
        }
    }
}

#[test]
fn the_list_hastens_only_what_silence_says_too() {
    let mut agreeing = pair();
    agreeing.set_listed(list(&[(0, Standing::Live), (1, Standing::Leaving)]));
    let mut disagreeing = pair();
    disagreeing.set_listed(list(&[(0, Standing::Live), (1, Standing::Live)]));
    let alone = removed_after(pair());
    assert!(removed_after(agreeing) < alone);
    assert_eq!(removed_after(disagreeing), alone);
}

#[test]
fn one_whose_port_refuses_is_removed_sooner_unless_it_refutes() {
    // A crash: the port refuses at once. A wall that refuses in its place, on
    // one way only, must remove nobody: the subject's next word ends it.
    let mut crashed = pair();
    crashed.nobody_there(&id(1));
    let mut silent = pair();
    silent.unreachable(&id(1));
    assert!(removed_after(crashed) < removed_after(silent));

    let mut walled = pair();
    walled.nobody_there(&id(1));
    walled.tick(TIMING.heartbeat);
    assert_eq!(walled.get(&id(1)).unwrap().state(), State::Suspect);
    walled.vouched(Member { refutation: 1, ..Member::new(instance(1, 1)) }, TIMING.heartbeat);
    walled.tick(3 * TIMING.heartbeat);
    assert_eq!(walled.get(&id(1)).unwrap().state(), State::Live);
}

#[test]
fn only_a_turn_seen_in_this_run_makes_it_leave() {
    // A late list still shows the end of the run before this one.
    let mut membership = pair();
    membership.set_listed(list(&[(0, Standing::Leaving)]));
    assert_eq!(membership.me().state(), State::Live);
    membership.set_listed(list(&[(0, Standing::Live), (9, Standing::Live)]));
    assert_eq!(membership.members().unmet, [id(9)]);
    membership.set_listed(list(&[(0, Standing::Leaving)]));
    assert_eq!(membership.me().state(), State::Leaving);
}

#[test]
fn a_doubt_about_one_just_heard_is_told_to_it_and_not_taken() {
    // Hearsay against a member that has just spoken: only its subject can end
    // the doubt elsewhere, by a new word.
    let mut membership = pair();
    let doubted = Member { doubt: Doubt::Gone, ..Member::new(instance(1, 1)) };
    membership.merge(vec![doubted.clone()], &id(2), 500);
    assert_eq!(membership.get(&id(1)).unwrap().state(), State::Live);
    let told = Member { doubt: Doubt::Suspect, ..doubted };
    assert_eq!(membership.take_actions(), [super::Action::Tell(told)]);
}

#[test]
fn a_doubt_kept_back_is_taken_up_when_its_subject_stays_silent() {
    // The doubt came once, while the member had just been heard; then its link
    // ended, or nothing came any more. Thrown away, the doubt would be missed
    // until the views were compared: a crash took 8 s to be known everywhere.
    let doubted = Member { doubt: Doubt::Suspect, ..Member::new(instance(1, 1)) };
    let mut ended = pair();
    ended.merge(vec![doubted.clone()], &id(2), 500);
    ended.unlinked(&id(1), 600);
    assert_eq!(ended.get(&id(1)).unwrap().state(), State::Suspect);

    let mut silent = pair();
    silent.merge(vec![doubted.clone()], &id(2), 500);
    silent.tick(3_000);
    assert_eq!(silent.get(&id(1)).unwrap().state(), State::Suspect);

    let mut heard = pair();
    heard.merge(vec![doubted], &id(2), 500);
    heard.heard(&id(1), 1_000);
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
