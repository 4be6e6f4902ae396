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
    settings::Timing,
    spread::{Digests, Heartbeat, Spread},
    topology,
};

pub const TIMING: Timing = Timing { heartbeat: 1_000, silence: 3_500, suspicion: 3_000, forget: 60_000 };
const DOMAINS: usize = 3;
/// Heartbeats after which a cut breaks a link.
const BREAK: u32 = 4;
/// Milliseconds for which a peer is not dialled after its link was closed.
const REST: Millis = 10_000;
const PROBERS: usize = 3;

pub struct Sim {
    pub now: Millis,
    pub nodes: Vec<Node>,
    /// Directions, as (sender, receiver), in which no frames arrive.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Number of steps for which each link has been cut.
    broken: BTreeMap<(usize, usize), u32>,
    limit: usize,
    rng: ChaCha8Rng,
}

pub struct Node {
    pub membership: Membership,
    /// Whether the instance runs, even if paused.
    pub up: bool,
    pub paused: bool,
    spreads: BTreeMap<usize, Spread>,
    rests: BTreeMap<usize, Millis>,
}

pub fn id(place: usize) -> Id {
    Id::parse(&format!("i{place}")).unwrap()
}

pub fn place(id: &Id) -> usize {
    id.as_str()[1..].parse().unwrap()
}

pub fn instance(place: usize, incarnation: u64) -> Instance {
    let address = format!("127.0.0.1:{}", 1_000 + place).parse().unwrap();
    Instance {
        id: id(place),
        incarnation: Incarnation(incarnation),
        domain: format!("d{}", place % DOMAINS).parse().unwrap(),
        callers: address,
        peers: address,
        operators: address,
        state: State::Live,
    }
}

impl Node {
    fn new(place: usize, incarnation: u64, now: Millis) -> Self {
        let membership = Membership::new(instance(place, incarnation), TIMING, now);
        Self { membership, up: true, paused: false, spreads: BTreeMap::new(), rests: BTreeMap::new() }
    }

    pub fn awake(&self) -> bool {
        self.up && !self.paused
    }

    pub fn state_of(&self, other: usize) -> State {
        self.membership.get(&id(other)).map_or(State::Gone, Member::state)
    }
}

impl Sim {
    /// Creates a fleet and runs it until the links are stable.
    pub fn new(size: usize, limit: usize, seed: u64) -> Self {
        let nodes = (0..size).map(|place| Node::new(place, 1, 0)).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sim = Self { now: 0, nodes, cuts: BTreeSet::new(), broken: BTreeMap::new(), limit, rng };
        sim.run(20);
        sim
    }

    pub fn run(&mut self, heartbeats: usize) {
        for _ in 0..heartbeats {
            self.step();
        }
    }

    /// Cuts both directions between all instances of two groups.
    pub fn part(&mut self, ones: &[usize], others: &[usize]) {
        for (one, other) in ones.iter().flat_map(|one| others.iter().map(move |other| (*one, *other))) {
            self.cuts.extend([(one, other), (other, one)]);
        }
    }

    pub fn kill(&mut self, place: usize) {
        self.nodes[place].up = false;
        self.unlink_all(place);
    }

    pub fn restart(&mut self, place: usize) {
        let incarnation = self.nodes[place].membership.me().instance.incarnation.0 + 1;
        self.unlink_all(place);
        self.nodes[place] = Node::new(place, incarnation, self.now);
    }

    /// Returns a description of the first instance, neither down nor paused,
    /// whose members differ from the instances that are up.
    pub fn disagreement(&self) -> Option<String> {
        let up: BTreeSet<_> = (0..self.nodes.len()).filter(|p| self.nodes[*p].up).collect();
        for node in self.nodes.iter().filter(|n| n.awake()) {
            let members = node.membership.members();
            let counted = members.all().filter(|i| i.state != State::Gone);
            let words: BTreeMap<_, _> = counted.map(|i| (place(&i.id), (i.incarnation, i.state))).collect();
            let expected: BTreeMap<_, _> = up.iter().map(|p| (*p, self.word(*p))).collect();
            if words != expected {
                return Some(format!("{}: {words:?} and not {expected:?}", members.me.id));
            }
        }
        None
    }

    pub fn links(&self, place: usize) -> usize {
        self.nodes[place].spreads.len()
    }

    fn word(&self, place: usize) -> (Incarnation, State) {
        let me = &self.nodes[place].membership.me().instance;
        (me.incarnation, me.state)
    }

    fn step(&mut self) {
        self.now += TIMING.heartbeat;
        self.break_links();
        for place in 0..self.nodes.len() {
            if self.nodes[place].awake() {
                self.nodes[place].membership.tick(self.now);
                self.act(place);
                self.keep_links(place);
                self.stray(place);
                self.beat(place);
            }
        }
    }

    fn is_open(&self, one: usize, other: usize) -> bool {
        let free = !self.cuts.contains(&(one, other)) && !self.cuts.contains(&(other, one));
        free && self.nodes[one].awake() && self.nodes[other].awake()
    }

