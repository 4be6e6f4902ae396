//! Broadcasts over a simulated graph of links, on which each message takes 10 ms.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{
    Millis,
    instance::{Id, Incarnation},
};

use super::{BODY_TIMEOUT, Message, Messages, Relay};
use crate::news::News;

const HOP_MS: Millis = 10;
/// Longer than it takes to request a body from every peer that offered it.
const SETTLE_TIME: Millis = 40 * BODY_TIMEOUT;

struct Graph {
    now: Millis,
    nodes: BTreeMap<Id, Relay>,
    /// Messages in transit: arrival time, sender, receiver, message.
    in_transit: Vec<(Millis, Id, Id, Message)>,
    received: BTreeMap<Id, u64>,
    bodies: usize,
    published: u64,
}

fn id(index: usize) -> Id {
    Id::parse(&format!("i{index}")).unwrap()
}

impl Graph {
    /// Creates a ring with chords, as the topology plans it.
    fn new(size: usize, chords: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let nodes = (0..size).map(|index| (id(index), Relay::default())).collect();
        let mut graph =
            Self { now: 0, nodes, in_transit: Vec::new(), received: BTreeMap::new(), bodies: 0, published: 0 };
        for index in 0..size {
            graph.link(index, (index + 1) % size);
            for _ in 0..chords / 2 {
                graph.link(index, rng.random_range(0..size));
            }
        }
        graph
    }

    fn link(&mut self, one: usize, other: usize) {
        if one != other {
            self.nodes.get_mut(&id(one)).unwrap().add_link(&id(other));
            self.nodes.get_mut(&id(other)).unwrap().add_link(&id(one));
        }
    }

    fn remove(&mut self, index: usize) {
        self.nodes.remove(&id(index));
        self.nodes.values_mut().for_each(|relay| relay.remove_link(&id(index)));
    }

    /// Publishes an item, asserts that every other node receives it exactly
    /// once, and returns the number of bodies sent.
    fn publish(&mut self, index: usize) -> usize {
        self.published += 1;
        let news = News {
            origin: id(index),
            incarnation: Incarnation(1),
            sequence: self.published,
            topic: 1,
            body: Bytes::from_static(b"body"),
            hops: 0,
            relay: true,
            stamp: 0,
        };
        (self.received, self.bodies) = (BTreeMap::new(), 0);
        let messages = self.nodes.get_mut(&id(index)).unwrap().publish(&news);
        self.send(&id(index), messages);
        let end = self.now + SETTLE_TIME;
        while self.now < end {
            self.step();
        }
        let others: BTreeSet<_> = self.nodes.keys().filter(|node| **node != id(index)).collect();
        let have: BTreeSet<_> = self.received.keys().collect();
        assert_eq!(have, others, "not received everywhere");
        assert!(self.received.values().all(|times| *times == 1), "received more than once");
        self.bodies
    }

    fn step(&mut self) {
        self.now += HOP_MS;
        let now = self.now;
        let (arrived, in_transit) = std::mem::take(&mut self.in_transit).into_iter().partition(|(at, ..)| *at <= now);
        self.in_transit = in_transit;
        for (_, from, to, message) in arrived {
            self.arrive(&from, &to, message);
        }
        for node in self.nodes.keys().cloned().collect::<Vec<_>>() {
            let relay = self.nodes.get_mut(&node).unwrap();
            if relay.next_due().is_some_and(|due| due <= now) {
                let messages = relay.request_overdue(now);
                self.send(&node, messages);
            }
        }
    }

    fn arrive(&mut self, from: &Id, to: &Id, message: Message) {
        let Some(relay) = self.nodes.get_mut(to) else { return };
        let messages = match message {
            Message::News(news) => {
                let (is_new, messages) = relay.on_news(from, &news);
                *self.received.entry(to.clone()).or_default() += u64::from(is_new);
                messages
            }
            Message::Have(name) => {
                relay.on_have(from, name, self.now);
                Messages::new()
            }
            Message::Want(name) => relay.on_want(from, &name),
            Message::Prune => {
                relay.prune_link(from);
                Messages::new()
            }
        };
        self.send(to, messages);
    }

    fn send(&mut self, from: &Id, messages: Messages) {
        for (to, message) in messages {
            self.bodies += usize::from(matches!(message, Message::News(_)));
            self.in_transit.push((self.now + HOP_MS, from.clone(), to, message));
        }
    }
}

#[test]
fn the_tree_sends_each_body_about_once() {
    let mut graph = Graph::new(100, 10);
    let flood = graph.publish(0);
    assert!(flood > 400, "{flood} bodies: the first news floods");
    for origin in 1..20 {
        graph.publish(origin * 5);
    }
    let settled = graph.publish(0);
    assert!(settled <= 120, "{settled} bodies for 99 receivers");
}

#[test]
fn the_tree_is_repaired_when_instances_are_lost() {
    // A tenth of the instances are lost inside the tree, before any link is
    // replaced. The names on the pruned links reveal the missing bodies, so the
    // next items still arrive everywhere exactly once.
    let mut graph = Graph::new(100, 10);
    for origin in 0..10 {
        graph.publish(origin);
    }
    for index in (3..100).step_by(10) {
        graph.remove(index);
    }
    for origin in [0, 50, 99, 0, 50, 99] {
        graph.publish(origin);
    }
    let settled = graph.publish(0);
    assert!(settled <= 120, "{settled} bodies for 89 receivers");
}

#[test]
fn a_body_that_no_peer_can_send_is_abandoned() {
    // The peer that offered it is gone; the awaited item must not be kept forever.
    let mut relay = Relay::default();
    relay.add_link(&id(1));
    let name = crate::news::Name { origin: id(9), incarnation: Incarnation(1), sequence: 1 };
    relay.on_have(&id(1), name.clone(), 0);
    assert_eq!(relay.next_due(), Some(BODY_TIMEOUT));
    assert_eq!(relay.request_overdue(BODY_TIMEOUT), [(id(1), Message::Want(name))]);
    assert_eq!(relay.request_overdue(2 * BODY_TIMEOUT), []);
    assert_eq!(relay.next_due(), None);
}

#[test]
fn a_flood_of_names_is_bounded() {
    let mut relay = Relay::default();
    for sequence in 1..10_000 {
        relay.on_have(&id(1), crate::news::Name { origin: id(9), incarnation: Incarnation(1), sequence }, 0);
    }
    assert_eq!(relay.missing.len(), super::MAX_MISSING);
}
