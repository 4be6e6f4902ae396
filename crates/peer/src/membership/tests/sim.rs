//! Simulation of several memberships in steps of one heartbeat, with links as
//! planned by the topology. A cut holds back frames and after a while breaks
//! the link, as TCP does. All randomness comes from one seed.

use std::collections::{BTreeMap, BTreeSet};

use rand::{SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use world::{
    Millis,
    instance::{Id, Incarnation, Instance, State},
};

use crate::{
    member::Member,
    membership::{Action, Membership},
    outbox::{Digests, Heartbeat, Outbox},
    settings::Timing,
    topology,
};

pub const TIMING: Timing = Timing { heartbeat: 1_000, silence: 3_500, suspicion: 3_000, forget: 60_000 };
const DOMAINS: usize = 3;
/// Heartbeats after which a cut breaks a link.
const HEARTBEATS_UNTIL_BREAK: u32 = 4;
/// Milliseconds for which a peer is not dialled after its link was closed.
const BACKOFF: Millis = 10_000;
const MAX_PROBERS: usize = 3;

pub struct Sim {
    pub now: Millis,
    pub nodes: Vec<Node>,
    /// Directions, as (sender, receiver), in which no frames arrive.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Number of steps for which each link has been cut.
    cut_steps: BTreeMap<(usize, usize), u32>,
    limit: usize,
    rng: ChaCha8Rng,
}

pub struct Node {
    pub membership: Membership,
    /// Whether the instance runs, even if paused.
    pub up: bool,
    pub paused: bool,
    outboxes: BTreeMap<usize, Outbox>,
    backoffs: BTreeMap<usize, Millis>,
}

pub fn id(index: usize) -> Id {
    Id::parse(&format!("i{index}")).unwrap()
}

pub fn index(id: &Id) -> usize {
    id.as_str()[1..].parse().unwrap()
}

pub fn instance(index: usize, incarnation: u64) -> Instance {
    let address = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
    Instance {
        id: id(index),
        incarnation: Incarnation(incarnation),
        domain: format!("d{}", index % DOMAINS).parse().unwrap(),
        callers: address,
        peers: address,
        operators: address,
        state: State::Live,
    }
}

impl Node {
    fn new(index: usize, incarnation: u64, now: Millis) -> Self {
        let membership = Membership::new(instance(index, incarnation), TIMING, now);
        Self { membership, up: true, paused: false, outboxes: BTreeMap::new(), backoffs: BTreeMap::new() }
    }

    pub fn is_running(&self) -> bool {
        self.up && !self.paused
    }

    pub fn state_of(&self, other: usize) -> State {
        self.membership.get(&id(other)).map_or(State::Gone, Member::state)
    }
}

impl Sim {
    /// Creates a fleet and runs it until the links are stable.
    pub fn new(size: usize, limit: usize, seed: u64) -> Self {
        let nodes = (0..size).map(|index| Node::new(index, 1, 0)).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sim = Self { now: 0, nodes, cuts: BTreeSet::new(), cut_steps: BTreeMap::new(), limit, rng };
        sim.run(20);
        sim
    }

    pub fn run(&mut self, heartbeats: usize) {
        for _ in 0..heartbeats {
            self.step();
        }
    }

    /// Cuts both directions between all instances of two groups.
    pub fn partition_groups(&mut self, ones: &[usize], others: &[usize]) {
        for (one, other) in ones.iter().flat_map(|one| others.iter().map(move |other| (*one, *other))) {
            self.cuts.extend([(one, other), (other, one)]);
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.unlink_all(index);
    }

    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].membership.me().instance.incarnation.0 + 1;
        self.unlink_all(index);
        self.nodes[index] = Node::new(index, incarnation, self.now);
    }

    /// Returns a description of the first instance, neither down nor paused,
    /// whose members differ from the instances that are up.
    pub fn disagreement(&self) -> Option<String> {
        let up: BTreeSet<_> = (0..self.nodes.len()).filter(|p| self.nodes[*p].up).collect();
        for node in self.nodes.iter().filter(|n| n.is_running()) {
            let members = node.membership.members();
            let present = members.all().filter(|i| i.state != State::Gone);
            let seen: BTreeMap<_, _> = present.map(|i| (index(&i.id), (i.incarnation, i.state))).collect();
            let expected: BTreeMap<_, _> = up.iter().map(|p| (*p, self.own_entry(*p))).collect();
            if seen != expected {
                return Some(format!("{}: {seen:?} and not {expected:?}", members.me.id));
            }
        }
        None
    }

    pub fn links(&self, index: usize) -> usize {
        self.nodes[index].outboxes.len()
    }

    fn own_entry(&self, index: usize) -> (Incarnation, State) {
        let me = &self.nodes[index].membership.me().instance;
        (me.incarnation, me.state)
    }

    fn step(&mut self) {
        self.now += TIMING.heartbeat;
        self.break_links();
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_running() {
                self.nodes[index].membership.tick(self.now);
                self.perform_actions(index);
                self.update_links(index);
                self.dial_unlinked(index);
                self.send_heartbeats(index);
            }
        }
    }

    fn is_open(&self, one: usize, other: usize) -> bool {
        let uncut = !self.cuts.contains(&(one, other)) && !self.cuts.contains(&(other, one));
        uncut && self.nodes[one].is_running() && self.nodes[other].is_running()
    }

    fn break_links(&mut self) {
        for one in 0..self.nodes.len() {
            for other in self.nodes[one].outboxes.keys().copied().collect::<Vec<_>>() {
                let is_cut = self.cuts.contains(&(one, other)) || self.cuts.contains(&(other, one));
                let count = self.cut_steps.entry((one, other)).or_default();
                *count = if is_cut { *count + 1 } else { 0 };
                if *count >= HEARTBEATS_UNTIL_BREAK {
                    self.unlink(one, other);
                }
            }
        }
    }

    fn link(&mut self, one: usize, other: usize) -> bool {
        if one == other || !self.is_open(one, other) {
            return false;
        }
        for (here, there) in [(one, other), (other, one)] {
            let entry = self.nodes[there].membership.me().clone();
            let node = &mut self.nodes[here];
            if !node.membership.accepts(&entry) {
                return true;
            }
            node.membership.merge(vec![entry], &id(there), self.now);
            node.membership.record_frame(&id(there), self.now);
            node.outboxes.insert(there, Outbox::new(&node.membership, &Digests::default()));
        }
        true
    }

    fn unlink(&mut self, one: usize, other: usize) {
        let now = self.now;
        for (here, there) in [(one, other), (other, one)] {
            let node = &mut self.nodes[here];
            if node.outboxes.remove(&there).is_some() {
                node.membership.record_link_closed(&id(there), now);
            }
        }
        self.cut_steps.remove(&(one, other));
        self.cut_steps.remove(&(other, one));
    }

    fn unlink_all(&mut self, index: usize) {
        for other in 0..self.nodes.len() {
            self.unlink(index, other);
        }
    }

    fn update_links(&mut self, one: usize) {
        let node = &self.nodes[one];
        let linked: Vec<Id> = node.outboxes.keys().map(|p| id(*p)).collect();
        let present: Vec<&Instance> =
            node.membership.others().filter(|m| m.is_present()).map(|m| &m.instance).collect();
        let plan = topology::plan(&node.membership.me().instance, &present, &linked, self.limit);
        for other in plan.close.iter().map(index) {
            self.unlink(one, other);
            self.nodes[one].backoffs.insert(other, self.now + BACKOFF);
        }
        for other in plan.dial.iter().chain(&plan.dial_later) {
            if !self.link(one, index(other)) {
                self.nodes[one].membership.record_unreachable(other);
            }
        }
        let may_dial = |id: &&Id| self.nodes[one].backoffs.get(&index(id)).is_none_or(|until| *until <= self.now);
        if let Some(other) = plan.chords.iter().find(may_dial).map(index) {
            self.link(one, other);
            self.nodes[one].backoffs.insert(other, self.now + BACKOFF);
        }
        self.nodes[one].membership.set_watched(plan.watch, self.now);
    }

    /// Dials one random instance among the removed members, the seeds (the first
    /// two instances) and the instances with entries in the object API.
    fn dial_unlinked(&mut self, one: usize) {
        let named: Vec<_> = self.nodes.iter().map(|n| n.membership.me().instance.clone()).collect();
        let node = &self.nodes[one];
        let gone = node.membership.others().filter(|m| !m.is_present()).map(|m| index(&m.instance.id));
        let seeds = (0..2).filter(|p| node.outboxes.is_empty() || node.state_of(*p) == State::Gone);
        let undiscovered = node.membership.undiscovered(&named).into_iter().map(|i| index(&i.id));
        if let Some(other) = gone.chain(seeds).chain(undiscovered).choose(&mut self.rng) {
            self.link(one, other);
        }
    }

    fn perform_actions(&mut self, one: usize) {
        for action in self.nodes[one].membership.take_actions() {
            let (Action::Probe(doubted) | Action::Notify(doubted)) = &action;
            let target = index(&doubted.instance.id);
            let through = self.nodes[one].outboxes.keys().copied().take(MAX_PROBERS);
            let probers: Vec<usize> = std::iter::once(one).chain(through).collect();
            let reached = probers.into_iter().any(|via| {
                let first = via == one || self.is_open(one, via);
                first && via != target && self.is_open(via, target)
            });
            if reached {
                let subject = &mut self.nodes[target].membership;
                subject.merge(vec![doubted.clone()], &id(one), self.now);
                let entry = subject.me().clone();
                self.nodes[one].membership.record_probe_success(entry, self.now);
            } else {
                self.nodes[one].membership.record_probe_failure(&doubted.instance.id, self.now);
            }
        }
    }

    /// Sends all pending changes on every link, at least one heartbeat each.
    fn send_heartbeats(&mut self, one: usize) {
        for change in self.nodes[one].membership.take_changes() {
            let from = change.from.as_ref().map(index);
            let others = self.nodes[one].outboxes.iter_mut().filter(|(other, _)| Some(**other) != from);
            others.for_each(|(_, outbox)| outbox.add(&change.id));
        }
        for other in self.nodes[one].outboxes.keys().copied().collect::<Vec<_>>() {
            if self.cuts.contains(&(one, other)) || !self.nodes[other].is_running() {
                continue;
            }
            loop {
                let node = &mut self.nodes[one];
                let Some(outbox) = node.outboxes.get_mut(&other) else { break };
                let heartbeat = outbox.next_heartbeat(&node.membership, &Digests::default());
                outbox.mark_sent();
                let more = outbox.has_pending();
                self.receive(other, one, heartbeat);
                if !more {
                    break;
                }
            }
        }
    }

    fn receive(&mut self, one: usize, from: usize, heartbeat: Heartbeat) {
        let node = &mut self.nodes[one];
        node.membership.record_frame(&id(from), self.now);
        node.membership.merge(heartbeat.members, &id(from), self.now);
        let mine = node.membership.view();
        let Some(outbox) = node.outboxes.get_mut(&from) else { return };
        outbox.compare_view(heartbeat.view, mine);
        if heartbeat.want_all {
            outbox.add_all(&node.membership);
        }
    }
}