    fn break_links(&mut self) {
        for one in 0..self.nodes.len() {
            for other in self.nodes[one].spreads.keys().copied().collect::<Vec<_>>() {
                let held = self.cuts.contains(&(one, other)) || self.cuts.contains(&(other, one));
                let count = self.broken.entry((one, other)).or_default();
                *count = if held { *count + 1 } else { 0 };
                if *count >= BREAK {
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
            let word = self.nodes[there].membership.me().clone();
            let node = &mut self.nodes[here];
            if !node.membership.admits(&word) {
                return true;
            }
            node.membership.merge(vec![word], &id(there), self.now);
            node.membership.heard(&id(there), self.now);
            node.spreads.insert(there, Spread::new(&node.membership, &Digests::default()));
        }
        true
    }

    fn unlink(&mut self, one: usize, other: usize) {
        let now = self.now;
        for (here, there) in [(one, other), (other, one)] {
            let node = &mut self.nodes[here];
            if node.spreads.remove(&there).is_some() {
                node.membership.unlinked(&id(there), now);
            }
        }
        self.broken.remove(&(one, other));
        self.broken.remove(&(other, one));
    }

    fn unlink_all(&mut self, place: usize) {
        for other in 0..self.nodes.len() {
            self.unlink(place, other);
        }
    }

    fn keep_links(&mut self, one: usize) {
        let node = &self.nodes[one];
        let linked: Vec<Id> = node.spreads.keys().map(|p| id(*p)).collect();
        let counted: Vec<&Instance> =
            node.membership.others().filter(|m| m.is_counted()).map(|m| &m.instance).collect();
        let plan = topology::plan(&node.membership.me().instance, &counted, &linked, self.limit);
        for other in plan.close.iter().map(place) {
            self.unlink(one, other);
            self.nodes[one].rests.insert(other, self.now + REST);
        }
        for other in plan.dial.iter().chain(&plan.late) {
            if !self.link(one, place(other)) {
                self.nodes[one].membership.unreachable(other);
            }
        }
        let rested = |id: &&Id| self.nodes[one].rests.get(&place(id)).is_none_or(|until| *until <= self.now);
        if let Some(other) = plan.chords.iter().find(rested).map(place) {
            self.link(one, other);
            self.nodes[one].rests.insert(other, self.now + REST);
        }
        self.nodes[one].membership.watch(plan.watch, self.now);
    }

    /// Dials one random seed (the first two instances), removed member or
    /// instance named by the object API.
    fn stray(&mut self, one: usize) {
        let named: Vec<_> = self.nodes.iter().map(|n| n.membership.me().instance.clone()).collect();
        let node = &self.nodes[one];
        let gone = node.membership.others().filter(|m| !m.is_counted()).map(|m| place(&m.instance.id));
        let seeds = (0..2).filter(|p| node.spreads.is_empty() || node.state_of(*p) == State::Gone);
        let strangers = node.membership.strangers(&named).into_iter().map(|i| place(&i.id));
        if let Some(other) = gone.chain(seeds).chain(strangers).choose(&mut self.rng) {
            self.link(one, other);
        }
    }

    fn act(&mut self, one: usize) {
        for action in self.nodes[one].membership.take_actions() {
            let (Action::Probe(doubt) | Action::Tell(doubt)) = &action;
            let target = place(&doubt.instance.id);
            let through = self.nodes[one].spreads.keys().copied().take(PROBERS);
            let probers: Vec<usize> = std::iter::once(one).chain(through).collect();
            let reached = probers.into_iter().any(|via| {
                let first = via == one || self.is_open(one, via);
                first && via != target && self.is_open(via, target)
            });
            if reached {
                let subject = &mut self.nodes[target].membership;
                subject.merge(vec![doubt.clone()], &id(one), self.now);
                let word = subject.me().clone();
                self.nodes[one].membership.vouched(word, self.now);
            } else {
                self.nodes[one].membership.unvouched(&doubt.instance.id, self.now);
            }
        }
    }

    /// Sends all pending changes on every link, at least one heartbeat each.
    fn beat(&mut self, one: usize) {
        for change in self.nodes[one].membership.take_changes() {
            let from = change.from.as_ref().map(place);
            let others = self.nodes[one].spreads.iter_mut().filter(|(other, _)| Some(**other) != from);
            others.for_each(|(_, spread)| spread.add(&change.id));
        }
        for other in self.nodes[one].spreads.keys().copied().collect::<Vec<_>>() {
            if self.cuts.contains(&(one, other)) || !self.nodes[other].awake() {
                continue;
            }
            loop {
                let node = &mut self.nodes[one];
                let Some(spread) = node.spreads.get_mut(&other) else { break };
                let heartbeat = spread.next(&node.membership, &Digests::default());
                spread.sent();
                let more = spread.is_due();
                self.hear(other, one, heartbeat);
                if !more {
                    break;
                }
            }
        }
    }

    fn hear(&mut self, one: usize, from: usize, heartbeat: Heartbeat) {
        let node = &mut self.nodes[one];
        node.membership.heard(&id(from), self.now);
        node.membership.merge(heartbeat.members, &id(from), self.now);
        let mine = node.membership.view();
        let Some(spread) = node.spreads.get_mut(&from) else { return };
        spread.compare(heartbeat.view, mine);
        if heartbeat.want_all {
            spread.add_all(&node.membership);
        }
    }
}
